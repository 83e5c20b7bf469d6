package watch

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/magnoliawheel/magnoliawheel/core/backends"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

// leaveShare is the part of the bound for leaving servers that lies between two
// reads of the records; a lost read must not break the bound.
const leaveShare = 0.4

// Servers follows the records of the backend servers.
type Servers struct {
	store   Store
	log     logr.Logger
	changed func()
	// pause is the time between two reads.
	pause time.Duration

	mu      sync.Mutex
	set     *backends.Set
	records map[string]platform.Server
	loaded  bool
}

// NewServers returns a watcher; bound is the time within which a leaving server must
// get nothing new, and changed is called after each change.
func NewServers(store Store, bound time.Duration, log logr.Logger, changed func()) *Servers {
	pause := time.Duration(leaveShare * float64(bound))
	return &Servers{store: store, pause: pause, log: log, changed: changed, set: backends.New(), records: map[string]platform.Server{}}
}

// Run follows the records until ctx ends.
func (s *Servers) Run(ctx context.Context) {
	follow(ctx, follower{
		store: s.store, topic: platform.ServersTopic, pause: s.pause, log: s.log,
		take: s.take,
		done: func(time.Duration) { s.expire() },
		failed: func(now time.Duration) {
			s.mu.Lock()
			s.set.StoreReadFailed(now)
			s.mu.Unlock()
		},
	})
}

// Loaded tells whether the records were read once.
func (s *Servers) Loaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded
}

// Usable returns the servers of a service that take new work, in a fixed order.
func (s *Servers) Usable(service string) []platform.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []platform.Server
	for _, rec := range s.records {
		if rec.Service == service && s.set.Usable(rec.ID) {
			all = append(all, rec)
		}
	}
	slices.SortFunc(all, func(a, b platform.Server) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Takes tells whether a server takes new work.
func (s *Servers) Takes(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set.Usable(id)
}

func (s *Servers) take(records []platform.KeyedRecord, whole bool) {
	now := clock.Now()
	s.mu.Lock()
	if whole {
		s.dropMissing(records, now)
	}
	changed := !s.loaded
	for _, rec := range records {
		changed = s.takeOne(rec, now) || changed
	}
	s.loaded = true
	s.mu.Unlock()
	if changed || whole {
		s.changed()
	}
}

func (s *Servers) takeOne(rec platform.KeyedRecord, now time.Duration) bool {
	if rec.Deleted {
		s.log.Info("Server's record dropped.", "server", rec.Key, "offset", rec.Offset)
		return s.set.RecordRemoved(rec.Key, now)
	}
	def, err := platform.DecodeServer(rec.Key, rec.Value)
	if err != nil {
		s.log.V(1).Info("Record names no server to use.", "key", rec.Key, "offset", rec.Offset, "cause", err.Error())
		return false
	}
	old, known := s.records[def.ID]
	s.records[def.ID] = def
	changed := s.set.RecordSeen(def.ID, def.StartTime, def.Draining)
	if changed {
		s.log.Info("Server listed.", "server", def.ID, "address", def.Address, "leaving", def.Draining, "offset", rec.Offset)
	}
	return changed || !known || old != def
}

// dropMissing takes servers without a record as dropped.
func (s *Servers) dropMissing(records []platform.KeyedRecord, now time.Duration) {
	for id := range s.records {
		if !slices.ContainsFunc(records, func(r platform.KeyedRecord) bool { return r.Key == id }) {
			s.set.RecordRemoved(id, now)
		}
	}
}

// expire removes servers whose records stayed away.
func (s *Servers) expire() {
	s.mu.Lock()
	gone := s.set.RemoveExpired(clock.Now())
	for _, id := range gone {
		delete(s.records, id)
		s.log.Info("Server gone.", "server", id)
	}
	s.mu.Unlock()
	if len(gone) > 0 {
		s.changed()
	}
}
