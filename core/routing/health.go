package routing

import (
	"math"
	"slices"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/backoff"
	"github.com/magnoliawheel/magnoliawheel/core/result"
)

const (
	// failingWeight is the weight of one outcome in the smoothed failed share.
	failingWeight = 0.3
	// failingHalf is the time after which half of a failed share is forgotten.
	failingHalf = 10 * time.Second
	// failingLeast is the failed share that counts as none.
	failingLeast = 0.01
	// failingCost values a failed attempt, relative to the median service time.
	failingCost = 4
	// ejectShare is the failed share above the pool's median that ejects.
	ejectShare = 0.45
	// ejectCap is the greatest share of a pool's servers that is ejected.
	ejectCap = 1.0 / 3
	// ejectBase and ejectMax bound the length of ejections.
	ejectBase = 2 * time.Second
	ejectMax  = 30 * time.Second
	// ejectForgotten is the time without ejection after which the length starts anew.
	ejectForgotten = time.Minute
	// failingReturned is the failed share assumed after an ejection.
	failingReturned = 0.25
	// slowFactor is the time of an attempt that counts as slow, relative to the
	// median service time and wait.
	slowFactor = 2
	// slowStart is the time over which a server that returned takes up its share.
	slowStart = 5 * time.Second
	// slowStartLeast is the share of choices it takes part in at first.
	slowStartLeast = 0.1
	// zoneBadShare is the share of bad servers that makes a zone's others costly.
	zoneBadShare = 0.5
)

// ejections are the lengths of ejections that follow on each other.
var ejections = backoff.Policy{Initial: ejectBase, Max: ejectMax}

// zoneHealth counts the servers of one zone.
type zoneHealth struct {
	name       string
	total, bad int
}

// Observe takes in a load report of a server.
func (r *Router) Observe(now time.Time, id string, l Load) {
	st := r.byID[id]
	if st == nil {
		return
	}
	if !slices.Equal(st.load.Models, l.Models) {
		l.Models = slices.Clone(l.Models)
		r.setModels(st, l.Models)
	} else {
		l.Models = st.load.Models
	}
	if st.silent {
		st.silent = false
		st.returned = now
	}
	st.load = l
	st.reported = now
	st.startsReported = len(st.starts)
	st.unanswered = 0
	if now.Sub(r.stats.at) >= statsAge || r.stats.service == 0 {
		r.refresh(now)
	}
}

// Start records that an attempt was sent to a server.
func (r *Router) Start(now time.Time, id string) {
	if st := r.byID[id]; st != nil {
		st.started(now)
	}
}

// End records how an attempt at a server ended.
func (r *Router) End(now time.Time, id string, o Outcome) {
	st := r.byID[id]
	if st == nil {
		return
	}
	st.ended(now, now.Add(-o.Took))
	r.noteSlow(now, st, o)
	if o.Silent {
		st.silent = true
		r.failed(now, st)
		r.countZones(now)
		return
	}
	switch o.Code {
	case result.OK:
		st.failing = st.failingNow(now) * (1 - failingWeight)
		st.failingAt = now
	case result.ServerLeaving:
		st.load.Leaving = true
	case result.QueueFull, result.Overloaded, result.CustomerOverShare, result.ResultsFull,
		result.BudgetSpent, result.DeadlineTooShort, result.NotReady, result.Paused, result.WrongIncarnation:
		st.refused = now
	case result.ModelNotLoaded:
		r.forgetModel(st, o.Model)
	case result.ServerFailed, result.AgentLost, result.ChecksumMismatch, result.Internal:
		r.failed(now, st)
	}
}

// noteSlow takes a long attempt that was given up as evidence of slowness: a
// server that is too slow for every deadline never reports a long call.
func (r *Router) noteSlow(now time.Time, st *server, o Outcome) {
	if o.Code != result.Cancelled && o.Code != result.DeadlineExceeded {
		return
	}
	usual := r.stats.service + r.stats.wait
	if usual == 0 || float64(o.Took) < slowFactor*usual {
		return
	}
	st.slow, st.slowAt = o.Took, now
}

func (r *Router) forgetModel(st *server, model string) {
	if model == "" || !slices.Contains(st.load.Models, model) {
		return
	}
	r.leaveGroup(st, model)
	models := make([]string, 0, len(st.load.Models))
	for _, m := range st.load.Models {
		if m != model {
			models = append(models, m)
		}
	}
	st.load.Models = models
}

// failed takes in a failed attempt and ejects the server if it fails more often
// than its pool.
func (r *Router) failed(now time.Time, st *server) {
	share := st.failingNow(now)
	st.failing = share + failingWeight*(1-share)
	st.failingAt = now
	if st.ejected(now) {
		return
	}
	r.stats.failing, _ = r.median(now, func(s *server) float64 { return s.failingNow(now) })
	if st.failing < r.stats.failing+ejectShare || !r.mayEject(now) {
		return
	}
	if now.Sub(st.until) > ejectForgotten {
		st.ejections = 0
	}
	length := ejections.Delay(st.ejections)
	st.ejections++
	st.until = now.Add(length)
	st.returned = st.until
	r.countZones(now)
}

// mayEject tells whether one more ejection keeps under the cap.
func (r *Router) mayEject(now time.Time) bool {
	total, out := 0, 0
	for _, st := range r.all {
		if st.leaving() {
			continue
		}
		total++
		if st.ejected(now) {
			out++
		}
	}
	return total > 1 && out+1 <= max(1, int(ejectCap*float64(total)))
}

func (st *server) ejected(now time.Time) bool { return now.Before(st.until) }

// failingNow returns the failed share, aged.
func (st *server) failingNow(now time.Time) float64 {
	if st.failing == 0 {
		return 0
	}
	v := st.failing
	at := st.failingAt
	if !st.until.IsZero() && !st.until.Before(at) && !st.ejected(now) {
		v, at = failingReturned, st.until
	}
	v *= math.Exp2(-float64(now.Sub(at)) / float64(failingHalf))
	if v < failingLeast {
		return 0
	}
	return v
}

// pastSlowStart draws whether a server that returned takes part in a choice.
func (r *Router) pastSlowStart(now time.Time, st *server) bool {
	since := now.Sub(st.returned)
	if st.returned.IsZero() || since >= slowStart {
		return true
	}
	return r.rng.Float64() < max(slowStartLeast, float64(since)/float64(slowStart))
}

// failureCost values the risk that the server fails the attempt.
func (r *Router) failureCost(now time.Time, st *server) float64 {
	v := st.failingNow(now) * failingCost * r.stats.service
	if st.unanswered >= probesUnanswered {
		v += failingCost * r.stats.service
	}
	if z := &r.zones[st.zone]; z.bad > 1 && float64(z.bad) > zoneBadShare*float64(z.total) {
		v += r.stats.service
	}
	return v
}

// indexZones gives each server the index of its zone.
func (r *Router) indexZones() {
	r.zones = r.zones[:0]
	for _, st := range r.all {
		i := slices.IndexFunc(r.zones, func(z zoneHealth) bool { return z.name == st.Zone })
		if i < 0 {
			i = len(r.zones)
			r.zones = append(r.zones, zoneHealth{name: st.Zone})
		}
		st.zone = i
	}
}

func (r *Router) countZones(now time.Time) {
	for i := range r.zones {
		r.zones[i].total, r.zones[i].bad = 0, 0
	}
	for _, st := range r.all {
		z := &r.zones[st.zone]
		z.total++
		if st.silent || st.ejected(now) || st.unanswered >= probesUnanswered {
			z.bad++
		}
	}
}
