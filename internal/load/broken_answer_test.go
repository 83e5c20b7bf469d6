package load

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/test/cutserver"
)

// TestBrokenAnswerIsNotComplete guards against bytes that are no answer counting as a complete one.
func TestBrokenAnswerIsNotComplete(t *testing.T) {
	const body = "Content-Type: application/json\r\n\r\n{\"answer\":{\"a\":\"x\"}}"
	for begin, want := range map[string]Class{
		"HTTP/1.1 200 OK\r\n":                          Complete,
		"HTTP/1.1 000 OK\r\n":                          Unknown,
		"HTTP/1.1 200 OK\r\nOther Field: a\r\n":        Unknown,
		"HTTP/1.1 200 OK\r\nOther: a\r\n Field: a\r\n": Unknown,
	} {
		url := "http://" + cutserver.Start(t, func(*http.Request, int) cutserver.Answer { return cutserver.Answer{Bytes: begin + body} })
		c := NewCaller([]string{url})
		assert.Equal(t, c.Do(t.Context(), Request{Call: "chat"}, 0, time.Now()).Class, want, "%q", begin)
		c.Close()
	}
}

// TestEndlessAnswersAreCut guards against an answer or an event without end being kept until the memory
// is full.
func TestEndlessAnswersAreCut(t *testing.T) {
	const answerBytes = 512 << 20
	for name, x := range map[string]struct{ begin, more string }{
		"body":  {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 64<<10)},
		"line":  {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ", strings.Repeat("x", 64<<10)},
		"event": {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", "data: " + strings.Repeat("x", 64<<10) + "\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address, cut := cutserver.StartEndless(t, x.begin, cutserver.Repeat(x.more), answerBytes)
			c := NewCaller([]string{"http://" + address})
			defer c.Close()
			assert.Equal(t, c.Do(t.Context(), Request{Call: "chat", Timeout: time.Minute}, 0, time.Now()).Class, Unknown)
			assert.Assert(t, <-cut, "the caller accepted all of the answer")
		})
	}
}
