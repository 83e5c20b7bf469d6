// Package backends keeps which backend servers take new work, from the records that
// they write to the store. A server that was seen leaving is never used again under
// the same start. It is pure: no clock, no I/O.
package backends

import (
	"slices"
	"time"
)

const (
	// lapseGrace is how long a server whose record lapsed around an outage of the
	// store stays in use: its record is back within that time if it lives.
	lapseGrace = 2 * time.Second
	// outageMemory is how long after the last failed read of the store lapses are put
	// down to its outage: the first read after it shows them.
	outageMemory = 800 * time.Millisecond
	// keepLeft is how long a server that left is remembered, so that a record that
	// arrives late does not bring it back.
	keepLeft = 60 * time.Second
)

type state struct {
	started int64
	leaving bool
	// dropped is set while there is no record; gone once it stayed away.
	dropped, gone bool
	droppedAt     time.Duration
	// lapsed marks a drop around an outage of the store.
	lapsed bool
}

// Set is the set of servers. It is not safe for concurrent use.
type Set struct {
	servers map[string]*state
	// lostAt is the time of the newest failed read of the store.
	lostAt time.Duration
	lost   bool
}

// New returns an empty set.
func New() *Set { return &Set{servers: map[string]*state{}} }

// StoreLost notes a failed read of the store.
func (s *Set) StoreLost(now time.Duration) { s.lostAt, s.lost = now, true }

// Listed takes the record of a server and tells whether its use changed. started
// tells two starts under one id apart.
func (s *Set) Listed(id string, started int64, leaving bool) bool {
	st := s.servers[id]
	if st == nil || st.started != started {
		s.servers[id] = &state{started: started, leaving: leaving}
		return true
	}
	changed := leaving && !st.leaving || st.dropped
	st.leaving = st.leaving || leaving
	st.dropped, st.gone = false, false
	return changed
}

// Dropped takes the end of a server's record and tells whether its use changed.
func (s *Set) Dropped(id string, now time.Duration) bool {
	st := s.servers[id]
	if st == nil || st.dropped {
		return false
	}
	st.dropped, st.droppedAt = true, now
	st.lapsed = s.lost && now-s.lostAt < outageMemory
	return true
}

// Usable tells whether a server takes new work.
func (s *Set) Usable(id string) bool {
	st := s.servers[id]
	return st != nil && !st.leaving && !st.gone && (!st.dropped || st.lapsed)
}

// Expire returns the servers that are gone since the last call.
func (s *Set) Expire(now time.Duration) []string {
	var gone []string
	for id, st := range s.servers {
		if !st.dropped {
			continue
		}
		away := now - st.droppedAt
		if !st.gone && (!st.lapsed || away >= lapseGrace) {
			st.gone = true
			gone = append(gone, id)
		}
		if away >= keepLeft {
			delete(s.servers, id)
		}
	}
	slices.Sort(gone)
	return gone
}
