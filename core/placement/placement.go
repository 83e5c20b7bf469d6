// Package placement chooses model servers. It compares the prompt tokens that a server
// would have to process, those that it still has to process for other requests, the pauses
// that processing them causes, its running requests, its recent failures, and the network
// distance. It takes all times from the measured speeds of the servers. It has no clock and
// does no I/O.
package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliawheel/magnoliawheel/core/loadreport"
	"github.com/magnoliawheel/magnoliawheel/core/notice"
	"github.com/magnoliawheel/magnoliawheel/core/residency"
	"github.com/magnoliawheel/magnoliawheel/core/serverspeed"
)

// Server is a model server.
type Server struct {
	ID, Address, Zone string
	// StartTime distinguishes restarts under the same ID.
	StartTime int64
	// SoftwareVersion is the version of the server's software.
	SoftwareVersion string
	// Slots is the number of concurrent requests; 0 means no limit.
	Slots int
	// CacheTokens is the server's memory in tokens; 0 means no limit.
	CacheTokens int
}

// Start identifies the start of the server.
func (s *Server) Start() notice.Server { return notice.Server{ID: s.ID, StartTime: s.StartTime} }

// PromptPart is a section of a prompt. Requests share a part if all parts before it are
// the same too.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is a request to be placed.
type Request struct {
	ID   string
	Pool string
	// Zone is the availability zone of the instance that will send the request.
	Zone      string
	Parts     []PromptPart
	MaxTokens int
	// Avoid lists the IDs of servers that must not be chosen.
	Avoid []string
	// Residency permits the regions of which servers may be chosen.
	Residency residency.Policy
	// SoftwareVersion, if set, is the only version of which servers may be chosen.
	SoftwareVersion *string
	// InputBytesByZone are the sizes of the results that the server will read, by
	// availability zone.
	InputBytesByZone map[string]int64
	// MaxPause is the longest pause between two events with which the response is on time; 0
	// means that pauses do not count.
	MaxPause time.Duration
	// TimeToObjective is the time until which the first event is on time; 0 or less means
	// that it makes no difference any more, or never does.
	TimeToObjective time.Duration
}

// Outcome is how a placed request ended.
type Outcome uint8

const (
	Complete Outcome = iota
	// Failed requests got no complete answer.
	Failed
	// Unreached requests were rejected by the server, or it could not be reached.
	Unreached
	// Cancelled requests were abandoned by the caller.
	Cancelled
)

// Table holds model servers and the requests placed on them. It is not safe for
// concurrent use.
type Table struct {
	// regionByZone maps availability zones to regions. A zone that is missing shares
	// its region with no other zone.
	regionByZone  map[string]string
	serversByPool map[string][]*server
	// indexes hold the cached prefixes of each pool's servers. uncachedBuffer is reused by each
	// choice.
	indexes        map[string]prefixIndex
	uncachedBuffer []int
	requests       map[string]*placedRequest
	// notices are the limits that servers name.
	notices *notice.Table
	speeds  *serverspeed.Model
	// reserves holds the servers kept for long prompts, by pool.
	reserves map[string]*reserve
	// evidence tells, by pool, whether responses are late by pauses.
	evidence map[string]*pauseEvidence
	// demands are the demands for shared parts. At nextDemandSweep they are searched for old ones
	// again if there are too many.
	demands         map[demandKey]*demand
	nextDemandSweep time.Duration
	// loads, if set, are the queues that servers report.
	loads *loadreport.Table
}

// New returns an empty table. regions maps availability zones to regions.
func New(regions map[string]string) *Table {
	return &Table{
		regionByZone: regions, serversByPool: map[string][]*server{}, indexes: map[string]prefixIndex{}, requests: map[string]*placedRequest{},
		notices: notice.NewTable(nil), speeds: serverspeed.New(), reserves: map[string]*reserve{}, evidence: map[string]*pauseEvidence{}, demands: map[demandKey]*demand{},
	}
}

// SetNotices sets the table with the limits that servers name.
func (t *Table) SetNotices(n *notice.Table) { t.notices = n }

// SetLoads sets the table with the queues that servers report.
func (t *Table) SetLoads(l *loadreport.Table) { t.loads = l }

