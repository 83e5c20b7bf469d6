package routing

import (
	"slices"
	"strings"
	"time"
)

// The tiers of distance from the entry.
const (
	tierZone = iota
	tierRegion
	tierOther
)

// The share of a subset kept for servers outside the entry's zone and outside
// its region, as divisors.
const (
	outsideZoneDivisor   = 4
	outsideRegionDivisor = 8
)

// group is the servers that serve one model; the group without a model holds all.
type group struct {
	members []*server
	// candidates is the subset of members that the entry keeps in touch with, by
	// tier and region.
	candidates []*server
	// probed is the index after the candidate that was probed last.
	probed int
	spans  []span
	dirty  bool
	// queried is when the group was last chosen from.
	queried time.Time
}

// span is the range of the candidates in one region.
type span struct {
	region string
	lo, hi int
}

func (r *Router) tier(s *Server) int {
	switch {
	case s.Zone == r.opts.Zone && s.Region == r.opts.Region:
		return tierZone
	case s.Region == r.opts.Region:
		return tierRegion
	}
	return tierOther
}

// regroup builds all groups anew.
func (r *Router) regroup() {
	queried := map[string]time.Time{}
	for model, g := range r.groups {
		queried[model] = g.queried
	}
	clear(r.groups)
	r.groups[""] = &group{members: r.all, dirty: true, queried: queried[""]}
	for _, st := range r.all {
		for _, model := range st.load.Models {
			r.groupOf(model).members = append(r.groupOf(model).members, st)
		}
	}
	for model, g := range r.groups {
		g.queried = queried[model]
	}
}

func (r *Router) groupOf(model string) *group {
	g := r.groups[model]
	if g == nil {
		g = &group{}
		r.groups[model] = g
	}
	g.dirty = true
	return g
}

// group returns the servers to choose from for a model.
func (r *Router) group(now time.Time, model string) *group {
	g := r.groups[model]
	if g == nil || len(g.members) == 0 {
		g = r.groupOrNone("")
	}
	g.queried = now
	if g.dirty {
		g.choose(r.opts.Subset)
	}
	return g
}

func (r *Router) groupOrNone(model string) *group {
	if g := r.groups[model]; g != nil {
		return g
	}
	return &group{}
}

// setModels moves a server between the groups after its models changed.
func (r *Router) setModels(st *server, models []string) {
	for _, m := range st.load.Models {
		if !slices.Contains(models, m) {
			r.leaveGroup(st, m)
		}
	}
	for _, m := range models {
		g := r.groupOf(m)
		at, found := slices.BinarySearchFunc(g.members, st, compareRank)
		if !found {
			g.members = slices.Insert(g.members, at, st)
		}
	}
}

func (r *Router) leaveGroup(st *server, model string) {
	g := r.groupOf(model)
	if i := slices.Index(g.members, st); i >= 0 {
		g.members = slices.Delete(g.members, i, i+1)
	}
}

// choose takes the subset from the members: by rank, with a reserve outside the
// entry's zone and region.
func (g *group) choose(size int) {
	g.dirty = false
	zone, region := 0, 0
	for _, st := range g.members {
		switch st.tier {
		case tierZone:
			zone++
		case tierRegion:
			region++
		}
	}
	other := len(g.members) - zone - region
	takeZone := min(zone, size-min(size/outsideZoneDivisor, region+other))
	takeRegion := min(region, size-takeZone-min(size/outsideRegionDivisor, other))
	takeOther := min(other, size-takeZone-takeRegion)
	g.candidates = append(g.candidates[:0], g.members[:takeZone]...)
	g.candidates = append(g.candidates, g.members[zone:zone+takeRegion]...)
	g.candidates = append(g.candidates, g.members[zone+region:zone+region+takeOther]...)
	slices.SortStableFunc(g.candidates[takeZone+takeRegion:], func(a, b *server) int {
		return strings.Compare(a.Region, b.Region)
	})
	g.index()
}

func (g *group) index() {
	g.spans = g.spans[:0]
	for i, st := range g.candidates {
		last := len(g.spans) - 1
		if last < 0 || g.spans[last].region != st.Region {
			g.spans = append(g.spans, span{region: st.Region, lo: i})
			last++
		}
		g.spans[last].hi = i + 1
	}
}

// in returns the candidates in a region.
func (g *group) in(region string) []*server {
	for _, s := range g.spans {
		if s.region == region {
			return g.candidates[s.lo:s.hi]
		}
	}
	return nil
}
