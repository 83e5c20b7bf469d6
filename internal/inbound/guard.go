// Package inbound bounds what the connections that a process accepts take together: descriptors,
// memory for the heads of requests and for what has not been read, and goroutines. It closes the
// connections that package connlimit chooses.
package inbound

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"github.com/magnoliawheel/magnoliawheel/core/connlimit"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/telemetry"
)

const (
	// connectionBytes is the memory of a connection without a request: its goroutine, its
	// buffers and its state.
	connectionBytes = 16 << 10
	// lineBytes is the memory of a line of a request head beyond its own bytes: an entry of a
	// map, its copy for the server, and their strings. headCopies is how often the bytes of a
	// head are held.
	lineBytes  = 300
	headCopies = 2
	// bufferedBytes is the largest part of a request that the HTTP server may have read ahead.
	bufferedBytes = 4 << 10
	// unreadAnswerTimeout bounds a write to a client that reads nothing, unless the handler has
	// set a deadline of its own.
	unreadAnswerTimeout = 10 * time.Second
	// unreadPollInterval is the time between two measurements of what connections have sent
	// ahead of their answers, while there are so many that it may matter.
	unreadPollInterval = 10 * time.Millisecond
	// unreadShare is the part of the memory for connections up to which it does not matter.
	unreadShare = 0.25
	// minBacklog is the smallest number of connections that may wait to be accepted, and
	// backlogShare the part of the memory for connections that their receive buffers may fill.
	minBacklog   = 32
	backlogShare = 0.25
	// logInterval is the shortest time between two log lines about closed connections.
	logInterval = time.Second
)

// Options configures a Guard.
type Options struct {
	// Name is the kind of the connections in log lines and metrics.
	Name   string
	Limits connlimit.Limits
	// ReceiveBufferBytes is the size of the kernel's buffer for what a connection has received.
	ReceiveBufferBytes int
	// Backlog is the number of connections that may wait to be accepted; 0 derives it from the
	// memory and the size of the buffers.
	Backlog int
	// SilenceTimeout, if set, is how long a connection may receive nothing.
	SilenceTimeout time.Duration
	Log            logr.Logger
	Scope          tally.Scope
}

// Guard bounds the connections of one or more listeners together. It is safe for concurrent use.
type Guard struct {
	opts Options
	log  *telemetry.RateLimitedLogger
	// closed counts the connections that were closed because of the limits.
	closed      tally.Counter
	open, bytes tally.Gauge
	// startTime is that of the guard; times are relative to it.
	startTime time.Time
	// active is the number of connections with a request. At maxUnmeasured, measure wakes Run.
	active        atomic.Int64
	maxUnmeasured int64
	measure       chan struct{}

	mu    sync.Mutex
	table *connlimit.Table
	conns map[*connlimit.Conn]*Conn
}

// NewGuard returns a guard without connections.
func NewGuard(o Options) *Guard {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	scope := o.Scope.Tagged(map[string]string{"listener": o.Name})
	return &Guard{
		opts: o, startTime: time.Now(), log: telemetry.NewRateLimitedLogger(o.Log, logInterval),
		closed: scope.Counter("connections_closed_for_limits"), open: scope.Gauge("connections"), bytes: scope.Gauge("connection_bytes"),
		maxUnmeasured: int64(unreadShare * float64(o.Limits.Bytes) / float64(max(o.ReceiveBufferBytes, 1))), measure: make(chan struct{}, 1),
		table: connlimit.NewTable(o.Limits), conns: map[*connlimit.Conn]*Conn{},
	}
}

// Open listens on an address; see Wrap.
func (g *Guard) Open(address string) (net.Listener, error) {
	backlog := g.opts.Backlog
	if backlog == 0 {
		backlog = int(backlogShare * float64(g.opts.Limits.Bytes) / float64(g.opts.ReceiveBufferBytes))
	}
	return listenTCP(address, g.opts.ReceiveBufferBytes, max(minBacklog, backlog))
}

// Wrap returns a listener whose connections the guard bounds, besides those that are not accepted.
func (g *Guard) Wrap(lis net.Listener) net.Listener { return &listener{Listener: lis, guard: g} }

// Run measures what connections have sent ahead of their answers until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.measure:
		}
		for g.active.Load() > g.maxUnmeasured && clock.Sleep(ctx, unreadPollInterval) {
			g.measureUnread()
		}
	}
}

// setActive records whether a connection has a request.
func (g *Guard) setActive(c *Conn, active bool) {
	if c.active.Swap(active) == active {
		return
	}
	if !active {
		g.active.Add(-1)
		return
	}
	if g.active.Add(1) <= g.maxUnmeasured {
		return
	}
	select {
	case g.measure <- struct{}{}:
	default:
	}
}

// join adds a connection. It returns false if the limits leave no place for it.
func (g *Guard) join(c *Conn) bool {
	isOpen := g.change(func(now time.Duration) []*connlimit.Conn {
		entry, ended := g.table.Join(now, connectionBytes)
		c.entry = entry
		g.conns[entry] = c
		return ended
	}, c)
	g.report()
	return isOpen
}

// change applies a change to the table and closes the connections that make room for it. It
// reports whether c is not one of them.
func (g *Guard) change(apply func(now time.Duration) []*connlimit.Conn, c *Conn) bool {
	now := time.Since(g.startTime)
	g.mu.Lock()
	ended := apply(now)
	closing := make([]closingConn, 0, len(ended))
	for _, entry := range ended {
		closing = append(closing, closingConn{g.conns[entry], entry.Waited(now)})
		delete(g.conns, entry)
	}
	count, bytes := g.table.Len(), g.table.Bytes()
	g.mu.Unlock()
	isOpen := true
	for _, x := range closing {
		isOpen = isOpen && x.Conn != c
		g.close(x, count, bytes)
	}
	return isOpen
}

// closingConn is a connection that is closed because of the limits.
type closingConn struct {
	*Conn
	// waited is the time for which its client was waited for.
	waited time.Duration
}

// report updates the gauges.
func (g *Guard) report() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open.Update(float64(g.table.Len()))
	g.bytes.Update(float64(g.table.Bytes()))
}

// close closes a connection because of the limits.
func (g *Guard) close(c closingConn, count int, bytes int64) {
	g.closed.Inc(1)
	g.log.Info("Connection closed because the limits for all connections are reached.", "listener", g.opts.Name, "client", c.RemoteAddr().String(),
		"waited", c.waited, "connections", count, "max_connections", g.opts.Limits.Connections, "bytes", bytes, "max_bytes", g.opts.Limits.Bytes)
	c.abort()
}

// leave removes a connection that is closed.
func (g *Guard) leave(c *Conn) {
	g.setActive(c, false)
	g.mu.Lock()
	g.table.Leave(c.entry)
	delete(g.conns, c.entry)
	g.mu.Unlock()
	g.report()
}

// measureUnread counts what connections have sent ahead of their answers.
func (g *Guard) measureUnread() {
	for _, c := range g.activeConns() {
		n := int64(unreadBytes(c.Conn))
		g.change(func(now time.Duration) []*connlimit.Conn { return g.table.SetUnread(now, c.entry, n) }, c)
	}
}

// activeConns returns the connections with a request.
func (g *Guard) activeConns() []*Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	var active []*Conn
	for _, c := range g.conns {
		if c.active.Load() {
			active = append(active, c)
		}
	}
	return active
}

// listener wraps the connections of a listener.
type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: raw, guard: l.guard}
		if l.guard.join(c) {
			return c, nil
		}
	}
}
