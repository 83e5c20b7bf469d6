// Package placement chooses model servers. It weighs the prompt tokens that a
// server would have to read, those that it still reads for others, its running
// requests, its recent failures and the way to it. It is pure: no clock, no I/O.
package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliawheel/magnoliawheel/core/backoff"
)

const (
	// prefillTokensPerMS is the speed at which a server reads a prompt.
	prefillTokensPerMS = 60.0
	// reuseWeight multiplies the cost of reading parts that another server has
	// cached: reading them twice takes memory and time from other requests.
	reuseWeight = 2.0
	// homeShare is the part of a prompt that its home is taken to have to read while
	// no server is known to have it cached.
	homeShare = 0.5
	// runningCostMS is the delay that each running request adds to a new one.
	runningCostMS = 3.0
	// zoneCostMS and regionCostMS are the costs of another availability zone in the
	// same region and of another region: distance and traffic.
	zoneCostMS   = 4.0
	regionCostMS = 40.0
	// resultCostMS is the cost of reading a megabyte from another availability zone.
	resultCostMS = 15.0
	bytesPerMB   = 1e6
	// failureCostMS is the cost of a server all of whose recent requests failed.
	failureCostMS = 4000.0
	// overdueCostMS is the cost of each request without a first event in time.
	overdueCostMS = 1500.0
	// overdueAfter is the time without a first event, beyond the reading of prompts,
	// from which a request counts as overdue.
	overdueAfter = 900 * time.Millisecond
	// failureWeight is the weight of the newest request in the share of failures.
	failureWeight = 0.35
	// failureHalf is the time in which a share of failures halves without requests.
	failureHalf = 2 * time.Second
	// cacheShare is the part of a server's memory that is taken to hold cached parts.
	cacheShare = 0.7
	// fullCostMS is the cost of a server without a free slot or memory.
	fullCostMS = 20_000.0
)

// pauses follow tries in a row to reach a server in vain.
var pauses = backoff.Pauses{First: 400 * time.Millisecond, Longest: 3 * time.Second}

// Server is a model server. Started tells two starts under one ID apart.
type Server struct {
	ID, Address, Zone string
	Started           int64
	Slots             int
	// CacheTokens is its memory in tokens.
	CacheTokens int
}

// Part is a part of a prompt, shared by all requests that name it after the same parts.
type Part struct {
	ID     string
	Tokens int
}

// Request is a request to be placed.
type Request struct {
	ID   string
	Pool string
	// Zone is the availability zone of the entry that will send it.
	Zone      string
	Parts     []Part
	MaxTokens int
	// Avoid lists servers that must not be chosen.
	Avoid []string
	// Results are the sizes in bytes, by availability zone, of what the server reads.
	Results map[string]int64
}

// End tells how a placed request ended.
type End uint8

// The ends of a request.
const (
	Complete End = iota
	// Failed requests got no whole answer.
	Failed
	// Unreached requests were not taken by the server or it could not be reached.
	Unreached
	// Cancelled requests were given up by the caller.
	Cancelled
)

type server struct {
	def     Server
	running map[string]*placed
	// cached maps prefixes of prompts to their last use.
	cached map[string]*prefix
	tokens int
	// failing is the share of recent requests that failed.
	failing     float64
	failedAt    time.Duration
	unreached   int
	pausedUntil time.Duration
}

type prefix struct {
	tokens int
	used   time.Duration
}

type placed struct {
	server *server
	at     time.Duration
	// reading is the time that the prompts before it and its own take to be read.
	reading time.Duration
	unread  int
	tokens  int
	started bool
}

// Table holds model servers and the requests at them. It is not safe for concurrent use.
type Table struct {
	// regions maps availability zones to regions; a zone not in it is its own.
	regions map[string]string
	pools   map[string][]*server
	placed  map[string]*placed
}

// New returns an empty table. The map holds the region of each availability zone.
func New(regions map[string]string) *Table {
	return &Table{regions: regions, pools: map[string][]*server{}, placed: map[string]*placed{}}
}

