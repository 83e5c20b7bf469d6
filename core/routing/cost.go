package routing

import (
	"math"
	"slices"
	"time"
)

const (
	// zoneDelay and regionDelay are the round-trip times to another zone and region.
	zoneDelay   = 500 * time.Microsecond
	regionDelay = 10 * time.Millisecond
	// zoneBytesPerSecond and regionBytesPerSecond are the transfer rates between
	// zones and regions.
	zoneBytesPerSecond   = 1 << 30
	regionBytesPerSecond = 64 << 20
	// billedBytesPerSecond converts bytes billed for cross-region traffic to time.
	billedBytesPerSecond = 8 << 20

	// loadFreshAge is the age up to which a load report has full weight.
	loadFreshAge = time.Second
	// loadHalfLife is the half-life of a report's weight beyond loadFreshAge.
	loadHalfLife = 2 * time.Second
	// serviceTimeHalfLife is the idle time after which a server's deviation from the
	// pool's median service time counts half.
	serviceTimeHalfLife = 8 * time.Second
	// refusalPenaltyPeriod is how long a server that refused an attempt is expected
	// to have a longer queue wait.
	refusalPenaltyPeriod = 300 * time.Millisecond
	// occupancyWeight is the extra cost of a fully occupied server over an idle one,
	// relative to the service time.
	occupancyWeight = 0.5
	// cachedPrefixSaving is the share of the service time saved by a cached prefix.
	cachedPrefixSaving = 0.5
	// homeCacheProbability is the assumed probability that the home server of a
	// prefix has it cached if there is no cache hint.
	homeCacheProbability = 0.7
	// homeLoadFactor bounds the calls at a home server, relative to the average.
	homeLoadFactor = 1.25
	// defaultLimit is the concurrency limit assumed until one is reported.
	defaultLimit = 8
	// overBudgetFactor multiplies the cost of servers expected to exceed the time
	// budget.
	overBudgetFactor = 4
)

// poolStats holds statistics over the servers with recent load reports.
type poolStats struct {
	computedAt time.Time
	// serviceTime and queueWait are medians in nanoseconds; failureRate is the median
	// failure rate.
	serviceTime, queueWait, failureRate float64
	// callRatio is the number of calls of all entries at the pool's servers per call
	// of this entry.
	callRatio float64
	scratch   []float64
}

// statsInterval is the minimum time between two updates of the pool statistics.
const statsInterval = 250 * time.Millisecond

// maxStatsServers bounds the number of servers sampled for the statistics.
const maxStatsServers = 256

// refreshStats recomputes the pool statistics and the health of the zones.
func (r *Router) refreshStats(now time.Time) {
	r.stats.computedAt = now
	if v, ok := r.median(now, func(st *server) float64 { return float64(st.load.ServiceTime) }); ok && v > 0 {
		r.stats.serviceTime = v
	}
	r.stats.queueWait, _ = r.median(now, func(st *server) float64 { return float64(st.load.QueueWait) })
	r.stats.failureRate, _ = r.median(now, func(st *server) float64 { return st.currentFailureRate(now) })
	r.stats.callRatio = r.computeCallRatio(now)
	r.updateZoneHealth(now)
}

// maxCallRatio is the upper bound of poolStats.callRatio.
const maxCallRatio = 8

// computeCallRatio returns the ratio of all calls to this entry's calls, by the load
// reports that are still fresh. It is at least 1.
func (r *Router) computeCallRatio(now time.Time) float64 {
	allCalls, ownCalls := 0, 0
	for _, st := range r.servers {
		if st.reportedAt.IsZero() || now.Sub(st.reportedAt) > loadFreshAge {
			continue
		}
		allCalls += st.load.Running + st.load.Queued
		ownCalls += st.startsAtReport
	}
	return min(max(float64(allCalls)/float64(max(ownCalls, 1)), 1), maxCallRatio)
}

// median returns the median of value over the servers with a recent load report; ok is
// false if there are none.
func (r *Router) median(now time.Time, value func(*server) float64) (v float64, ok bool) {
	list := r.stats.scratch[:0]
	for _, st := range r.servers {
		if st.reportedAt.IsZero() || st.isLeaving() || now.Sub(st.reportedAt) > maxReportAge {
			continue
		}
		list = append(list, value(st))
		if len(list) == maxStatsServers {
			break
		}
	}
	r.stats.scratch = list
	if len(list) == 0 {
		return 0, false
	}
	slices.Sort(list)
	return list[(len(list)-1)/2], true
}

// maxReportAge is the age up to which a load report counts in the pool statistics.
const maxReportAge = 10 * time.Second

// cost returns the value that pickLeastCost minimizes, in nanoseconds: the expected
// time until the answer plus penalties for failures, billed bytes and occupancy.
func (r *Router) cost(now time.Time, q *Query, st *server) float64 {
	finish := r.expectedFinish(now, q, st)
	cost := finish
	if q.TimeBudget > 0 && finish > float64(q.TimeBudget) {
		cost *= overBudgetFactor
	}
	serviceTime := r.expectedServiceTime(now, st)
	cost += occupancyWeight * serviceTime * min(1, st.estimatedCalls(r.stats.callRatio)/float64(st.effectiveLimit()))
	cost += r.failureCost(now, st)
	cost += billedTransferCost(q, st, r.opts.Region)
	return cost
}

// expectedFinish returns the expected time until the answer, in nanoseconds.
func (r *Router) expectedFinish(now time.Time, q *Query, st *server) float64 {
	serviceTime := r.expectedServiceTime(now, st)
	finish := r.expectedQueueWait(now, st, serviceTime) + serviceTime + r.transferTime(q, st)
	if q.PrefixHash != 0 {
		finish -= r.cacheProbability(now, q, st) * cachedPrefixSaving * serviceTime
	}
	return finish
}