// SetServers sets the servers of a pool that accept new requests. Servers that were
// there before keep their state.
func (t *Table) SetServers(pool string, defs []Server) {
	servers := t.serversByPool[pool]
	if !slices.EqualFunc(servers, defs, func(s *server, def Server) bool { return s.def.Start() == def.Start() }) {
		servers = t.replaceServers(pool, defs)
	}
	for i, s := range servers {
		s.def, s.region = defs[i], t.regionByZone[defs[i].Zone]
	}
	t.serversByPool[pool] = servers
}

// replaceServers returns a server for each definition, the one that was there before if its start
// is the same, and forgets what the others have cached.
func (t *Table) replaceServers(pool string, defs []Server) []*server {
	index := t.indexes[pool]
	if index == nil {
		index = prefixIndex{}
		t.indexes[pool] = index
	}
	unused := make(map[notice.Server]*server, len(t.serversByPool[pool]))
	for _, s := range t.serversByPool[pool] {
		unused[s.def.Start()], s.position = s, notListed
	}
	servers := make([]*server, len(defs))
	for i, def := range defs {
		s := unused[def.Start()]
		if s == nil {
			s = &server{speed: t.speeds.Server(pool, def.Start())}
			s.cache = newPrefixCache(s, index)
		}
		delete(unused, def.Start())
		servers[i], s.position = s, i
	}
	for _, s := range t.serversByPool[pool] {
		if s.position == notListed {
			s.cache.clear()
		}
	}
	return servers
}

// Choice is a chosen server and what the choice depended on.
type Choice struct {
	Server
	// PromptTokens is the size of the prompt, UncachedTokens the part of it that the server
	// has to process, and QueuedTokens what it has to process before.
	PromptTokens, UncachedTokens, QueuedTokens int
	// Running is the number of other requests on the server.
	Running int
	// Cold is true if the request uses up the limit of a cold server.
	Cold bool
	// ExpectedFirstEvent is the expected time from sending the request to its first event.
	ExpectedFirstEvent time.Duration
	// TokensPerMS is the expected rate at which the server processes prompts, and Slowdown
	// the factor by which it is slower than usual at this moment.
	TokensPerMS, Slowdown float64
	// ExpectedPause is the time for which the request is expected to pause streams on the
	// server, Interference the cost of that and of the pauses of its own response, in
	// milliseconds.
	ExpectedPause time.Duration
	Interference  float64
	// Long is set if the prompt makes other responses late on any server, Reserved if the
	// server is kept for such prompts.
	Long, Reserved bool
	// CopyServers is the number of servers that keep the shared part of the prompt; 0 if one is
	// enough for it.
	CopyServers int
}

// Choose returns the best server for a request and records the request there. It
// returns false if there is none, or none that may get a request within its limit.
func (t *Table) Choose(now time.Duration, r Request) (Choice, bool) {
	t.updateReserve(now, r.Pool)
	c := newChoice(&r)
	t.recordDemand(now, c)
	best := t.cheapest(now, c)
	if best == nil {
		return Choice{}, false
	}
	chosen := best.describe(now, c)
	chosen.Cold = t.notices.IsCold(now, best.def.Start())
	t.Finish(now, r.ID, Cancelled)
	p := &placedRequest{
		server: best, pool: r.Pool, placedAt: now, pendingPrefillTokens: chosen.UncachedTokens, reservedTokens: c.promptTokens + r.MaxTokens, maxPause: r.MaxPause, isLong: c.isLong,
		expectedFirstEvent: chosen.ExpectedFirstEvent, prefillTokens: chosen.QueuedTokens + chosen.UncachedTokens, runningAtStart: chosen.Running,
	}
	t.requests[r.ID] = p
	t.notices.RecordCall(now, best.def.Start())
	best.add(p)
	if p.isLong {
		t.reserveFor(r.Pool).count(now, 1)
	}
	maxPrefixes := min(maxCachedPrefixes, maxPoolCachedPrefixes/len(t.serversByPool[r.Pool]))
	best.cache.add(c.prefixes, int(cacheMemoryShare*float64(best.def.CacheTokens)), maxPrefixes)
	return chosen, true
}

