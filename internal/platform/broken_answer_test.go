package platform

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/test/cutserver"
)

// callsOf returns the calls of the clients of a base URL by name, with the body of a sound answer to
// each of them.
func callsOf(t *testing.T, url string) map[string]func() error {
	log, list := NewHTTPLog(url, WithTraffic(&Traffic{})), NewHTTPList(url)
	return map[string]func() error{
		"append": func() error { _, err := log.Append(t.Context(), ConfigStream, []byte("a")); return err },
		"read":   func() error { _, err := log.Read(t.Context(), ConfigStream, 1, 10, 0); return err },
		"list":   func() error { _, _, err := list.List(t.Context()); return err },
	}
}

var soundBodies = map[string]string{
	"append": `{"first":1}`, "read": `{"records":[],"next":1}`, "list": `{"as_of":"2026-01-01T00:00:00Z","instances":[]}`,
}

// TestBrokenAnswerIsAnError guards against bytes that are no answer of the log or the instance list
// counting as one, or as the refusal of an append that was carried out.
func TestBrokenAnswerIsAnError(t *testing.T) {
	for _, begin := range []string{
		"HTTP/1.1 200 OK\r\nOther Field: a\r\n",
		"HTTP/1.1 200 OK\r\nOther : a\r\n",
		"HTTP/1.1 200 OK\r\nOther: a\r\n Field: a\r\n",
		"HTTP/1.1 103 Early Hints\r\nOther Field: a\r\n\r\nHTTP/1.1 200 OK\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nOther Field: a\r\n",
		"HTTP/1.1 000 OK\r\n",
	} {
		for name, body := range soundBodies {
			checkAnswer(t, name, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body), true)
			checkAnswer(t, name, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", begin, len(body), body), false)
		}
	}
}

// TestAnswerThatEndsEarlyIsAnError guards against the answer being taken for whole whose connection is
// lost, or whose end is none, behind what it says.
func TestAnswerThatEndsEarlyIsAnError(t *testing.T) {
	for name, body := range soundBodies {
		const head, chunked = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		chunk := fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
		checkAnswer(t, name, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body), true)
		checkAnswer(t, name, head+"\r\n"+body+" \n", true)
		checkAnswer(t, name, chunked+chunk+"0\r\nOther: a\r\n\r\n", true)
		checkAnswer(t, name, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body)+1, body), false)
		checkAnswer(t, name, head+"\r\n"+body+body, false)
		checkAnswer(t, name, chunked+chunk, false)
		checkAnswer(t, name, chunked+chunk+"0\r\nOther Field: a\r\n\r\n", false)
		checkAnswer(t, name, chunked+chunk+"0\r\nOther: a\r\n Field: a\r\n\r\n", false)
	}
}

// checkAnswer checks whether a call takes an answer for a whole one.
func checkAnswer(t *testing.T, name, answer string, whole bool) {
	t.Helper()
	url := "http://" + cutserver.Start(t, func(*http.Request, int) cutserver.Answer { return cutserver.Answer{Bytes: answer} })
	err := callsOf(t, url)[name]()
	if whole {
		assert.NilError(t, err, "%s, %q", name, answer)
		return
	}
	assert.Check(t, errors.IsAny(err, ErrOutcomeUnknown, ErrUnavailable), "%s, %q: %v", name, answer, err)
	assert.Check(t, name != "append" || errors.Is(err, ErrOutcomeUnknown), "%s, %q: %v", name, answer, err)
}
