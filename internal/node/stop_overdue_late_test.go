package node

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/internal/planner"
	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// TestOverdueStreamIsNotGivenUpTooLateInAStop guards against a stream whose attempt a stopping
// process cancels as overdue although too little time is left for another one.
func TestOverdueStreamIsNotGivenUpTooLateInAStop(t *testing.T) {
	sent := make(chan struct{})
	f, _ := newOverdueFleet(t, 2, func(s *standin.Server, w http.ResponseWriter, r *http.Request) {
		close(sent)
		time.Sleep(2500 * time.Millisecond)
		s.BeginResponse(w, r)
		for i := range 3 {
			_, _ = io.WriteString(w, s.Event(i+1, "r"))
		}
	})
	f.shutdownGrace = shutdownReserve + 4*time.Second
	f.expectedFirstEvent = func(planner.Placement) time.Duration { return 300 * time.Millisecond }
	e := f.startMortalEntry(0).waitRegistered()
	replies := e.doAll(1, func(int) clientCall {
		c := keyedCall(standin.PathResumable, "r", "key-1")
		// Far longer than those whose times are known.
		c.TokenCount = "10,100000"
		return c
	})
	<-sent
	// The retry budget of a stopping entry comes from its requests.
	for i := range 12 {
		assertWholeStream(t, e.do(keyedCall(standin.PathResumable, fmt.Sprint("other", i), "key-1")), fmt.Sprint("other", i))
	}
	e.stop()
	assertWholeStream(t, (<-replies)[0], "r")
}

// TestSafeAttemptIsNotGivenUpTooLateInAStop guards against a safe request that was sent before a
// stop and whose attempt is given up in it, although too little time is left for another one.
func TestSafeAttemptIsNotGivenUpTooLateInAStop(t *testing.T) {
	_, e := newLateFleet(t, lateGrace, 2*time.Second)
	e.waitRegistered().warmUp(standin.PathSafe, 12)
	replies := e.doAll(1, func(int) clientCall {
		c := lateCall(standin.PathSafe, "r")
		c.Timeout = 4 * time.Second
		return c
	})
	eventually(t, "the request is sent", func() bool { return e.fleet.hasRun("r") })
	e.stop()
	got := (<-replies)[0]
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK, got.body)
}
