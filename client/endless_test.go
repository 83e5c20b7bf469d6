package client

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/test/cutserver"
)

// TestEndlessAnswersAreCut guards against an entry, or what answers in its place, that sends bytes
// without end: the caller's process would keep them until its memory is full.
func TestEndlessAnswersAreCut(t *testing.T) {
	const answerBytes, maxAllocatedBytes, callTimeout = 1 << 30, 512 << 20, 10 * time.Second
	text := strings.Repeat("x", 64<<10)
	for name, x := range map[string]struct {
		begin string
		more  func(i int) []byte
	}{
		"head":  {"HTTP/1.1 200 OK\r\nOther: ", cutserver.Repeat(text)},
		"line":  {"HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: ", cutserver.Repeat(text)},
		"error": {"HTTP/1.1 500 Internal Server Error\r\n\r\n", cutserver.Repeat(text)},
		"chunks": {"HTTP/1.1 200 OK\r\n\r\n", func(i int) []byte {
			return fmt.Appendf(nil, "id: %d\nevent: chunk\ndata: {\"stage\":\"a\",\"text\":%q}\n\n", i+1, text)
		}},
		"stages": {"HTTP/1.1 200 OK\r\n\r\n", func(i int) []byte {
			return fmt.Appendf(nil, "id: %d\nevent: chunk\ndata: {\"stage\":%q,\"text\":\"\"}\n\n", i+1, fmt.Sprint(text, i))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			address, cut := cutserver.StartEndless(t, x.begin, x.more, answerBytes)
			c, err := New(Options{Entries: []string{"http://" + address}})
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
