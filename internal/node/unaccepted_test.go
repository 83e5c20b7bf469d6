package node

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/routes"
)

// TestUnacceptedConnectionsHoldTheProcess guards against requests that are reset, unread, because
// the process ends while their connections wait in the kernel to be accepted.
func TestUnacceptedConnectionsHoldTheProcess(t *testing.T) {
	const count, waitLimit, serveAfter = 64, 10 * time.Second, 50 * time.Millisecond
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &clientListener{Listener: lis, limits: func() routes.Limits { return routes.Limits{} }}
	answered := make(chan error, count)
	for range count {
		conn, reader := dial(t, lis.Addr().String())
		_, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		assert.NilError(t, err)
		go func() {
			_, err := http.ReadResponse(reader, nil)
			answered <- err
		}()
	}
	srv := &http.Server{Handler: http.NotFoundHandler(), ConnState: trackConnState}
	t.Cleanup(func() { _ = srv.Close() })
	time.AfterFunc(serveAfter, func() { _ = srv.Serve(l) })
	l.awaitAnswers(waitLimit)
	assert.Assert(t, !hasUnaccepted(lis))
	for range count {
		select {
		case err := <-answered:
			assert.NilError(t, err)
		case <-time.After(waitLimit):
			t.Fatal("a request is not answered")
		}
	}
}