// accepts reports whether the server may be chosen for the request.
func (r *Request) accepts(s *server) bool {
	if r.SoftwareVersion != nil && s.def.SoftwareVersion != *r.SoftwareVersion {
		return false
	}
	return r.Residency.Allows(s.region) && !slices.Contains(r.Avoid, s.def.ID)
}

// HasServer reports whether there is a server that may be chosen for the request.
func (t *Table) HasServer(r Request) bool {
	return slices.ContainsFunc(t.serversByPool[r.Pool], r.accepts)
}

// OutsideResidency reports whether the pool has servers, but none in the regions that the
// request permits.
func (t *Table) OutsideResidency(r Request) bool {
	servers := t.serversByPool[r.Pool]
	return len(servers) > 0 && !slices.ContainsFunc(servers, func(s *server) bool { return r.Residency.Allows(s.region) })
}

// LimitWait returns the time until one of the servers that may be chosen for the request
// may get it within its limit; 0 if one may get it now or there are none.
func (t *Table) LimitWait(now time.Duration, r Request) time.Duration {
	shortest := time.Duration(-1)
	for _, s := range t.serversByPool[r.Pool] {
		if !r.accepts(s) {
			continue
		}
		wait := t.notices.Wait(now, s.def.Start())
		if wait == 0 {
			return 0
		}
		if shortest < 0 || wait < shortest {
			shortest = wait
		}
	}
	return max(0, shortest)
}

// LikelyZone returns the zone of the server that Choose would return now, or "" if
// there is none.
func (t *Table) LikelyZone(now time.Duration, r Request) string {
	if best := t.cheapest(now, newChoice(&r)); best != nil {
		return best.def.Zone
	}
	return ""
}

// choice holds what is the same for all servers when a request is placed.
type choice struct {
	*Request
	prefixes     []prefix
	promptTokens int
	inputBytes   int64
	// uncached are the numbers of prompt tokens that the servers have not cached, by position.
	uncached []int
	// pauseWeight is the weight of the costs of pauses in the pool.
	pauseWeight float64
	// isLong is set if the prompt makes other responses late on any server.
	isLong bool
	// copyServers are the servers that keep the shared part of the prompt, of sharedTokens tokens;
	// nil if one is enough for it.
	copyServers  map[*server]bool
	sharedTokens int
}

func newChoice(r *Request) *choice {
	c := &choice{Request: r, prefixes: prefixesOf(r.Parts)}
	for _, p := range r.Parts {
		c.promptTokens += p.Tokens
	}
	for _, bytes := range r.InputBytesByZone {
		c.inputBytes += bytes
	}
	return c
}

// cheapest returns the server with the least cost, or nil.
func (t *Table) cheapest(now time.Duration, c *choice) *server {
	var cheapest *server
	var leastCost float64
	t.countUncached(now, c)
	c.pauseWeight = t.evidenceFor(c.Pool).weight()
	c.isLong = t.isLong(c)
	affinity := t.affinityServer(c)
	c.copyServers, c.sharedTokens = t.copyServersOf(c)
	region := t.regionByZone[c.Zone]
	queueCosts := t.queueCosts(now, c)
	for i, s := range t.serversByPool[c.Pool] {
		if !c.accepts(s) || t.notices.Wait(now, s.def.Start()) > 0 {
			continue
		}
		cost := s.cost(now, c, s == affinity) + s.networkCost(c.Zone, region)
		if queueCosts != nil {
			cost += queueCosts[i]
		}
		if cheapest == nil || cost < leastCost || cost == leastCost && cmp.Less(s.def.ID, cheapest.def.ID) {
			cheapest, leastCost = s, cost
		}
	}
	return cheapest
}

// queueCosts returns, in milliseconds, the extra waits at the pool's servers by their
// reported queues; nil if there are no reports.
func (t *Table) queueCosts(now time.Duration, c *choice) []float64 {
	if t.loads == nil || t.loads.Empty() {
		return nil
	}
	servers := t.serversByPool[c.Pool]
	starts := make([]notice.Server, len(servers))
	for i, s := range servers {
		starts[i] = s.def.Start()
	}
	costs := make([]float64, len(servers))
	for i, wait := range t.loads.ExtraWaits(now, c.Pool, c.ID, starts) {
		costs[i] = float64(wait) / float64(time.Millisecond)
	}
	return costs
}

