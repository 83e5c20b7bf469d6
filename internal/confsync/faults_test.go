package confsync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/platform"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

// newSync returns a Sync without peers that does not run.
func newSync(log platform.Log) *Sync {
	return New(Options{Log: log, Peers: func() []string { return nil }, Self: "alone", Logger: logr.Discard()})
}

// loaded returns a log that holds the example schema, and a Sync that folded it.
func loaded(t *testing.T) (*fakeLog, *Sync) {
	log := newFakeLog()
	s := newSync(log)
	assert.Equal(t, submitted(t, s, exampleChange(t, "first")).Status, configlog.Accepted)
	return log, s
}

func codeOf(t *testing.T, err error) result.Code {
	t.Helper()
	var coded *result.Error
	assert.Assert(t, errors.As(err, &coded), "%v", err)
	return coded.Code
}

// submitBriefly submits with little time to settle.
func submitBriefly(s *Sync, c *configlog.Change) (configlog.Outcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*outcomePoll)
	defer cancel()
	return s.Submit(ctx, c)
}

func TestSubmitUnderFaults(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(*fakeLog)
		// code is that of the first answer; OK means accepted.
		code result.Code
		// settle ends the fault; then is the status of the change after it.
		settle func(*fakeLog)
		then   configlog.Status
	}{
		{"none", func(*fakeLog) {}, result.OK, func(*fakeLog) {}, configlog.Accepted},
		{"answer lost", func(l *fakeLog) { l.loseAnswers = true }, result.OK, func(*fakeLog) {}, configlog.Accepted},
		{"log down", func(l *fakeLog) { l.down = true }, result.ConfigUnavailable, func(l *fakeLog) { l.down = false }, ""},
		{"write late", func(l *fakeLog) { l.late = true }, result.ConfigUnknown, (*fakeLog).release, configlog.Accepted},
		{"write never", func(l *fakeLog) { l.late = true }, result.ConfigUnknown, func(l *fakeLog) { l.held = nil }, ""},
		{"write late after another", func(l *fakeLog) { l.late = true }, result.ConfigUnknown, func(l *fakeLog) {
			other := newSync(l)
			_ = other.CatchUp(context.Background(), 0)
			c := weightChange(other.Current(), "other", "5")
			c.BaseOffset = other.Current().Offset
			data, _ := configlog.EncodeChange(c)
			l.add(data)
			l.release()
		}, configlog.Conflict},
	} {
		t.Run(tc.name, func(t *testing.T) {
			log, s := loaded(t)
			log.set(tc.fault)
			o, err := submitBriefly(s, weightChange(s.Current(), "second", "2"))
			if tc.code == result.OK {
				assert.NilError(t, err)
				assert.Equal(t, o.Status, configlog.Accepted)
			} else {
				assert.Equal(t, codeOf(t, err), tc.code)
			}
			if tc.name == "write late after another" {
				tc.settle(log)
			} else {
				log.set(tc.settle)
			}
			o, err = s.Find(context.Background(), "second")
			if tc.then == "" {
				assert.Equal(t, codeOf(t, err), result.ConfigNoObject)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, o.Status, tc.then)
		})
	}
}

func TestAskingAgainWhileLogIsDownIsUnknown(t *testing.T) {
	log, s := loaded(t)
	log.set(func(l *fakeLog) { l.down = true })
	_, err := s.Find(context.Background(), "second")
	assert.Equal(t, codeOf(t, err), result.ConfigUnknown)
}

func TestSameChangeAgainTakesEffectOnce(t *testing.T) {
	log, s := loaded(t)
	log.set(func(l *fakeLog) { l.late = true })
	c := weightChange(s.Current(), "second", "2")
	_, err := submitBriefly(s, c)
	assert.Equal(t, codeOf(t, err), result.ConfigUnknown)
	log.set(func(l *fakeLog) { l.late = false })
	first := submitted(t, s, c)
	assert.Equal(t, first.Status, configlog.Accepted)
	log.set((*fakeLog).release)
	assert.NilError(t, s.CatchUp(context.Background(), 0))
	o, err := s.Find(context.Background(), "second")
	assert.NilError(t, err)
	assert.Equal(t, o.Offset, first.Offset)
	assert.Equal(t, submitted(t, s, c).Offset, first.Offset)
}

