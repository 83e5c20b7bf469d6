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
	// maxLatenessKinds bounds the memory for the lateness of kinds.
	maxLatenessKinds = 256
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
	wait := max(backlog, s.memoryWait(j, now))
	if j.shortage && !j.excess {
		wait = j.waitWithArrivals(now, wait)
	}
	return wait + remaining, true
}

// memoryWait returns the expected time until there is memory for the results of the job,
// given what the started jobs and those that precede it will use.
func (s *Scheduler) memoryWait(j *job, now time.Duration) time.Duration {
	var wait time.Duration
	for _, p := range s.sortedPools {
		total := memoryOvercommit * float64(p.totalMemory(now))
		claimed := p.claimedBytes
		if !j.comesLast() {
			// Jobs that come last start later.
			claimed -= p.floodBytes
		}
		own := j.resultBytesIn(p)
		if float64(claimed+own) <= total {
			continue
		}
		hold := memoryHoldTime
		if j.shortage {
			hold = s.shares[p].holdTime
		}
		if excess := float64(p.precedingBytes(j, now)+own) - total; excess > 0 {
			wait = max(wait, time.Duration(excess/max(total, 1)*float64(hold)/p.usableFraction(j, now)))
		}
	}
	return min(wait, maxExpectedWait)
}

// precedingBytes returns the size of the results of the started jobs and of those that precede j
// in the order of work.
func (p *pool) precedingBytes(j *job, now time.Duration) int64 {
	sum := p.startedBytes
	own := j.order(now)
	for _, r := range p.queuedRuns {
		if !r.job.started && (j.excess || r.job.order(now).compare(own) <= 0) {
			sum += r.claimedBytes
		}
	}
	return sum
}

// recordLateness updates the lateness averages when the request of a job has started.
// The expected durations of jobs beyond the share of their kind are upper bounds, so they don't
// count.
func (s *Scheduler) recordLateness(j *job, now time.Duration) {
	if !j.done || j.excess || len(j.def.PriorResults) > 0 {
		return
	}
	l := s.latenessByKind[j.kind]
	if l == nil {
		if len(s.latenessByKind) >= maxLatenessKinds {
			clear(s.latenessByKind)
		}
		l = &lateness{}
		s.latenessByKind[j.kind] = l
	}
	l.record(now - j.submittedAt - j.expectedDuration - j.def.RequestDuration)
}

// lateness is how much longer jobs took than expected: a moving average, and one of the distance
// from it. Jobs with a late objective are overtaken by those that arrive later, so each kind has
// its own.
type lateness struct{ mean, deviation time.Duration }

func (l *lateness) record(sample time.Duration) {
	l.mean += time.Duration(latenessWeight * float64(sample-l.mean))
	l.mean = min(max(l.mean, -maxLateness), maxLateness)
	l.deviation += time.Duration(latenessWeight * float64((sample-l.mean).Abs()-l.deviation))
}

// latenessMargin returns the time that is added to the expected durations of a kind.
func (s *Scheduler) latenessMargin(kind string) time.Duration {
	l := s.latenessByKind[kind]
	if l == nil {
		return 0
	}
	return max(0, l.mean+time.Duration(deviationShare*float64(l.deviation)))
}

// backlogTime returns the time that the pool needs for the queued pieces that precede those
// of j: those of runs that are partly requested and of jobs at least as urgent. For a job beyond
// the share of its kind, these are all queued pieces.
func (p *pool) backlogTime(j *job, now time.Duration) time.Duration {
	if wait := p.timeToFirstCall(now); wait > 0 {
		return wait
	}
	rate := p.piecesPerSecond(now) * p.usableFraction(j, now)
	if rate == 0 {
		return maxExpectedWait
	}
	pieces := 0
	own := j.order(now)
	for _, r := range p.queuedRuns {
		if j.excess || r.anyRequested() || r.job.order(now).compare(own) <= 0 {
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
	backlog := busyTime/time.Duration(max(usable, 1)) + drainTime(pieces, rate)
	return max(backlog, p.regionalBacklog(j, now))
}

// admissible reports whether a job with the expected duration is worth accepting. It
// must meet its deadline. It must also reach its objective, unless it would miss the
// objective by almost as much on idle servers.
func (s *Scheduler) admissible(j *job, now, expected time.Duration) bool {
	end := now + expected + j.def.RequestDuration + s.latenessMargin(j.kind)
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
// callers don't return at the same time. At a shortage with several kinds of jobs, the delay
// ends when there is capacity that nobody else was promised.
func (s *Scheduler) retryAfter(j *job, now time.Duration) time.Duration {
	if j.shortage && now < j.def.Deadline {
		// A promise is not subject to the share of the kind.
		ordinary := *j
		ordinary.excess = false
		return s.promise(j, now, max(ordinary.longestBacklog(now), minRetryAfter))
	}
	backlog := j.longestBacklog(now)
	maxDelay := time.Duration(maxRetryShare * float64(max(0, j.def.Deadline-now)))
	delay := min(max(backlog, minRetryAfter), maxDelay)
	if now+delay+j.minRemainingTime()+j.def.RequestDuration > j.def.ObjectiveDeadline {
		delay = maxDelay
	}
	return delay - time.Duration(retryJitter*jitter.Fraction(j.def.ID)*float64(delay))
}

// longestBacklog returns the longest backlog of the pools that the job uses.
func (j *job) longestBacklog(now time.Duration) time.Duration {
	var backlog time.Duration
	for _, r := range j.runs {
		if r.pool != nil && len(r.pieces) > 0 {
			backlog = max(backlog, r.pool.backlogTime(j, now))
		}
	}
	return backlog
}
