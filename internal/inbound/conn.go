package inbound

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/connlimit"
)

// Conn is a connection that a Guard bounds.
type Conn struct {
	net.Conn
	guard *Guard
	entry *connlimit.Conn
	// active is set while the connection has a request.
	active atomic.Bool
	// hasWriteDeadline is set while a handler has set a deadline for writes.
	hasWriteDeadline atomic.Bool
	closeOnce        sync.Once
	// established is set for a connection that has shown to be one of those that its listener is
	// for; see Establish. It is changed while mu is held.
	established atomic.Bool

	mu sync.Mutex
	// received is set once the request has arrived as a whole.
	received bool
	// headBytes is the memory of the head that has arrived so far; lastBytes is that of what
	// was read last, which may belong to the next request.
	headBytes, lastBytes int64
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.limitSilence()
	n, err := c.Conn.Read(p)
	if n > 0 && !c.established.Load() {
		c.count(p[:n])
	}
	return n, err
}

// limitSilence bounds the time until something is received, unless the connection is established.
func (c *Conn) limitSilence() {
	timeout := c.guard.opts.SilenceTimeout
	if timeout == 0 || c.established.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.established.Load() {
		_ = c.Conn.SetReadDeadline(time.Now().Add(timeout))
	}
}

// count counts what has been read.
func (c *Conn) count(p []byte) {
	added := c.countHead(p)
	c.guard.change(func(now time.Duration) []*connlimit.Conn {
		c.guard.table.Progress(now, c.entry, len(p))
		return c.guard.table.Resize(now, c.entry, added)
	}, c)
}

// countHead returns the memory that p takes if it belongs to the head of a request, else 0.
func (c *Conn) countHead(p []byte) int64 {
	isBody := c.active.Load()
	if isBody && len(p) > bufferedBytes {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.established.Load() {
		return 0
	}
	c.lastBytes = int64(bytes.Count(p, []byte{'\n'}))*lineBytes + int64(len(p))*headCopies
	if isBody {
		return 0
	}
	c.headBytes += c.lastBytes
	return c.lastBytes
}

// Write implements net.Conn. A client that reads nothing is waited for, for unreadAnswerTimeout at
// most unless the handler has set another deadline.
func (c *Conn) Write(p []byte) (int, error) {
	if c.established.Load() {
		return c.Conn.Write(p)
	}
	c.limitWrite()
	c.waitForClient()
	n, err := c.Conn.Write(p)
	c.resume()
	return n, err
}

// limitWrite sets the deadline of a write, unless the handler has set one or the connection is
// established.
func (c *Conn) limitWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasWriteDeadline.Load() && !c.established.Load() {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(unreadAnswerTimeout))
	}
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.hasWriteDeadline.Store(!t.IsZero())
	return c.Conn.SetWriteDeadline(t)
}

// CloseWrite closes the sending direction of the connection, if it has one of its own.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() { c.guard.leave(c) })
	return c.Conn.Close()
}

// abort closes the connection and discards what its client has not read.
func (c *Conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}

// waitForClient records that the connection begins to wait for its client.
func (c *Conn) waitForClient() {
	c.guard.change(func(now time.Duration) []*connlimit.Conn {
		c.guard.table.Receive(now, c.entry)
		return nil
	}, c)
}

// resume records the end of a wait for the client to read.
func (c *Conn) resume() {
	c.mu.Lock()
	received := c.received
	c.mu.Unlock()
	if received {
		c.serve()
	}
}

// serve records that the connection waits for the process.
func (c *Conn) serve() {
	c.guard.change(func(time.Duration) []*connlimit.Conn {
		c.guard.table.Serve(c.entry)
		return nil
	}, c)
}

// requestReceived is described at RequestReceived.
func (c *Conn) requestReceived() {
	c.mu.Lock()
	c.received = true
	c.mu.Unlock()
	c.serve()
}

// Establish records that the other end of a connection without HTTP has shown to be one of those
// that the listener is for. From now on the connection is not closed for the sake of others, and
// holds none of the memory, which is for those that are not established. Its limits in time are for
// its user to set, until EndSession is called.
func (c *Conn) Establish() {
	c.mu.Lock()
	c.received = true
	_ = c.Conn.SetDeadline(time.Time{})
	counted := c.headBytes
	if !c.established.Swap(true) {
		counted += connectionBytes
	}
	c.headBytes = 0
	c.mu.Unlock()
	c.guard.change(func(now time.Duration) []*connlimit.Conn {
		c.guard.table.Serve(c.entry)
		return c.guard.table.Resize(now, c.entry, -counted)
	}, c)
}

// trackState records the state that an HTTP server reports for the connection.
func (c *Conn) trackState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.guard.setActive(c, true)
	case http.StateIdle:
		c.endRequest()
	}
}

// endRequest records that the answer is written.
func (c *Conn) endRequest() {
	c.guard.setActive(c, false)
	c.hasWriteDeadline.Store(false)
	c.mu.Lock()
	c.received = false
	change := c.lastBytes - c.headBytes
	c.headBytes = c.lastBytes
	c.mu.Unlock()
	c.guard.change(func(now time.Duration) []*connlimit.Conn {
		c.guard.table.Idle(now, c.entry)
		ended := c.guard.table.SetUnread(now, c.entry, 0)
		return append(ended, c.guard.table.Resize(now, c.entry, change)...)
	}, c)
}

type contextKey struct{}

// withConn returns a context with the connection of a request.
func withConn(ctx context.Context, c *Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// RequestReceived records that the request with the given context has arrived as a whole. Its
// connection is not closed for the sake of others until the answer is written.
func RequestReceived(ctx context.Context) {
	if c, ok := ctx.Value(contextKey{}).(*Conn); ok {
		c.requestReceived()
	}
}

// EndSession ends the connection if it receives nothing for the SilenceTimeout of its guard.
func EndSession(c any) {
	if conn, ok := c.(*Conn); ok && conn.guard.opts.SilenceTimeout > 0 {
		_ = conn.Conn.SetReadDeadline(time.Now().Add(conn.guard.opts.SilenceTimeout))
	}
}

// Establish calls Conn.Establish if c is a connection that a guard bounds.
func Establish(c any) {
	if conn, ok := c.(*Conn); ok {
		conn.Establish()
	}
}
