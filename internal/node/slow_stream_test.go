package node

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// TestStalledStreamEndsAtItsDeadline guards against a stream that never ends: its server sends
// a byte now and then, but no whole event.
func TestStalledStreamEndsAtItsDeadline(t *testing.T) {
	for _, path := range []string{standin.PathStream, standin.PathResumable} {
		t.Run(path, func(t *testing.T) {
			f := newFleetOfPairs(t)
			ended := make(chan struct{}, 4)
			for _, id := range []string{"model1", "model2"} {
				s := f.servers[id]
				s.SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
					s.BeginResponse(w, r)
					for r.Context().Err() == nil {
						_, _ = io.WriteString(w, ":")
						w.(http.Flusher).Flush()
						time.Sleep(10 * time.Millisecond)
					}
					ended <- struct{}{}
					return true
				})
			}
			f.putConfig()
			e := f.startEntry("e1", 0).waitReady().waitRegistered()
			c := keyedCall(path, "r", "key-1")
			c.Timeout = time.Second
			got := e.do(c)
			assert.Assert(t, got.err != nil || got.status == http.StatusGatewayTimeout, "%+v", got)
			<-ended
		})
	}
}

// TestSlowSoundStreamIsNotCut guards against a stream that is cut although its server sends
// events all the while: the whole takes much longer than the time to its first event.
func TestSlowSoundStreamIsNotCut(t *testing.T) {
	const events = 12
	f := newFleet(t)
	f.startServer("model", "m1", events).SetDelay(250 * time.Millisecond)
	f.putConfig()
	e := f.startEntry("e1", 0).waitReady()
	got := e.do(keyedCall(standin.PathResumable, "r", "key-1"))
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, strings.Count(got.body, "\n\n"), events)
}
