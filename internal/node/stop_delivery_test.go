package node

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// TestAnswerIsDeliveredWhileProcessWaits guards against the cut of an answer that the server has
// completed, and whose client reads the rest in the time that the process still has.
func TestAnswerIsDeliveredWhileProcessWaits(t *testing.T) {
	const bodyBytes = 12 << 20
	f := newFleet(t)
	p1 := f.startServer("plain", "p1", 0)
	written := make(chan struct{})
	p1.SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
		p1.BeginResponse(w, r)
		_, _ = io.WriteString(w, strings.Repeat("x", bodyBytes))
		close(written)
		return true
	})
	f.putConfig()
	f.shutdownGrace = shutdownReserve + time.Second
	e := f.startMortalEntry(0)
	conn := e.sendPart(keyedCall(standin.PathUnsafe, "r", "key-1"), 0, "")
	<-written
	e.stop()
	eventually(t, "the last answers are due", e.gateway.Ending)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	n, err := io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, n, int64(bodyBytes))
}

// TestShortGracePeriodIsUsed guards against a process that ends at once, with its requests
// unanswered, because its grace period is shorter than the reserve.
func TestShortGracePeriodIsUsed(t *testing.T) {
	for _, grace := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			f := newFleet(t)
			release := make(chan struct{})
			sent := make(chan struct{}, 8)
			f.startServer("plain", "p1", 0).SetHandler(blockUntil(release, sent))
			t.Cleanup(func() { close(release) })
			f.putConfig()
			f.shutdownGrace = grace
			e := f.startMortalEntry(0)
			replies := e.doAll(4, func(i int) clientCall { return keyedCall(standin.PathUnsafe, fmt.Sprint("r", i), "key-1") })
			for range 4 {
				<-sent
			}
			e.stop()
			for _, got := range <-replies {
				assert.Check(t, got.err)
				assert.Check(t, got.status == http.StatusBadGateway, got.body)
			}
		})
	}
}
