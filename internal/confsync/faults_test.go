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

// newSync returns a Sync without peers whose loops do not run.
func newSync(log platform.Log) *Sync {
	return New(Options{Log: log, Peers: func() []string { return nil }, InstanceID: "test", Logger: logr.Discard()})
}

// newLoadedSync returns a log that holds the example schema, and a Sync that applied it.
func newLoadedSync(t *testing.T) (*fakeLog, *Sync) {
	log := newFakeLog()
	s := newSync(log)
	assert.Equal(t, mustSubmit(t, s, exampleChange(t, "first")).Status, configlog.Accepted)
	return log, s
}

func codeOf(t *testing.T, err error) result.Code {
	t.Helper()
	var coded *result.Error
	assert.Assert(t, errors.As(err, &coded), "%v", err)
	return coded.Code
}

// submitWithShortTimeout submits a change and waits only briefly for its outcome.
func submitWithShortTimeout(s *Sync, c *configlog.Change) (configlog.Outcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*outcomePollInterval)
	defer cancel()
	return s.Submit(ctx, c)
}

// TestSubmitUnderFaults submits a change while the log has a fault, ends the fault and
// looks up the outcome of the change.
func TestSubmitUnderFaults(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(*fakeLog)
		// code is the error code of Submit; OK means that the change was accepted.
		code result.Code
		// endFault ends the fault; statusAfter is the status of the change after that, or empty
		// if the change is not in the log.
		endFault    func(*fakeLog)
		statusAfter configlog.Status
	}{
		{"none", func(*fakeLog) {}, result.OK, func(*fakeLog) {}, configlog.Accepted},
		{"lost response", func(l *fakeLog) { l.loseResponses = true }, result.OK, func(*fakeLog) {}, configlog.Accepted},
		{"log unavailable", func(l *fakeLog) { l.unavailable = true }, result.ConfigUnavailable, func(l *fakeLog) { l.unavailable = false }, ""},
		{"delayed append", func(l *fakeLog) { l.delayAppends = true }, result.ConfigUnknown, (*fakeLog).deliverDelayed, configlog.Accepted},
		{"lost append", func(l *fakeLog) { l.delayAppends = true }, result.ConfigUnknown, func(l *fakeLog) { l.delayed = nil }, ""},
		{"append delayed until after another change", func(l *fakeLog) { l.delayAppends = true }, result.ConfigUnknown, func(l *fakeLog) {
			other := newSync(l)
			_ = other.CatchUp(context.Background(), 0)
			c := weightChange(other.Current(), "other", "5")
			c.BaseOffset = other.Current().Offset
			data, _ := configlog.EncodeChange(c)
			l.appendRecord(data)
			l.deliverDelayed()
		}, configlog.Conflict},
	} {
		t.Run(tc.name, func(t *testing.T) {
			log, s := newLoadedSync(t)
			log.update(tc.fault)
			o, err := submitWithShortTimeout(s, weightChange(s.Current(), "second", "2"))
			if tc.code == result.OK {
				assert.NilError(t, err)
				assert.Equal(t, o.Status, configlog.Accepted)
			} else {
				assert.Equal(t, codeOf(t, err), tc.code)
			}
			if tc.name == "append delayed until after another change" {
				tc.endFault(log)
			} else {
				log.update(tc.endFault)
			}
			o, err = s.Find(context.Background(), "second")
			if tc.statusAfter == "" {
				assert.Equal(t, codeOf(t, err), result.ConfigNoObject)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, o.Status, tc.statusAfter)
		})
	}
}

func TestFindOutcomeWhileLogIsUnavailable(t *testing.T) {
	log, s := newLoadedSync(t)
	log.update(func(l *fakeLog) { l.unavailable = true })
	_, err := s.Find(context.Background(), "second")
	assert.Equal(t, codeOf(t, err), result.ConfigUnknown)
}

// TestRepeatedChangeTakesEffectOnce submits a change again whose first append is delayed
// until after the second.
func TestRepeatedChangeTakesEffectOnce(t *testing.T) {
	log, s := newLoadedSync(t)
	log.update(func(l *fakeLog) { l.delayAppends = true })
	c := weightChange(s.Current(), "second", "2")
	_, err := submitWithShortTimeout(s, c)
	assert.Equal(t, codeOf(t, err), result.ConfigUnknown)
	log.update(func(l *fakeLog) { l.delayAppends = false })
	first := mustSubmit(t, s, c)
	assert.Equal(t, first.Status, configlog.Accepted)
	log.update((*fakeLog).deliverDelayed)
	assert.NilError(t, s.CatchUp(context.Background(), 0))
	o, err := s.Find(context.Background(), "second")
	assert.NilError(t, err)
	assert.Equal(t, o.Offset, first.Offset)
	assert.Equal(t, mustSubmit(t, s, c).Offset, first.Offset)
}

