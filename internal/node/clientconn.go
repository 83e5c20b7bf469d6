package node

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/magnoliawheel/magnoliawheel/core/routes"
	"github.com/magnoliawheel/magnoliawheel/internal/inbound"
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

	mu sync.Mutex
	// waiting are the connections on which a request has arrived whose response is not written
	// completely, and the new ones without a request, with the time since which they are so.
	waiting map[*clientConn]waitingConn
}

// waitingConn is what a connection waits for.
type waitingConn struct {
	since time.Time
	// hasRequest is set once the head of a request has been read.
	hasRequest bool
}

// Accept implements net.Listener.
func (l *clientListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &clientConn{Conn: c, listener: l}
	l.setWaiting(conn, waitingConn{since: time.Now()})
	return conn, nil
}

func (l *clientListener) setWaiting(c *clientConn, w waitingConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiting == nil {
		l.waiting = map[*clientConn]waitingConn{}
	}
	l.waiting[c] = w
}

func (l *clientListener) endWaiting(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, c)
}

// unwritten returns the number of connections with a request whose response is not written
// completely.
func (l *clientListener) unwritten() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, w := range l.waiting {
		if w.hasRequest {
			n++
		}
	}
	return n
}

const (
	// writePollInterval is the time between two checks for answers that are being written.
	writePollInterval = 5 * time.Millisecond
	// firstRequestTime is how long a stopping process waits for the first request on a new
	// connection: most clients send it at once.
	firstRequestTime = 500 * time.Millisecond
	// crossingTime is the age up to which the end of the process may cross a request that came
	// after the last one was handled, so that clients which do not know of the stop yet do not
	// hold it.
	crossingTime = 100 * time.Millisecond
)

// awaitAnswers waits until the answers on all connections are written: a request's handler returns
// before the HTTP server has written the end of its answer. It also waits for those that have
// arrived since, for the connections that the kernel holds, and for what new connections are about
// to bring, except what is younger than crossingTime.
func (l *clientListener) awaitAnswers(timeout time.Duration) {
	start := time.Now()
	for (hasUnaccepted(l.Listener) || l.holdsProcess(start)) && time.Since(start) < timeout {
		time.Sleep(writePollInterval)
	}
}

// hasUnaccepted reports whether the kernel holds connections of a listener that are not accepted.
func hasUnaccepted(lis net.Listener) bool {
	socket, ok := lis.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) { n, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0) })
	return err == nil && n > 0
}

// holdsProcess reports whether the process must wait for a connection. All requests from before
// the given time have been handled.
func (l *clientListener) holdsProcess(handled time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.waiting {
		age := time.Since(w.since)
		isCrossing := w.since.After(handled) && age < crossingTime
		if w.hasRequest && !isCrossing || !w.hasRequest && age < firstRequestTime {
			return true
		}
	}
	return false
}

// clientConn is a client connection with configurable time limits.
type clientConn struct {
	net.Conn
	listener *clientListener

	mu    sync.Mutex
	phase connPhase
}

// trackConnState records the state that the HTTP server reports for a connection.
func trackConnState(c net.Conn, state http.ConnState) {
	conn, ok := c.(*clientConn)
	if !ok {
		return
	}
	inbound.TrackState(conn.Conn, state)
	switch state {
	case http.StateActive:
		conn.setPhase(phaseBody)
		conn.listener.setWaiting(conn, waitingConn{since: time.Now(), hasRequest: true})
	case http.StateIdle:
		conn.setPhase(phaseIdle)
		conn.listener.endWaiting(conn)
	case http.StateClosed, http.StateHijacked:
		conn.listener.endWaiting(conn)
	}
}

func (c *clientConn) setPhase(p connPhase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = p
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

// Unwrap returns the connection that c limits.
func (c *clientConn) Unwrap() net.Conn { return c.Conn }

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
