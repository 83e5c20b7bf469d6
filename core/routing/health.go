package routing

import (
	"math"
	"slices"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/backoff"
	"github.com/magnoliawheel/magnoliawheel/core/result"
)

const (
	// failureWeight is the weight of one outcome in the smoothed failure rate.
	failureWeight = 0.3
	// failureHalfLife is the half-life of the failure rate.
	failureHalfLife = 10 * time.Second
	// minFailureRate is the failure rate below which it counts as 0.
	minFailureRate = 0.01
	// failureCostFactor is the cost of a failed attempt, relative to the median
	// service time.
	failureCostFactor = 4
	// ejectThreshold is how far a server's failure rate must exceed the pool's median
	// for the server to be ejected.
	ejectThreshold = 0.45
	// maxEjectedShare is the largest share of a pool's servers ejected at a time.
	maxEjectedShare = 1.0 / 3
	// minEjectionTime and maxEjectionTime bound the duration of an ejection.
	minEjectionTime = 2 * time.Second
	maxEjectionTime = 30 * time.Second
	// ejectionResetAfter is the time without an ejection after which the duration
	// starts from minEjectionTime again.
	ejectionResetAfter = time.Minute
	// returnedFailureRate is the failure rate assumed after an ejection.
	returnedFailureRate = 0.25
	// slowAttemptFactor is the duration from which an abandoned attempt counts as
	// slow, relative to the sum of the median service time and queue wait.
	slowAttemptFactor = 2
	// slowStartPeriod is the time over which a server that returned from ejection or
	// unresponsiveness ramps up to its full share of traffic.
	slowStartPeriod = 5 * time.Second
	// minSlowStartShare is the share of picks that consider such a server at first.
	minSlowStartShare = 0.1
	// unhealthyZoneShare is the share of unhealthy servers above which all servers of
	// a zone get a higher cost, if at least two are unhealthy.
	unhealthyZoneShare = 0.5
)

// ejectionBackoff gives the durations of consecutive ejections of a server.
var ejectionBackoff = backoff.Policy{Initial: minEjectionTime, Max: maxEjectionTime}

// zoneHealth counts the servers of one zone, and the unhealthy ones among them.
type zoneHealth struct {
	name             string
	total, unhealthy int
}

// Observe records a load report of a server.
func (r *Router) Observe(now time.Time, id string, l Load) {
	st := r.byID[id]
	if st == nil {
		return
	}
	if !slices.Equal(st.load.Models, l.Models) {
		l.Models = slices.Clone(l.Models)
		r.updateModels(st, l.Models)
	} else {
		l.Models = st.load.Models
	}
	if st.unresponsive {
		st.unresponsive = false
		st.returnedAt = now
	}
	st.load = l
	st.reportedAt = now
	st.startsAtReport = len(st.attemptStarts)
	st.unansweredProbes = 0
	if now.Sub(r.stats.computedAt) >= statsInterval || r.stats.serviceTime == 0 {
		r.refreshStats(now)
	}
}

// Start records that an attempt was sent to a server.
func (r *Router) Start(now time.Time, id string) {
	if st := r.byID[id]; st != nil {
		st.recordStart(now)
	}
}

// End records how an attempt at a server ended.
func (r *Router) End(now time.Time, id string, o Outcome) {
	st := r.byID[id]
	if st == nil {
		return
	}
	st.recordEnd(now, now.Add(-o.Elapsed))
	r.recordSlowAttempt(now, st, o)
	if o.Unresponsive {
		st.unresponsive = true
		r.recordFailure(now, st)
		r.updateZoneHealth(now)
		return
	}
	switch o.Code {
	case result.OK:
		st.failureRate = st.currentFailureRate(now) * (1 - failureWeight)
		st.failureRateAt = now
	case result.ServerLeaving:
		st.load.Leaving = true
	case result.QueueFull, result.Overloaded, result.CustomerOverShare, result.ResultsFull,
		result.BudgetSpent, result.DeadlineTooShort, result.NotReady, result.Paused, result.WrongIncarnation:
		st.refusedAt = now
	case result.ModelNotLoaded:
		r.removeModel(st, o.Model)
	case result.ServerFailed, result.AgentLost, result.ChecksumMismatch, result.Internal:
		r.recordFailure(now, st)
	}
}

// recordSlowAttempt records the duration of an abandoned attempt if it was unusually
// long: a server that is too slow for every deadline never reports a long call.
func (r *Router) recordSlowAttempt(now time.Time, st *server, o Outcome) {
	if o.Code != result.Cancelled && o.Code != result.DeadlineExceeded {
		return
	}
	typical := r.stats.serviceTime + r.stats.queueWait
	if typical == 0 || float64(o.Elapsed) < slowAttemptFactor*typical {
		return
	}
	st.slowAttempt, st.slowAttemptAt = o.Elapsed, now
}