// expectedServiceTime returns the expected duration of one call at the server, in
// nanoseconds.
func (r *Router) expectedServiceTime(now time.Time, st *server) float64 {
	v := float64(st.load.ServiceTime)
	if v == 0 {
		v = r.stats.serviceTime
	}
	if st.estimatedCalls(1) == 0 && !st.lastUsedAt.IsZero() {
		idle := now.Sub(st.lastUsedAt).Seconds() / serviceTimeHalfLife.Seconds()
		v = r.stats.serviceTime + (v-r.stats.serviceTime)*math.Exp2(-idle)
	}
	if st.failureRate > 0 {
		// A server that fails immediately reports a short service time.
		v = max(v, r.stats.serviceTime)
	}
	if st.slowAttempt > 0 {
		age := now.Sub(st.slowAttemptAt).Seconds() / serviceTimeHalfLife.Seconds()
		v = max(v, r.stats.serviceTime+(float64(st.slowAttempt)-r.stats.serviceTime)*math.Exp2(-age))
	}
	if len(st.attemptStarts) > 0 {
		oldest := float64(now.Sub(st.attemptStarts[0]))
		v = max(v, oldest-max(float64(st.load.QueueWait), r.backlogTime(st, v)))
	}
	return v
}

// expectedQueueWait returns the expected time in the server's queue, in nanoseconds.
func (r *Router) expectedQueueWait(now time.Time, st *server, serviceTime float64) float64 {
	v := r.backlogTime(st, serviceTime)
	if st.load.Queued > 0 {
		v = max(v, float64(st.load.QueueWait))
	}
	if age := now.Sub(st.reportedAt); st.reportedAt.IsZero() || age > loadFreshAge {
		weight := 0.0
		if !st.reportedAt.IsZero() {
			weight = math.Exp2(-float64(age-loadFreshAge) / float64(loadHalfLife))
		}
		v = r.stats.queueWait + (v-r.stats.queueWait)*weight
	}
	if now.Sub(st.refusedAt) < refusalPenaltyPeriod {
		v += serviceTime
	}
	return v
}

// backlogTime returns the time until enough calls at the server have finished for
// another one to start, in nanoseconds.
func (r *Router) backlogTime(st *server, serviceTime float64) float64 {
	limit := float64(st.effectiveLimit())
	return max(0, st.estimatedCalls(r.stats.callRatio)-limit+1) * serviceTime / limit
}

func (st *server) effectiveLimit() int {
	if st.load.Limit > 0 {
		return st.load.Limit
	}
	return defaultLimit
}

// transferTime returns the time to send the input to the server and the answer
// back, in nanoseconds.
func (r *Router) transferTime(q *Query, st *server) float64 {
	delay, rate := time.Duration(0), 0.0
	switch st.tier {
	case tierRegion:
		delay, rate = zoneDelay, zoneBytesPerSecond
	case tierOther:
		delay, rate = regionDelay, zoneBytesPerSecond
	}
	if crossesRegion(q, st, r.opts.Region) {
		rate = regionBytesPerSecond
	}
	v := float64(delay)
	if rate > 0 {
		v += float64(q.InputBytes) / rate * float64(time.Second)
	}
	return v
}

// crossesRegion reports whether the input is sent to the server from another region.
func crossesRegion(q *Query, st *server, entryRegion string) bool {
	if q.InputRegion != "" {
		return q.InputRegion != st.Region
	}
	return entryRegion != st.Region
}

// inputRegion returns the region that stores the input.
func (r *Router) inputRegion(q *Query) string {
	if q.InputRegion != "" {
		return q.InputRegion
	}
	return r.opts.Region
}

// billedTransferCost returns the cost of cross-region traffic, converted to
// nanoseconds.
func billedTransferCost(q *Query, st *server, entryRegion string) float64 {
	if !crossesRegion(q, st, entryRegion) {
		return 0
	}
	return float64(q.InputBytes) / billedBytesPerSecond * float64(time.Second)
}

// cacheProbability returns the probability that the server has the prefix cached.
func (r *Router) cacheProbability(now time.Time, q *Query, st *server) float64 {
	if r.opts.CacheHints != nil {
		if v, known := r.opts.CacheHints.Lookup(now, st.ID, q.PrefixHash); known {
			return v
		}
	}
	if st == r.prefixHome {
		return homeCacheProbability
	}
	return 0
}

// appendCacheHolders appends the home server of the prefix, which is the same for
// all entries of a region, and the other server most likely to have the prefix
// cached. It skips servers whose load exceeds the bound set by homeLoadFactor.
func (r *Router) appendCacheHolders(now time.Time, q *Query, list, dst []*server) []*server {
	region := r.inputRegion(q)
	sum, n := 0.0, 0
	var holder *server
	best := 0.0
	for _, st := range list {
		if !r.isUsable(now, q, st) {
			continue
		}
		sum += st.estimatedCalls(r.stats.callRatio)
		n++
		if st.Region == region && (r.prefixHome == nil || st.homeScore(q) > r.prefixHome.homeScore(q)) {
			r.prefixHome = st
		}
		if v := r.cacheProbability(now, q, st); st != r.prefixHome && v > best {
			holder, best = st, v
		}
	}
	bound := homeLoadFactor*sum/float64(max(n, 1)) + 1
	for _, st := range [...]*server{holder, r.prefixHome} {
		if st != nil && st.estimatedCalls(r.stats.callRatio) <= bound && !slices.Contains(dst, st) {
			dst = append(dst, st)
		}
	}
	return dst
}

// homeScore returns the rendezvous hashing score of the server for a prefix; the server
// with the highest score is the home of the prefix.
func (st *server) homeScore(q *Query) uint64 { return mix(st.hash ^ q.PrefixHash) }
