package node

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/routes"
)

// phase is what a connection of a client is expected to bring next.
type phase uint8

const (
	// phaseHeader is the head of a request.
	phaseHeader phase = iota
	// phaseRequest is the rest of a request.
	phaseRequest
	// phaseIdle is the first byte of the next request.
	phaseIdle
)

// clientListener gives the connections of clients the time limits of the configuration
// in force when they begin to wait, in place of the server's own.
type clientListener struct {
	net.Listener
	limits func() routes.Limits
}

// Accept implements net.Listener.
func (l *clientListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, limits: l.limits}, nil
}

// clientConn is a connection of a client.
type clientConn struct {
	net.Conn
	limits func() routes.Limits

	mu    sync.Mutex
	phase phase
}

// clientState follows the state that the HTTP server gives to a connection.
func clientState(c net.Conn, state http.ConnState) {
	cc, ok := c.(*clientConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		cc.enter(phaseRequest)
	case http.StateIdle:
		cc.enter(phaseIdle)
	}
}

func (c *clientConn) enter(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = p
}

// SetReadDeadline implements net.Conn. The server sets a deadline when it begins to
// wait for a request, and others with the first byte of the head.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case t.IsZero():
	case c.phase == phaseIdle:
		t = within(t, c.limits().IdleTimeout)
		c.phase = phaseHeader
	case c.phase == phaseHeader:
		t = within(t, c.limits().HeaderTimeout)
	}
	return c.Conn.SetReadDeadline(t)
}

// within returns the end of a limit that begins now, or t if there is no limit.
func within(t time.Time, limit time.Duration) time.Time {
	if limit <= 0 {
		return t
	}
	return time.Now().Add(limit)
}
