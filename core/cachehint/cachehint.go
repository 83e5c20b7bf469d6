// Package cachehint estimates which prompt prefixes servers have cached, based on
// their cache events. Events may arrive late or get lost, so the result is a
// probability that decreases with the age of the last event. The package performs no
// I/O and takes the current time as a parameter.
package cachehint

import (
	"math"
	"time"
)

const (
	// hintHalfLife is the age at which the probability given by a hint is 0.5.
	hintHalfLife = 30 * time.Second
	// maxHintAge is the age after which a hint is ignored.
	maxHintAge = 5 * time.Minute
	// maxHintsPerServer bounds the hints stored per server.
	maxHintsPerServer = 1024
)

// Event reports that a server added a prefix to its cache or evicted one.
type Event struct {
	// Seq numbers the events of a server from 1 without gaps.
	Seq uint64
	// Prefix is the hash of the prompt prefix.
	Prefix uint64
	// Present is false if the prefix was evicted.
	Present bool
}

// Table holds the hints of all servers of a pool. It is not safe for concurrent use.
type Table struct {
	servers map[string]*serverHints
}

type serverHints struct {
	// nextSeq is the sequence number expected next; 0 before the first event.
	nextSeq uint64
	hints   map[uint64]hint
}

type hint struct {
	seq        uint64
	observedAt time.Time
	present    bool
}

// New returns an empty table.
func New() *Table { return &Table{servers: map[string]*serverHints{}} }

// Observe records events of a server, which may be delayed or duplicated. A gap in the
// sequence numbers discards all earlier hints of the server, because the lost events
// may have invalidated them.
func (t *Table) Observe(now time.Time, server string, events []Event) {
	c := t.servers[server]
	if c == nil {
		c = &serverHints{hints: map[uint64]hint{}}
		t.servers[server] = c
	}
	for _, e := range events {
		c.apply(now, e)
	}
}

// Forget discards all hints of a server. Call it when the server process was replaced.
func (t *Table) Forget(server string) { delete(t.servers, server) }

// Lookup returns the probability that the server has the prefix cached; known is false
// if there is no recent hint about it.
func (t *Table) Lookup(now time.Time, server string, prefix uint64) (probability float64, known bool) {
	c := t.servers[server]
	if c == nil {
		return 0, false
	}
	h, ok := c.hints[prefix]
	age := now.Sub(h.observedAt)
	if !ok || age > maxHintAge {
		return 0, false
	}
	if !h.present {
		return 0, true
	}
	return math.Exp2(-float64(age) / float64(hintHalfLife)), true
}

// apply records an event. It ignores events older than the newest one: whether they
// still hold depends on the events after them, which may have been lost.
func (c *serverHints) apply(now time.Time, e Event) {
	if e.Seq < c.nextSeq {
		return
	}
	if e.Seq > c.nextSeq && c.nextSeq != 0 {
		clear(c.hints)
	}
	c.nextSeq = e.Seq + 1
	c.store(now, e)
}

func (c *serverHints) store(now time.Time, e Event) {
	if _, ok := c.hints[e.Prefix]; !ok && len(c.hints) >= maxHintsPerServer {
		c.evictOldest()
	}
	c.hints[e.Prefix] = hint{seq: e.Seq, observedAt: now, present: e.Present}
}

// evictOldest removes the hint with the lowest sequence number.
func (c *serverHints) evictOldest() {
	var prefix, lowestSeq uint64
	for p, h := range c.hints {
		if lowestSeq == 0 || h.seq < lowestSeq {
			prefix, lowestSeq = p, h.seq
		}
	}
	delete(c.hints, prefix)
}
