package engine

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/test/cutserver"
)

// TestCutHeadHasAnUnknownOutcome guards against the head of an answer, cut by a server that stopped
// within it, counting as an empty result or as the statement that the call was not run.
func TestCutHeadHasAnUnknownOutcome(t *testing.T) {
	const callTimeout = 30 * time.Second
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nNot-Run: true\r\nContent-Length: 0\r\n\r\n",
	} {
		for _, end := range cutserver.Ends {
			for n := range len(head) {
				t.Run(fmt.Sprintf("%.12s, %d bytes, %s", head, n, end), func(t *testing.T) {
					t.Parallel()
					ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
					defer cancel()
					var requests atomic.Int32
					url := "http://" + cutserver.Start(t, func(*http.Request, int) cutserver.Answer {
						// The first request is that of the service, the third one resumes the model's stream.
						if requests.Add(1) > 2 {
							cancel()
						}
						return cutserver.Answer{Bytes: head[:n], End: end}
					})
					for _, srv := range []Server{NewServiceClient(url), NewModelClient(url)} {
						o := srv.Run(ctx, Call{ID: "e~1/0/1", Name: "file"}, func(Chunk) result.Code { return result.OK })
						assert.Assert(t, o.Code != result.OK, "%T", srv)
						assert.Equal(t, o.Ran, result.RanUnknown, "%T: %s", srv, o.Message)
					}
				})
			}
		}
	}
}
