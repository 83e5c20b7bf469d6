package node

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

const (
	// lateGrace is a grace period that leaves lateAnswer for answers and takes requests in the
	// first half of that.
	lateAnswer = 3 * time.Second
	lateGrace  = shutdownReserve + lateAnswer
	// lateRefusalTime bounds the time of a refusal that does not wait for anything.
	lateRefusalTime = 700 * time.Millisecond
)

// latePaths are the routes of requests of all kinds.
var latePaths = []string{standin.PathUnsafe, standin.PathSafe, standin.PathResumable, standin.PathStream}

// newLateFleet returns a fleet whose servers take the given time for a request, and an entry that
// does not end before its grace period.
func newLateFleet(t *testing.T, grace, runTime time.Duration) (*fleet, *runningEntry) {
	f := newFleet(t)
	f.startServer("plain", "p1", 0).SetDelay(runTime)
	f.startServer("model", "m1", 2).SetDelay(runTime / 2)
	f.startServer("a", "a1", 0)
	f.startServer("b", "b1", 0)
	f.putConfig()
	f.shutdownGrace, f.loadBalancerLag = grace, grace
	return f, f.startMortalEntry(0)
}

// lateCall returns a request to a route.
func lateCall(path, id string) clientCall {
	if path == standin.PathStream {
		return stagedCall(id)
	}
	return keyedCall(path, id, "key-1")
}

// timedReply is a reply and how long the client waited for it.
type timedReply struct {
	reply
	id      string
	sent    time.Duration
	waited  time.Duration
	reached bool
}

// sendUntil sends a request each interval for the given time and returns the replies.
func (e *runningEntry) sendUntil(path string, interval, length time.Duration) []timedReply {
	var mu sync.Mutex
	var replies []timedReply
	var clients sync.WaitGroup
	began := time.Now()
	for n := 0; time.Since(began) < length; n++ {
		clients.Go(func() {
			got := timedReply{id: fmt.Sprint("late", n), sent: time.Since(began)}
			got.reply = e.do(lateCall(path, got.id))
			got.waited = time.Since(began) - got.sent
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, got)
		})
		time.Sleep(interval)
	}
	clients.Wait()
	for i := range replies {
		replies[i].reached = e.fleet.hasRun(replies[i].id)
	}
	return replies
}

// hasRun reports whether a server has run a request.
func (f *fleet) hasRun(id string) bool {
	return slices.Contains(f.servers["p1"].ExecutedRequests(), id) || slices.Contains(f.servers["m1"].ExecutedRequests(), id)
}

// warmUp has the entry serve n requests at once.
func (e *runningEntry) warmUp(path string, n int) {
	for i, got := range <-e.doAll(n, func(i int) clientCall { return lateCall(path, fmt.Sprint("early", i)) }) {
		assert.NilError(e.fleet.t, got.err)
		assert.Equal(e.fleet.t, got.status, http.StatusOK, "%d %s", i, got.body)
	}
}

// TestRequestThatCannotEndBeforeTheProcessIsRefusedAtOnce guards against a request that comes late
// in a stop, is sent to a server and cut at the end of the process, although another entry would
// have served it.
func TestRequestThatCannotEndBeforeTheProcessIsRefusedAtOnce(t *testing.T) {
	for _, path := range latePaths {
		for _, earlier := range []int{0, 12} {
			t.Run(fmt.Sprint(strings.Trim(path, "/"), "/after ", earlier), func(t *testing.T) {
				t.Parallel()
				_, e := newLateFleet(t, lateGrace, 2*time.Second)
				e.warmUp(path, earlier)
				e.stop()
				replies := e.sendUntil(path, 50*time.Millisecond, lateAnswer-300*time.Millisecond)
				sent, cut := 0, 0
				for _, got := range replies {
					if got.reached {
						sent++
					}
					if got.err != nil || got.status != http.StatusOK && got.status != http.StatusServiceUnavailable {
						cut++
						continue
					}
					assert.Check(t, (got.status == http.StatusOK) == got.reached, "sent at %v: %d %s", got.sent, got.status, got.body)
					if got.status == http.StatusServiceUnavailable {
						assert.Check(t, got.header.Get("Retry-After") != "", got.body)
						assert.Check(t, got.waited < lateRefusalTime, "refused after %v", got.waited)
					}
				}
				assert.Equal(t, cut, 0, "of %d that came, %d were sent to a server", len(replies), sent)
			})
		}
	}
}

