package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// scriptedServer answers the requests on its connections as a script says.
type scriptedServer struct {
	address string
	// connections and requests count all connections and requests.
	connections, requests atomic.Int64
}

// startServer starts a server that calls answer for each request. answer writes the response to
// request number n of connection number c, both from 1, and returns false to close the
// connection.
func startServer(t *testing.T, answer func(conn net.Conn, c, n int) bool) *scriptedServer {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	s := &scriptedServer{address: lis.Addr().String()}
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, int(s.connections.Add(1)), answer)
		}
	}()
	return s
}

func (s *scriptedServer) serve(conn net.Conn, c int, answer func(conn net.Conn, c, n int) bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		s.requests.Add(1)
		if !answer(conn, c, n) {
			return
		}
	}
}

// writeResponse writes a response with status 200.
func writeResponse(conn net.Conn, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// do sends a request on a connection that may be reused and returns the body of its response.
func do(t *testing.T, client *Client, s *scriptedServer) string {
	t.Helper()
	resp, err := client.Do(context.Background(), &Request{Address: s.address, Method: http.MethodPost, Target: "/", Host: "h", ReuseConnection: true})
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return string(body)
}

// TestSoundConnectionIsReused guards against new connections for requests to a sound server,
// which are limited.
func TestSoundConnectionIsReused(t *testing.T) {
	s := startServer(t, func(conn net.Conn, _, n int) bool {
		writeResponse(conn, fmt.Sprint(n))
		return true
	})
	client := New()
	for i := range 50 {
		assert.Equal(t, do(t, client, s), fmt.Sprint(i+1))
	}
	assert.Equal(t, s.connections.Load(), int64(1))
}

// TestCopyOnIdleConnectionIsNotTakenForTheNextResponse guards against a response of an earlier
// request: the server has sent a second copy of it on the idle connection, where it lies unread
// when the connection is used again.
func TestCopyOnIdleConnectionIsNotTakenForTheNextResponse(t *testing.T) {
	firstRead, copied := make(chan struct{}), make(chan struct{})
	s := startServer(t, func(conn net.Conn, c, n int) bool {
		writeResponse(conn, fmt.Sprint("connection ", c))
		if c == 1 && n == 1 {
			<-firstRead
			writeResponse(conn, "connection 1")
			close(copied)
		}
		return true
	})
	client := New()
	assert.Equal(t, do(t, client, s), "connection 1")
	close(firstRead)
	<-copied
	assert.Equal(t, do(t, client, s), "connection 2")
	assert.Equal(t, do(t, client, s), "connection 2")
	assert.Equal(t, s.connections.Load(), int64(2))
}

// TestIdleConnectionThatServerClosedIsNotUsed guards against a request that is lost because its
// server had closed the idle connection before the request was sent.
func TestIdleConnectionThatServerClosedIsNotUsed(t *testing.T) {
	s := startServer(t, func(conn net.Conn, c, _ int) bool {
		writeResponse(conn, fmt.Sprint("connection ", c))
		return false
	})
	client := New()
	assert.Equal(t, do(t, client, s), "connection 1")
	waitUntilClosed(t, client, s.address)
	assert.Equal(t, do(t, client, s), "connection 2")
}

// waitUntilClosed waits until the end of the only idle connection to an address has arrived.
func waitUntilClosed(t *testing.T, client *Client, address string) {
	t.Helper()
	const waitLimit = 10 * time.Second
	cn := client.idleConns[address][0]
	assert.NilError(t, cn.SetReadDeadline(time.Now().Add(waitLimit)))
	_, err := cn.reader.Peek(1)
	assert.ErrorIs(t, err, io.EOF)
	assert.NilError(t, cn.SetReadDeadline(time.Time{}))
}

// TestResponsesBeforeItsOwnAreSkipped guards against a request that counts as not run because a
// refusal of another request, or an interim response, arrives before its own response.
func TestResponsesBeforeItsOwnAreSkipped(t *testing.T) {
	const idHeader = "Id"
	for _, before := range []string{
		"HTTP/1.1 503 Service Unavailable\r\nId: other\r\nContent-Length: 4\r\n\r\nfull",
		"HTTP/1.1 503 Service Unavailable\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
		"HTTP/1.1 421 Misdirected Request\r\nId: other\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 429 Too Many Requests\r\nId: other\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nId: other\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n",
	} {
		s := startServer(t, func(conn net.Conn, _, _ int) bool {
			_, _ = io.WriteString(conn, before+"HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 3\r\n\r\nown")
			return true
		})
		resp, err := New().Do(context.Background(), &Request{
			Address: s.address, Method: http.MethodPost, Target: "/", Host: "h",
			Matches: func(h http.Header) bool { return h.Get(idHeader) == "" || h.Get(idHeader) == "own" },
		})
		assert.NilError(t, err, before)
		assert.Equal(t, resp.StatusCode, http.StatusOK, before)
		assert.NilError(t, resp.Body.Close())
	}
}