// TestWithdrawalResolvesUnknownOutcome withdraws a change whose append is delayed until
// after the withdrawal.
func TestWithdrawalResolvesUnknownOutcome(t *testing.T) {
	log, s := newLoadedSync(t)
	after := s.Current().Offset
	log.update(func(l *fakeLog) { l.delayAppends = true })
	_, err := submitWithShortTimeout(s, weightChange(s.Current(), "second", "2"))
	assert.Equal(t, codeOf(t, err), result.ConfigUnknown)
	log.update(func(l *fakeLog) { l.delayAppends = false })
	o := mustSubmit(t, s, &configlog.Change{ID: "second", BaseOffset: after, Withdraw: true})
	assert.Equal(t, o.Status, configlog.Withdrawn)
	log.update((*fakeLog).deliverDelayed)
	assert.NilError(t, s.CatchUp(context.Background(), 0))
	assert.Equal(t, s.Current().Schema.Customer("petra-build").Weight, 1)
}

func TestOneOfConcurrentChangesIsAccepted(t *testing.T) {
	log, s := newLoadedSync(t)
	const operators = 8
	statuses := make([]configlog.Status, operators)
	var wg sync.WaitGroup
	for i := range operators {
		operator := newSync(log)
		assert.NilError(t, operator.CatchUp(context.Background(), 0))
		c := weightChange(s.Current(), fmt.Sprintf("c%d", i), fmt.Sprint(i+2))
		wg.Go(func() {
			o, err := operator.Submit(context.Background(), c)
			if err == nil {
				statuses[i] = o.Status
			}
		})
	}
	wg.Wait()
	count := map[configlog.Status]int{}
	for _, st := range statuses {
		count[st]++
	}
	assert.DeepEqual(t, count, map[configlog.Status]int{configlog.Accepted: 1, configlog.Conflict: operators - 1})
}

// TestSyncRecoversFromLogOutage checks that an instance which starts during an outage of
// the log gets the state from a peer, and that all apply a change once the log is back.
func TestSyncRecoversFromLogOutage(t *testing.T) {
	c := newCluster(t)
	first := c.start()
	c.start()
	o := mustSubmit(t, first, exampleChange(t, "first"))
	c.waitForOffset(o.Offset)
	next := weightChange(first.Current(), "second", "2")
	next.BaseOffset = first.Current().Offset
	data, err := configlog.EncodeChange(next)
	assert.NilError(t, err)
	c.log.update(func(l *fakeLog) { l.unavailable = true })
	c.start()
	c.waitForOffset(o.Offset)
	c.log.update(func(l *fakeLog) { l.appendRecord(data); l.unavailable = false })
	c.waitForOffset(o.Offset + 1)
}

// TestDigestMismatchIsReported checks that a different checkpoint in the log, a different
// digest of a peer and a log that became shorter are counted and change nothing.
func TestDigestMismatchIsReported(t *testing.T) {
	log, s := newLoadedSync(t)
	other := newSync(newFakeLog())
	c := exampleChange(t, "first")
	c.Edits = c.Edits[:len(c.Edits)-2]
	for i := range c.Edits {
		if c.Edits[i].Object == "customer/petra-build" {
			c.Edits = append(c.Edits[:i], c.Edits[i+1:]...)
			break
		}
	}
	mustSubmit(t, other, c)
	assert.Equal(t, other.Current().Offset, s.Current().Offset)
	forged, err := other.Current().EncodeCheckpoint()
	assert.NilError(t, err)
	before := s.Current().Digest()
	log.update(func(l *fakeLog) { l.appendRecord(forged) })
	assert.NilError(t, s.CatchUp(context.Background(), 0))
	assert.Equal(t, s.DigestMismatches(), uint64(1))
	assert.Equal(t, s.Current().Digest(), before)
	s.compareDigest("peer", 1, other.Current().Digest())
	assert.Equal(t, s.DigestMismatches(), uint64(2))
	log.update(func(l *fakeLog) { l.records = l.records[:1] })
	assert.NilError(t, s.CatchUp(context.Background(), 0))
	assert.Equal(t, s.DigestMismatches(), uint64(3))
	assert.Equal(t, s.Current().Digest(), before)
}

func TestTruncatedLogWithoutCheckpointIsAnError(t *testing.T) {
	log, s := newLoadedSync(t)
	log.update(func(l *fakeLog) { l.dropBefore(time.Now().Add(time.Hour)) })
	fresh := newSync(log)
	assert.ErrorContains(t, fresh.CatchUp(context.Background(), 0), "no checkpoint left")
	state, err := s.newReply(&wire.ExchangeRequest{WantState: true})
	assert.NilError(t, err)
	fresh.installState(state)
	assert.Equal(t, fresh.Current().Digest(), s.Current().Digest())
	assert.NilError(t, fresh.CatchUp(context.Background(), 0))
}

