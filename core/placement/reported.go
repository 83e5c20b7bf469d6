package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliawheel/magnoliawheel/core/notice"
)

const (
	// reportRetention is how long the parts that a server reported count as cached. Servers
	// evict unused parts, and those that are used are recorded as placed.
	reportRetention = 30 * time.Second
	// maxReportedParts bounds the parts of one server, and maxPoolReportedParts those of all
	// servers of a pool, which take about 24 bytes each.
	maxReportedParts     = 1000
	maxPoolReportedParts = 300_000
)

// reportedParts are the hashes of the IDs of prompt parts that a server reported to have cached.
type reportedParts struct {
	parts map[uint64]struct{}
	until time.Duration
}

// has reports whether a part is among them.
func (r *reportedParts) has(part string) bool {
	if r.parts == nil {
		return false
	}
	_, ok := r.parts[xxhash.Sum64String(part)]
	return ok
}

// expire drops the parts once they are too old.
func (r *reportedParts) expire(now time.Duration) {
	if r.parts != nil && now >= r.until {
		r.parts = nil
	}
}

// LearnCached records which prompt parts a server reported to have cached, for an instance that
// begins to place requests and knows of no cache. It returns false for an unknown server.
func (t *Table) LearnCached(now time.Duration, id notice.Server, parts []string) bool {
	for _, servers := range t.serversByPool {
		i := slices.IndexFunc(servers, func(s *server) bool { return s.def.Start() == id })
		if i < 0 {
			continue
		}
		n := min(len(parts), maxReportedParts, maxPoolReportedParts/len(servers))
		reported := make(map[uint64]struct{}, n)
		for _, part := range parts[:n] {
			reported[xxhash.Sum64String(part)] = struct{}{}
		}
		servers[i].reported = reportedParts{reported, now + reportRetention}
		return true
	}
	return false
}

// hasCached reports whether the server is assumed to have the last part of a prefix cached.
func (s *server) hasCached(p *prefix) bool { return s.cache.has(p.key) || s.reported.has(p.part) }