// affinityServer returns the server that is preferred for the shared parts of a prompt
// while no server is known to have them cached. It is the same at every instance, so
// that prompts placed by other instances are probably cached there. It returns nil if a
// server has the parts cached or nothing is shared.
func (t *Table) affinityServer(c *choice) *server {
	shared, ok := c.sharedPrefix()
	if !ok || slices.ContainsFunc(t.indexes[c.Pool][shared.key], func(s *server) bool { return c.Residency.Allows(s.region) }) {
		return nil
	}
	var preferred *server
	var highestWeight uint64
	for _, s := range t.serversByPool[c.Pool] {
		if !c.Residency.Allows(s.region) {
			continue
		}
		if s.reported.has(shared.part) {
			return nil
		}
		if h := rendezvousWeight(shared.path, s.def.ID); preferred == nil || h > highestWeight {
			preferred, highestWeight = s, h
		}
	}
	return preferred
}

// rendezvousWeight returns the rendezvous hash of a key and a server.
func rendezvousWeight(key, server string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString(server)
	return d.Sum64()
}

// RequestStarted handles the first event of a request: its prompt has been processed.
func (t *Table) RequestStarted(now time.Duration, id string) {
	if p := t.requests[id]; p != nil {
		p.server.prefillDone(p)
		p.server.consecutiveUnreached = 0
	}
}

// ObserveFirstEvent learns from the time from sending a request to its first event, before
// RequestStarted. It returns the time that was expected, or 0 if the request is not known.
func (t *Table) ObserveFirstEvent(now time.Duration, id string, took time.Duration) time.Duration {
	p := t.requests[id]
	if p == nil || p.hasStarted {
		return 0
	}
	t.speeds.ObserveFirstEvent(now, p.server.speed, serverspeed.FirstEvent{Tokens: p.prefillTokens, Running: p.runningAtStart, Took: took})
	return p.expectedFirstEvent
}

// ObservePause learns from the longest pause of a response, before Finish.
func (t *Table) ObservePause(id string, pause time.Duration) {
	if p := t.requests[id]; p != nil {
		if p.maxPause > 0 {
			t.evidenceFor(p.pool).observe(pause > p.maxPause)
		}
		t.speeds.ObservePause(p.server.speed, p.tokensBeside, p.runningBeside, pause)
	}
}

// ExportSpeeds returns what is known of the speeds of servers.
func (t *Table) ExportSpeeds(now time.Duration) []serverspeed.Speed { return t.speeds.Export(now) }

// ImportSpeeds learns speeds of servers from another instance. It returns the number of servers
// of which less was known.
func (t *Table) ImportSpeeds(now time.Duration, speeds []serverspeed.Speed) int {
	return t.speeds.Import(now, speeds)
}

// Finish handles the end of a request.
func (t *Table) Finish(now time.Duration, id string, outcome Outcome) {
	p := t.requests[id]
	if p == nil {
		return
	}
	delete(t.requests, id)
	s := p.server
	s.remove(p)
	if p.isLong {
		t.reserveFor(p.pool).count(now, -1)
	}
	switch outcome {
	case Complete:
		s.recordOutcome(now, 0)
		s.consecutiveUnreached = 0
	case Failed:
		s.recordOutcome(now, 1)
	case Unreached:
		s.recordOutcome(now, 1)
		s.pausedUntil = now + unreachedPauses.Delay(s.consecutiveUnreached)
		s.consecutiveUnreached++
		s.cache.clear()
		s.reported = reportedParts{}
	}
}

// ExpectedFirstEvent returns the time to the first event on an idle server that has cached
// nothing of the prompt. Requests are refused by it, so it is not longer than at the usual
// speed: most measured times are those of busy servers, and made admission refuse the largest
// prompts although idle servers could serve them in time.
func (t *Table) ExpectedFirstEvent(r Request) time.Duration {
	promptTokens := 0
	for _, p := range r.Parts {
		promptTokens += p.Tokens
	}
	estimate := t.speeds.PoolEstimate(r.Pool, 0)
	return min(estimate.FirstEvent(promptTokens), serverspeed.UsualFirstEvent(promptTokens))
}
