package engine

import (
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/test/cutserver"
)

// TestEndlessAnswersAreCut guards against a model engine that sends bytes without end, in the head of
// its answer or within an event: the agent would keep them until its memory is full.
func TestEndlessAnswersAreCut(t *testing.T) {
	const answerBytes, maxHeldBytes = 256 << 20, 32 << 20
	for name, x := range map[string]struct{ begin, more string }{
		"head":                     {"HTTP/1.1 200 OK\r\nOther: ", "0123456789abcdef"},
		"interim heads":            {"", "HTTP/1.1 103 Early Hints\r\nOther: 0123456789abcdef\r\n\r\n"},
		"one line":                 {"HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: ", "0123456789abcdef"},
		"lines of an event":        {"HTTP/1.1 200 OK\r\n\r\nid: 1\n", "data: 0123456789abcdef\n"},
		"lines before an event ID": {"HTTP/1.1 200 OK\r\n\r\n", "data: 0123456789abcdef\n"},
		"answer to an order":       {"HTTP/1.1 200 OK\r\n\r\n", "0123456789abcdef"},
	} {
		t.Run(name, func(t *testing.T) {
			address, cut := cutserver.StartEndless(t, x.begin, cutserver.Repeat(x.more), answerBytes)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			m := NewModelClient("http://" + address)
			if name == "answer to an order" {
				o := m.SendOrder(t.Context(), Order{Kind: "load"}, func() result.Code { return result.OK })
				assert.Assert(t, o.Code != result.OK)
			} else {
				g := &generation{emit: func(Chunk) result.Code { return result.OK }}
				outcome, err := m.runConnection(t.Context(), g)
				assert.Assert(t, err != nil || outcome != nil && outcome.Code != result.OK)
			}
			runtime.ReadMemStats(&after)
			assert.Assert(t, <-cut, "the client accepted all of the answer")
			allocated := after.TotalAlloc - before.TotalAlloc
			assert.Assert(t, allocated < maxHeldBytes, "%d MiB allocated", allocated>>20)
		})
	}
}
