package staging

import "time"

const (
	// maxWaitShare bounds the expected wait of a job that is too large to reach its
	// objective, as a fraction of the time to the objective.
	maxWaitShare = 0.25
	// maxExpectedWait is the expected wait for a pool without usable servers, and the
	// upper bound of the expected wait for memory.
	maxExpectedWait = 4 * time.Second
)

// estimateDuration returns the time to the expected end of the job's stages if it were
// accepted now. It returns false if a stage has no server.
func (s *Scheduler) estimateDuration(j *job, now time.Duration) (time.Duration, bool) {
	var backlog, remaining time.Duration
	for _, r := range j.runs {
		if len(r.pieces) == 0 {
			continue
		}
		if r.pool == nil || len(r.pool.servers) == 0 {
			return 0, false
		}
		backlog = max(backlog, r.pool.backlogTime(j, now))
	}
	remaining = j.minRemainingTime()
	return max(backlog, s.memoryWait(j, now)) + remaining, true
}

// backlogTime returns the time that the pool needs for the queued pieces of started
// jobs and of jobs at least as urgent as j.
func (p *pool) backlogTime(j *job, now time.Duration) time.Duration {
	if wait := p.timeToFirstCall(now); wait > 0 {
		return wait
	}
	rate := p.piecesPerSecond(now)
	if rate == 0 {
		return maxExpectedWait
	}
	pieces := 0
	ownDeadline := j.schedulingDeadline(now)
	for _, r := range p.queuedRuns {
		if r.job.started || r.job.schedulingDeadline(now) <= ownDeadline {
			pieces += len(r.queuedPieces)
		}
	}
	var busyTime time.Duration
	usable := 0
	for _, m := range p.servers {
		if m.usable(now) {
			usable++
			busyTime += m.availableAt(now) - now
		}
	}
	backlog := busyTime/time.Duration(max(usable, 1)) + time.Duration(float64(pieces)/rate*float64(time.Second))
	return max(backlog, p.regionalBacklog(j, now))
}

// admissible reports whether a job with the expected duration is worth accepting. It
// must meet its deadline. It must also reach its objective, unless it would miss the
// objective by almost as much on idle servers.
func (s *Scheduler) admissible(j *job, now, expected time.Duration) bool {
	end := now + expected + j.def.RequestDuration + s.latenessMargin()
	if end > j.def.Deadline {
		return false
	}
	if end <= j.def.ObjectiveDeadline {
		return true
	}
	return expected-j.minRemainingTime() <= time.Duration(maxWaitShare*float64(j.def.ObjectiveDeadline-now))
}
