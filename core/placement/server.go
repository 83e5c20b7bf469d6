package placement

import (
	"math"
	"slices"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/backoff"
	"github.com/magnoliawheel/magnoliawheel/core/serverspeed"
)

const (
	// uncachedPrefillWeight multiplies the cost of processing uncached parts of a prompt.
	// Caching them on a second server costs memory and time that other requests could
	// use.
	uncachedPrefillWeight = 2.0
	// affinityUncachedShare is the fraction of the prompt that the affinity server is
	// assumed to process while no server is known to have it cached.
	affinityUncachedShare = 0.5
	// otherZoneCostMS and otherRegionCostMS are the costs, for latency and traffic, of
	// using a server in another availability zone of the same region and in another
	// region.
	otherZoneCostMS   = 4.0
	otherRegionCostMS = 40.0
	// crossZoneCostMSPerMB is the cost of reading a megabyte from another availability
	// zone.
	crossZoneCostMSPerMB = 15.0
	bytesPerMB           = 1e6
	// failureCostMS is the cost of a server all of whose recent requests failed.
	failureCostMS = 4000.0
	// overdueCostMS is the cost of each overdue request on the server.
	overdueCostMS = 1500.0
	// overdueAfter is how long after the expected time a request without a first event
	// counts as overdue.
	overdueAfter = 770 * time.Millisecond
	// failureWeight is the weight of the newest request in the failure share.
	failureWeight = 0.35
	// failureHalfLife is the time in which a failure share halves without requests.
	failureHalfLife = 2 * time.Second
	// cacheMemoryShare is the fraction of a server's memory that is assumed to hold
	// cached prompts.
	cacheMemoryShare = 0.7
	// unavailableCostMS is the cost of a server that is paused or has no free slot or
	// memory.
	unavailableCostMS = 20_000.0
)

// unreachedPauses are the pauses after consecutive requests that did not reach a
// server.
var unreachedPauses = backoff.Policy{Initial: 400 * time.Millisecond, Max: 3 * time.Second}

// server is a model server with its state.
type server struct {
	def    Server
	region string
	// position is that in the list of its pool's servers, or notListed.
	position int
	// running is the number of requests on the server. pendingPrefillTokens and
	// reservedTokens are the sums over these requests.
	running, pendingPrefillTokens, reservedTokens int
	// placed are these requests, waiting those of them without a first event.
	placed, waiting []*placedRequest
	// pauseLimits counts these requests by their longest on-time pause.
	pauseLimits []pauseLimit
	// isReserved is set while the server is kept for long prompts. speedStep is the speed
	// by which such servers are chosen.
	isReserved bool
	speedStep  int
	// speed is the measured speed of the server.
	speed *serverspeed.Server
	// cache holds the prompt prefixes that the server is assumed to have cached.
	cache *prefixCache
	// reported are the parts that the server itself reported to have cached.
	reported reportedParts
	// failureShare is the weighted share of recent requests that failed, at the time
	// failureShareAt.
	failureShare         float64
	failureShareAt       time.Duration
	consecutiveUnreached int
	pausedUntil          time.Duration
}

// notListed is the position of a server that its pool does not list any more.
const notListed = -1

// placedRequest is a request on a server.
type placedRequest struct {
	server *server
	pool   string
	// isLong is set if its prompt makes other responses late.
	isLong   bool
	placedAt time.Duration
	// expectedFirstEvent is the time to the first event that was expected when the request
	// was placed. Until then the server had to process prefillTokens, of this request and of
	// earlier ones, and ran runningAtStart other requests.
	expectedFirstEvent            time.Duration
	prefillTokens, runningAtStart int
	// hasStarted is set once the first event was seen.
	hasStarted bool
	// tokensBeside are the most prompt tokens that the server had to process for other
	// requests at any time since the first event, and runningBeside the number of requests
	// then.
	tokensBeside, runningBeside int
	// maxPause is the longest on-time pause; 0 if pauses do not count.
	maxPause time.Duration
	// pendingPrefillTokens is the number of prompt tokens of this request that the server
	// still has to process.
	pendingPrefillTokens int
	// reservedTokens is the memory that the prompt and the longest answer take.
	reservedTokens int
}

// networkCost returns the cost of the network distance from an availability zone and its
// region.
func (s *server) networkCost(zone, region string) float64 {
	switch {
	case zone == s.def.Zone:
		return 0
	case region != "" && region == s.region:
		return otherZoneCostMS
	}
	return otherRegionCostMS
}

// add adds a request to the server.
func (s *server) add(p *placedRequest) {
	s.running++
	s.pendingPrefillTokens += p.pendingPrefillTokens
	s.reservedTokens += p.reservedTokens
	s.placed = append(s.placed, p)
	s.waiting = append(s.waiting, p)
	s.countPauseLimit(p.maxPause, 1)
	for _, other := range s.placed {
		other.recordBeside()
	}
}

// remove removes a request from the server.
func (s *server) remove(p *placedRequest) {
	s.prefillDone(p)
	s.running--
	s.reservedTokens -= p.reservedTokens
	s.placed = without(s.placed, p)
	s.countPauseLimit(p.maxPause, -1)
}

