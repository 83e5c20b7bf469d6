package staging

import "time"

const (
	// heavyInputs is the size of a run's inputs, in bytes, from which it is worth
	// making its pieces where they are.
	heavyInputs = 200_000
	// heavyResults is the size of a run's results, in bytes, from which it is worth
	// making them where the request will read them.
	heavyResults = 500_000
	// patienceShare is the part of the time to spare that a run waits for a server
	// of the availability zone that it belongs to.
	patienceShare = 0.2
	// longestPatience bounds that wait.
	longestPatience = 200 * time.Millisecond
)

// home is the availability zone where the run's pieces are best made; "" if it does
// not matter.
func (r *run) home() string {
	var total, most int64
	zone := ""
	bytes := map[string]int64{}
	for _, a := range r.after {
		for i := range a.pieces {
			if p := &a.pieces[i]; p.server != nil {
				total += a.bytes
				z := p.server.def.Zone
				bytes[z] += a.bytes
				if bytes[z] > most {
					zone, most = z, bytes[z]
				}
			}
		}
	}
	if total >= heavyInputs {
		return zone
	}
	if r.zone != "" {
		return r.zone
	}
	if len(r.next) == 0 && r.bytes*int64(len(r.pieces)) >= heavyResults {
		return r.job.def.Zone
	}
	return ""
}

// mayLeaveZone tells whether the run's pieces may be made at m: in its home, or
// elsewhere if the servers there would take too long. ahead counts the pieces that
// go before it, by home.
func (r *run) mayLeaveZone(m *server, ahead map[string]int, now time.Duration) bool {
	home := r.home()
	if home == "" || home == m.def.Zone {
		return true
	}
	before := ahead[home]
	ahead[home] += len(r.queued)
	return r.pool.zoneWait(home, before, now) > r.patience(now)
}

// patience is how long the run can wait without harm to its objective.
func (r *run) patience(now time.Duration) time.Duration {
	j := r.job
	spare := j.def.Due - now - j.shortest() - j.def.After
	if spare < 0 {
		return longestPatience
	}
	return min(time.Duration(patienceShare*float64(spare)), longestPatience)
}

// zoneWait is the time until a server in the zone can begin a call, after the
// pieces that go before.
func (p *pool) zoneWait(zone string, before int, now time.Duration) time.Duration {
	least := callTimeout
	n := 0
	for _, m := range p.servers {
		if m.def.Zone != zone || !m.usable(now) {
			continue
		}
		n++
		wait := m.freeAt(now) - now
		if m.slowness(now) > slowRatio*p.fastest(now) {
			wait += p.callTime(p.spec.Batch)
		}
		least = min(least, wait)
	}
	if n == 0 {
		return callTimeout
	}
	return least + time.Duration(before/(n*p.spec.Batch))*p.callTime(p.spec.Batch)
}

// resultBytes returns the sizes of the results that the request reads, by zone.
func (j *job) resultBytes() map[string]int64 {
	sizes := map[string]int64{}
	for _, r := range j.runs {
		if len(r.next) > 0 {
			continue
		}
		for i := range r.pieces {
			if srv := r.pieces[i].server; srv != nil {
				sizes[srv.def.Zone] += r.bytes
			}
		}
	}
	return sizes
}
