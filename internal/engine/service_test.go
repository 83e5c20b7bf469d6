package engine

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// TestServiceClientSendsCallOnce checks the outcome of a call for each kind of response
// and fault, and that the call is never sent again.
func TestServiceClientSendsCallOnce(t *testing.T) {
	abort := func() { panic(http.ErrAbortHandler) }
	large := strings.Repeat("x", 3*chunkBytes+1)
	cases := []struct {
		name   string
		answer func(http.ResponseWriter, *http.Request)
		limit  int
		code   result.Code
		ran    result.Ran
		size   int
	}{
		{"complete", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }, 0, result.OK, result.RanYes, 2},
		{"empty", func(http.ResponseWriter, *http.Request) {}, 0, result.OK, result.RanYes, 0},
		{"large", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, large) }, 0, result.OK, result.RanYes, len(large)},
		{"over the limit", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, large) }, chunkBytes, result.StreamTooLong, result.RanYes, chunkBytes},
		{"not run", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Not-Run", "true"); w.WriteHeader(503) }, 0, result.ServerFailed, result.RanNo, 0},
		{"Not-Run header with another status", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Not-Run", "true"); w.WriteHeader(500) }, 0, result.ServerFailed, result.RanUnknown, 0},
		{"unavailable without the Not-Run header", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, 0, result.ServerFailed, result.RanUnknown, 0},
		{"internal error", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, 0, result.ServerFailed, result.RanUnknown, 0},
		{"redirected", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Location", "/v1/calls/other")
			w.WriteHeader(307)
		}, 0, result.ServerFailed, result.RanUnknown, 0},
		{"connection lost before the response", func(http.ResponseWriter, *http.Request) { abort() }, 0, result.ServerFailed, result.RanUnknown, 0},
		{"connection lost within the response", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "half ")
			_ = http.NewResponseController(w).Flush()
			abort()
		}, 0, result.ServerFailed, result.RanYes, 5},
		// The end of the server's process would look like that of the response.
		{"response that ends with its connection", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Transfer-Encoding", "identity")
			_, _ = io.WriteString(w, "half ")
		}, 0, result.ServerFailed, result.RanYes, 0},
		{"no response before the deadline", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, 0, result.DeadlineExceeded, result.RanUnknown, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var calls atomic.Int32
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				_, _ = io.Copy(io.Discard, r.Body)
				assert.Check(t, r.Header.Get("Request-Id") == "e~1/0/1" && r.URL.Path == "/v1/calls/file")
				c.answer(w, r)
			}))
			defer srv.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			size := 0
			o := NewServiceClient(srv.URL).Run(ctx, Call{ID: "e~1/0/1", Name: "file", Input: []byte("in")}, func(ch Chunk) result.Code {
				if c.limit > 0 && size+len(ch.Data) > c.limit {
					return result.StreamTooLong
				}
				size += len(ch.Data)
				return result.OK
			})
			assert.Equal(t, o.Code, c.code, o.Message)
			assert.Equal(t, o.Ran, c.ran)
			assert.Equal(t, size, c.size)
			assert.Equal(t, calls.Load(), int32(1))
		})
	}
}

func TestServiceClientNotListening(t *testing.T) {
	srv := httptest.NewServer(nil)
	srv.Close()
	o := NewServiceClient(srv.URL).Run(context.Background(), Call{Name: "file"}, nil)
	assert.Equal(t, o.Code, result.ServerFailed)
	assert.Equal(t, o.Ran, result.RanNo)
}
