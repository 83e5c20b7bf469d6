package planner

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/placement"
	"github.com/magnoliawheel/magnoliawheel/core/staging"
	"github.com/magnoliawheel/magnoliawheel/core/streamversion"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
)

// StreamBegan records which version of the server software began a stream. Local streams
// are those that this entry serves. An entry that places requests also stores the record while
// streams of several versions may be resumed.
func (p *Planner) StreamBegan(r streamversion.Record, local, places bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	p.streams.Add(now, r, local)
	if places && p.poolVersions.AnySeveral(now) {
		p.unstored.Add(r)
	}
}

// LearnStream records which version began a stream as the store tells it. What this entry
// knows itself is newer.
func (p *Planner) LearnStream(r streamversion.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	if _, known := p.streams.Version(now, r.Stream); !known {
		p.streams.Add(now, r, false)
	}
}

// recordResumed records the version of a stream that a placed request continues, which may be
// resumed for longer now. The caller holds the lock.
func (p *Planner) recordResumed(now time.Duration, pr *pendingRequest) {
	if pr.req.Resume == nil || pr.req.ResumableFor <= 0 || pr.version == nil {
		return
	}
	r := streamversion.Record{Stream: pr.req.Resume.Stream, Version: *pr.version, Until: now + pr.req.ResumableFor}
	p.streams.Add(now, r, pr.callbacks.Local)
	if p.poolVersions.Several(now, pr.req.Pool) {
		p.unstored.Add(r)
	}
}

// resumedStream returns the stream that the request continues, or "".
func (r *Request) resumedStream() string {
	if r.Resume == nil {
		return ""
	}
	return r.Resume.Stream
}

// StreamVersion returns the version that began a stream, or nil if it is not known.
func (p *Planner) StreamVersion(stream string) *string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.streamVersion(clock.Now(), stream)
}

// LocalStreams returns the records of the streams that this entry serves or served.
func (p *Planner) LocalStreams() []streamversion.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.streams.Local(clock.Now())
}

// streamVersion is StreamVersion for callers that hold the lock.
func (p *Planner) streamVersion(now time.Duration, stream string) *string {
	version, ok := p.streams.Version(now, stream)
	if !ok {
		return nil
	}
	return &version
}

// OnVersionsDue sets the function that is called when the store lacks versions of a pool; see
// VersionsDue. It must be called before Run.
func (p *Planner) OnVersionsDue(f func()) { p.onVersions = f }

// observeVersions records the versions of a pool's servers and returns the servers that may
// get requests: without those that must not begin streams yet, if there are others. The
// caller holds the lock.
func (p *Planner) observeVersions(now time.Duration, pool *Pool) []placement.Server {
	if !pool.HasResumableStreams {
		return pool.ModelServers
	}
	versions := make([]string, len(pool.ModelServers))
	for i, s := range pool.ModelServers {
		versions[i] = s.SoftwareVersion
	}
	p.changeVersions(now, pool.Name, func() { p.poolVersions.Observe(now, pool.Name, versions) })
	var servers []placement.Server
	for _, s := range pool.ModelServers {
		if !p.poolVersions.Withheld(now, pool.Name, s.SoftwareVersion) {
			servers = append(servers, s)
		}
	}
	if len(servers) == 0 {
		return pool.ModelServers
	}
	return servers
}

// changeVersions changes the versions of a pool. If streams of several may be resumed from then
// on, those that began before must be stored: they can no longer be told by the pool's versions
// alone. The caller holds the lock.
func (p *Planner) changeVersions(now time.Duration, pool string, change func()) {
	before := p.poolVersions.Several(now, pool)
	change()
	if !before && p.poolVersions.Several(now, pool) {
		p.unstored.Add(p.streams.All(now)...)
	}
}

// VersionsSeen records software versions of servers by service, also of servers that may not be
// used or that have left again.
func (p *Planner) VersionsSeen(versions map[string][]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	for pool, seen := range versions {
		p.changeVersions(now, pool, func() { p.poolVersions.Seen(now, pool, seen) })
	}
}

// reportVersionsDue calls onVersions if the store lacks versions.
func (p *Planner) reportVersionsDue() {
	if p.onVersions != nil && len(p.VersionsDue(0)) > 0 {
		p.onVersions()
	}
}

// VersionsDue returns the records of versions that the store should hold, in the given era.
func (p *Planner) VersionsDue(era int64) []streamversion.StoredVersions {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.poolVersions.Due(clock.Now(), era)
}

// LearnVersions applies the records of versions that the store holds in the given era.
func (p *Planner) LearnVersions(records []streamversion.StoredVersions, era int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.poolVersions.Learn(clock.Now(), records, era)
}

// VersionsStored records that the store holds a record of VersionsDue.
func (p *Planner) VersionsStored(r streamversion.StoredVersions) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.poolVersions.Stored(r)
}

// HasSeveralVersions reports whether streams of several versions may be resumed in a pool, so
// that the store must hold the version of each stream.
func (p *Planner) HasSeveralVersions() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.poolVersions.AnySeveral(clock.Now())
}

// TakeUnstoredStreams returns streams whose versions are to be stored, and removes them.
func (p *Planner) TakeUnstoredStreams() []streamversion.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unstored.Take(clock.Now())
}

// ReturnUnstoredStreams adds streams again that could not be stored.
func (p *Planner) ReturnUnstoredStreams(records []streamversion.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unstored.Return(records)
}

// ObservedFromStart records that no stream began before this process started.
func (p *Planner) ObservedFromStart() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.poolVersions.ObservedFromStart()
}

// ServersMissed records that servers may have come and gone unnoticed.
func (p *Planner) ServersMissed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.poolVersions.Interrupt(clock.Now())
}

// onlyVersion returns the version that began all streams of a pool that may be resumed, or
// nil if there may be several. The caller holds the lock.
func (p *Planner) onlyVersion(now time.Duration, pool string) *string {
	version, ok := p.poolVersions.Only(now, pool)
	if !ok {
		return nil
	}
	return &version
}

// setVersion restricts a request that continues a stream to the version that began it. It
// returns why the stream cannot continue, or 0. The caller holds the lock.
func (p *Planner) setVersion(now time.Duration, pr *pendingRequest) staging.RefusalReason {
	resume := pr.req.Resume
	if resume == nil {
		return 0
	}
	pr.retryAfter = resumeRetryAfter
	pr.version = resume.Version
	if pr.version == nil {
		pr.version = p.streamVersion(now, resume.Stream)
	}
	if pr.version == nil && (pr.viewConfirmed || p.view == nil) {
		pr.version = p.onlyVersion(now, pr.req.Pool)
	}
	switch {
	case pr.version == nil:
		return VersionUnknown
	case !p.modelServers.HasServer(pr.placementRequest()):
		return VersionGone
	}
	return 0
}

// takeDecided returns the requests that were refused or only checked, and that are not answered yet. The
// caller holds the lock.
func (p *Planner) takeDecided() []*pendingRequest {
	refused := p.decided
	p.decided = nil
	return refused
}