// prefillDone records that the prompt of a request need not be processed any more.
func (s *server) prefillDone(p *placedRequest) {
	s.pendingPrefillTokens -= p.pendingPrefillTokens
	p.pendingPrefillTokens = 0
	s.waiting = without(s.waiting, p)
	p.hasStarted = true
	p.recordBeside()
}

func without(requests []*placedRequest, p *placedRequest) []*placedRequest {
	if i := slices.Index(requests, p); i >= 0 {
		return slices.Delete(requests, i, i+1)
	}
	return requests
}

// recordBeside records the prompts that the server processes while the response runs.
func (p *placedRequest) recordBeside() {
	if p.hasStarted && p.server.pendingPrefillTokens > p.tokensBeside {
		p.tokensBeside, p.runningBeside = p.server.pendingPrefillTokens, p.server.running
	}
}

// recordOutcome includes a request in the failure share; outcome is 1 for a failure and
// 0 otherwise.
func (s *server) recordOutcome(now time.Duration, outcome float64) {
	share := s.currentFailureShare(now)
	s.failureShare = share + failureWeight*(outcome-share)
	s.failureShareAt = now
}

// currentFailureShare returns the failure share after exponential decay since its last
// update.
func (s *server) currentFailureShare(now time.Duration) float64 {
	if s.failureShare == 0 {
		return 0
	}
	return s.failureShare * math.Exp2(-float64(now-s.failureShareAt)/float64(failureHalfLife))
}

// cost returns the expected time to the first event in milliseconds, plus the costs that
// this choice causes for other requests. It excludes the network distance.
func (s *server) cost(now time.Duration, c *choice, hasAffinity bool) float64 {
	speed := s.speed.Estimate(now, s.running)
	uncached := c.uncached[s.position]
	cost := s.copyCost(c, uncached, speed.TokensPerMS)
	if hasAffinity {
		uncached = int(affinityUncachedShare * float64(uncached))
	}
	cost += speed.PrefillMS(s.pendingPrefillTokens) + uncachedPrefillWeight*speed.PrefillMS(uncached)
	cost += speed.RunningMS * float64(s.running)
	cost += s.interference(&speed, c, uncached) + s.objectiveCost(&speed, c.Request, uncached)
	if s.isReserved && c.MaxPause > 0 && !c.isLong {
		cost += c.pauseWeight * reservedCostMS
	}
	cost += failureCostMS * s.currentFailureShare(now)
	if c.inputBytes > 0 {
		cost += crossZoneCostMSPerMB * float64(c.inputBytes-c.InputBytesByZone[s.def.Zone]) / bytesPerMB
	}
	if now < s.pausedUntil {
		cost += unavailableCostMS
	}
	if s.isFull(c) {
		cost += unavailableCostMS
	}
	for _, p := range s.waiting {
		if now-p.placedAt > p.expectedFirstEvent+overdueAfter {
			cost += overdueCostMS
		}
	}
	return cost
}

// describe returns what the choice of the server depends on.
func (s *server) describe(now time.Duration, c *choice) Choice {
	speed := s.speed.Estimate(now, s.running)
	uncached := c.uncached[s.position]
	return Choice{
		Server: s.def, PromptTokens: c.promptTokens, UncachedTokens: uncached, QueuedTokens: s.pendingPrefillTokens, Running: s.running,
		ExpectedFirstEvent: speed.FirstEvent(s.pendingPrefillTokens + uncached), TokensPerMS: speed.TokensPerMS, Slowdown: speed.Slowdown,
		ExpectedPause: time.Duration(speed.PauseMS(uncached) * float64(time.Millisecond)), Interference: s.interference(&speed, c, uncached),
		Long: c.isLong, Reserved: s.isReserved, CopyServers: len(c.copyServers),
	}
}

// isFull reports whether the server lacks a slot or memory for the request.
func (s *server) isFull(c *choice) bool {
	if s.def.Slots > 0 && s.running >= s.def.Slots {
		return true
	}
	return s.def.CacheTokens > 0 && s.reservedTokens+c.promptTokens+c.MaxTokens > s.def.CacheTokens
}

// countUncached sets the numbers of prompt tokens that the servers have not cached.
func (t *Table) countUncached(now time.Duration, c *choice) {
	servers, index := t.serversByPool[c.Pool], t.indexes[c.Pool]
	c.uncached = t.uncachedBuffer[:0]
	for range servers {
		c.uncached = append(c.uncached, c.promptTokens)
	}
	t.uncachedBuffer = c.uncached
	left := c.promptTokens
	for _, p := range c.prefixes {
		// A prefix only helps a server that has all shorter ones cached.
		for _, s := range index[p.key] {
			if c.uncached[s.position] == left {
				c.uncached[s.position] = left - p.tokens
			}
		}
		left -= p.tokens
	}
	for _, s := range servers {
		if s.reported.expire(now); s.reported.parts != nil {
			c.uncached[s.position] = s.uncachedTokens(c)
		}
	}
}

// uncachedTokens returns the number of prompt tokens that the server has not cached.
func (s *server) uncachedTokens(c *choice) int {
	uncached := c.promptTokens
	for _, p := range c.prefixes {
		if !s.hasCached(&p) {
			break
		}
		uncached -= p.tokens
	}
	return uncached
}
