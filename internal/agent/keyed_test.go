package agent

import (
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
	"github.com/magnoliawheel/magnoliawheel/test/standin"
	"github.com/magnoliawheel/magnoliawheel/test/standin/service"
)

// newKey returns a new idempotency key.
func newKey(t testing.TB) string {
	key, err := uuid.NewV7()
	assert.NilError(t, err)
	return key.String()
}

// keyedRequest returns a request for a call that is not idempotent and has an
// idempotency key.
func (f *fixture) keyedRequest(request, key string) *wire.RunRequest {
	req := f.runRequest(request)
	req.Call, req.Idempotent, req.IdempotencyKey, req.Digest = "file-submittal", false, key, 7
	return req
}

// startAgentsSharingLog starts n agents that share one plain service and one
// log.
func startAgentsSharingLog(t testing.TB, n int, log *fakeLog, c service.Config) (*standin.Server, []*fixture) {
	srv := startService(t, c)
	var agents []*fixture
	for i := range n {
		agents = append(agents, startAgentWith(t, testSettings(t, string(rune('a'+i)), "http://"+srv.Addr()), log, emptyConfig{}))
	}
	return srv, agents
}

// TestKeyRunsOnce checks that a key is run once, and that duplicates get the kept
// result at the holder and a reference to the holder elsewhere.
func TestKeyRunsOnce(t *testing.T) {
	log := newFakeLog()
	srv, agents := startAgentsSharingLog(t, 2, log, service.Config{})
	a, b := agents[0], agents[1]
	key := newKey(t)
	first := a.run(t, a.keyedRequest("e1~1", key))
	assert.DeepEqual(t, first.events, []string{"accepted attached=false", "done 1"})

	// A duplicate that arrives at the same agent through another entry gets the
	// kept result, even after the first caller acknowledged it.
	a.ack(t, a.keyedRequest("e1~1", key))
	again := a.run(t, a.keyedRequest("e2~1", key))
	assert.DeepEqual(t, again.events, []string{"accepted attached=true", "done 1"})
	assert.Equal(t, again.text, first.text)
	assert.Equal(t, again.accepted.Holder.RequestId, "e1~1")

	// The same holds while the log is unavailable and the agent is leaving.
	log.configure(func(l *fakeLog) { l.unavailable = true })
	a.worker.setLeaving(leavingOrdered, true)
	again = a.run(t, a.keyedRequest("e2~4", key))
	assert.DeepEqual(t, again.events, []string{"accepted attached=true", "done 1"})
	a.worker.setLeaving(leavingOrdered, false)
	log.configure(func(l *fakeLog) { l.unavailable = false })

	// Another agent refuses the duplicate and names the holder.
	duplicate := b.run(t, b.keyedRequest("e2~2", key))
	assert.Equal(t, result.Code(duplicate.refused.Code), result.ClaimLost)
	h := duplicate.refused.Holder
	assert.Equal(t, h.Address, a.address)
	assert.Equal(t, h.Incarnation, a.incarnation)
	assert.Equal(t, a.attach(t, h.Attempt, 1).text, first.text)

	// The state of a duplicate is that of the attempt that holds the key.
	assert.Equal(t, a.cancel(t, a.keyedRequest("e2~1", key).Attempt), wire.AttemptState_ATTEMPT_STATE_FINISHED)
	assert.Equal(t, b.cancel(t, b.keyedRequest("e2~2", key).Attempt), wire.AttemptState_ATTEMPT_STATE_UNKNOWN_HERE)

	reused := a.keyedRequest("e1~3", key)
	reused.Digest++
	r := a.run(t, reused)
	assert.Equal(t, result.Code(r.refused.Code), result.KeyReused)
	assert.Equal(t, r.refused.Ran, wire.Ran_RAN_NO)
	assert.Equal(t, len(srv.Recorder.Executions()), 1)
}

// TestOwnClaimsAreNotReadBack checks that an agent reads a claim stream only if
// it may contain records of other agents.
func TestOwnClaimsAreNotReadBack(t *testing.T) {
	log := newFakeLog()
	srv, agents := startAgentsSharingLog(t, 2, log, service.Config{})
	var key string
	for i := range 20 {
		key = newKey(t)
		a := agents[0].run(t, agents[0].keyedRequest("e~"+string(rune('a'+i)), key))
		assert.Assert(t, a.done != nil, "%v", a.events)
	}
	assert.Equal(t, log.readCount(), 0)
	duplicate := agents[1].run(t, agents[1].keyedRequest("f~1", key))
	assert.Equal(t, result.Code(duplicate.refused.Code), result.ClaimLost)
	assert.Assert(t, log.readCount() > 0)
	assert.Equal(t, len(srv.Recorder.Executions()), 20)
}

func TestConcurrentDuplicatesRunOnce(t *testing.T) {
	log := newFakeLog()
	srv, agents := startAgentsSharingLog(t, 3, log, service.Config{CallDuration: 5 * time.Millisecond})
	key := newKey(t)
	var wg sync.WaitGroup
	for i := range 12 {
		f := agents[i%3]
		wg.Go(func() {
			a := f.run(t, f.keyedRequest("e~"+string(rune('a'+i)), key))
			if a.refused != nil {
				assert.Check(t, result.Code(a.refused.Code) == result.ClaimLost, "%v", a.events)
			}
		})
	}
	wg.Wait()
	assert.Equal(t, len(srv.Recorder.Executions()), 1)
}