// TestRetention runs a log over many retention periods with changes, idle times,
// restarts and duplicate checkpoints. It checks that a new instance can start from the
// log alone at any time.
func TestRetention(t *testing.T) {
	const retention, step, steps = 24 * time.Hour, 2 * time.Hour, 12 * 20
	rng := rand.New(rand.NewPCG(1, 2))
	log := newFakeLog()
	log.clock = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := newSync(log)
	mustSubmit(t, s, exampleChange(t, "first"))
	ctx := context.Background()
	checkpoints := 0
	for i := range steps {
		log.update(func(l *fakeLog) { l.clock = l.clock.Add(step); l.dropBefore(l.clock.Add(-retention)) })
		fresh := newSync(log)
		assert.NilError(t, fresh.CatchUp(ctx, 0), "step %d", i)
		assert.NilError(t, s.CatchUp(ctx, 0))
		assert.Equal(t, fresh.Current().Offset, s.Current().Offset)
		assert.Equal(t, fresh.Current().Digest(), s.Current().Digest())
		if rng.IntN(10) == 0 {
			s = fresh
		}
		for range rng.IntN(2) * rng.IntN(2) * rng.IntN(8) {
			o := mustSubmit(t, s, weightChange(s.Current(), fmt.Sprintf("c%d-%d", i, rng.Uint64()), fmt.Sprint(1+rng.IntN(99))))
			assert.Equal(t, o.Status, configlog.Accepted)
		}
		before := s.Current().Offset
		_, err := s.appendCheckpointIfDue(ctx, log.clock)
		assert.NilError(t, err)
		assert.NilError(t, s.CatchUp(ctx, 0))
		checkpoints += int(s.Current().Offset - before)
		if rng.IntN(20) == 0 {
			data, err := s.Current().EncodeCheckpoint()
			assert.NilError(t, err)
			log.update(func(l *fakeLog) { l.appendRecord(data); l.appendRecord(data) })
		}
	}
	assert.Equal(t, s.DigestMismatches(), uint64(0))
	t.Logf("%d checkpoints in %d retention periods", checkpoints, steps*int(step)/int(retention))
	assert.Assert(t, checkpoints <= 3*steps*int(step)/int(retention)+8, "%d checkpoints", checkpoints)
}

func TestReadProbabilityBoundsTotalReads(t *testing.T) {
	for _, n := range []int{1, 3, 10, 150, 3060} {
		assert.Assert(t, readProbability(n)*float64(n) <= readsPerSecond+1e-9, "%d instances", n)
	}
}

func TestOlderSnapshotIsNotInstalled(t *testing.T) {
	log, s := newLoadedSync(t)
	old := s.Current()
	assert.Equal(t, mustSubmit(t, s, weightChange(old, "second", "2")).Status, configlog.Accepted)
	assert.Assert(t, !s.installSnapshot(old))
	s.applyRecords(log.records)
	assert.Equal(t, s.Current().Offset, old.Offset+1)
	assert.Equal(t, s.Current().Schema.Customer("petra-build").Weight, 2)
}

// unresponsiveLog blocks reads until the context ends.
type unresponsiveLog struct{ platform.Log }

func (unresponsiveLog) Read(ctx context.Context, _ string, _ uint64, _ int, _ time.Duration) (platform.Batch, error) {
	<-ctx.Done()
	return platform.Batch{}, platform.ErrUnavailable
}

func TestNewInstanceGetsStateFromPeerWhileLogIsUnresponsive(t *testing.T) {
	c := newCluster(t)
	o := mustSubmit(t, c.start(), exampleChange(t, "first"))
	s := c.startWith(unresponsiveLog{}, false)
	assert.NilError(t, s.WaitReady(c.ctx))
	c.waitForOffset(o.Offset)
}

// TestUnresponsivePeerDoesNotDelayOthers checks that a peer which accepts connections and
// never responds does not keep others from receiving a change.
func TestUnresponsivePeerDoesNotDelayOthers(t *testing.T) {
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
	o := mustSubmit(t, c.syncs[0], exampleChange(t, "first"))
	c.waitForOffset(o.Offset)
}

// unresponsivePeer accepts requests and never responds.
type unresponsivePeer struct {
	wire.DRPCPeerUnimplementedServer
}

func (unresponsivePeer) Exchange(ctx context.Context, _ *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestUnresponsiveNeighborDoesNotDelayPushes pushes two changes in turn to a peer while
// an exchange with an unresponsive neighbor is in progress.
func TestUnresponsiveNeighborDoesNotDelayPushes(t *testing.T) {
	c := newCluster(t)
	unresponsive := c.listen(unresponsivePeer{})
	from, to := c.serve(c.log, true), c.serve(c.log, true)
	from.opts.Peers = func() []string { return []string{unresponsive, to.opts.Address} }
	from.timeout = time.Hour
	ended := make(chan struct{})
	go func() { from.pushLoop(c.ctx); close(ended) }()
	o := mustSubmit(t, from, exampleChange(t, "first"))
	c.waitForOffset(o.Offset)
	o = mustSubmit(t, from, weightChange(from.Current(), "second", "2"))
	c.waitForOffset(o.Offset)
	c.stop()
	<-ended
}
