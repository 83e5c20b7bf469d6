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

// TestServiceContract checks that a call is sent once, whatever becomes of it.
func TestServiceContract(t *testing.T) {
	abort := func() { panic(http.ErrAbortHandler) }
	large := strings.Repeat("x", 3*pieceBytes+1)
	cases := []struct {
		name   string
		answer func(http.ResponseWriter, *http.Request)
		limit  int
		code   result.Code
		ran    result.Ran
		size   int
	}{
		{"whole", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }, 0, result.OK, result.RanYes, 2},
		{"empty", func(http.ResponseWriter, *http.Request) {}, 0, result.OK, result.RanYes, 0},
		{"large", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, large) }, 0, result.OK, result.RanYes, len(large)},
		{"over the limit", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, large) }, pieceBytes, result.StreamTooLong, result.RanYes, pieceBytes},
		{"not run", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Not-Run", "true"); w.WriteHeader(503) }, 0, result.ServerFailed, result.RanNo, 0},
		{"not run with another status", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Not-Run", "true"); w.WriteHeader(500) }, 0, result.ServerFailed, result.RanUnknown, 0},
		{"unavailable without saying", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, 0, result.ServerFailed, result.RanUnknown, 0},
		{"failed", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, 0, result.ServerFailed, result.RanUnknown, 0},
		{"redirected", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Location", "/v1/calls/other")
			w.WriteHeader(307)
		}, 0, result.ServerFailed, result.RanUnknown, 0},
		{"cut before the answer", func(http.ResponseWriter, *http.Request) { abort() }, 0, result.ServerFailed, result.RanUnknown, 0},
		{"cut in the answer", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "half ")
			_ = http.NewResponseController(w).Flush()
			abort()
		}, 0, result.ServerFailed, result.RanYes, 5},
		{"silent past the budget", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, 0, result.DeadlineExceeded, result.RanUnknown, 0},
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
			o := NewService(srv.URL).Run(ctx, Call{ID: "e~1/0/1", Name: "file", Input: []byte("in")}, func(ch Chunk) result.Code {
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

func TestServiceNotListening(t *testing.T) {
	srv := httptest.NewServer(nil)
	srv.Close()
	o := NewService(srv.URL).Run(context.Background(), Call{Name: "file"}, nil)
	assert.Equal(t, o.Code, result.ServerFailed)
	assert.Equal(t, o.Ran, result.RanNo)
}
