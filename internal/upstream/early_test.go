package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/test/cutserver"
)

// TestPartOfEarlyResponseIsNotComplete guards against a response without a length, of which a part
// arrives before the connection is reset, being taken for a whole one because the request was still
// being written: the write that fails can use up the error, and the next read then returns the end.
func TestPartOfEarlyResponseIsNotComplete(t *testing.T) {
	const part = "HTTP/1.1 200 OK\r\n\r\npart"
	for _, size := range []int{200 << 10, 1 << 20, 7 << 20} {
		for _, buffer := range []int{0, 4 << 10} {
			for _, read := range []int64{0, 1, 20 << 10} {
				for _, pause := range []time.Duration{0, time.Millisecond, 10 * time.Millisecond, 50 * time.Millisecond} {
					for _, end := range cutserver.Ends {
						t.Run(fmt.Sprintf("%d KiB, %d read, buffer %d, %s, %s", size>>10, read, buffer, pause, end), func(t *testing.T) {
							t.Parallel()
							early := cutserver.Early{Answer: cutserver.Answer{Bytes: part, Pause: pause, End: end}, BodyBytes: read, ReceiveBuffer: buffer}
							checkEarly(t, cutserver.StartEarly(t, early), size)
						})
					}
				}
			}
		}
	}
}

// checkEarly sends a request of the given size, and checks that its response is not whole.
func checkEarly(t *testing.T, address string, size int) {
	ctx, cancel := context.WithTimeout(t.Context(), headTimeout)
	defer cancel()
	resp, err := New().Do(ctx, &Request{Address: address, Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, size)})
	if err != nil {
		assert.Assert(t, errors.Is(err, ErrNoResponse), "%v", err)
		assert.NilError(t, ctx.Err())
		return
	}
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, resp.Body.Close())
	assert.Assert(t, err != nil, "%q", body)
}
