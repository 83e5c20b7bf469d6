package staging

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/jitter"
)

const (
	// minRetryAfter is the shortest retry delay given to a refused caller.
	minRetryAfter = 200 * time.Millisecond
	// maxRetryShare bounds the retry delay as a fraction of the time to the deadline:
	// callers wait no longer than a third of it.
	maxRetryShare = 0.32
	// retryJitter is the fraction of the retry delay over which retries are
	// distributed.
	retryJitter = 0.4
)

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
