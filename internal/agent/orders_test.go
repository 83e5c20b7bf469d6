package agent

import (
	"context"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
	"github.com/magnoliawheel/magnoliawheel/core/lease"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/schema"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
	"github.com/magnoliawheel/magnoliawheel/test/standin"
	"github.com/magnoliawheel/magnoliawheel/test/standin/engine"
)

// fixedConfig is a configuration that never changes.
type fixedConfig struct {
	noConfig
	snapshot *configlog.Snapshot
}

func (c fixedConfig) Current() *configlog.Snapshot { return c.snapshot }

// qasrConfig is the example schema, changed by edit.
func qasrConfig(t testing.TB, edit func(*schema.Schema)) fixedConfig {
	text, err := os.ReadFile("../../examples/qasr/schema.toml")
	assert.NilError(t, err)
	s, err := schema.Parse(text)
	assert.NilError(t, err)
	if edit != nil {
		edit(s)
	}
	return fixedConfig{snapshot: &configlog.Snapshot{Offset: 1, Schema: s}}
}

// slot is an engine with agents that follow each other in its slot.
type slot struct {
	log    *fakeLog
	engine *standin.Server
	config fixedConfig
	offset atomic.Int64
}

func newSlot(t testing.TB, fencing bool) *slot {
	s := &slot{log: newFakeLog(), config: qasrConfig(t, func(s *schema.Schema) { s.Pool("engines").Fencing = fencing })}
	s.engine = startEngine(t, engine.Config{Faults: standin.Faults{IgnoreFencingNumbers: !fencing}})
	s.log.now = s.now
	return s
}

func (s *slot) now() time.Time { return time.Now().Add(time.Duration(s.offset.Load())) }

func (s *slot) advance(d time.Duration) { s.offset.Add(int64(d)) }

func (s *slot) agent(t testing.TB) *fixture {
	conf := testSettings(t, "engine-1", "http://"+s.engine.Addr())
	conf.Server.OrdersFrom = []string{"entry-1"}
	f := startWith(t, conf, s.log, s.config)
	f.orders.now = s.now
	return f
}

func (f *fixture) order(t testing.TB, kind, model, from string) *wire.OrderReply {
	reply, err := f.client.Order(context.Background(), &wire.OrderRequest{OrderId: "o1", Kind: kind, Model: model, From: from})
	assert.NilError(t, err)
	return reply
}

func (f *fixture) load(t testing.TB) result.Code {
	return result.Code(f.order(t, orderLoadModel, "clause-7b", "entry-1").Code)
}

func TestOrdersAreChecked(t *testing.T) {
	s := newSlot(t, true)
	f := s.agent(t)
	cases := []struct {
		name, kind, model, from string
		code                    result.Code
	}{
		{"allowed", orderLoadModel, "clause-7b", "entry-1", result.OK},
		{"role", orderSetRole, "", "entry-1", result.OK},
		{"other instance", orderLoadModel, "clause-7b", "entry-2", result.OrderRefused},
		{"no instance", orderDrain, "", "", result.OrderRefused},
		{"model not in the schema", orderLoadModel, "other", "entry-1", result.OrderRefused},
		{"unknown kind", "format_disk", "", "entry-1", result.OrderRefused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, result.Code(f.order(t, c.kind, c.model, c.from).Code), c.code)
		})
	}
	s.log.set(func(l *fakeLog) { l.down = true })
	s.advance(lease.Duration)
	assert.Equal(t, f.load(t), result.PlatformDown)
}

func TestOrdersChangeTheListOfModels(t *testing.T) {
	f := newSlot(t, true).agent(t)
	probe := func() []string {
		reply, err := f.client.Probe(context.Background(), &wire.ProbeRequest{})
		assert.NilError(t, err)
		return reply.Load.Models
	}
	assert.Equal(t, f.load(t), result.OK)
	assert.Equal(t, len(probe()), 0)
	assert.Equal(t, result.Code(f.order(t, orderUnloadModel, "clause-7b", "entry-1").Code), result.OK)
	assert.DeepEqual(t, probe(), []string{"fixings-1b"})
	assert.Equal(t, f.load(t), result.OK)
	assert.DeepEqual(t, probe(), []string{"clause-7b", "fixings-1b"})
}

func TestOrderedDrain(t *testing.T) {
	f := newSlot(t, true).agent(t)
	assert.Equal(t, result.Code(f.order(t, orderDrain, "", "entry-1").Code), result.OK)
	a := f.run(t, f.generateRequest("e~1", 5))
	assert.DeepEqual(t, a.events, []string{"refused 2005 RAN_NO"})
	assert.Assert(t, a.refused.Load.Leaving)
	assert.Equal(t, result.Code(f.order(t, orderUndrain, "", "entry-1").Code), result.OK)
	a = f.run(t, f.generateRequest("e~2", 5))
	assert.Assert(t, a.done != nil, "%v", a.events)
}

// TestFormerHolderWithFencing checks that an engine that knows fencing numbers
// obeys a new holder at once and refuses the former.
func TestFormerHolderWithFencing(t *testing.T) {
	s := newSlot(t, true)
	former, next := s.agent(t), s.agent(t)
	assert.Equal(t, former.load(t), result.OK)
	assert.Equal(t, next.load(t), result.OK)
	assert.Equal(t, former.load(t), result.OrderFenced)
	assert.Equal(t, next.load(t), result.OK)
}

// TestFormerHolderWithoutFencing checks that a new holder waits out the lease of
// the former, which cannot give orders after it.
func TestFormerHolderWithoutFencing(t *testing.T) {
	s := newSlot(t, false)
	former, next := s.agent(t), s.agent(t)
	assert.Equal(t, former.load(t), result.OK)
	assert.Equal(t, next.load(t), result.OrderLeaseWait)
	// The former cannot renew any more, though its lease has not run out.
	s.advance(lease.Duration - time.Second)
	assert.Equal(t, former.load(t), result.OrderFenced)
	s.advance(time.Second)
	assert.Equal(t, next.load(t), result.OK)
}

// TestPausedFormerHolder checks that a holder that is stopped while it renews
// its lease, and goes on after another took over, sends nothing.
func TestPausedFormerHolder(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		s := newSlot(t, fencing)
		former, next := s.agent(t), s.agent(t)
		s.log.set(func(l *fakeLog) {
			l.beforeAppend = func() {
				s.advance(2 * lease.Duration)
				assert.Check(t, next.load(t) == result.OK)
				s.advance(2 * lease.Duration)
			}
		})
		// The former takes the lease when it goes on, but its time has run out.
		assert.Equal(t, former.load(t), result.OrderFenced)
	}
}
