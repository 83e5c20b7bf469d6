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

// fixedConfig is a configuration source that always returns the same snapshot.
type fixedConfig struct {
	emptyConfig
	snapshot *configlog.Snapshot
}

func (c fixedConfig) Current() *configlog.Snapshot { return c.snapshot }

// exampleConfig returns a configuration with the schema of examples/qasr,
// modified by edit.
func exampleConfig(t testing.TB, edit func(*schema.Schema)) fixedConfig {
	text, err := os.ReadFile("../../examples/qasr/schema.toml")
	assert.NilError(t, err)
	s, err := schema.Parse(text)
	assert.NilError(t, err)
	if edit != nil {
		edit(s)
	}
	return fixedConfig{snapshot: &configlog.Snapshot{Offset: 1, Schema: s}}
}

// engineSlot is an engine, the log of leases on its slot, and a clock that the
// test can advance. Its agents act as successive processes of one instance.
type engineSlot struct {
	log         *fakeLog
	engine      *standin.Server
	config      fixedConfig
	clockOffset atomic.Int64
}

func newEngineSlot(t testing.TB, fencing bool) *engineSlot {
	s := &engineSlot{log: newFakeLog(), config: exampleConfig(t, func(s *schema.Schema) { s.Pool("engines").Fencing = fencing })}
	s.engine = startEngine(t, engine.Config{Faults: standin.Faults{IgnoreFencingNumbers: !fencing}})
	s.log.now = s.now
	return s
}

func (s *engineSlot) now() time.Time { return time.Now().Add(time.Duration(s.clockOffset.Load())) }

func (s *engineSlot) advanceClock(d time.Duration) { s.clockOffset.Add(int64(d)) }

// startAgent starts another process of the instance in the slot.
func (s *engineSlot) startAgent(t testing.TB) *fixture {
	conf := testSettings(t, "engine-1", "http://"+s.engine.Addr())
	conf.Server.OrdersFrom = []string{"entry-1"}
	f := startAgentWith(t, conf, s.log, s.config)
	f.orderHandler.now = s.now
	return f
}

func (f *fixture) order(t testing.TB, kind, model, from string) *wire.OrderReply {
	reply, err := f.client.Order(context.Background(), &wire.OrderRequest{OrderId: "o1", Kind: kind, Model: model, From: from})
	assert.NilError(t, err)
	return reply
}

func (f *fixture) loadModel(t testing.TB) result.Code {
	return result.Code(f.order(t, orderLoadModel, "clause-7b", "entry-1").Code)
}

func TestOrderValidation(t *testing.T) {
	s := newEngineSlot(t, true)
	f := s.startAgent(t)
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
	s.log.configure(func(l *fakeLog) { l.unavailable = true })
	s.advanceClock(lease.Duration)
	assert.Equal(t, f.loadModel(t), result.PlatformDown)
}

// TestOrdersUpdateTheModelList checks that the list stays empty, which means all
// models, until the first one is unloaded.
func TestOrdersUpdateTheModelList(t *testing.T) {
	f := newEngineSlot(t, true).startAgent(t)
	loadedModels := func() []string {
		reply, err := f.client.Probe(context.Background(), &wire.ProbeRequest{})
		assert.NilError(t, err)
		return reply.Load.Models
	}
	assert.Equal(t, f.loadModel(t), result.OK)
	assert.Equal(t, len(loadedModels()), 0)
	assert.Equal(t, result.Code(f.order(t, orderUnloadModel, "clause-7b", "entry-1").Code), result.OK)
	assert.DeepEqual(t, loadedModels(), []string{"fixings-1b"})
	assert.Equal(t, f.loadModel(t), result.OK)
	assert.DeepEqual(t, loadedModels(), []string{"clause-7b", "fixings-1b"})
}

func TestDrainOrder(t *testing.T) {
	f := newEngineSlot(t, true).startAgent(t)
	assert.Equal(t, result.Code(f.order(t, orderDrain, "", "entry-1").Code), result.OK)
	a := f.run(t, f.generateRequest("e~1", 5))
	assert.DeepEqual(t, a.events, []string{"refused 2005 RAN_NO"})
	assert.Assert(t, a.refused.Load.Leaving)
	assert.Equal(t, result.Code(f.order(t, orderUndrain, "", "entry-1").Code), result.OK)
	a = f.run(t, f.generateRequest("e~2", 5))
	assert.Assert(t, a.done != nil, "%v", a.events)
}

// TestEarlierLeaseHolderWithFencing checks that an engine that checks fencing
// numbers accepts orders of a new lease holder at once and refuses those of the
// earlier one.
func TestEarlierLeaseHolderWithFencing(t *testing.T) {
	s := newEngineSlot(t, true)
	earlier, next := s.startAgent(t), s.startAgent(t)
	assert.Equal(t, earlier.loadModel(t), result.OK)
	assert.Equal(t, next.loadModel(t), result.OK)
	assert.Equal(t, earlier.loadModel(t), result.OrderFenced)
	assert.Equal(t, next.loadModel(t), result.OK)
}

// TestEarlierLeaseHolderWithoutFencing checks that a new lease holder gives no
// order to an engine without fencing before the earlier lease has expired, and
// that the earlier holder gives none afterwards.
func TestEarlierLeaseHolderWithoutFencing(t *testing.T) {
	s := newEngineSlot(t, false)
	earlier, next := s.startAgent(t), s.startAgent(t)
	assert.Equal(t, earlier.loadModel(t), result.OK)
	assert.Equal(t, next.loadModel(t), result.OrderLeaseWait)
	// The earlier holder cannot renew its lease any more, although it has not
	// expired.
	s.advanceClock(lease.Duration - time.Second)
	assert.Equal(t, earlier.loadModel(t), result.OrderFenced)
	s.advanceClock(time.Second)
	assert.Equal(t, next.loadModel(t), result.OK)
}

// TestLeaseHolderPausedDuringRenewal checks that a process sends no order if it
// is suspended while it acquires its lease and resumes after another process
// held the lease in the meantime.
func TestLeaseHolderPausedDuringRenewal(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		s := newEngineSlot(t, fencing)
		earlier, next := s.startAgent(t), s.startAgent(t)
		s.log.configure(func(l *fakeLog) {
			l.beforeAppend = func() {
				s.advanceClock(2 * lease.Duration)
				assert.Check(t, next.loadModel(t) == result.OK)
				s.advanceClock(2 * lease.Duration)
			}
		})
		// The earlier process acquires the lease after it resumes, but the lease has
		// expired by then.
		assert.Equal(t, earlier.loadModel(t), result.OrderFenced)
	}
}
