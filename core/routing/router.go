package routing

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// defaultSubsetSize applies if Options.SubsetSize is not set.
	defaultSubsetSize = 24
	// seedStream keeps the router's random sequence independent of other uses of the
	// same seed.
	seedStream = 0x726f7574
	// regionChoices and globalChoices are the numbers of random servers compared per
	// pick: from the region of the input, and from all candidates.
	regionChoices = 3
	globalChoices = 2
	// maxChoices bounds the servers compared per pick. The 2 are the prefix's home
	// server and the server most likely to have it cached.
	maxChoices = regionChoices + globalChoices + 2
)

// Router selects among the servers of one pool. It is not safe for concurrent use.
type Router struct {
	opts Options
	rng  *rand.Rand
	// servers is sorted by tier, then by a hash that differs between entries.
	servers        []*server
	byID           map[string]*server
	groups         map[string]*group
	zones          []zoneHealth
	roundRobinNext int
	// prefixHome is the home server of the prefix in the current pick.
	prefixHome *server
	stats      poolStats
	probes     probeState
}

// New returns a Router without servers; call SetServers to add them.
func New(o Options) *Router {
	if o.SubsetSize <= 0 {
		o.SubsetSize = defaultSubsetSize
	}
	if o.ProbesPerSecond <= 0 {
		o.ProbesPerSecond = DefaultProbesPerSecond
	}
	return &Router{
		stats:  poolStats{callRatio: 1},
		opts:   o,
		rng:    rand.New(rand.NewPCG(o.Seed, seedStream)),
		byID:   map[string]*server{},
		groups: map[string]*group{},
	}
}

// SetServers replaces the server list. Servers that remain at the same address keep
// their load and health state.
func (r *Router) SetServers(now time.Time, list []Server) {
	previous := r.byID
	r.byID = make(map[string]*server, len(list))
	r.servers = r.servers[:0:0]
	for _, s := range list {
		st := previous[s.ID]
		if st == nil || st.Addr != s.Addr {
			st = newServer(s, r.opts.Seed)
		}
		st.Server = s
		st.tier = r.tier(&s)
		r.byID[s.ID] = st
		r.servers = append(r.servers, st)
	}
	slices.SortFunc(r.servers, compareRank)
	r.rebuildGroups()
	r.indexZones()
	r.refreshStats(now)
}

// Pick selects a server for an attempt; ok is false if none can be used.
func (r *Router) Pick(now time.Time, q *Query) (s Server, ok bool) {
	g := r.groupForQuery(now, q.Model)
	var st *server
	if r.opts.Policy == RoundRobin {
		st = r.pickRoundRobin(g, q)
	} else {
		st = r.pickLeastCost(now, q, g)
	}
	if st == nil {
		return Server{}, false
	}
	return st.Server, true
}

// ExpectedTime returns the shortest expected time of an attempt sent now, including
// queueing, service and transfer. ok is false if no service time is known yet or no
// candidate is usable.
func (r *Router) ExpectedTime(now time.Time, q *Query) (d time.Duration, ok bool) {
	if r.stats.serviceTime == 0 {
		return 0, false
	}
	shortest := 0.0
	r.prefixHome = nil
	for _, st := range r.groupForQuery(now, q.Model).candidates {
		if !r.isUsable(now, q, st) {
			continue
		}
		if v := r.expectedFinish(now, q, st); !ok || v < shortest {
			shortest, ok = v, true
		}
	}
	return time.Duration(shortest), ok
}

// pickRoundRobin returns the next server in rotation, or nil if none can be used.
func (r *Router) pickRoundRobin(g *group, q *Query) *server {
	for range g.members {
		st := g.members[r.roundRobinNext%len(g.members)]
		r.roundRobinNext++
		if !st.isLeaving() && st.mayServeModel(q.Model) && !slices.Contains(q.Exclude, st.ID) {
			return st
		}
	}
	return nil
}

// pickLeastCost returns the cheapest of a few sampled servers, the fallback server if
// the sample is empty, or nil.
func (r *Router) pickLeastCost(now time.Time, q *Query, g *group) *server {
	var buf [maxChoices]*server
	choices := r.sampleCandidates(now, q, g, buf[:0])
	var best *server
	bestCost := 0.0
	for _, st := range choices {
		cost := r.cost(now, q, st)
		if best == nil || cost < bestCost {
			best, bestCost = st, cost
		}
	}
	if best == nil {
		best = r.pickFallback(q, g)
	}
	return best
}

// sampleCandidates appends the servers to compare to dst: those likely to have the
// prefix cached and a few random ones.
func (r *Router) sampleCandidates(now time.Time, q *Query, g *group, dst []*server) []*server {
	list := g.candidates
	r.prefixHome = nil
	if q.PrefixHash != 0 {
		dst = r.appendCacheHolders(now, q, list, dst)
	}
	regional := g.candidatesIn(r.inputRegion(q))
	for range regionChoices {
		dst = r.appendRandomUsable(now, q, regional, dst)
	}
	for range globalChoices {
		dst = r.appendRandomUsable(now, q, list, dst)
	}
	return dst
}

// appendRandomUsable appends the first usable server that is not yet in dst,
// scanning the list from a random position.
func (r *Router) appendRandomUsable(now time.Time, q *Query, list, dst []*server) []*server {
	if len(list) == 0 {
		return dst
	}
	start := r.rng.IntN(len(list))
	for i := range list {
		st := list[(start+i)%len(list)]
		if slices.Contains(dst, st) || !r.isUsable(now, q, st) {
			continue
		}
		if !r.passesSlowStart(now, st) {
			continue
		}
		return append(dst, st)
	}
	return dst
}

// pickFallback returns a random server even if it is ejected or unresponsive, as long
// as it is not leaving, or nil. Responsive servers are preferred.
func (r *Router) pickFallback(q *Query, g *group) *server {
	if len(g.members) == 0 {
		return nil
	}
	start := r.rng.IntN(len(g.members))
	var unresponsive *server
	for i := range g.members {
		st := g.members[(start+i)%len(g.members)]
		if st.isLeaving() || !st.mayServeModel(q.Model) || slices.Contains(q.Exclude, st.ID) {
			continue
		}
		if !st.unresponsive {
			return st
		}
		unresponsive = st
	}
	return unresponsive
}

// isUsable reports whether the server is healthy, may serve the model and is not
// excluded by the query.
func (r *Router) isUsable(now time.Time, q *Query, st *server) bool {
	return !st.isLeaving() && !st.unresponsive && !st.isEjected(now) &&
		st.mayServeModel(q.Model) && !slices.Contains(q.Exclude, st.ID)
}
