package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/routes"
)

// serveLimited starts a server whose limits the test may change, and returns its
// address. Its handler responds once release is closed.
func serveLimited(t *testing.T, limits *atomic.Pointer[routes.Limits], release <-chan struct{}) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			<-release
			_, _ = io.WriteString(w, "ok")
		}),
		ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, ConnState: trackConnState,
	}
	go func() {
		_ = srv.Serve(&clientListener{Listener: lis, limits: func() routes.Limits { return *limits.Load() }})
	}()
	t.Cleanup(func() { _ = srv.Close() })
	return lis.Addr().String()
}

// dial returns a connection to address and a reader of its incoming data.
func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c, bufio.NewReader(c)
}

// sendRequest sends a request and reads the response.
func sendRequest(t *testing.T, c net.Conn, r *bufio.Reader) {
	t.Helper()
	_, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
}

// TestClientLimits checks that a connection is closed after the idle or header timeout
// that was in force when the wait began.
func TestClientLimits(t *testing.T) {
	const short, long = 50 * time.Millisecond, time.Hour
	released := make(chan struct{})
	close(released)
	tests := []struct {
		name   string
		limits routes.Limits
		// sent is sent before the test waits for the connection to be closed.
		sent string
		// requests is the number of requests answered before that.
		requests int
	}{
		{"idle after a request", routes.Limits{IdleTimeout: short, HeaderTimeout: long}, "", 1},
		{"idle after the second request", routes.Limits{IdleTimeout: short, HeaderTimeout: long}, "", 2},
		{"no request", routes.Limits{IdleTimeout: long, HeaderTimeout: short}, "", 0},
		{"incomplete header", routes.Limits{IdleTimeout: long, HeaderTimeout: short}, "GET / HTTP/1.1\r\nHo", 0},
		{"incomplete second header", routes.Limits{IdleTimeout: long, HeaderTimeout: short}, "GET / HTTP/1.1\r\nHo", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			limits := &atomic.Pointer[routes.Limits]{}
			limits.Store(&routes.Limits{IdleTimeout: long, HeaderTimeout: long})
			if tt.requests == 0 {
				limits.Store(&tt.limits)
			}
			c, r := dial(t, serveLimited(t, limits, released))
			for i := range tt.requests {
				if i == tt.requests-1 {
					limits.Store(&tt.limits)
				}
				sendRequest(t, c, r)
			}
			_, err := fmt.Fprint(c, tt.sent)
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, r)
			assert.NilError(t, err, "the connection is closed")
		})
	}
}

// TestRunningRequestIsNotIdle checks that the idle timeout does not apply while a
// request is being handled.
func TestRunningRequestIsNotIdle(t *testing.T) {
	limits := &atomic.Pointer[routes.Limits]{}
	limits.Store(&routes.Limits{IdleTimeout: time.Millisecond, HeaderTimeout: time.Hour})
	release := make(chan struct{})
	c, r := dial(t, serveLimited(t, limits, release))
	time.AfterFunc(50*time.Millisecond, func() { close(release) })
	sendRequest(t, c, r)
}
