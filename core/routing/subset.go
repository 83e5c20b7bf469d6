package routing

import (
	"slices"
	"strings"
	"time"
)

// The tiers group servers by their distance from the entry: in its zone, in another
// zone of its region, or in another region.
const (
	tierZone = iota
	tierRegion
	tierOther
)

// At least size/outsideZoneDivisor candidates come from outside the entry's zone and
// size/outsideRegionDivisor from outside its region, as far as there are any.
const (
	outsideZoneDivisor   = 4
	outsideRegionDivisor = 8
)

// group holds the servers that serve one model. The group with the empty model name
// holds all servers.
type group struct {
	members []*server
	// candidates is the subset of members that the entry probes and chooses from, sorted
	// by tier and region.
	candidates []*server
	// nextProbe is the index after the candidate that was probed last.
	nextProbe   int
	regionSpans []regionSpan
	// candidatesStale is set when members changed since candidates was computed.
	candidatesStale bool
	// queriedAt is when a server was last requested from the group.
	queriedAt time.Time
}

// regionSpan is the range of indices of the candidates in one region.
type regionSpan struct {
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

// rebuildGroups rebuilds all groups from the servers and their models.
func (r *Router) rebuildGroups() {
	queriedAt := map[string]time.Time{}
	for model, g := range r.groups {
		queriedAt[model] = g.queriedAt
	}
	clear(r.groups)
	r.groups[""] = &group{members: r.servers, candidatesStale: true, queriedAt: queriedAt[""]}
	for _, st := range r.servers {
		for _, model := range st.load.Models {
			r.groupForUpdate(model).members = append(r.groupForUpdate(model).members, st)
		}
	}
	for model, g := range r.groups {
		g.queriedAt = queriedAt[model]
	}
}

// groupForUpdate returns the group of a model, created if necessary, and marks its
// candidates as stale.
func (r *Router) groupForUpdate(model string) *group {
	g := r.groups[model]
	if g == nil {
		g = &group{}
		r.groups[model] = g
	}
	g.candidatesStale = true
	return g
}

// groupForQuery returns the group of a model with its candidates up to date. If no
// server is known to serve the model, it returns the group of all servers.
func (r *Router) groupForQuery(now time.Time, model string) *group {
	g := r.groups[model]
	if g == nil || len(g.members) == 0 {
		g = r.groupOrEmpty("")
	}
	g.queriedAt = now
	if g.candidatesStale {
		g.selectCandidates(r.opts.SubsetSize)
	}
	return g
}

func (r *Router) groupOrEmpty(model string) *group {
	if g := r.groups[model]; g != nil {
		return g
	}
	return &group{}
}

// updateModels moves a server between groups when its list of models changes.
func (r *Router) updateModels(st *server, models []string) {
	for _, m := range st.load.Models {
		if !slices.Contains(models, m) {
			r.removeFromGroup(st, m)
		}
	}
	for _, m := range models {
		g := r.groupForUpdate(m)
		index, found := slices.BinarySearchFunc(g.members, st, compareRank)
		if !found {
			g.members = slices.Insert(g.members, index, st)
		}
	}
}

func (r *Router) removeFromGroup(st *server, model string) {
	g := r.groupForUpdate(model)
	if i := slices.Index(g.members, st); i >= 0 {
		g.members = slices.Delete(g.members, i, i+1)
	}
}

// selectCandidates chooses size candidates from the members by rank, reserving some
// places for servers outside the entry's zone and region.
func (g *group) selectCandidates(size int) {
	g.candidatesStale = false
	inZone, inRegion := 0, 0
	for _, st := range g.members {
		switch st.tier {
		case tierZone:
			inZone++
		case tierRegion:
			inRegion++
		}
	}
	inOtherRegions := len(g.members) - inZone - inRegion
	zoneCount := min(inZone, size-min(size/outsideZoneDivisor, inRegion+inOtherRegions))
	regionCount := min(inRegion, size-zoneCount-min(size/outsideRegionDivisor, inOtherRegions))
	otherRegionCount := min(inOtherRegions, size-zoneCount-regionCount)
	g.candidates = append(g.candidates[:0], g.members[:zoneCount]...)
	g.candidates = append(g.candidates, g.members[inZone:inZone+regionCount]...)
	g.candidates = append(g.candidates, g.members[inZone+inRegion:inZone+inRegion+otherRegionCount]...)
	slices.SortStableFunc(g.candidates[zoneCount+regionCount:], func(a, b *server) int {
		return strings.Compare(a.Region, b.Region)
	})
	g.indexRegions()
}

func (g *group) indexRegions() {
	g.regionSpans = g.regionSpans[:0]
	for i, st := range g.candidates {
		last := len(g.regionSpans) - 1
		if last < 0 || g.regionSpans[last].region != st.Region {
			g.regionSpans = append(g.regionSpans, regionSpan{region: st.Region, lo: i})
			last++
		}
		g.regionSpans[last].hi = i + 1
	}
}

// candidatesIn returns the candidates in a region.
func (g *group) candidatesIn(region string) []*server {
	for _, s := range g.regionSpans {
		if s.region == region {
			return g.candidates[s.lo:s.hi]
		}
	}
	return nil
}
