package client

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/test/cutserver"
)

// answerEvents are the events of a whole answer.
const answerEvents = "id: 1\nevent: request\ndata: {\"request_id\":\"e~1\"}\n\nid: 2\nevent: chunk\ndata: {\"stage\":\"a\",\"text\":\"x\"}\n\n" +
	"id: 3\nevent: done\ndata: {\"chunks\":1,\"checksum\":\"5c80c09683041123\"}\n\n"

// do makes a call to an entry that sends the same bytes for each request.
func do(t *testing.T, httpClient *http.Client, text string) (*Answer, error) {
	t.Helper()
	const callTimeout = 2 * time.Second
	url := "http://" + cutserver.Start(t, func(*http.Request, int) cutserver.Answer { return cutserver.Answer{Bytes: text} })
	c, err := New(Options{Entries: []string{url}, HTTP: httpClient})
	assert.NilError(t, err)
	defer c.Close()
	return c.Do(t.Context(), &Call{Name: "chat", Timeout: callTimeout})
}

// TestBrokenAnswerLeavesTheOutcomeUnknown guards against bytes that are no answer of an entry counting
// as one, or as a refusal after which the call may be repeated.
func TestBrokenAnswerLeavesTheOutcomeUnknown(t *testing.T) {
	const refusal = `{"code":2001,"name":"queue_full","message":"m","ran":"no","effects":"no"}`
	clients := map[string]*http.Client{"own": nil, "of the caller": {}, "of the caller, with a transport": {Transport: &http.Transport{}}}
	for _, begin := range []string{
		"HTTP/1.1 000 OK\r\n",
		"HTTP/1.1 101 Switching Protocols\r\n",
		"HTTP/1.1 200 OK\r\nOther Field: a\r\n",
		"HTTP/1.1 200 OK\r\nOther : a\r\n",
		"HTTP/1.1 200 OK\r\nOther: a\r\n Field: a\r\n",
		"HTTP/1.1 103 Early Hints\r\nOther Field: a\r\n\r\nHTTP/1.1 200 OK\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nOther Field: a\r\n",
	} {
		for name, httpClient := range clients {
			if name != "own" && (strings.Contains(begin, "\r\n ") || strings.Contains(begin, "103")) {
				// These show only on connections that the client opens itself.
				continue
			}
			t.Run(fmt.Sprintf("%.40q, client %s", begin, name), func(t *testing.T) {
				t.Parallel()
				body := answerEvents
				if strings.Contains(begin, "503") {
					body = refusal
				}
				answer, err := do(t, httpClient, begin+"Content-Type: text/event-stream\r\n\r\n"+body)
				assert.Assert(t, answer == nil)
				assert.Assert(t, errors.Is(err, ErrOutcomeUnknown), "%v", err)
			})
		}
	}
	for _, httpClient := range clients {
		answer, err := do(t, httpClient, "HTTP/1.1 200 OK\r\nOTHER: \xe9\r\nContent-Type: text/event-stream\r\n\r\n"+answerEvents)
		assert.NilError(t, err)
		assert.Equal(t, answer.Stages[0].Text, "x")
	}
}
