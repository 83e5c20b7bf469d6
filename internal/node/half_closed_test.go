package node

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// TestHalfClosedClientGetsNoSuccess guards against an empty success that no server gave, to a
// client that closed its sending direction while its request ran.
func TestHalfClosedClientGetsNoSuccess(t *testing.T) {
	for _, path := range []string{standin.PathSafe, standin.PathUnsafe, standin.PathStream} {
		t.Run(path, func(t *testing.T) {
			f := newFleet(t)
			release := make(chan struct{})
			sent := make(chan struct{}, 8)
			handler := blockUntil(release, sent)
			f.startServer("plain", "p1", 0).SetHandler(handler)
			f.startServer("model", "m1", 1).SetHandler(handler)
			t.Cleanup(func() { close(release) })
			f.putConfig()
			e := f.startMortalEntry(0)
			conn := e.sendPart(keyedCall(path, "r", "key-1"), 0, "")
			<-sent
			assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.Assert(t, err != nil, "%v", resp)
		})
	}
}
