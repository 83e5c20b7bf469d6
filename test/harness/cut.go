package harness

import (
	"slices"
	"strings"
	"time"
)

// maxMarkedBytes is how much of what a client sends first is searched for a marker.
const maxMarkedBytes = 8 << 10

// Cut is a fault of some connections through a relay.
type Cut struct {
	// Marker is in the first data of the clients whose connections it affects; "" affects all.
	Marker     string
	Directions []Direction
	// Drop silences the connections for good. Otherwise data is late by Delay, or waits until
	// the cut ends if Delay is 0.
	Drop  bool
	Delay time.Duration
}

// AddCut begins a cut. It also affects connections that are opened later.
func (r *Relay) AddCut(c *Cut) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts = append(r.cuts, c)
}

// RemoveCut ends a cut.
func (r *Relay) RemoveCut(c *Cut) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts = slices.DeleteFunc(r.cuts, func(other *Cut) bool { return other == c })
}

// passCuts applies the cuts to data in one direction of a connection, and returns when the data
// may go on.
func (r *Relay) passCuts(conn *connection, dir Direction, data []byte) {
	r.mu.Lock()
	if dir == Upstream && len(conn.begin) < maxMarkedBytes {
		conn.begin += string(data)
	}
	r.mu.Unlock()
	for c := r.cutOf(conn, dir); c != nil; c = r.cutOf(conn, dir) {
		switch {
		case c.Drop:
			conn.silent[dir].Store(true)
			return
		case c.Delay > 0:
			time.Sleep(c.Delay)
			return
		}
		time.Sleep(cutPollInterval)
	}
}

// cutPollInterval is the time between two checks whether a cut has ended.
const cutPollInterval = 5 * time.Millisecond

// cutOf returns a cut that affects a direction of a connection, or nil.
func (r *Relay) cutOf(conn *connection, dir Direction) *Cut {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.cuts {
		if slices.Contains(c.Directions, dir) && strings.Contains(conn.begin, c.Marker) {
			return c
		}
	}
	return nil
}
