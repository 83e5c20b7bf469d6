package client

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEndlessAnswersAreCut guards against an entry, or what answers in its place, that sends bytes
// without end: the caller's process would keep them until its memory is full.
func TestEndlessAnswersAreCut(t *testing.T) {
	const answerBytes, maxAllocatedBytes, callTimeout = 1 << 30, 512 << 20, 10 * time.Second
	text := strings.Repeat("x", 64<<10)
	for name, x := range map[string]struct {
		begin string
		more  func(i int) string
	}{
		"head":  {"HTTP/1.1 200 OK\r\nOther: ", func(int) string { return text }},
		"line":  {"HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: ", func(int) string { return text }},
		"error": {"HTTP/1.1 500 Internal Server Error\r\n\r\n", func(int) string { return text }},
		"chunks": {"HTTP/1.1 200 OK\r\n\r\n", func(i int) string {
			return fmt.Sprintf("id: %d\nevent: chunk\ndata: {\"stage\":\"a\",\"text\":%q}\n\n", i+1, text)
		}},
		"stages": {"HTTP/1.1 200 OK\r\n\r\n", func(i int) string {
			return fmt.Sprintf("id: %d\nevent: chunk\ndata: {\"stage\":%q,\"text\":\"\"}\n\n", i+1, fmt.Sprint(text, i))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			cut := make(chan bool, 1000)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if !assert.Check(t, err) {
					return
				}
				defer func() { _ = conn.Close() }()
				_, err = io.WriteString(conn, x.begin)
				for i, written := 0, 0; err == nil && written < answerBytes; i++ {
					n, writeErr := io.WriteString(conn, x.more(i))
					written, err = written+n, writeErr
				}
				cut <- err != nil
			}))
			defer srv.Close()
			c, err := New(Options{Entries: []string{srv.URL}})
			assert.NilError(t, err)
			defer c.Close()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			answer, err := c.Do(t.Context(), &Call{Name: "chat", Timeout: callTimeout})
			runtime.ReadMemStats(&after)
			assert.Assert(t, answer == nil && err != nil)
			assert.Assert(t, <-cut, "the client accepted all of the answer")
			held := int64(after.HeapAlloc) - int64(before.HeapAlloc)
			assert.Assert(t, held < maxAllocatedBytes, "%d MiB held", held>>20)
		})
	}
}
