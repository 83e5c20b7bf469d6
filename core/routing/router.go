package routing

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// defaultSubset is the number of servers in touch if Options names none.
	defaultSubset = 24
	// seedStream separates the random numbers of routers from other uses of a seed.
	seedStream = 0x726f7574
	// choicesNear and choicesAny are the servers compared at a choice: from the
	// entry's region, and from all.
	choicesNear = 3
	choicesAny  = 2
	// maxChoices bounds the servers compared, with those likely to hold the prefix.
	maxChoices = choicesNear + choicesAny + 2
)

// Router chooses among the servers of one pool. It is not safe for concurrent use.
type Router struct {
	opts Options
	rng  *rand.Rand
	// all holds the servers by tier, then by a hash particular to the entry.
	all    []*server
	byID   map[string]*server
	groups map[string]*group
	zones  []zoneHealth
	turn   int
	// home is the home of the prefix in the choice that is being made.
	home   *server
	stats  poolStats
	probes probeState
}

// New returns a router without servers.
func New(o Options) *Router {
	if o.Subset <= 0 {
		o.Subset = defaultSubset
	}
	if o.ProbesPerSecond <= 0 {
		o.ProbesPerSecond = DefaultProbesPerSecond
	}
	return &Router{
		stats:  poolStats{others: 1},
		opts:   o,
		rng:    rand.New(rand.NewPCG(o.Seed, seedStream)),
		byID:   map[string]*server{},
		groups: map[string]*group{},
	}
}

// SetServers replaces the servers; what is known of those that stay is kept.
func (r *Router) SetServers(now time.Time, list []Server) {
	old := r.byID
	r.byID = make(map[string]*server, len(list))
	r.all = r.all[:0:0]
	for _, s := range list {
		st := old[s.ID]
		if st == nil || st.Addr != s.Addr {
			st = newServer(s, r.opts.Seed)
		}
		st.Server = s
		st.tier = r.tier(&s)
		r.byID[s.ID] = st
		r.all = append(r.all, st)
	}
	slices.SortFunc(r.all, compareRank)
	r.regroup()
	r.indexZones()
	r.refresh(now)
}

// Pick chooses a server; ok is false if none is usable.
func (r *Router) Pick(now time.Time, q *Query) (s Server, ok bool) {
	g := r.group(now, q.Model)
	var st *server
	if r.opts.Policy == RoundRobin {
		st = r.takeTurn(g, q)
	} else {
		st = r.least(now, q, g)
	}
	if st == nil {
		return Server{}, false
	}
	return st.Server, true
}

// Expected returns the expected time of an attempt placed now, with wait,
// service and transfer; ok is false if nothing was measured yet.
func (r *Router) Expected(now time.Time, q *Query) (d time.Duration, ok bool) {
	if r.stats.service == 0 {
		return 0, false
	}
	least := 0.0
	r.home = nil
	for _, st := range r.group(now, q.Model).candidates {
		if !r.usable(now, q, st) {
			continue
		}
		if v := r.finish(now, q, st); !ok || v < least {
			least, ok = v, true
		}
	}
	return time.Duration(least), ok
}

// takeTurn returns the next server in turn, or nil.
func (r *Router) takeTurn(g *group, q *Query) *server {
	for range g.members {
		st := g.members[r.turn%len(g.members)]
		r.turn++
		if !st.leaving() && st.mayServe(q.Model) && !slices.Contains(q.Exclude, st.ID) {
			return st
		}
	}
	return nil
}

// least returns the server with the least cost among a few, or nil.
func (r *Router) least(now time.Time, q *Query, g *group) *server {
	var buf [maxChoices]*server
	choices := r.sample(now, q, g, buf[:0])
	var best *server
	bestCost := 0.0
	for _, st := range choices {
		cost := r.cost(now, q, st)
		if best == nil || cost < bestCost {
			best, bestCost = st, cost
		}
	}
	if best == nil {
		best = r.lastResort(q, g)
	}
	return best
}

// sample appends a few usable servers to dst.
func (r *Router) sample(now time.Time, q *Query, g *group, dst []*server) []*server {
	list := g.candidates
	r.home = nil
	if q.Prefix != 0 {
		dst = r.holders(now, q, list, dst)
	}
	near := g.in(r.bytesRegion(q))
	for range choicesNear {
		dst = r.draw(now, q, near, dst)
	}
	for range choicesAny {
		dst = r.draw(now, q, list, dst)
	}
	return dst
}

// draw appends the first usable server from a random place on that is not in
// dst yet.
func (r *Router) draw(now time.Time, q *Query, list, dst []*server) []*server {
	if len(list) == 0 {
		return dst
	}
	at := r.rng.IntN(len(list))
	for i := range list {
		st := list[(at+i)%len(list)]
		if slices.Contains(dst, st) || !r.usable(now, q, st) {
			continue
		}
		if !r.pastSlowStart(now, st) {
			continue
		}
		return append(dst, st)
	}
	return dst
}

// lastResort returns a server that is not known to be leaving although it is
// ejected or silent, or nil.
func (r *Router) lastResort(q *Query, g *group) *server {
	if len(g.members) == 0 {
		return nil
	}
	at := r.rng.IntN(len(g.members))
	var silent *server
	for i := range g.members {
		st := g.members[(at+i)%len(g.members)]
		if st.leaving() || !st.mayServe(q.Model) || slices.Contains(q.Exclude, st.ID) {
			continue
		}
		if !st.silent {
			return st
		}
		silent = st
	}
	return silent
}

func (r *Router) usable(now time.Time, q *Query, st *server) bool {
	return !st.leaving() && !st.silent && !st.ejected(now) &&
		st.mayServe(q.Model) && !slices.Contains(q.Exclude, st.ID)
}
