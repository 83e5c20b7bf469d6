package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/platform/standin"
	"github.com/magnoliawheel/magnoliawheel/test/cutserver"
)

const (
	lastEvents = "id: 2\ndata: token 2 of r\n\nid: 3\ndata: token 3 of r\n\n"
	// minRetried is the number of requests of a test that must have got another attempt at least,
	// where one is allowed; the retry budget bounds them.
	minRetried = 50
)

// cutHeads makes servers of a fleet cut the head of their first answers to each request.
type cutHeads struct {
	t    *testing.T
	path string
	end  cutserver.End
	// broken is set if the first attempt sends the first event and breaks off.
	broken bool

	mu sync.Mutex
	// status is that of the answer that is cut after length bytes.
	status, length int
	// attempts is the number of attempts by request.
	attempts map[string]int
}

// body is the body of a whole answer to the first attempt of a request.
func (c *cutHeads) body() string {
	if c.path == standin.PathSafe || c.path == standin.PathUnsafe {
		return "own"
	}
	return firstEvent + lastEvents
}

// head returns the head of the answer that is cut.
func (c *cutHeads) head(id string, status int) string {
	whole := responseBytes(c.t, status, id, c.body(), func(h http.Header) {
		h.Set("Content-Type", "text/event-stream")
		if status == http.StatusOK {
			standin.SetSignature(h, "s")
		} else {
			standin.SetNotExecuted(h)
		}
	})
	return strings.TrimSuffix(whole, c.body())
}

// answer answers a request in place of a server.
func (c *cutHeads) answer(w http.ResponseWriter, r *http.Request) bool {
	id := standin.RequestID(r.Header)
	c.mu.Lock()
	c.attempts[id]++
	attempt, status, length := c.attempts[id], c.status, c.length
	c.mu.Unlock()
	cutAttempt := 1
	if c.broken {
		cutAttempt = 2
		if attempt == 1 {
			breakOffAfter(firstEvent)(w)
		}
	}
	if attempt == cutAttempt {
		c.cut(w, c.head(id, status)[:length])
		return true
	}
	standin.SetSignature(w.Header(), "s")
	w.Header().Set("Content-Type", "text/event-stream")
	body := c.body()
	if c.broken {
		body = lastEvents
	}
	_, _ = io.WriteString(w, body)
	return true
}

// cut sends part of an answer and ends the connection.
func (c *cutHeads) cut(w http.ResponseWriter, part string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if !assert.Check(c.t, err) {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, part)
	if c.end == cutserver.Reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// TestCutHeadIsNoAnswer guards against the head of an answer, cut by a server that stopped within
// it, reaching the client as a success or as a refusal of a request that ran.
func TestCutHeadIsNoAnswer(t *testing.T) {
	for _, tt := range []struct {
		name, path string
		broken     bool
		// attempts is the largest number of attempts, served whether the last one answers.
		attempts int
		served   bool
	}{
		{"safe", standin.PathSafe, false, 2, true},
		{"unsafe", standin.PathUnsafe, false, 1, false},
		{"resumable stream", standin.PathResumable, false, 2, true},
		{"continuation of a stream", standin.PathResumable, true, 2, false},
	} {
		for _, end := range cutserver.Ends {
			t.Run(fmt.Sprintf("%s, %s", tt.name, end), func(t *testing.T) {
				t.Parallel()
				c := &cutHeads{t: t, path: tt.path, end: end, broken: tt.broken, attempts: map[string]int{}}
				served := c.requestAll(startAnsweredBy(t, c.answer))
				assert.Assert(t, tt.served && served >= minRetried || !tt.served && served == 0, "%d served", served)
				retried := c.countAttempts(tt.attempts)
				assert.Assert(t, retried >= minRetried, "%d requests with %d attempts", retried, tt.attempts)
				assert.Equal(t, c.countAttempts(tt.attempts+1), 0)
			})
		}
	}
}

// requestAll sends a request for each byte after which a success and a refusal are cut. It returns
// how many were served.
func (c *cutHeads) requestAll(e *runningEntry) (served int) {
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable, http.StatusMisdirectedRequest} {
		for length := range len(c.head("100-100", status)) {
			c.mu.Lock()
			c.status, c.length = status, length
			c.mu.Unlock()
			id := fmt.Sprintf("%d-%03d", status, length)
			call := keyedCall(c.path, id, "key-1")
			call.body = id
			if c.check(id, e.do(call)) {
				served++
			}
		}
	}
	return served
}

// countAttempts returns the number of requests with at least n attempts.
func (c *cutHeads) countAttempts(n int) (requests int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, attempts := range c.attempts {
		if attempts >= n {
			requests++
		}
	}
	return requests
}

// check checks what the client got, and reports whether that is the whole answer.
func (c *cutHeads) check(id string, got reply) bool {
	c.t.Helper()
	if got.err == nil && got.status == http.StatusOK {
		assert.Equal(c.t, got.body, c.body(), id)
		assert.Assert(c.t, c.attempts[id] > 1, id)
		return true
	}
	if c.broken {
		assert.Assert(c.t, got.err != nil && got.body == firstEvent, "%s: %d %q", id, got.status, got.body)
		return false
	}
	assert.NilError(c.t, got.err, id)
	assert.Equal(c.t, got.status, http.StatusBadGateway, "%s: %s", id, got.body)
	return false
}

// TestEmptyResponsesOfSoundServersAreRelayed guards against a response without a body being taken
// for one that was broken off although it says that it has none, or is no success.
func TestEmptyResponsesOfSoundServersAreRelayed(t *testing.T) {
	f := newFleet(t)
	f.putConfig()
	var head string
	f.startServer("plain", "p", 0).SetHandler(func(w http.ResponseWriter, _ *http.Request) bool {
		conn, _, err := http.NewResponseController(w).Hijack()
		if assert.Check(t, err) {
			_, _ = io.WriteString(conn, head)
			_ = conn.Close()
		}
		return true
	})
	e := f.startEntry("e1", 0).waitReady().waitRegistered()
	signed := http.Header{}
	standin.SetSignature(signed, "s")
	var signature strings.Builder
	_ = signed.Write(&signature)
	for i, tt := range []struct {
		status int
		rest   string
		body   string
	}{
		{http.StatusOK, "Content-Length: 0\r\n\r\n", ""},
		{http.StatusOK, "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ""},
		{http.StatusOK, "\r\nown", "own"},
		{http.StatusNoContent, "\r\n", ""},
		{http.StatusNotFound, "\r\n", ""},
		{http.StatusInternalServerError, "\r\n", ""},
	} {
		head = fmt.Sprintf("HTTP/1.1 %d Text\r\n%s%s", tt.status, signature.String(), tt.rest)
		got := e.do(keyedCall(standin.PathUnsafe, fmt.Sprint("r", i), "key-1"))
		assert.NilError(t, got.err, head)
		assert.Equal(t, got.status, tt.status, "%s: %s", head, got.body)
		assert.Equal(t, got.body, tt.body, head)
	}
	head = "HTTP/1.1 200 OK\r\n" + signature.String() + "\r\n"
	req, err := http.NewRequest(http.MethodHead, e.baseURL+standin.PathUnsafe, nil)
	assert.NilError(t, err)
	req.Host = standin.Host
	standin.ClientHeader{RequestID: "head", APIKey: "key-1"}.SetOn(req.Header)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}
