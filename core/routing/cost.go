package routing

import (
	"math"
	"slices"
	"time"
)

const (
	// zoneDelay and regionDelay are the round trips to another zone and region.
	zoneDelay   = 500 * time.Microsecond
	regionDelay = 10 * time.Millisecond
	// zoneBytesPerSecond and regionBytesPerSecond are the rates between zones
	// and regions.
	zoneBytesPerSecond   = 1 << 30
	regionBytesPerSecond = 64 << 20
	// billedBytesPerSecond values the bytes billed between regions as time.
	billedBytesPerSecond = 8 << 20

	// loadFresh is the age up to which a load report counts in full.
	loadFresh = time.Second
	// loadHalf is the further age after which it counts half.
	loadHalf = 2 * time.Second
	// serviceHalf is the time without use after which half of a server's
	// deviation from the pool's median service time is forgotten.
	serviceHalf = 8 * time.Second
	// refusedFor is how long a refusal for load counts.
	refusedFor = 300 * time.Millisecond
	// occupancyWeight values a busy server against an idle one, relative to the
	// service time.
	occupancyWeight = 0.5
	// savingShare is the share of the service time saved by a cached prefix.
	savingShare = 0.5
	// homeLikely is how likely the home of a prefix holds it if nothing is known.
	homeLikely = 0.7
	// homeBound is how much more occupied than the average a home may be.
	homeBound = 1.25
	// unknownLimit stands in for a limit not reported yet.
	unknownLimit = 8
	// overBudgetFactor multiplies the cost of servers expected to be too late.
	overBudgetFactor = 4
)

// poolStats are figures over the servers with fresh reports.
type poolStats struct {
	at time.Time
	// service and wait are medians in nanoseconds; failing is the median share.
	service, wait, failing float64
	// others is the number of calls that all entries have at the pool's servers for
	// each one from here.
	others  float64
	scratch []float64
}

// statsAge is how often the figures of the pool are worked out again.
const statsAge = 250 * time.Millisecond

// statsServers bounds the servers that the figures are taken from.
const statsServers = 256

// refresh works out the figures of the pool and the zones' health.
func (r *Router) refresh(now time.Time) {
	r.stats.at = now
	if v, ok := r.median(now, func(st *server) float64 { return float64(st.load.Service) }); ok && v > 0 {
		r.stats.service = v
	}
	r.stats.wait, _ = r.median(now, func(st *server) float64 { return float64(st.load.Wait) })
	r.stats.failing, _ = r.median(now, func(st *server) float64 { return st.failingNow(now) })
	r.stats.others = r.countOthers(now)
	r.countZones(now)
}

// othersMost bounds how many calls are taken to be sent for each one from here.
const othersMost = 8

func (r *Router) countOthers(now time.Time) float64 {
	all, own := 0, 0
	for _, st := range r.all {
		if st.reported.IsZero() || now.Sub(st.reported) > loadFresh {
			continue
		}
		all += st.load.Running + st.load.Queued
		own += st.startsReported
	}
	return min(max(float64(all)/float64(max(own, 1)), 1), othersMost)
}

