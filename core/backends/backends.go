// Package backends tracks which backend servers accept new work, from the records that
// they write to the store. A server that has announced that it is leaving is never used
// again unless it restarts. The package has no clock and does no I/O.
package backends

import (
	"slices"
	"time"
)

const (
	// ExpiryGracePeriod is how long a server stays in use after its record expired
	// around an outage of the store. A running server writes its record again within that
	// time.
	ExpiryGracePeriod = 2 * time.Second
	// outageWindow is how long after the last failed read of the store the expiry of a
	// record is attributed to the outage. The expiry is noticed only at the first
	// successful read.
	outageWindow = 800 * time.Millisecond
	// removedRetention is how long the state of a server without a record is kept, so that
	// a delayed record does not make a leaving server usable again.
	removedRetention = 60 * time.Second
)

// Record is what a server wrote about itself.
type Record struct {
	ID string
	// StartTime distinguishes restarts under the same ID. Sequence rises with each record
	// of one start.
	StartTime, Sequence int64
	Leaving             bool
	Zone                string
	// ReadAt is when the record was read. ColdFor is how long the server was still cold when
	// it wrote the record.
	ReadAt, ColdFor time.Duration
	// RunningFor is how long the server was running when the record was read, as far as the
	// reader knows; 0 for a server that has just started.
	RunningFor time.Duration
}

// serverState is the last known state of a server.
type serverState struct {
	startTime, sequence int64
	leaving             bool
	// recordMissing is true while the store has no record of the server; removed is
	// true once RemoveExpired has returned the server.
	recordMissing, removed bool
	missingSince           time.Duration
	// expiredInOutage is true if the record disappeared around an outage of the store.
	expiredInOutage bool
	zone            string
	// startedAt is the estimated time of the server's start. coldUntil is the end of the
	// latest cold period that its records announced.
	startedAt, coldUntil time.Duration
}

// Set is a set of servers. It is not safe for concurrent use.
type Set struct {
	servers map[string]*serverState
	// evacuated are the zones whose servers get no new work. evacuationEnded is when the
	// latest evacuation of a zone ended.
	evacuated       map[string]bool
	evacuationEnded map[string]time.Duration
	// lastReadFailure is the time of the latest failed read of the store, valid if
	// readFailed.
	lastReadFailure time.Duration
	readFailed      bool
}

// New returns an empty set.
func New() *Set {
	return &Set{servers: map[string]*serverState{}, evacuated: map[string]bool{}, evacuationEnded: map[string]time.Duration{}}
}

// isNewer reports whether a record is newer than the known state of its server.
func (st *serverState) isNewer(r Record) bool {
	return r.StartTime > st.startTime || r.StartTime == st.startTime && r.Sequence > st.sequence
}

// StoreRestored prepares for the records of a store that was restored from an older copy.
// Records that are missing there are written again by the servers, as after an outage.
func (s *Set) StoreRestored(now time.Duration) { s.StoreReadFailed(now) }

// IsNews reports whether a record is newer than what is known of its server. After the
// store was restored, other records must be ignored, so that a server that left or was
// removed does not come back by them.
func (s *Set) IsNews(r Record) bool {
	st := s.servers[r.ID]
	return st == nil || st.isNewer(r)
}

// MarkLeaving records that a server has said to be leaving, and reports whether that is
// new. Another start of the server is not affected.
func (s *Set) MarkLeaving(id string, startTime int64) bool {
	st := s.servers[id]
	if st == nil || st.startTime != startTime || st.leaving {
		return false
	}
	st.leaving = true
	return true
}

// StoreReadFailed records a failed read of the store.
func (s *Set) StoreReadFailed(now time.Duration) { s.lastReadFailure, s.readFailed = now, true }

// RecordSeen handles a record of a server and reports whether the server's usability
// may have changed.
func (s *Set) RecordSeen(r Record) bool {
	st := s.servers[r.ID]
	if st == nil || st.startTime != r.StartTime {
		s.servers[r.ID] = &serverState{
			startTime: r.StartTime, sequence: r.Sequence, leaving: r.Leaving, zone: r.Zone,
			startedAt: r.ReadAt - r.RunningFor, coldUntil: r.ReadAt + r.ColdFor,
		}
		return true
	}
	if r.ColdFor > 0 {
		st.coldUntil = max(st.coldUntil, r.ReadAt+r.ColdFor)
	}
	changed := r.Leaving && !st.leaving || st.recordMissing
	st.leaving = st.leaving || r.Leaving
	st.sequence = max(st.sequence, r.Sequence)
	st.recordMissing, st.removed = false, false
	return changed
}

// RecordRemoved handles the removal of a server's record and reports whether the
// server's usability may have changed.
func (s *Set) RecordRemoved(id string, now time.Duration) bool {
	st := s.servers[id]
	if st == nil || st.recordMissing {
		return false
	}
	st.recordMissing, st.missingSince = true, now
	st.expiredInOutage = s.readFailed && now-s.lastReadFailure < outageWindow
	return true
}

// Usable reports whether a server accepts new work and its zone is not evacuated.
func (s *Set) Usable(id string) bool {
	st := s.servers[id]
	return st != nil && !st.leaving && !st.removed && (!st.recordMissing || st.expiredInOutage) && !s.evacuated[st.zone]
}

// SetEvacuated begins or ends the evacuation of a zone.
func (s *Set) SetEvacuated(now time.Duration, zone string, evacuated bool) {
	if s.evacuated[zone] && !evacuated {
		s.evacuationEnded[zone] = now
	}
	if evacuated {
		s.evacuated[zone] = true
	} else {
		delete(s.evacuated, zone)
	}
}

// EvacuatedZones returns the number of evacuated zones.
func (s *Set) EvacuatedZones() int { return len(s.evacuated) }

// Evacuated reports whether a zone is evacuated.
func (s *Set) Evacuated(zone string) bool { return s.evacuated[zone] }

// ColdUntil returns the time until which a server is presumed to be cold: as long as its
// records say, and for coldStart after its start and after the end of an evacuation of its
// zone. Its record may announce the cold period only some time later.
func (s *Set) ColdUntil(id string, coldStart time.Duration) time.Duration {
	st := s.servers[id]
	if st == nil {
		return 0
	}
	until := max(st.coldUntil, st.startedAt+coldStart)
	if endedAt, ok := s.evacuationEnded[st.zone]; ok {
		until = max(until, endedAt+coldStart)
	}
	return until
}

// RemoveExpired marks servers without a record as removed, discards the state of those
// without a record for removedRetention, and returns the IDs of the newly removed ones.
func (s *Set) RemoveExpired(now time.Duration) []string {
	var removed []string
	for id, st := range s.servers {
		if !st.recordMissing {
			continue
		}
		missingFor := now - st.missingSince
		if !st.removed && (!st.expiredInOutage || missingFor >= ExpiryGracePeriod) {
			st.removed = true
			removed = append(removed, id)
		}
		if missingFor >= removedRetention {
			delete(s.servers, id)
		}
	}
	slices.Sort(removed)
	return removed
}