func TestWithdrawalSettlesAnUnknownChange(t *testing.T) {
	log, s := loaded(t)
	after := s.Current().Offset
	log.set(func(l *fakeLog) { l.late = true })
	_, err := submitBriefly(s, weightChange(s.Current(), "second", "2"))
	assert.Equal(t, codeOf(t, err), result.ConfigUnknown)
	log.set(func(l *fakeLog) { l.late = false })
	o := submitted(t, s, &configlog.Change{ID: "second", BaseOffset: after, Withdraw: true})
	assert.Equal(t, o.Status, configlog.Withdrawn)
	log.set((*fakeLog).release)
	assert.NilError(t, s.CatchUp(context.Background(), 0))
	assert.Equal(t, s.Current().Schema.Customer("petra-build").Weight, 1)
}

func TestOneOfRacingOperatorsWins(t *testing.T) {
	log, s := loaded(t)
	const operators = 8
	statuses := make([]configlog.Status, operators)
	var all sync.WaitGroup
	for i := range operators {
		own := newSync(log)
		assert.NilError(t, own.CatchUp(context.Background(), 0))
		c := weightChange(s.Current(), fmt.Sprintf("c%d", i), fmt.Sprint(i+2))
		all.Go(func() {
			o, err := own.Submit(context.Background(), c)
			if err == nil {
				statuses[i] = o.Status
			}
		})
	}
	all.Wait()
	count := map[configlog.Status]int{}
	for _, st := range statuses {
		count[st]++
	}
	assert.DeepEqual(t, count, map[configlog.Status]int{configlog.Accepted: 1, configlog.Conflict: operators - 1})
}

func TestOutageEndsWithoutOperator(t *testing.T) {
	c := newCluster(t)
	first := c.start()
	c.start()
	o := submitted(t, first, exampleChange(t, "first"))
	c.eventually(o.Offset)
	next := weightChange(first.Current(), "second", "2")
	next.BaseOffset = first.Current().Offset
	data, err := configlog.EncodeChange(next)
	assert.NilError(t, err)
	c.log.set(func(l *fakeLog) { l.down = true })
	c.start()
	c.eventually(o.Offset)
	c.log.set(func(l *fakeLog) { l.add(data); l.down = false })
	c.eventually(o.Offset + 1)
}

func TestDifferentContentIsAnAlarmAndNoState(t *testing.T) {
	log, s := loaded(t)
	other := newSync(newFakeLog())
	c := exampleChange(t, "first")
	c.Edits = c.Edits[:len(c.Edits)-2]
	for i := range c.Edits {
		if c.Edits[i].Object == "customer/petra-build" {
			c.Edits = append(c.Edits[:i], c.Edits[i+1:]...)
			break
		}
	}
	submitted(t, other, c)
	assert.Equal(t, other.Current().Offset, s.Current().Offset)
	forged, err := other.Current().EncodeCheckpoint()
	assert.NilError(t, err)
	before := s.Current().Digest()
	log.set(func(l *fakeLog) { l.add(forged) })
	assert.NilError(t, s.CatchUp(context.Background(), 0))
	assert.Equal(t, s.Alarms(), uint64(1))
	assert.Equal(t, s.Current().Digest(), before)
	s.compare("peer", 1, other.Current().Digest())
	assert.Equal(t, s.Alarms(), uint64(2))
	log.set(func(l *fakeLog) { l.records = l.records[:1] })
	assert.NilError(t, s.CatchUp(context.Background(), 0))
	assert.Equal(t, s.Alarms(), uint64(3))
	assert.Equal(t, s.Current().Digest(), before)
}

func TestTruncatedLogWithoutCheckpointSaysSo(t *testing.T) {
	log, s := loaded(t)
	log.set(func(l *fakeLog) { l.expire(time.Now().Add(time.Hour)) })
	fresh := newSync(log)
	assert.ErrorContains(t, fresh.CatchUp(context.Background(), 0), "no checkpoint kept")
	state, err := s.reply(&wire.ExchangeRequest{WantState: true})
	assert.NilError(t, err)
	fresh.takeState(state)
	assert.Equal(t, fresh.Current().Digest(), s.Current().Digest())
	assert.NilError(t, fresh.CatchUp(context.Background(), 0))
}

