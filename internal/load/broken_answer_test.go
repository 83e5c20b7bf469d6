package load

import (
	"net/http"
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
