// Package cachehint keeps what servers' cache events tell of their prefix
// caches. Events are late and have gaps, so that entries are hints with an age.
// It has no clock and no I/O.
package cachehint

import (
	"math"
	"time"
)

const (
	// half is the age at which a hint counts half.
	half = 30 * time.Second
	// forgotten is the age after which a hint is dropped.
	forgotten = 5 * time.Minute
	// perServer bounds the hints kept per server.
	perServer = 1024
)

// Event is one cache event of a server.
type Event struct {
	// Seq counts from 1 without gaps at the server.
	Seq     uint64
	Prefix  uint64
	Present bool
}

// Table holds the hints of all servers of a pool. It is not safe for concurrent use.
type Table struct {
	servers map[string]*cache
}

type cache struct {
	// next is the sequence number of the next event expected.
	next  uint64
	hints map[uint64]hint
}

type hint struct {
	seq     uint64
	at      time.Time
	present bool
}

// New returns an empty table.
func New() *Table { return &Table{servers: map[string]*cache{}} }

// Observe takes in events of a server, which may come late and again. After a
// gap nothing learned before it counts, since the lost events may have said
// otherwise.
func (t *Table) Observe(now time.Time, server string, events []Event) {
	c := t.servers[server]
	if c == nil {
		c = &cache{hints: map[uint64]hint{}}
		t.servers[server] = c
	}
	for _, e := range events {
		c.observe(now, e)
	}
}

// Forget drops all hints of a server, for use when its process was replaced.
func (t *Table) Forget(server string) { delete(t.servers, server) }

// Lookup returns how likely the server holds the prefix; known is false if
// nothing is known about it.
func (t *Table) Lookup(now time.Time, server string, prefix uint64) (likely float64, known bool) {
	c := t.servers[server]
	if c == nil {
		return 0, false
	}
	h, ok := c.hints[prefix]
	age := now.Sub(h.at)
	if !ok || age > forgotten {
		return 0, false
	}
	if !h.present {
		return 0, true
	}
	return math.Exp2(-float64(age) / float64(half)), true
}

// observe drops events that come out of order: whether one still holds depends
// on those after it, which may have been lost.
func (c *cache) observe(now time.Time, e Event) {
	if e.Seq < c.next {
		return
	}
	if e.Seq > c.next && c.next != 0 {
		clear(c.hints)
	}
	c.next = e.Seq + 1
	c.set(now, e)
}

func (c *cache) set(now time.Time, e Event) {
	if _, ok := c.hints[e.Prefix]; !ok && len(c.hints) >= perServer {
		c.evict()
	}
	c.hints[e.Prefix] = hint{seq: e.Seq, at: now, present: e.Present}
}

// evict drops the hint with the lowest sequence number.
func (c *cache) evict() {
	var prefix, least uint64
	for p, h := range c.hints {
		if least == 0 || h.seq < least {
			prefix, least = p, h.seq
		}
	}
	delete(c.hints, prefix)
}
