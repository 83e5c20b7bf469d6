package routing

import (
	"slices"
	"time"
)

const (
	// probeInterval is the age of a load report after which the server is probed, and
	// the minimum time between two probes of a server.
	probeInterval = 500 * time.Millisecond
	// probeTimeout is the time after which a probe counts as unanswered.
	probeTimeout = time.Second
	// unansweredProbesThreshold is the number of consecutive unanswered probes from
	// which a server counts as unhealthy and gets a higher cost.
	unansweredProbesThreshold = 2
	// queryRetention is how long after the last query the servers of a model are
	// probed.
	queryRetention = 10 * time.Second
	// enoughModelServers is the number of known servers of a model from which the
	// router stops looking for more.
	enoughModelServers = 8
)

// probeState limits the probe rate with a token bucket and remembers where the next
// round of probes continues.
type probeState struct {
	tokens     float64
	refilledAt time.Time
	// nextServer is the position in Router.servers from which to look for servers
	// without a report; nextModel is the position in models.
	nextServer int
	nextModel  int
	models     []string
}

// SetProbesPerSecond changes the probe rate limit. It ignores rates that are not
// positive.
func (r *Router) SetProbesPerSecond(rate float64) {
	if rate > 0 {
		r.opts.ProbesPerSecond = rate
	}
}

// Probes appends the servers to probe now to dst. If the rate limit leaves servers
// out, the next call continues with them.
func (r *Router) Probes(now time.Time, dst []Server) []Server {
	r.refillProbeTokens(now)
	models := r.sortedModels()
	for i := range models {
		dst = r.probeGroup(now, models[(r.probes.nextModel+i)%len(models)], dst)
	}
	r.probes.nextModel++
	if r.needsDiscovery(now) {
		dst = r.probeUnreported(now, dst)
	}
	if now.Sub(r.stats.computedAt) >= statsInterval {
		r.refreshStats(now)
	}
	return dst
}

// probeGroup appends the candidates of a recently queried model that are due for a
// probe. The group without a model is always probed.
func (r *Router) probeGroup(now time.Time, model string, dst []Server) []Server {
	g := r.groups[model]
	if model != "" && now.Sub(g.queriedAt) > queryRetention {
		return dst
	}
	if g.candidatesStale {
		g.selectCandidates(r.opts.SubsetSize)
	}
	n := len(g.candidates)
	start := g.nextProbe
	for i := range n {
		if r.probes.tokens < 1 {
			break
		}
		index := (start + i) % n
		before := len(dst)
		dst = r.appendProbe(now, g.candidates[index], dst)
		if len(dst) > before {
			g.nextProbe = index + 1
		}
	}
	return dst
}

func (r *Router) refillProbeTokens(now time.Time) {
	if !r.probes.refilledAt.IsZero() {
		r.probes.tokens += now.Sub(r.probes.refilledAt).Seconds() * r.opts.ProbesPerSecond
	} else {
		r.probes.tokens = float64(r.opts.SubsetSize)
	}
	r.probes.tokens = min(r.probes.tokens, max(r.opts.ProbesPerSecond, float64(r.opts.SubsetSize)))
	r.probes.refilledAt = now
}

// appendProbe appends the server if it is due for a probe and the rate limit allows it.
func (r *Router) appendProbe(now time.Time, st *server, dst []Server) []Server {
	if r.probes.tokens < 1 || st.isLeaving() {
		return dst
	}
	if now.Sub(st.reportedAt) < probeInterval || now.Sub(st.probedAt) < probeInterval {
		return dst
	}
	if st.probedAt.After(st.reportedAt) {
		if now.Sub(st.probedAt) < probeTimeout {
			return dst
		}
		st.unansweredProbes++
	}
	r.probes.tokens--
	st.probedAt = now
	return append(dst, st.Server)
}

// sortedModels returns the models that have a group, sorted by name.
func (r *Router) sortedModels() []string {
	r.probes.models = r.probes.models[:0]
	for m := range r.groups {
		r.probes.models = append(r.probes.models, m)
	}
	slices.Sort(r.probes.models)
	return r.probes.models
}

// needsDiscovery reports whether servers that never reported should be probed: some
// are outside the subset, and a recently queried model has few known servers or the
// group without a model was queried recently.
func (r *Router) needsDiscovery(now time.Time) bool {
	all := r.groups[""]
	if all == nil || len(r.servers) <= len(all.candidates) {
		return false
	}
	if now.Sub(all.queriedAt) <= queryRetention {
		return true
	}
	for _, g := range r.groups {
		if now.Sub(g.queriedAt) <= queryRetention && len(g.members) < enoughModelServers {
			return true
		}
	}
	return false
}

// probeUnreported appends servers that never reported, continuing where the last call
// stopped.
func (r *Router) probeUnreported(now time.Time, dst []Server) []Server {
	for range r.servers {
		if r.probes.tokens < 1 {
			return dst
		}
		st := r.servers[r.probes.nextServer%len(r.servers)]
		r.probes.nextServer++
		if st.reportedAt.IsZero() {
			dst = r.appendProbe(now, st, dst)
		}
	}
	return dst
}