// SetServers sets the servers of a pool that take new requests.
func (t *Table) SetServers(pool string, defs []Server) {
	old := t.pools[pool]
	servers := make([]*server, 0, len(defs))
	for _, def := range defs {
		i := slices.IndexFunc(old, func(s *server) bool { return s.def.ID == def.ID && s.def.Started == def.Started })
		if i < 0 {
			servers = append(servers, &server{def: def, running: map[string]*placed{}, cached: map[string]*prefix{}})
			continue
		}
		old[i].def = def
		servers = append(servers, old[i])
	}
	t.pools[pool] = servers
}

// Choose returns the best server for a request and counts the request there; false
// if there is none.
func (t *Table) Choose(now time.Duration, r Request) (Server, bool) {
	best := t.best(now, &r)
	if best == nil {
		return Server{}, false
	}
	t.Finish(now, r.ID, Cancelled)
	p := &placed{server: best, at: now, unread: best.unread(&r, prefixKeys(&r)), tokens: promptTokens(&r) + r.MaxTokens}
	best.running[r.ID] = p
	t.placed[r.ID] = p
	p.reading = time.Duration(best.pendingMS() * float64(time.Millisecond))
	best.remember(now, &r)
	return best.def, true
}

// Likely returns the zone of the server that Choose would take now; "" if there is none.
func (t *Table) Likely(now time.Duration, r Request) string {
	if best := t.best(now, &r); best != nil {
		return best.def.Zone
	}
	return ""
}

func (t *Table) best(now time.Duration, r *Request) *server {
	var best *server
	var least float64
	keys := prefixKeys(r)
	home := t.home(r, keys)
	for _, s := range t.pools[r.Pool] {
		if slices.Contains(r.Avoid, s.def.ID) {
			continue
		}
		cost := s.cost(now, r, keys, s == home) + t.distance(r.Zone, s.def.Zone)
		if best == nil || cost < least || cost == least && cmp.Less(s.def.ID, best.def.ID) {
			best, least = s, cost
		}
	}
	return best
}

// distance is the cost of the way between two availability zones.
func (t *Table) distance(a, b string) float64 {
	switch {
	case a == b:
		return 0
	case t.regions[a] != "" && t.regions[a] == t.regions[b]:
		return zoneCostMS
	}
	return regionCostMS
}

// home returns the server that every entry chooses first for the shared parts of a
// prompt that none is known to have cached; nil if one has, or nothing is shared.
// Another entry may have placed such prompts before.
func (t *Table) home(r *Request, keys []string) *server {
	if len(keys) < 2 {
		return nil
	}
	key := keys[len(keys)-2]
	var home *server
	var most uint64
	for _, s := range t.pools[r.Pool] {
		if s.cached[key] != nil {
			return nil
		}
		if h := rendezvous(key, s.def.ID); home == nil || h > most {
			home, most = s, h
		}
	}
	return home
}

// rendezvous is the weight of a server for a key.
func rendezvous(key, server string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString(server)
	return d.Sum64()
}

// Started takes the first event of a request: its prompt is read.
func (t *Table) Started(now time.Duration, id string) {
	if p := t.placed[id]; p != nil {
		p.started = true
		p.unread = 0
		p.server.unreached = 0
	}
}

// Finish takes the end of a request.
func (t *Table) Finish(now time.Duration, id string, end End) {
	p := t.placed[id]
	if p == nil {
		return
	}
	delete(t.placed, id)
	s := p.server
	delete(s.running, id)
	switch end {
	case Complete:
		s.fail(now, 0)
		s.unreached = 0
	case Failed:
		s.fail(now, 1)
	case Unreached:
		s.fail(now, 1)
		s.pausedUntil = now + pauses.After(s.unreached)
		s.unreached++
		clear(s.cached)
		s.tokens = 0
	}
}

