package node

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/magnoliawheel/magnoliawheel/internal/planner"
	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// TestOverdueStreamIsNotGivenUpWithoutAnotherAttempt guards against a stream whose attempt a
// stopping process cancels as overdue although it sends no other: its client would get a failure
// in place of the answer that the server gives in time.
func TestOverdueStreamIsNotGivenUpWithoutAnotherAttempt(t *testing.T) {
	sent := make(chan struct{})
	f, _ := newOverdueFleet(t, 2, func(s *standin.Server, w http.ResponseWriter, r *http.Request) {
		close(sent)
		time.Sleep(3500 * time.Millisecond)
		s.BeginResponse(w, r)
		for i := range 3 {
			_, _ = io.WriteString(w, s.Event(i+1, "r"))
		}
	})
	f.shutdownGrace = shutdownReserve + 4*time.Second
	f.expectedFirstEvent = func(planner.Placement) time.Duration { return 800 * time.Millisecond }
	e := f.startMortalEntry(0).waitRegistered()
	replies := e.doAll(1, func(int) clientCall { return keyedCall(standin.PathResumable, "r", "key-1") })
	<-sent
	// The retry budget of a stopping entry comes from its requests.
	for i := range 12 {
		assertWholeStream(t, e.do(keyedCall(standin.PathResumable, fmt.Sprint("other", i), "key-1")), fmt.Sprint("other", i))
	}
	e.stop()
	assertWholeStream(t, (<-replies)[0], "r")
}
