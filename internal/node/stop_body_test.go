package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// stopTimeout is the longest time in which an entry without requests must stop.
const stopTimeout = 2 * time.Second

// sendPart sends the head of a request whose body has the given length, and the given part of the
// body, on a connection of its own.
func (e *runningEntry) sendPart(call clientCall, bodyBytes int, part string) net.Conn {
	e.fleet.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(e.baseURL, "http://"))
	assert.NilError(e.fleet.t, err)
	e.fleet.t.Cleanup(func() { _ = conn.Close() })
	header := http.Header{}
	for name, values := range call.extraHeader {
		header[name] = values
	}
	call.SetOn(header)
	var head strings.Builder
	assert.NilError(e.fleet.t, header.Write(&head))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%sContent-Length: %d\r\n\r\n%s", call.path, standin.Host, head.String(), bodyBytes, part)
	assert.NilError(e.fleet.t, err)
	return conn
}

// unsentBodyCalls are requests that are refused although a part of their bodies is not sent.
func unsentBodyCalls() map[string]clientCall {
	waitsForInterim := keyedCall("/no-such-route", "r", "key-1")
	waitsForInterim.extraHeader = http.Header{"Expect": {"100-continue"}}
	return map[string]clientCall{
		"unknown_route":              keyedCall("/no-such-route", "r", "key-1"),
		"waits_for_interim_response": waitsForInterim,
		"body_not_received":          keyedCall(standin.PathUnsafe, "r", "key-1"),
	}
}

// TestUnsentBodyDoesNotDelayStop guards against a process that stops late because of the rest of a
// body that a client never sends, although the request is refused.
func TestUnsentBodyDoesNotDelayStop(t *testing.T) {
	for name, call := range unsentBodyCalls() {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.startServer("plain", "p1", 0)
			f.putConfig()
			f.shutdownGrace = 8 * time.Second
			e := f.startMortalEntry(0)
			conn := e.sendPart(call, 1000, "")
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
			_, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			start := time.Now()
			e.stop()
			<-e.done
			assert.Assert(t, time.Since(start) < stopTimeout, "%s", time.Since(start))
		})
	}
}

// TestConnectionOfUnsentBodyIsClosed guards against a connection that stays open for ever after the
// refusal of a request, since its client never sends the rest of the body, and against a refusal
// that waits for that rest.
func TestConnectionOfUnsentBodyIsClosed(t *testing.T) {
	for name, call := range unsentBodyCalls() {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.startServer("plain", "p1", 0)
			f.putConfig()
			e := f.startMortalEntry(0)
			conn := e.sendPart(call, 1000, "")
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
			reader := bufio.NewReader(conn)
			resp, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			assert.Assert(t, resp.StatusCode >= http.StatusBadRequest)
			_, err = io.Copy(io.Discard, resp.Body)
			assert.NilError(t, err)
			_, err = reader.ReadByte()
			assert.ErrorIs(t, err, io.EOF)
		})
	}
}