func (s *server) fail(now time.Duration, outcome float64) {
	share := s.share(now)
	s.failing = share + failureWeight*(outcome-share)
	s.failedAt = now
}

// share is the share of failures, forgotten with time.
func (s *server) share(now time.Duration) float64 {
	return s.failing * math.Exp2(-float64(now-s.failedAt)/float64(failureHalf))
}

// cost is the expected time to the first event in milliseconds, with what a choice
// costs others and without the way to the server.
func (s *server) cost(now time.Duration, r *Request, keys []string, home bool) float64 {
	unread := float64(s.unread(r, keys))
	if home {
		unread *= homeShare
	}
	cost := s.pendingMS() + reuseWeight*unread/prefillTokensPerMS
	cost += runningCostMS * float64(len(s.running))
	cost += failureCostMS * s.share(now)
	for zone, bytes := range r.Results {
		if zone != s.def.Zone {
			cost += resultCostMS * float64(bytes) / bytesPerMB
		}
	}
	if now < s.pausedUntil {
		cost += fullCostMS
	}
	if s.full(r) {
		cost += fullCostMS
	}
	for _, p := range s.running {
		if !p.started && now-p.at > p.reading+overdueAfter {
			cost += overdueCostMS
		}
	}
	return cost
}

// full tells whether the server lacks a slot or memory for the request.
func (s *server) full(r *Request) bool {
	if s.def.Slots > 0 && len(s.running) >= s.def.Slots {
		return true
	}
	need := promptTokens(r) + r.MaxTokens
	for _, p := range s.running {
		need += p.tokens
	}
	return s.def.CacheTokens > 0 && need > s.def.CacheTokens
}

// pendingMS is the time that the prompts which are not read yet take.
func (s *server) pendingMS() float64 {
	n := 0
	for _, p := range s.running {
		n += p.unread
	}
	return float64(n) / prefillTokensPerMS
}

func promptTokens(r *Request) int {
	n := 0
	for _, p := range r.Parts {
		n += p.Tokens
	}
	return n
}

// unread is the number of prompt tokens that the server has not cached.
func (s *server) unread(r *Request, keys []string) int {
	left := promptTokens(r)
	for i, key := range keys {
		if s.cached[key] == nil {
			break
		}
		left -= r.Parts[i].Tokens
	}
	return left
}

// prefixKeys returns a key for each prefix of the prompt that ends with a part.
func prefixKeys(r *Request) []string {
	keys := make([]string, len(r.Parts))
	key := ""
	for i, p := range r.Parts {
		key += "/" + p.ID
		keys[i] = key
	}
	return keys
}

// remember notes the parts of the prompt as cached and forgets the oldest ones
// beyond the server's memory.
func (s *server) remember(now time.Duration, r *Request) {
	for i, key := range prefixKeys(r) {
		if c := s.cached[key]; c != nil {
			c.used = now
			continue
		}
		tokens := r.Parts[i].Tokens
		s.cached[key] = &prefix{tokens: tokens, used: now}
		s.tokens += tokens
	}
	bound := int(cacheShare * float64(s.def.CacheTokens))
	for bound > 0 && s.tokens > bound && len(s.cached) > 0 {
		s.forgetOldest()
	}
}

func (s *server) forgetOldest() {
	oldest := ""
	for key, c := range s.cached {
		if oldest == "" || c.used < s.cached[oldest].used || c.used == s.cached[oldest].used && key > oldest {
			oldest = key
		}
	}
	s.tokens -= s.cached[oldest].tokens
	delete(s.cached, oldest)
}

// firstEventTime is the time to the first event of a request with a read prompt.
const firstEventTime = 130 * time.Millisecond

// Expected is the time to the first event at a server that has nothing else to do
// and nothing of the prompt cached.
func Expected(r Request) time.Duration {
	reading := float64(promptTokens(&r)) / prefillTokensPerMS
	return firstEventTime + time.Duration(reading*float64(time.Millisecond))
}
