package staging

import (
	"slices"
	"time"
)

const (
	// minInputBytesForZone is the total size of a run's inputs from which its pieces
	// are preferably computed in the zone that holds most of them.
	minInputBytesForZone = 200_000
	// minResultBytesForZone is the total size of a run's results from which they are
	// preferably computed in the zone where the request will read them.
	minResultBytesForZone = 500_000
	// zoneWaitShare is the fraction of a job's spare time that a run may wait for a
	// server in its preferred zone, at most maxZoneWait.
	zoneWaitShare = 0.2
	maxZoneWait   = 200 * time.Millisecond
)

// preferredZone returns the availability zone where the run's pieces are best computed, or
// "" if the zone does not matter.
func (r *stageRun) preferredZone() string {
	if !r.zoneKnown {
		r.zone, r.zoneKnown = r.findPreferredZone(), true
	}
	return r.zone
}

func (r *stageRun) findPreferredZone() string {
	var total, mostBytes int64
	zone := ""
	bytes := map[string]int64{}
	for _, a := range r.dependencies {
		for i := range a.pieces {
			if p := &a.pieces[i]; p.server != nil {
				total += a.resultBytes
				z := p.server.def.Zone
				bytes[z] += a.resultBytes
				if bytes[z] > mostBytes {
					zone, mostBytes = z, bytes[z]
				}
			}
		}
	}
	if total >= minInputBytesForZone {
		return zone
	}
	if r.firstCallZone != "" {
		return r.firstCallZone
	}
	if len(r.dependents) == 0 && r.resultBytes*int64(len(r.pieces)) >= minResultBytesForZone {
		return r.job.def.ReaderZone
	}
	return ""
}

// UsesReaderZone reports whether the ReaderZone of a job with these stages can matter.
func UsesReaderZone(stages []Stage) bool {
	for i, st := range stages {
		isRead := slices.ContainsFunc(stages, func(other Stage) bool { return slices.Contains(other.DependsOn, i) })
		if !isRead && st.ResultBytes*int64(st.Pieces) >= minResultBytesForZone {
			return true
		}
	}
	return false
}

// mayRunOn reports whether m may compute the run's pieces: m is in the preferred zone,
// or the wait for a server there would be too long. piecesAhead counts the pieces of
// more urgent runs by preferred zone; mayRunOn adds those of the run if m is in another
// zone.
func (r *stageRun) mayRunOn(m *server, piecesAhead map[string]int, now time.Duration) bool {
	zone := r.preferredZone()
	if zone == "" || zone == m.def.Zone {
		return true
	}
	precedingPieces := piecesAhead[zone]
	piecesAhead[zone] += len(r.queuedPieces)
	return r.pool.expectedZoneWait(zone, precedingPieces, now) > r.allowedZoneWait(now)
}

// allowedZoneWait returns how long the run can wait without risk to its job's objective.
func (r *stageRun) allowedZoneWait(now time.Duration) time.Duration {
	j := r.job
	spare := j.def.ObjectiveDeadline - now - j.minRemainingTime() - j.def.RequestDuration
	if spare < 0 {
		return maxZoneWait
	}
	return min(time.Duration(zoneWaitShare*float64(spare)), maxZoneWait)
}

// expectedZoneWait returns the time until a server in the zone can start a call, after the
// given number of pieces that precede it.
func (p *pool) expectedZoneWait(zone string, precedingPieces int, now time.Duration) time.Duration {
	leastWait := callTimeout
	n := 0
	lowest := p.lowestSlowness(now)
	for _, m := range p.servers {
		if m.def.Zone != zone || !m.usable(now) {
			continue
		}
		n++
		wait := m.availableAt(now) - now
		if m.slowness(now) > slowThreshold*lowest {
			wait += p.normalCallTime(p.spec.BatchSize)
		}
		leastWait = min(leastWait, wait)
	}
	if n == 0 {
		return callTimeout
	}
	return leastWait + time.Duration(precedingPieces/(n*p.spec.BatchSize))*p.normalCallTime(p.spec.BatchSize)
}

// outputBytesByZone returns the sizes of the results that the request reads.
func (j *job) outputBytesByZone() map[string]int64 {
	sizes := map[string]int64{}
	for _, r := range j.runs {
		if len(r.dependents) > 0 {
			continue
		}
		for i := range r.pieces {
			if srv := r.pieces[i].server; srv != nil {
				sizes[srv.def.Zone] += r.resultBytes
			}
		}
	}
	return sizes
}
