package node

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/magnoliawheel/magnoliawheel/internal/planner"
	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// expectedFirstEvent is the time after which placements expect the first of three events.
const expectedFirstEvent = 50 * time.Millisecond

// newOverdueFleet returns a fleet with n model servers and the servers of the stages. The first
// request to any of them is passed to first, together with its server; the others are answered.
func newOverdueFleet(t *testing.T, n int, first func(s *standin.Server, w http.ResponseWriter, r *http.Request)) (*fleet, tally.TestScope) {
	f, scope := newFleet(t), tally.NewTestScope("", nil)
	f.scope, f.expectedFirstEvent = scope, func(planner.Placement) time.Duration { return expectedFirstEvent }
	f.startServer("a", "a1", 0)
	f.startServer("b", "b1", 0)
	var taken atomic.Bool
	for i := range n {
		s := f.startServer("model", fmt.Sprint("model", i+1), 3)
		s.SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
			if taken.Swap(true) {
				return false
			}
			first(s, w, r)
			return true
		})
	}
	f.putConfig()
	return f, scope
}

// modelRuns returns the number of requests that the model servers ran.
func (f *fleet) modelRuns() int {
	runs := 0
	for id, s := range f.servers {
		if strings.HasPrefix(id, "model") {
			runs += len(s.ExecutedRequests())
		}
	}
	return runs
}

// assertOneRunEach checks that a stream was tried once on each of two servers.
func (f *fleet) assertOneRunEach(scope tally.TestScope) {
	f.t.Helper()
	assert.Equal(f.t, len(f.servers["model1"].ExecutedRequests()), 1)
	assert.Equal(f.t, len(f.servers["model2"].ExecutedRequests()), 1)
	assert.Equal(f.t, countOf(scope, "second_attempts+result=made"), int64(1))
	assert.Equal(f.t, countOf(scope, "second_attempts+result=won"), int64(1))
}

// countOf returns the value of a counter, whose tags are part of its name.
func countOf(scope tally.TestScope, name string) int64 {
	if c, ok := scope.Snapshot().Counters()[name]; ok {
		return c.Value()
	}
	return 0
}

func assertWholeStream(t *testing.T, got reply, id string) {
	t.Helper()
	assert.Check(t, got.err)
	assert.Check(t, got.status == http.StatusOK, got.body)
	assert.Check(t, cmp.Equal(got.body, standin.EventOf(1, id, "")+standin.EventOf(2, id, "")+standin.EventOf(3, id, "")))
}

// hangUntilClosed holds a request until its connection is closed, which it reports.
func hangUntilClosed(closed chan<- string, withHead bool) func(s *standin.Server, w http.ResponseWriter, r *http.Request) {
	return func(s *standin.Server, w http.ResponseWriter, r *http.Request) {
		if withHead {
			s.BeginResponse(w, r)
		} else {
			s.RecordRequest(r)
		}
		<-r.Context().Done()
		closed <- s.ID
	}
}

// TestHangingServerIsReplacedInTime guards against a stream that waits for a server which
// accepted it and never answers, and against one that goes on there as well.
func TestHangingServerIsReplacedInTime(t *testing.T) {
	for _, withHead := range []bool{false, true} {
		t.Run(fmt.Sprint("head=", withHead), func(t *testing.T) {
			closed := make(chan string, 1)
			f, scope := newOverdueFleet(t, 2, hangUntilClosed(closed, withHead))
			e := f.startEntry("e1", 0).waitReady().waitRegistered()
			began := time.Now()
			assertWholeStream(t, e.do(keyedCall(standin.PathResumable, "r", "key-1")), "r")
			took := time.Since(began)
			t.Log("whole stream after", took)
			assert.Assert(t, took < 2*time.Second)
			f.assertOneRunEach(scope)
			select {
			case hung := <-closed:
				assertWholeStream(t, e.do(keyedCall(standin.PathResumable, "r2", "key-1")), "r2")
				assert.Equal(t, len(f.servers[hung].ExecutedRequests()), 1, "the server is not avoided by others")
			case <-time.After(5 * time.Second):
				t.Fatal("the connection to the first server stays open")
			}
		})
	}
}