// TestShortRequestsAreServedWhileTheLoadBalancerLags guards against a stop that refuses what it
// can serve in time, while the load balancer still sends it new requests.
func TestShortRequestsAreServedWhileTheLoadBalancerLags(t *testing.T) {
	for _, path := range latePaths {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			t.Parallel()
			_, e := newLateFleet(t, 8*time.Second, 60*time.Millisecond)
			e.warmUp(path, 12)
			e.stop()
			eventually(t, "the entry is stopping", e.gateway.Stopping)
			for _, got := range e.sendUntil(path, 100*time.Millisecond, 2800*time.Millisecond) {
				assert.Check(t, got.err)
				assert.Check(t, got.status == http.StatusOK, "sent at %v: %d %s", got.sent, got.status, got.body)
			}
		})
	}
}

// TestRequestWhoseDeadlineEndsFirstIsServedInAStop guards against a stop that refuses what has to
// end before the process does, because nothing is learnt about its time.
func TestRequestWhoseDeadlineEndsFirstIsServedInAStop(t *testing.T) {
	for _, path := range latePaths {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			t.Parallel()
			_, e := newLateFleet(t, 8*time.Second, 60*time.Millisecond)
			e.stop()
			eventually(t, "the entry is stopping", e.gateway.Stopping)
			c := lateCall(path, "r")
			c.Timeout = 5 * time.Second
			got := e.do(c)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK, got.body)
		})
	}
}

// TestStreamThatWaitedTooLongInAStopIsNotSent guards against a stream that is accepted in time,
// gets a server when too little of the stop is left, and is broken off.
func TestStreamThatWaitedTooLongInAStopIsNotSent(t *testing.T) {
	f, e := newLateFleet(t, lateGrace, 2*time.Second)
	e.warmUp(standin.PathStream, 12)
	release := make(chan struct{})
	f.servers["a1"].SetHandler(blockUntil(release, make(chan struct{}, 8)))
	before := len(f.servers["m1"].ExecutedRequests())
	began := time.Now()
	replies := e.doAll(4, func(i int) clientCall { return stagedCall(fmt.Sprint("waits", i)) })
	time.Sleep(100 * time.Millisecond)
	e.stop()
	time.AfterFunc(1300*time.Millisecond, func() { close(release) })
	for _, got := range <-replies {
		assert.Check(t, got.err)
		assert.Check(t, got.status == http.StatusServiceUnavailable, "%d %s", got.status, got.body)
	}
	assert.Check(t, time.Since(began) < 1200*time.Millisecond, "refused after %v", time.Since(began))
	assert.Equal(t, len(f.servers["m1"].ExecutedRequests()), before)
}

// TestRequestIsNotSentAgainTooLateInAStop guards against a request that its first server did not
// run, and that is sent to another one when too little of the stop is left.
func TestRequestIsNotSentAgainTooLateInAStop(t *testing.T) {
	f, e := newLateFleet(t, lateGrace, 2*time.Second)
	f.startServer("plain", "p2", 0).SetDelay(2 * time.Second)
	eventually(t, "both servers are known", func() bool { return len(e.servers.Usable("plain")) == 2 })
	e.waitRegistered().warmUp(standin.PathUnsafe, 12)
	var calls atomic.Int64
	sent := make(chan struct{}, 8)
	handler := func(w http.ResponseWriter, _ *http.Request) bool {
		sent <- struct{}{}
		if calls.Add(1) > 1 {
			return false
		}
		time.Sleep(1300 * time.Millisecond)
		standin.Refuse(w, "")
		return true
	}
	f.servers["p1"].SetHandler(handler)
	f.servers["p2"].SetHandler(handler)
	replies := e.doAll(1, func(int) clientCall { return lateCall(standin.PathUnsafe, "again") })
	<-sent
	e.stop()
	got := (<-replies)[0]
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
	assert.Equal(t, calls.Load(), int64(1))
}
