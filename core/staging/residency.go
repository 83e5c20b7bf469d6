package staging

import (
	"slices"
	"time"
)

// allows reports whether the server is in a region that the job permits.
func (m *server) allows(j *job) bool { return j.def.Residency.Allows(m.def.Region) }

// isOutsideResidency reports whether one of the job's stages has servers, but none in the
// regions that the job permits.
func (j *job) isOutsideResidency() bool {
	if !j.def.Residency.Restricted() {
		return false
	}
	for _, r := range j.runs {
		if len(r.pieces) == 0 || r.pool == nil || len(r.pool.servers) == 0 {
			continue
		}
		if !slices.ContainsFunc(r.pool.servers, func(m *server) bool { return m.allows(j) }) {
			return true
		}
	}
	return false
}

// regionalBacklog returns the time that the servers which a restricted job permits need for
// the queued pieces of jobs with the same restriction. The pool as a whole may be idle while
// these servers are not.
func (p *pool) regionalBacklog(j *job, now time.Duration) time.Duration {
	if !j.def.Residency.Restricted() {
		return 0
	}
	var rate float64
	var busyTime time.Duration
	usable := 0
	for _, m := range p.servers {
		if m.allows(j) && m.usable(now) {
			rate += m.piecesPerSecond(now)
			busyTime += m.availableAt(now) - now
			usable++
		}
	}
	if rate == 0 {
		return maxExpectedWait
	}
	pieces := 0
	for _, r := range p.queuedRuns {
		if r.job != j && r.job.def.Residency.Equal(j.def.Residency) {
			pieces += len(r.queuedPieces)
		}
	}
	return busyTime/time.Duration(usable) + time.Duration(float64(pieces)/rate*float64(time.Second))
}
