// Package connlimit decides which of the connections that a process has accepted are closed when
// all of them together exceed a limit. The one that costs most is closed first: the product of the
// memory that it holds and the time for which it has waited for its client. Connections whose
// requests are being served cost nothing. The package does no I/O, and the time is a parameter.
package connlimit

import (
	"slices"
	"time"
)

const (
	// minRate is the number of bytes per second that a client must send to count as not waited
	// for. A client that sends more slowly is waited for a part of the time.
	minRate = 64 << 10
	// idleDivisor is for the time of connections without a request after an answer: clients
	// that use a connection again are not to make room for those that never sent a request.
	idleDivisor = 4
	// smallBytes is the memory of a connection with an ordinary request. Those that hold more
	// get at most largeShare of the memory, so that ordinary requests find some left.
	smallBytes = 48 << 10
	largeShare = 0.75
)

// Limits are the bounds for all connections together.
type Limits struct {
	// Connections is the largest number of connections, Bytes that of the bytes that they hold.
	Connections int
	Bytes       int64
}

// phase is what a connection waits for.
type phase uint8

const (
	// receiving waits for a request, or the rest of one, or for the client to read an answer.
	receiving phase = iota
	// idle waits for another request after an answer.
	idle
	// serving waits for the process.
	serving
)

// Conn is a connection.
type Conn struct {
	phase phase
	// waitingSince is valid unless the phase is serving.
	waitingSince time.Duration
	bytes        int64
	// unread is the part of bytes that the client has sent ahead of its answer, unreadSince the
	// time since when there is some.
	unread      int64
	unreadSince time.Duration
	ended       bool
}

// Waited returns the time for which the connection has waited for its client.
func (c *Conn) Waited(now time.Duration) time.Duration {
	switch {
	case c.phase == serving && c.unread > 0:
		return now - c.unreadSince
	case c.phase == serving:
		return 0
	case c.phase == idle:
		return (now - c.waitingSince) / idleDivisor
	}
	return now - c.waitingSince
}

// cost is what the connection costs the process, in byte-seconds.
func (c *Conn) cost(now time.Duration) float64 {
	bytes := c.bytes
	if c.phase == serving {
		bytes = c.unread
	}
	return float64(bytes) * c.Waited(now).Seconds()
}

// isLarge reports whether the connection holds more than an ordinary request needs.
func (c *Conn) isLarge() bool { return c.bytes > smallBytes }

// Table holds the connections of a process. It is not safe for concurrent use.
type Table struct {
	limits Limits
	conns  []*Conn
	// bytes is the memory of all connections, large that of the large ones.
	bytes, large int64
}

// NewTable returns a table without connections.
func NewTable(l Limits) *Table { return &Table{limits: l} }

// Len returns the number of connections, Bytes the memory that they hold.
func (t *Table) Len() int { return len(t.conns) }

// Bytes is described at Len.
func (t *Table) Bytes() int64 { return t.bytes }

// Join adds a connection that holds the given memory and waits for its first request. It returns
// the connections that are closed for it, which may include the new one.
func (t *Table) Join(now time.Duration, bytes int64) (c *Conn, ended []*Conn) {
	c = &Conn{waitingSince: now}
	for len(t.conns) >= t.limits.Connections {
		costliest := t.EndCostliest(now, 0)
		if costliest == nil {
			c.ended = true
			return c, append(ended, c)
		}
		ended = append(ended, costliest)
	}
	t.conns = append(t.conns, c)
	return c, append(ended, t.Resize(now, c, bytes)...)
}

// Leave removes a connection. One that was closed has left already.
func (t *Table) Leave(c *Conn) {
	if c.ended {
		return
	}
	t.add(c, -c.bytes)
	c.ended = true
	if i := slices.Index(t.conns, c); i >= 0 {
		last := len(t.conns) - 1
		t.conns[i], t.conns[last] = t.conns[last], nil
		t.conns = t.conns[:last]
	}
}

// Receive records that the connection begins to wait for its client.
func (t *Table) Receive(now time.Duration, c *Conn) { c.phase, c.waitingSince = receiving, now }

// Idle records that the connection begins to wait for another request after an answer.
func (t *Table) Idle(now time.Duration, c *Conn) { c.phase, c.waitingSince = idle, now }

// Serve records that the connection waits for the process: its request is being served.
func (t *Table) Serve(c *Conn) { c.phase = serving }

// Progress records that the client has sent or read n bytes.
func (t *Table) Progress(now time.Duration, c *Conn, n int) {
	credit := time.Duration(float64(n) / minRate * float64(time.Second))
	c.waitingSince = min(now, c.waitingSince+credit)
}

// Resize changes the memory that a connection holds by n bytes, which may be negative. It returns
// the connections that are closed for it, which may include c.
func (t *Table) Resize(now time.Duration, c *Conn, n int64) (ended []*Conn) {
	if c.ended {
		return nil
	}
	t.add(c, n)
	if n <= 0 {
		return nil
	}
	for t.isOver(c) && !c.ended {
		costliest := t.costliest(now, 0, t.bytes <= t.limits.Bytes)
		if costliest == nil {
			costliest = c
		}
		t.Leave(costliest)
		ended = append(ended, costliest)
	}
	return ended
}

// SetUnread sets the bytes that the client has sent ahead of its answer; see Resize.
func (t *Table) SetUnread(now time.Duration, c *Conn, n int64) (ended []*Conn) {
	if c.unread == 0 {
		c.unreadSince = now
	}
	change := n - c.unread
	c.unread = n
	return t.Resize(now, c, change)
}

// isOver reports whether the limits are exceeded, as far as c has a part in it.
func (t *Table) isOver(c *Conn) bool {
	return t.bytes > t.limits.Bytes || c.isLarge() && t.large > int64(largeShare*float64(t.limits.Bytes))
}

// add changes the memory of a connection by n bytes.
func (t *Table) add(c *Conn, n int64) {
	if c.isLarge() {
		t.large -= c.bytes
	}
	c.bytes += n
	t.bytes += n
	if c.isLarge() {
		t.large += c.bytes
	}
}

// EndCostliest removes the connection that costs most, of those that have waited for their clients
// at least for the given time, and returns it, or nil if there is none.
func (t *Table) EndCostliest(now, atLeast time.Duration) *Conn {
	c := t.costliest(now, atLeast, false)
	if c != nil {
		t.Leave(c)
	}
	return c
}

// costliest returns the connection that costs most, if onlyLarge is set of the large ones, or nil;
// see EndCostliest.
func (t *Table) costliest(now, atLeast time.Duration, onlyLarge bool) *Conn {
	var found *Conn
	highest := 0.0
	for _, c := range t.conns {
		if onlyLarge && !c.isLarge() || c.Waited(now) < atLeast {
			continue
		}
		if cost := c.cost(now); cost > highest {
			found, highest = c, cost
		}
	}
	return found
}