// TestOtherStreamsAreNotSentTwice guards against a second run of a stream that may run once,
// and against any second attempt without an expected time.
func TestOtherStreamsAreNotSentTwice(t *testing.T) {
	for _, tt := range []struct {
		path     string
		expected time.Duration
	}{{standin.PathStream, expectedFirstEvent}, {standin.PathResumable, 0}} {
		t.Run(fmt.Sprint(tt.path, tt.expected), func(t *testing.T) {
			closed := make(chan string, 1)
			f, scope := newOverdueFleet(t, 2, hangUntilClosed(closed, false))
			f.expectedFirstEvent = func(planner.Placement) time.Duration { return tt.expected }
			e := f.startEntry("e1", 0).waitReady().waitRegistered()
			c := keyedCall(tt.path, "r", "key-1")
			c.Timeout, c.PieceCounts, c.PieceKey = 1500*time.Millisecond, "1,1", "k"
			got := e.do(c)
			assert.Equal(t, got.status, http.StatusGatewayTimeout, "%+v", got)
			<-closed
			assert.Equal(t, f.modelRuns(), 1)
			assert.Equal(t, countOf(scope, "second_attempts+result=made"), int64(0))
		})
	}
}

// TestSlowServersKeepTheirStreams guards against attempts that are cancelled although no other
// server could serve the request, and for all requests at once when all servers are slow.
func TestSlowServersKeepTheirStreams(t *testing.T) {
	for reason, servers := range map[string]int{"no_other_server": 1, "many_servers_late": 6} {
		t.Run(reason, func(t *testing.T) {
			f, scope := newOverdueFleet(t, servers, nil)
			for i := range servers {
				f.servers[fmt.Sprint("model", i+1)].SetHandler(func(http.ResponseWriter, *http.Request) bool {
					time.Sleep(time.Second)
					return false
				})
			}
			e := f.startEntry("e1", 0).waitReady().waitRegistered()
			var wg sync.WaitGroup
			for i := range 2 * servers {
				wg.Go(func() {
					id := fmt.Sprint("r", i)
					assertWholeStream(t, e.do(keyedCall(standin.PathResumable, id, "key-1")), id)
				})
			}
			wg.Wait()
			made, denied := countOf(scope, "second_attempts+result=made"), countOf(scope, "second_attempts_denied+reason="+reason)
			t.Log("made:", made, "denied:", denied)
			assert.Assert(t, made <= 1 && denied > 0)
			assert.Assert(t, f.modelRuns() <= 2*servers+1)
		})
	}
}

// TestPlacingEntryLostAtSecondAttempt guards against a stream that is lost, or runs on a server
// twice, because the entry that places requests ends between the cancellation of the first
// attempt and the second placement.
func TestPlacingEntryLostAtSecondAttempt(t *testing.T) {
	closed := make(chan string, 1)
	f, scope := newOverdueFleet(t, 2, hangUntilClosed(closed, false))
	f.shutdownGrace = shutdownReserve + 300*time.Millisecond
	first := f.startEntry("e1", 0).waitReady().waitRegistered()
	f.shutdownGrace = 0
	var second *runningEntry
	placingLost := make(chan bool, 1)
	f.onLog = func(line string) {
		if !strings.Contains(line, "the attempt was cancelled") {
			return
		}
		placedByOther := second.links.PlanningPeer() != nil
		first.stop()
		<-first.done
		for second.links.PlanningPeer() != nil {
			time.Sleep(5 * time.Millisecond)
		}
		placingLost <- placedByOther
	}
	second = f.startEntry("e2", 0).waitReady().waitRegistered()
	eventually(t, "the first entry places requests", func() bool { return second.links.PlanningPeer() != nil })
	assertWholeStream(t, second.do(keyedCall(standin.PathResumable, "r", "key-1")), "r")
	assert.Assert(t, <-placingLost)
	<-closed
	f.assertOneRunEach(scope)
	eventually(t, "nothing remains of the request", func() bool { return second.planner.JobCount() == 0 && second.gateway.InFlight() == 0 })
}
