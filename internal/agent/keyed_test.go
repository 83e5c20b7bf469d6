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

func newKey(t testing.TB) string {
	key, err := uuid.NewV7()
	assert.NilError(t, err)
	return key.String()
}

func (f *fixture) filing(request, key string) *wire.RunRequest {
	req := f.runRequest(request)
	req.Call, req.Idempotent, req.IdempotencyKey, req.Digest = "file-submittal", false, key, 7
	return req
}

// filingAgents returns agents before one plain service, with one log.
func filingAgents(t testing.TB, n int, log *fakeLog, c service.Config) (*standin.Server, []*fixture) {
	srv := startService(t, c)
	var agents []*fixture
	for i := range n {
		agents = append(agents, startWith(t, testSettings(t, string(rune('a'+i)), "http://"+srv.Addr()), log, noConfig{}))
	}
	return srv, agents
}

func TestKeyRunsOnce(t *testing.T) {
	log := newFakeLog()
	srv, agents := filingAgents(t, 2, log, service.Config{})
	a, b := agents[0], agents[1]
	key := newKey(t)
	first := a.run(t, a.filing("e1~1", key))
	assert.DeepEqual(t, first.events, []string{"accepted attached=false", "done 1"})

	// A copy through another entry at the same agent gets the kept result, also
	// after the first was acknowledged.
	a.ack(t, a.filing("e1~1", key))
	again := a.run(t, a.filing("e2~1", key))
	assert.DeepEqual(t, again.events, []string{"accepted attached=true", "done 1"})
	assert.Equal(t, again.text, first.text)
	assert.Equal(t, again.accepted.Holder.RequestId, "e1~1")

	// The same holds while the log is down, and while the agent leaves.
	log.set(func(l *fakeLog) { l.down = true })
	a.work.setLeaving(leavingOrdered, true)
	again = a.run(t, a.filing("e2~4", key))
	assert.DeepEqual(t, again.events, []string{"accepted attached=true", "done 1"})
	a.work.setLeaving(leavingOrdered, false)
	log.set(func(l *fakeLog) { l.down = false })

	// Another agent names the holder.
	lost := b.run(t, b.filing("e2~2", key))
	assert.Equal(t, result.Code(lost.refused.Code), result.ClaimLost)
	h := lost.refused.Holder
	assert.Equal(t, h.Address, a.addr)
	assert.Equal(t, h.Incarnation, a.incarnation)
	assert.Equal(t, a.attach(t, h.Attempt, 1).text, first.text)

	// The state of a copy is that of the work, which ran.
	assert.Equal(t, a.cancel(t, a.filing("e2~1", key).Attempt), wire.AttemptState_ATTEMPT_STATE_FINISHED)
	assert.Equal(t, b.cancel(t, b.filing("e2~2", key).Attempt), wire.AttemptState_ATTEMPT_STATE_UNKNOWN_HERE)

	reused := a.filing("e1~3", key)
	reused.Digest++
	r := a.run(t, reused)
	assert.Equal(t, result.Code(r.refused.Code), result.KeyReused)
	assert.Equal(t, r.refused.Ran, wire.Ran_RAN_NO)
	assert.Equal(t, len(srv.Recorder.Executions()), 1)
}

// TestOwnClaimsAreNotRead checks that a claim stream is read only when there may
// be records of others in it.
func TestOwnClaimsAreNotRead(t *testing.T) {
	log := newFakeLog()
	srv, agents := filingAgents(t, 2, log, service.Config{})
	var key string
	for i := range 20 {
		key = newKey(t)
		a := agents[0].run(t, agents[0].filing("e~"+string(rune('a'+i)), key))
		assert.Assert(t, a.done != nil, "%v", a.events)
	}
	assert.Equal(t, log.readCount(), 0)
	copied := agents[1].run(t, agents[1].filing("f~1", key))
	assert.Equal(t, result.Code(copied.refused.Code), result.ClaimLost)
	assert.Assert(t, log.readCount() > 0)
	assert.Equal(t, len(srv.Recorder.Executions()), 20)
}

func TestConcurrentCopiesRunOnce(t *testing.T) {
	log := newFakeLog()
	srv, agents := filingAgents(t, 3, log, service.Config{CallDuration: 5 * time.Millisecond})
	key := newKey(t)
	var wg sync.WaitGroup
	for i := range 12 {
		f := agents[i%3]
		wg.Go(func() {
			a := f.run(t, f.filing("e~"+string(rune('a'+i)), key))
			if a.refused != nil {
				assert.Check(t, result.Code(a.refused.Code) == result.ClaimLost, "%v", a.events)
			}
		})
	}
	wg.Wait()
	assert.Equal(t, len(srv.Recorder.Executions()), 1)
}

func TestClaimFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault func(*fakeLog)
		code  result.Code
		after func(*fakeLog)
	}{
		{"log down", func(l *fakeLog) { l.down = true }, result.ClaimUnavailable, func(l *fakeLog) { l.down = false }},
		{"answer lost", func(l *fakeLog) { l.drop = 1 }, result.OK, func(*fakeLog) {}},
		{"answer lost and reads down", func(l *fakeLog) { l.drop, l.readsDown = 1, true }, result.ClaimUnavailable, func(l *fakeLog) { l.readsDown = false }},
		{"written late", func(l *fakeLog) { l.late = 1000 }, result.ClaimUnavailable, func(l *fakeLog) { l.late = 0 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			log := newFakeLog()
			srv, agents := filingAgents(t, 1, log, service.Config{})
			f := agents[0]
			key := newKey(t)
			log.set(c.fault)
			a := f.run(t, f.filing("e~1", key))
			if c.code == result.OK {
				assert.Assert(t, a.done != nil, "%v", a.events)
			} else {
				assert.Equal(t, result.Code(a.refused.Code), c.code)
				assert.Equal(t, a.refused.Ran, wire.Ran_RAN_NO)
				assert.Assert(t, a.refused.RetryAfterUs > 0)
				assert.Equal(t, len(srv.Recorder.Executions()), 0)
			}
			log.set(c.after)
			eventually(t, func() bool { return f.work.claims.waiting() == 0 })
			log.land()
			// The caller comes back with the same key.
			again := f.run(t, f.filing("e~2", key))
			assert.Assert(t, again.done != nil, "%v", again.events)
			assert.Equal(t, len(srv.Recorder.Executions()), 1)
		})
	}
}

func TestKeyChecks(t *testing.T) {
	srv, agents := filingAgents(t, 1, newFakeLog(), service.Config{})
	f := agents[0]
	at := func(d time.Duration) string {
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
		{"future", at(time.Hour), result.KeyFromFuture, wire.Ran_RAN_NO},
		{"expired", at(-time.Hour), result.KeyExpired, wire.Ran_RAN_UNKNOWN},
		{"not a UUIDv7", uuid.NewString(), result.BadKey, wire.Ran_RAN_NO},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := f.run(t, f.filing("e~"+c.name, c.key))
			assert.Equal(t, result.Code(a.refused.Code), c.code)
			assert.Equal(t, a.refused.Ran, c.ran)
		})
	}
	assert.Equal(t, len(srv.Recorder.Executions()), 0)
}

// TestHolderGone checks that the key of a process that is gone is never run again.
func TestHolderGone(t *testing.T) {
	log := newFakeLog()
	srv, agents := filingAgents(t, 1, log, service.Config{})
	key := newKey(t)
	a := agents[0].run(t, agents[0].filing("e~1", key))
	assert.Assert(t, a.done != nil)
	next := startWith(t, testSettings(t, "a", "http://"+srv.Addr()), log, noConfig{})
	gone := next.run(t, next.filing("e~2", key))
	assert.Equal(t, result.Code(gone.refused.Code), result.HolderGone)
	assert.Equal(t, gone.refused.Ran, wire.Ran_RAN_UNKNOWN)
	assert.Equal(t, len(srv.Recorder.Executions()), 1)
}

// TestRefusedWorkReleasesItsKey checks that work which the server did not run
// leaves the key free.
func TestRefusedWorkReleasesItsKey(t *testing.T) {
	log := newFakeLog()
	srv, agents := filingAgents(t, 2, log, service.Config{Faults: standin.Faults{NotRun: true}})
	key := newKey(t)
	a := agents[0].run(t, agents[0].filing("e~1", key))
	assert.Equal(t, a.failed.Ran, wire.Ran_RAN_NO)
	eventually(t, func() bool { return log.records() == 2 })
	_, err := srv.Switches.Apply([]byte(`{"not_run":false}`))
	assert.NilError(t, err)
	b := agents[1].run(t, agents[1].filing("e~2", key))
	assert.Assert(t, b.done != nil, "%v", b.events)
	assert.Equal(t, len(srv.Recorder.Executions()), 1)
}