// TestClaimFaults checks that a call does not run if its claim cannot be recorded or
// read, and that a retry with the same key runs once the log works again.
func TestClaimFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault func(*fakeLog)
		code  result.Code
		after func(*fakeLog)
	}{
		{"log down", func(l *fakeLog) { l.unavailable = true }, result.ClaimUnavailable, func(l *fakeLog) { l.unavailable = false }},
		{"answer lost", func(l *fakeLog) { l.lostAnswers = 1 }, result.OK, func(*fakeLog) {}},
		{"answer lost and reads down", func(l *fakeLog) { l.lostAnswers, l.readsFail = 1, true }, result.ClaimUnavailable, func(l *fakeLog) { l.readsFail = false }},
		{"written late", func(l *fakeLog) { l.delayedAppends = 1000 }, result.ClaimUnavailable, func(l *fakeLog) { l.delayedAppends = 0 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			log := newFakeLog()
			srv, agents := startAgentsSharingLog(t, 1, log, service.Config{})
			f := agents[0]
			key := newKey(t)
			log.configure(c.fault)
			a := f.run(t, f.keyedRequest("e~1", key))
			if c.code == result.OK {
				assert.Assert(t, a.done != nil, "%v", a.events)
			} else {
				assert.Equal(t, result.Code(a.refused.Code), c.code)
				assert.Equal(t, a.refused.Ran, wire.Ran_RAN_NO)
				assert.Assert(t, a.refused.RetryAfterUs > 0)
				assert.Equal(t, len(srv.Recorder.Executions()), 0)
			}
			log.configure(c.after)
			waitFor(t, func() bool { return f.worker.claimer.pendingReleaseCount() == 0 })
			log.applyDelayed()
			// The caller retries with the same key.
			again := f.run(t, f.keyedRequest("e~2", key))
			assert.Assert(t, again.done != nil, "%v", again.events)
			assert.Equal(t, len(srv.Recorder.Executions()), 1)
		})
	}
}

func TestKeyChecks(t *testing.T) {
	srv, agents := startAgentsSharingLog(t, 1, newFakeLog(), service.Config{})
	f := agents[0]
	keyMintedAt := func(d time.Duration) string {
		u := uuid.Must(uuid.NewV7())
		ms := time.Now().Add(d).UnixMilli()
		for i := range 6 {
			u[i] = byte(ms >> (8 * (5 - i)))
		}
		return u.String()
	}
	cases := []struct {
		name, key string
		code      result.Code
		ran       wire.Ran
	}{
		{"future", keyMintedAt(time.Hour), result.KeyFromFuture, wire.Ran_RAN_NO},
		{"expired", keyMintedAt(-time.Hour), result.KeyExpired, wire.Ran_RAN_UNKNOWN},
		{"not a UUIDv7", uuid.NewString(), result.BadKey, wire.Ran_RAN_NO},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := f.run(t, f.keyedRequest("e~"+c.name, c.key))
			assert.Equal(t, result.Code(a.refused.Code), c.code)
			assert.Equal(t, a.refused.Ran, c.ran)
		})
	}
	assert.Equal(t, len(srv.Recorder.Executions()), 0)
}

// TestKeyHeldByEarlierProcess checks that a new process of the same instance
// does not run a key that was held by the earlier one, whose outcome it cannot
// know.
func TestKeyHeldByEarlierProcess(t *testing.T) {
	log := newFakeLog()
	srv, agents := startAgentsSharingLog(t, 1, log, service.Config{})
	key := newKey(t)
	a := agents[0].run(t, agents[0].keyedRequest("e~1", key))
	assert.Assert(t, a.done != nil)
	next := startAgentWith(t, testSettings(t, "a", "http://"+srv.Addr()), log, emptyConfig{})
	refusal := next.run(t, next.keyedRequest("e~2", key))
	assert.Equal(t, result.Code(refusal.refused.Code), result.HolderGone)
	assert.Equal(t, refusal.refused.Ran, wire.Ran_RAN_UNKNOWN)
	assert.Equal(t, len(srv.Recorder.Executions()), 1)
}

// TestCallNotRunReleasesItsKey checks that the key of a call which the server
// did not execute can be claimed again.
func TestCallNotRunReleasesItsKey(t *testing.T) {
	log := newFakeLog()
	srv, agents := startAgentsSharingLog(t, 2, log, service.Config{Faults: standin.Faults{NotRun: true}})
	key := newKey(t)
	a := agents[0].run(t, agents[0].keyedRequest("e~1", key))
	assert.Equal(t, a.failed.Ran, wire.Ran_RAN_NO)
	waitFor(t, func() bool { return log.recordCount() == 2 })
	_, err := srv.Switches.Apply([]byte(`{"not_run":false}`))
	assert.NilError(t, err)
	b := agents[1].run(t, agents[1].keyedRequest("e~2", key))
	assert.Assert(t, b.done != nil, "%v", b.events)
	assert.Equal(t, len(srv.Recorder.Executions()), 1)
}
