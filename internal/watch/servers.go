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

// readIntervalShare is the part of the maximum drain delay between two reads of the
// records. If a read fails, the next one must still be in time.
const readIntervalShare = 0.4

// Servers follows the records of the backend servers.
type Servers struct {
	log      logr.Logger
	onChange func()
	topic    *Topic

	mu sync.Mutex
	// backendSet tracks which servers accept new requests.
	backendSet *backends.Set
	// servers maps the IDs of servers to their newest valid records.
	servers map[string]platform.Server
	loaded  bool
	// rejected are the records that name no server to use.
	rejected *Rejections
	// settledAt is when all servers have written their records to a restored store again.
	settledAt time.Duration
	// onVersions, if set, receives the software versions of the servers in new records by
	// service, also of servers that may not be used.
	onVersions func(versions map[string][]string)
}

// NewServers returns a watcher of the backend servers. A draining server receives no new
// requests after maxDelay, and onChange is called after each change.
func NewServers(store Store, maxDelay time.Duration, log logr.Logger, onChange func()) *Servers {
	s := &Servers{
		log: log, onChange: onChange, backendSet: backends.New(), servers: map[string]platform.Server{},
		rejected: NewRejections(log, "Server record rejected."),
	}
	s.topic = &Topic{
		store: store, name: platform.ServersTopic, readInterval: time.Duration(readIntervalShare * float64(maxDelay)), log: log,
		reading:      make(chan struct{}, 1),
		applyRecords: s.applyRecords,
		onConfirmed:  func(time.Duration, platform.Position) { s.removeExpired() },
		onReadFailed: func(now time.Duration) {
			s.mu.Lock()
			s.backendSet.StoreReadFailed(now)
			s.mu.Unlock()
		},
	}
	return s
}

// Topic returns the topic with the records of the servers.
func (s *Servers) Topic() *Topic { return s.topic }

// OnMissed sets the function that is called when servers may have come and gone unnoticed.
// It must be called before Run.
func (s *Servers) OnMissed(f func()) { s.topic.onMissed = f }

// OnVersions sets the function that receives the software versions of the servers in new
// records by service, also of servers that may not be used. It is called before onChange, and
// must be set before Run.
func (s *Servers) OnVersions(f func(versions map[string][]string)) { s.onVersions = f }

// Run follows the records until ctx ends.
func (s *Servers) Run(ctx context.Context) { s.topic.run(ctx) }

// StartTime returns the start time of a server, which distinguishes restarts under the
// same ID, or 0 if it is not known.
func (s *Servers) StartTime(id string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers[id].StartTime
}

// SoftwareVersion returns the version of a server's software, or "" if it is not known.
func (s *Servers) SoftwareVersion(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers[id].SoftwareVersion
}

// Zone returns the availability zone of a server, or "" if it is not known.
func (s *Servers) Zone(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers[id].Zone
}

// MarkLeaving records that a server has said to be leaving. It reports whether that is
// new.
func (s *Servers) MarkLeaving(id string, startTime int64) bool {
	s.mu.Lock()
	changed := s.backendSet.MarkLeaving(id, startTime)
	s.mu.Unlock()
	if changed {
		s.log.Info("Server said to be leaving.", "server", id)
		s.onChange()
	}
	return changed
}

// SetEvacuated begins or ends the evacuation of a zone.
func (s *Servers) SetEvacuated(zone string, evacuated bool) {
	s.mu.Lock()
	s.backendSet.SetEvacuated(clock.Now(), zone, evacuated)
	s.mu.Unlock()
	s.onChange()
}

// Evacuated reports whether a zone is evacuated.
func (s *Servers) Evacuated(zone string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backendSet.Evacuated(zone)
}

// EvacuatedZones returns the number of evacuated zones.
func (s *Servers) EvacuatedZones() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backendSet.EvacuatedZones()
}

// ColdUntil returns the time until which a server is presumed to be cold, if its service's
// servers are cold for coldStart after their start.
func (s *Servers) ColdUntil(id string, coldStart time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backendSet.ColdUntil(id, coldStart)
}

// Loaded reports whether the records were read at least once.
func (s *Servers) Loaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded
}

// Usable returns the servers of a service that accept new requests, sorted by ID.
func (s *Servers) Usable(service string) []platform.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	var usable []platform.Server
	for _, rec := range s.servers {
		if rec.Service == service && s.backendSet.Usable(rec.ID) {
			usable = append(usable, rec)
		}
	}
	slices.SortFunc(usable, func(a, b platform.Server) int { return cmp.Compare(a.ID, b.ID) })
	return usable
}