// removeModel records that the server does not have a model that it reported.
func (r *Router) removeModel(st *server, model string) {
	if model == "" || !slices.Contains(st.load.Models, model) {
		return
	}
	r.removeFromGroup(st, model)
	models := make([]string, 0, len(st.load.Models))
	for _, m := range st.load.Models {
		if m != model {
			models = append(models, m)
		}
	}
	st.load.Models = models
}

// recordFailure records a failed attempt and ejects the server if it fails much more
// often than the rest of its pool.
func (r *Router) recordFailure(now time.Time, st *server) {
	share := st.currentFailureRate(now)
	st.failureRate = share + failureWeight*(1-share)
	st.failureRateAt = now
	if st.isEjected(now) {
		return
	}
	r.stats.failureRate, _ = r.median(now, func(s *server) float64 { return s.currentFailureRate(now) })
	if st.failureRate < r.stats.failureRate+ejectThreshold || !r.canEject(now) {
		return
	}
	if now.Sub(st.ejectedUntil) > ejectionResetAfter {
		st.ejectionCount = 0
	}
	length := ejectionBackoff.Delay(st.ejectionCount)
	st.ejectionCount++
	st.ejectedUntil = now.Add(length)
	st.returnedAt = st.ejectedUntil
	r.updateZoneHealth(now)
}

// canEject reports whether one more ejection stays within maxEjectedShare. One
// ejection is always allowed in a pool of at least two servers.
func (r *Router) canEject(now time.Time) bool {
	total, ejected := 0, 0
	for _, st := range r.servers {
		if st.isLeaving() {
			continue
		}
		total++
		if st.isEjected(now) {
			ejected++
		}
	}
	return total > 1 && ejected+1 <= max(1, int(maxEjectedShare*float64(total)))
}

func (st *server) isEjected(now time.Time) bool { return now.Before(st.ejectedUntil) }

// currentFailureRate returns the failure rate decayed to the given time.
func (st *server) currentFailureRate(now time.Time) float64 {
	if st.failureRate == 0 {
		return 0
	}
	v := st.failureRate
	at := st.failureRateAt
	if !st.ejectedUntil.IsZero() && !st.ejectedUntil.Before(at) && !st.isEjected(now) {
		v, at = returnedFailureRate, st.ejectedUntil
	}
	v *= math.Exp2(-float64(now.Sub(at)) / float64(failureHalfLife))
	if v < minFailureRate {
		return 0
	}
	return v
}

// passesSlowStart reports whether a pick considers the server. During slow start the
// decision is random, with a probability that grows over slowStartPeriod.
func (r *Router) passesSlowStart(now time.Time, st *server) bool {
	since := now.Sub(st.returnedAt)
	if st.returnedAt.IsZero() || since >= slowStartPeriod {
		return true
	}
	return r.rng.Float64() < max(minSlowStartShare, float64(since)/float64(slowStartPeriod))
}

// failureCost returns the penalty for the risk that the server fails the attempt.
func (r *Router) failureCost(now time.Time, st *server) float64 {
	v := st.currentFailureRate(now) * failureCostFactor * r.stats.serviceTime
	if st.unansweredProbes >= unansweredProbesThreshold {
		v += failureCostFactor * r.stats.serviceTime
	}
	if z := &r.zones[st.zoneIndex]; z.unhealthy > 1 && float64(z.unhealthy) > unhealthyZoneShare*float64(z.total) {
		v += r.stats.serviceTime
	}
	return v
}

// indexZones rebuilds the list of zones and sets each server's index into it.
func (r *Router) indexZones() {
	r.zones = r.zones[:0]
	for _, st := range r.servers {
		i := slices.IndexFunc(r.zones, func(z zoneHealth) bool { return z.name == st.Zone })
		if i < 0 {
			i = len(r.zones)
			r.zones = append(r.zones, zoneHealth{name: st.Zone})
		}
		st.zoneIndex = i
	}
}

// updateZoneHealth recounts the unhealthy servers of each zone.
func (r *Router) updateZoneHealth(now time.Time) {
	for i := range r.zones {
		r.zones[i].total, r.zones[i].unhealthy = 0, 0
	}
	for _, st := range r.servers {
		z := &r.zones[st.zoneIndex]
		z.total++
		if st.unresponsive || st.isEjected(now) || st.unansweredProbes >= unansweredProbesThreshold {
			z.unhealthy++
		}
	}
}