func (r *Router) median(now time.Time, of func(*server) float64) (v float64, ok bool) {
	list := r.stats.scratch[:0]
	for _, st := range r.all {
		if st.reported.IsZero() || st.leaving() || now.Sub(st.reported) > reportForgotten {
			continue
		}
		list = append(list, of(st))
		if len(list) == statsServers {
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

// reportForgotten is the age after which a report no longer counts for the pool.
const reportForgotten = 10 * time.Second

// cost is what the choice minimizes, in nanoseconds: the expected finish and the
// values put on failures, billed bytes and occupancy.
func (r *Router) cost(now time.Time, q *Query, st *server) float64 {
	finish := r.finish(now, q, st)
	cost := finish
	if q.Budget > 0 && finish > float64(q.Budget) {
		cost *= overBudgetFactor
	}
	service := r.service(now, st)
	cost += occupancyWeight * service * min(1, st.occupied(r.stats.others)/float64(st.limit()))
	cost += r.failureCost(now, st)
	cost += billed(q, st, r.opts.Region)
	return cost
}

// finish is the expected time until the answer, in nanoseconds.
func (r *Router) finish(now time.Time, q *Query, st *server) float64 {
	service := r.service(now, st)
	finish := r.wait(now, st, service) + service + r.transfer(q, st)
	if q.Prefix != 0 {
		finish -= r.likely(now, q, st) * savingShare * service
	}
	return finish
}

// service is the expected time of one call at the server.
func (r *Router) service(now time.Time, st *server) float64 {
	v := float64(st.load.Service)
	if v == 0 {
		v = r.stats.service
	}
	if st.occupied(1) == 0 && !st.used.IsZero() {
		idle := now.Sub(st.used).Seconds() / serviceHalf.Seconds()
		v = r.stats.service + (v-r.stats.service)*math.Exp2(-idle)
	}
	if st.failing > 0 {
		// A server that fails at once reports a short time.
		v = max(v, r.stats.service)
	}
	if st.slow > 0 {
		age := now.Sub(st.slowAt).Seconds() / serviceHalf.Seconds()
		v = max(v, r.stats.service+(float64(st.slow)-r.stats.service)*math.Exp2(-age))
	}
	if len(st.starts) > 0 {
		oldest := float64(now.Sub(st.starts[0]))
		v = max(v, oldest-max(float64(st.load.Wait), r.backlog(st, v)))
	}
	return v
}

// wait is the expected time in the server's queue.
func (r *Router) wait(now time.Time, st *server, service float64) float64 {
	v := r.backlog(st, service)
	if st.load.Queued > 0 {
		v = max(v, float64(st.load.Wait))
	}
	if age := now.Sub(st.reported); st.reported.IsZero() || age > loadFresh {
		share := 0.0
		if !st.reported.IsZero() {
			share = math.Exp2(-float64(age-loadFresh) / float64(loadHalf))
		}
		v = r.stats.wait + (v-r.stats.wait)*share
	}
	if now.Sub(st.refused) < refusedFor {
		v += service
	}
	return v
}

// backlog is the time until the calls at the server leave a place free.
func (r *Router) backlog(st *server, service float64) float64 {
	limit := float64(st.limit())
	return max(0, st.occupied(r.stats.others)-limit+1) * service / limit
}

func (st *server) limit() int {
	if st.load.Limit > 0 {
		return st.load.Limit
	}
	return unknownLimit
}

// transfer is the time to bring the input to the server and the answer back.
func (r *Router) transfer(q *Query, st *server) float64 {
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
		v += float64(q.Bytes) / rate * float64(time.Second)
	}
	return v
}

func crossesRegion(q *Query, st *server, entryRegion string) bool {
	if q.BytesRegion != "" {
		return q.BytesRegion != st.Region
	}
	return entryRegion != st.Region
}

// bytesRegion returns the region where the input lies.
func (r *Router) bytesRegion(q *Query) string {
	if q.BytesRegion != "" {
		return q.BytesRegion
	}
	return r.opts.Region
}

func billed(q *Query, st *server, entryRegion string) float64 {
	if !crossesRegion(q, st, entryRegion) {
		return 0
	}
	return float64(q.Bytes) / billedBytesPerSecond * float64(time.Second)
}

// likely tells how likely the server holds the prefix.
func (r *Router) likely(now time.Time, q *Query, st *server) float64 {
	if r.opts.Cache != nil {
		if v, known := r.opts.Cache.Lookup(now, st.ID, q.Prefix); known {
			return v
		}
	}
	if st == r.home {
		return homeLikely
	}
	return 0
}

// holders appends the home of the prefix, which is the same for all entries of
// a region, and the server most likely to hold it, unless they are more
// occupied than the bound allows.
func (r *Router) holders(now time.Time, q *Query, list, dst []*server) []*server {
	region := r.bytesRegion(q)
	sum, n := 0.0, 0
	var holder *server
	best := 0.0
	for _, st := range list {
		if !r.usable(now, q, st) {
			continue
		}
		sum += st.occupied(r.stats.others)
		n++
		if st.Region == region && (r.home == nil || st.homeRank(q) > r.home.homeRank(q)) {
			r.home = st
		}
		if v := r.likely(now, q, st); st != r.home && v > best {
			holder, best = st, v
		}
	}
	bound := homeBound*sum/float64(max(n, 1)) + 1
	for _, st := range [...]*server{holder, r.home} {
		if st != nil && st.occupied(r.stats.others) <= bound && !slices.Contains(dst, st) {
			dst = append(dst, st)
		}
	}
	return dst
}

// homeRank orders servers by how they come into question as a prefix's home.
func (st *server) homeRank(q *Query) uint64 { return mix(st.hash ^ q.Prefix) }
