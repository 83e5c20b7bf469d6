package staging

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/jitter"
)

const (
	// maxWaitShare bounds the expected wait of a job that is too large to reach its
	// objective, as a fraction of the time to the objective.
	maxWaitShare = 0.25
	// latenessWeight is the weight of the newest job in the lateness averages.
	latenessWeight = 0.08
	// maxLateness bounds the average lateness in both directions.
	maxLateness = time.Second
	// deviationShare is the fraction of the lateness deviation that is added to
	// expected durations.
	deviationShare = 0.7
	// memoryHoldTime is how long a job is assumed to occupy memory.
	memoryHoldTime = time.Second
	// minRetryAfter is the shortest retry delay given to a refused caller.
	minRetryAfter = 200 * time.Millisecond
	// maxRetryShare bounds the retry delay as a fraction of the time to the deadline:
	// callers wait no longer than a third of it.
	maxRetryShare = 0.32
	// retryJitter is the fraction of the retry delay over which retries are
	// distributed.
	retryJitter = 0.4
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

// memoryWait returns the expected time until there is memory for the results of the job,
// given what started jobs and jobs at least as urgent will use in the pools that it needs.
func (s *Scheduler) memoryWait(j *job, now time.Duration) time.Duration {
	var wait time.Duration
	for _, p := range s.sortedPools {
		own := j.resultBytesIn(p)
		if own == 0 {
			continue
		}
		total := memoryOvercommit * float64(p.totalMemory(now))
		claimed := p.claimedBytes - p.claimsBehind(j, now)
		if excess := float64(claimed+own) - total; excess > 0 {
			wait = max(wait, time.Duration(excess/max(total, 1)*float64(memoryHoldTime)))
		}
	}
	return min(wait, maxExpectedWait)
}

// claimsBehind returns the claims of the jobs that are not started and less urgent than j,
// without those that are suspended.
func (p *pool) claimsBehind(j *job, now time.Duration) int64 {
	var sum int64
	ownDeadline := j.schedulingDeadline(now)
	for _, r := range p.queuedRuns {
		if !r.job.started && !r.job.suspended && r.job.schedulingDeadline(now) > ownDeadline {
			sum += r.claimedBytes
		}
	}
	return sum
}

// recordLateness updates the lateness averages when the request of a job has started.
func (s *Scheduler) recordLateness(j *job, now time.Duration) {
	if !j.done || len(j.def.PriorResults) > 0 {
		return
	}
	lateness := now - j.submittedAt - j.expectedDuration - j.def.RequestDuration
	s.meanLateness += time.Duration(latenessWeight * float64(lateness-s.meanLateness))
	s.meanLateness = min(max(s.meanLateness, -maxLateness), maxLateness)
	s.latenessDeviation += time.Duration(latenessWeight * float64((lateness-s.meanLateness).Abs()-s.latenessDeviation))
}

// latenessMargin returns the time that is added to expected durations.
func (s *Scheduler) latenessMargin() time.Duration {
	return max(0, s.meanLateness+time.Duration(deviationShare*float64(s.latenessDeviation)))
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

// retryAfter returns the delay after which a refused caller should try again. If the
// job could still reach its objective after the current backlog, this is the time to
// clear the backlog. Otherwise it is the longest delay that callers accept, in case the
// overload is a short burst. The delay varies with the job's ID, so that refused
// callers don't return at the same time.
func (s *Scheduler) retryAfter(j *job, now time.Duration) time.Duration {
	var backlog time.Duration
	for _, r := range j.runs {
		if r.pool != nil && len(r.pieces) > 0 {
			backlog = max(backlog, r.pool.backlogTime(j, now))
		}
	}
	maxDelay := time.Duration(maxRetryShare * float64(max(0, j.def.Deadline-now)))
	delay := min(max(backlog, minRetryAfter), maxDelay)
	if now+delay+j.minRemainingTime()+j.def.RequestDuration > j.def.ObjectiveDeadline {
		delay = maxDelay
	}
	return delay - time.Duration(retryJitter*jitter.Fraction(j.def.ID)*float64(delay))
}
