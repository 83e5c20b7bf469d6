package node

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/routes"
)

// connPhase is the part of the HTTP exchange that a client connection waits for.
type connPhase uint8

const (
	// phaseHeader waits for a request header.
	phaseHeader connPhase = iota
	// phaseBody waits for the rest of a request.
	phaseBody
	// phaseIdle waits for the first byte of the next request.
	phaseIdle
)

// clientListener applies the time limits of the configuration to client connections, in
// place of those of the HTTP server. The limits in force when a wait begins apply.
type clientListener struct {
	net.Listener
	limits func() routes.Limits
	// active is the number of connections on which the head of a request has arrived and whose
	// response is not written completely. opened is the number of connections without a first
	// request that were accepted within firstRequestTime.
	active, opened atomic.Int64
}

// Accept implements net.Listener.
func (l *clientListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &clientConn{Conn: c, listener: l, opened: true}
	l.opened.Add(1)
	time.AfterFunc(firstRequestTime, conn.endOpening)
	return conn, nil
}

const (
	// writePollInterval is the time between two checks for answers that are being written.
	writePollInterval = 5 * time.Millisecond
	// quietPolls is the number of checks in a row that find none: a request that has arrived at
	// the machine is not counted before the process has read its head.
	quietPolls = 10
	// firstRequestTime is how long a stopping process waits for the first request on a new
	// connection: most clients send it at once.
	firstRequestTime = 500 * time.Millisecond
	// quietTimeout bounds the wait for requests that are about to arrive.
	quietTimeout = 600 * time.Millisecond
)

// awaitAnswers waits until the answers on all connections are written: a request's handler returns
// before the HTTP server has written the end of its answer. Then it waits until no request is
// about to arrive, for quietTimeout at most, since some clients do not know of the stop yet.
func (l *clientListener) awaitAnswers(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	pollUntilQuiet(deadline, 1, l.allWritten)
	if latest := time.Now().Add(quietTimeout); latest.Before(deadline) {
		deadline = latest
	}
	pollUntilQuiet(deadline, quietPolls, func() bool { return l.allWritten() && l.opened.Load() == 0 })
}

// allWritten reports whether no answer is being written or awaited.
func (l *clientListener) allWritten() bool { return l.active.Load() == 0 }

// pollUntilQuiet polls isQuiet until it returned true for the given number of times in a row, or
// until the deadline.
func pollUntilQuiet(deadline time.Time, polls int, isQuiet func() bool) {
	for quiet := 0; quiet < polls && time.Now().Before(deadline); {
		quiet++
		if !isQuiet() {
			quiet = 0
		}
		time.Sleep(writePollInterval)
	}
}

// clientConn is a client connection with configurable time limits.
type clientConn struct {
	net.Conn
	listener *clientListener

	mu    sync.Mutex
	phase connPhase
	// active and opened are set while the listener counts the connection as such.
	active, opened bool
}

// trackConnState records the state that the HTTP server reports for a connection.
func trackConnState(c net.Conn, state http.ConnState) {
	conn, ok := c.(*clientConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		conn.setPhase(phaseBody, true)
	case http.StateIdle:
		conn.setPhase(phaseIdle, false)
	case http.StateClosed, http.StateHijacked:
		conn.setPhase(phaseHeader, false)
	}
}

// endOpening makes the listener no longer count the connection as opened.
func (c *clientConn) endOpening() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.opened {
		c.opened = false
		c.listener.opened.Add(-1)
	}
}

func (c *clientConn) setPhase(p connPhase, active bool) {
	defer c.endOpening()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = p
	if active == c.active {
		return
	}
	c.active = active
	if active {
		c.listener.active.Add(1)
	} else {
		c.listener.active.Add(-1)
	}
}

// SetReadDeadline implements net.Conn. The HTTP server sets a deadline when it begins to
// wait for a request, and further ones once the first byte of the header has arrived.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case t.IsZero():
	case c.phase == phaseIdle:
		t = deadlineAfter(t, c.listener.limits().IdleTimeout)
		c.phase = phaseHeader
	case c.phase == phaseHeader:
		t = deadlineAfter(t, c.listener.limits().HeaderTimeout)
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the sending direction of the connection, if it has one of its own, so that
// its client gets a response whose request it is still sending.
func (c *clientConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// deadlineAfter returns the time at which a timeout that begins now ends, or fallback if
// there is no timeout.
func deadlineAfter(fallback time.Time, timeout time.Duration) time.Time {
	if timeout <= 0 {
		return fallback
	}
	return time.Now().Add(timeout)
}