// TestRetention runs the log over many retention periods with changes, quiet
// times, restarts, outages and duplicate checkpoints: a new instance can start at
// any time from the log alone.
func TestRetention(t *testing.T) {
	const retention, step, steps = 24 * time.Hour, 2 * time.Hour, 12 * 20
	rng := rand.New(rand.NewPCG(1, 2))
	log := newFakeLog()
	log.now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := newSync(log)
	submitted(t, s, exampleChange(t, "first"))
	ctx := context.Background()
	checkpoints := 0
	for i := range steps {
		log.set(func(l *fakeLog) { l.now = l.now.Add(step); l.expire(l.now.Add(-retention)) })
		fresh := newSync(log)
		assert.NilError(t, fresh.CatchUp(ctx, 0), "step %d", i)
		assert.NilError(t, s.CatchUp(ctx, 0))
		assert.Equal(t, fresh.Current().Offset, s.Current().Offset)
		assert.Equal(t, fresh.Current().Digest(), s.Current().Digest())
		if rng.IntN(10) == 0 {
			s = fresh
		}
		for range rng.IntN(2) * rng.IntN(2) * rng.IntN(8) {
			o := submitted(t, s, weightChange(s.Current(), fmt.Sprintf("c%d-%d", i, rng.Uint64()), fmt.Sprint(1+rng.IntN(99))))
			assert.Equal(t, o.Status, configlog.Accepted)
		}
		before := s.Current().Offset
		_, err := s.keepCheckpoint(ctx, log.now)
		assert.NilError(t, err)
		assert.NilError(t, s.CatchUp(ctx, 0))
		checkpoints += int(s.Current().Offset - before)
		if rng.IntN(20) == 0 {
			data, err := s.Current().EncodeCheckpoint()
			assert.NilError(t, err)
			log.set(func(l *fakeLog) { l.add(data); l.add(data) })
		}
	}
	assert.Equal(t, s.Alarms(), uint64(0))
	t.Logf("%d checkpoints in %d retention periods", checkpoints, steps*int(step)/int(retention))
	assert.Assert(t, checkpoints <= 3*steps*int(step)/int(retention)+8, "%d checkpoints", checkpoints)
}

func TestReadShareKeepsReadsConstant(t *testing.T) {
	for _, n := range []int{1, 3, 10, 150, 3060} {
		assert.Assert(t, readShare(n)*float64(n) <= readsPerSecond+1e-9, "%d instances", n)
	}
}

func TestOlderStateIsNotTaken(t *testing.T) {
	log, s := loaded(t)
	old := s.Current()
	assert.Equal(t, submitted(t, s, weightChange(old, "second", "2")).Status, configlog.Accepted)
	assert.Assert(t, !s.install(old))
	s.fold(log.records)
	assert.Equal(t, s.Current().Offset, old.Offset+1)
	assert.Equal(t, s.Current().Schema.Customer("petra-build").Weight, 2)
}

// silentLog never answers.
type silentLog struct{ platform.Log }

func (silentLog) Read(ctx context.Context, _ string, _ uint64, _ int, _ time.Duration) (platform.Batch, error) {
	<-ctx.Done()
	return platform.Batch{}, platform.ErrUnavailable
}

func TestNewInstanceTakesStateFromPeerWhileLogIsSilent(t *testing.T) {
	c := newCluster(t)
	o := submitted(t, c.start(), exampleChange(t, "first"))
	s := c.startWith(silentLog{}, false)
	assert.NilError(t, s.WaitReady(c.ctx))
	c.eventually(o.Offset)
}

// TestSilentPeerIsPassedOver checks that a peer which accepts connections and
// never answers does not keep others from learning.
func TestSilentPeerIsPassedOver(t *testing.T) {
	c := newCluster(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = lis.Close() }()
	c.mu.Lock()
	c.addrs = append(c.addrs, lis.Addr().String())
	c.mu.Unlock()
	for range 3 {
		c.start()
	}
	o := submitted(t, c.syncs[0], exampleChange(t, "first"))
	c.eventually(o.Offset)
}

// silentPeer takes requests and never answers.
type silentPeer struct {
	wire.DRPCPeerUnimplementedServer
}

func (silentPeer) Exchange(ctx context.Context, _ *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestSilentNeighborDoesNotHoldUpPushes tells a peer of two changes in turn while
// a meeting with a silent neighbor goes on.
func TestSilentNeighborDoesNotHoldUpPushes(t *testing.T) {
	c := newCluster(t)
	silent := c.listen(silentPeer{})
	from, to := c.serve(c.log, true), c.serve(c.log, true)
	from.opts.Peers = func() []string { return []string{silent, to.opts.Address} }
	from.timeout = time.Hour
	ended := make(chan struct{})
	go func() { from.pushLoop(c.ctx); close(ended) }()
	o := submitted(t, from, exampleChange(t, "first"))
	c.eventually(o.Offset)
	o = submitted(t, from, weightChange(from.Current(), "second", "2"))
	c.eventually(o.Offset)
	c.stop()
	<-ended
}
