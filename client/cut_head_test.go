package client

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/test/cutserver"
)

// TestCutHeadLeavesTheOutcomeUnknown guards against the head of an answer, cut by an entry that
// stopped within it, counting as an answer or as a refusal after which the call may be repeated.
func TestCutHeadLeavesTheOutcomeUnknown(t *testing.T) {
	const callTimeout = 30 * time.Second
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nRequest-Id: e~1\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: 0\r\n\r\n",
	} {
		for _, end := range cutserver.Ends {
			for n := range len(head) {
				t.Run(fmt.Sprintf("%.12s, %d bytes, %s", head, n, end), func(t *testing.T) {
					t.Parallel()
					url := "http://" + cutserver.Start(t, func(*http.Request, int) cutserver.Answer {
						return cutserver.Answer{Bytes: head[:n], End: end}
					})
					c, err := New(Options{Entries: []string{url}})
					assert.NilError(t, err)
					answer, err := c.Do(t.Context(), &Call{Name: "chat", Timeout: callTimeout})
					assert.Assert(t, answer == nil)
					assert.Assert(t, errors.Is(err, ErrOutcomeUnknown), "%v", err)
				})
			}
		}
	}
}