// Takes reports whether a server accepts new requests.
func (s *Servers) Takes(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backendSet.Usable(id)
}

// applyRecords applies records and returns those that changed anything.
func (s *Servers) applyRecords(records []platform.KeyedRecord, set recordSet) []platform.KeyedRecord {
	now := clock.Now()
	s.mu.Lock()
	if set == restoredRecords {
		s.backendSet.StoreRestored(now)
		s.settledAt = now + backends.ExpiryGracePeriod
	}
	if set != newRecords {
		s.removeMissing(records, now)
	}
	isFirst := !s.loaded
	versions := versionSet{}
	var applied []platform.KeyedRecord
	for _, rec := range records {
		if s.applyRecord(rec, set, now, versions) {
			applied = append(applied, rec)
		}
	}
	s.loaded = true
	s.mu.Unlock()
	if set != newRecords {
		s.log.Info("Servers read.", "records", len(records), "changed", len(applied))
	}
	if s.onVersions != nil && len(versions) > 0 {
		s.onVersions(versions)
	}
	if isFirst || len(applied) > 0 || set != newRecords {
		s.onChange()
	}
	return applied
}

// versionSet holds software versions of servers by service.
type versionSet map[string][]string

func (v versionSet) add(service, version string) {
	if !slices.Contains(v[service], version) {
		v[service] = append(v[service], version)
	}
}

// applyRecord applies one record and reports whether it changed anything. It adds the version of
// a server whose record is not the one known.
func (s *Servers) applyRecord(rec platform.KeyedRecord, set recordSet, now time.Duration, versions versionSet) bool {
	if rec.Deleted {
		s.rejected.Remove(rec.Key)
		s.log.Info("Server record deleted.", "server", rec.Key, "offset", rec.Offset)
		return s.backendSet.RecordRemoved(rec.Key, now)
	}
	server, err := platform.DecodeServer(rec.Key, rec.Value)
	if err != nil {
		s.rejected.Add(rec, err)
		return false
	}
	s.rejected.Remove(rec.Key)
	state := backends.Record{
		ID: server.ID, StartTime: server.StartTime, Sequence: server.Sequence, Leaving: server.Draining,
		Zone: server.Zone, ReadAt: now, ColdFor: server.ColdFor,
	}
	if set != newRecords {
		// The server may have been running before; a new record is that of a new server.
		state.RunningFor = runningFor(server.StartTime)
	}
	// The sequence number changes with each record, the rest rarely.
	server.Sequence = 0
	previous, existed := s.servers[server.ID]
	if previous != server {
		versions.add(server.Service, server.SoftwareVersion)
	}
	if set == restoredRecords && !s.backendSet.IsNews(state) {
		return false
	}
	s.servers[server.ID] = server
	changed := s.backendSet.RecordSeen(state)
	if changed && set == newRecords {
		s.log.Info("Server updated.", "server", server.ID, "version", server.SoftwareVersion, "address", server.Address, "leaving", server.Draining, "offset", rec.Offset)
	}
	return changed || !existed || previous != server
}

// runningFor returns for how long a server has been running, by the time of day; longer than
// any cold period if its start is not known.
func runningFor(startTimeMS int64) time.Duration {
	return max(0, time.Since(time.UnixMilli(startTimeMS)))
}

// removeMissing treats the records of servers without a valid one among the given records as
// removed.
func (s *Servers) removeMissing(records []platform.KeyedRecord, now time.Duration) {
	listed := make(map[string]bool, len(records))
	for _, rec := range records {
		if _, err := platform.DecodeServer(rec.Key, rec.Value); err == nil {
			listed[rec.Key] = true
		}
	}
	for id := range s.servers {
		if !listed[id] {
			s.backendSet.RecordRemoved(id, now)
		}
	}
}

// removeExpired removes the servers whose records have been missing for long enough.
func (s *Servers) removeExpired() {
	s.mu.Lock()
	expired := s.backendSet.RemoveExpired(clock.Now())
	for _, id := range expired {
		delete(s.servers, id)
		s.log.Info("Server removed.", "server", id)
	}
	s.mu.Unlock()
	if len(expired) > 0 {
		s.onChange()
	}
}
