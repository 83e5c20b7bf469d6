package routing

import (
	"slices"
	"time"
)

const (
	// probeInterval is the age of a report after which a server is probed.
	probeInterval = 500 * time.Millisecond
	// probeTimeout is the time after which a probe counts as unanswered.
	probeTimeout = time.Second
	// probesUnanswered is the number of probes without an answer that makes a
	// server costly.
	probesUnanswered = 2
	// queriedFor is how long a model that was asked for is kept in touch with.
	queriedFor = 10 * time.Second
	// groupEnough is the number of servers of a model that ends the search for more.
	groupEnough = 8
)

// probeState bounds the probes.
type probeState struct {
	tokens float64
	at     time.Time
	// cursor goes through the servers that never reported, group through the models.
	cursor int
	group  int
	models []string
}

// SetProbesPerSecond changes the bound on probes; rates that are not over 0 change
// nothing.
func (r *Router) SetProbesPerSecond(rate float64) {
	if rate > 0 {
		r.opts.ProbesPerSecond = rate
	}
}

// Probes appends to dst the servers whose load should be asked for now. When the
// bound on probes leaves servers out, the next call goes on with them.
func (r *Router) Probes(now time.Time, dst []Server) []Server {
	r.refillProbes(now)
	models := r.models()
	for i := range models {
		dst = r.probeGroup(now, models[(r.probes.group+i)%len(models)], dst)
	}
	r.probes.group++
	if r.searching(now) {
		dst = r.search(now, dst)
	}
	if now.Sub(r.stats.at) >= statsAge {
		r.refresh(now)
	}
	return dst
}

// probeGroup probes the candidates of a model that was asked for lately.
func (r *Router) probeGroup(now time.Time, model string, dst []Server) []Server {
	g := r.groups[model]
	if model != "" && now.Sub(g.queried) > queriedFor {
		return dst
	}
	if g.dirty {
		g.choose(r.opts.Subset)
	}
	n := len(g.candidates)
	start := g.probed
	for i := range n {
		if r.probes.tokens < 1 {
			break
		}
		at := (start + i) % n
		before := len(dst)
		dst = r.probe(now, g.candidates[at], dst)
		if len(dst) > before {
			g.probed = at + 1
		}
	}
	return dst
}

func (r *Router) refillProbes(now time.Time) {
	if !r.probes.at.IsZero() {
		r.probes.tokens += now.Sub(r.probes.at).Seconds() * r.opts.ProbesPerSecond
	} else {
		r.probes.tokens = float64(r.opts.Subset)
	}
	r.probes.tokens = min(r.probes.tokens, max(r.opts.ProbesPerSecond, float64(r.opts.Subset)))
	r.probes.at = now
}

func (r *Router) probe(now time.Time, st *server, dst []Server) []Server {
	if r.probes.tokens < 1 || st.leaving() {
		return dst
	}
	if now.Sub(st.reported) < probeInterval || now.Sub(st.asked) < probeInterval {
		return dst
	}
	if st.asked.After(st.reported) {
		if now.Sub(st.asked) < probeTimeout {
			return dst
		}
		st.unanswered++
	}
	r.probes.tokens--
	st.asked = now
	return append(dst, st.Server)
}

// models returns the models with groups, in order.
func (r *Router) models() []string {
	r.probes.models = r.probes.models[:0]
	for m := range r.groups {
		r.probes.models = append(r.probes.models, m)
	}
	slices.Sort(r.probes.models)
	return r.probes.models
}

// searching tells whether a model that is asked for has few known servers.
func (r *Router) searching(now time.Time) bool {
	all := r.groups[""]
	if all == nil || len(r.all) <= len(all.candidates) {
		return false
	}
	if now.Sub(all.queried) <= queriedFor {
		return true
	}
	for _, g := range r.groups {
		if now.Sub(g.queried) <= queriedFor && len(g.members) < groupEnough {
			return true
		}
	}
	return false
}

// search probes servers that never reported, in turn.
func (r *Router) search(now time.Time, dst []Server) []Server {
	for range r.all {
		if r.probes.tokens < 1 {
			return dst
		}
		st := r.all[r.probes.cursor%len(r.all)]
		r.probes.cursor++
		if st.reported.IsZero() {
			dst = r.probe(now, st, dst)
		}
	}
	return dst
}
