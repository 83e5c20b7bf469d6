package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// retryFraction is the fraction of the admitted rate reserved for retries of refused
	// requests.
	retryFraction = 0.5
	// minRetryAfter and maxRetryAfter bound RetryAfter.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 8 * time.Second
	// admittedHalfLife is the half-life of a request in the admitted rate, and
	// minAdmittedRate the lowest rate assumed, in requests per second.
	admittedHalfLife = 2 * time.Second
	minAdmittedRate  = 2.0
)

// retryScheduler assigns each refused caller a time to retry, spaced so that the servers
// can serve the retries.
type retryScheduler struct {
	// lastRetryAt is the latest retry time assigned.
	lastRetryAt time.Time
	// admittedRate is in requests per second, decayed as of updatedAt.
	admittedRate float64
	updatedAt    time.Time
}

// recordAdmitted counts an admitted request.
func (r *retryScheduler) recordAdmitted(now time.Time) {
	r.decay(now)
	r.admittedRate += math.Ln2 / admittedHalfLife.Seconds()
}

// decay ages the admitted rate to now.
func (r *retryScheduler) decay(now time.Time) {
	if !r.updatedAt.IsZero() {
		r.admittedRate *= math.Exp2(-now.Sub(r.updatedAt).Seconds() / admittedHalfLife.Seconds())
	}
	r.updatedAt = now
}

// nextRetryAfter returns how long a refused caller should wait.
func (r *retryScheduler) nextRetryAfter(now time.Time, rng *rand.Rand) time.Duration {
	r.decay(now)
	interval := time.Duration(float64(time.Second) / (retryFraction * max(r.admittedRate, minAdmittedRate)))
	if earliest := now.Add(minRetryAfter); r.lastRetryAt.Before(earliest) {
		r.lastRetryAt = earliest
	}
	if r.lastRetryAt.Add(interval).Sub(now) > maxRetryAfter {
		// All retry times within the limit are assigned: pick a random one in the upper half.
		return maxRetryAfter/2 + randDuration(rng, maxRetryAfter/2)
	}
	r.lastRetryAt = r.lastRetryAt.Add(interval)
	return r.lastRetryAt.Sub(now)
}

// jitter returns a short random time that spreads the retries of callers refused at
// the same time.
func (r *retryScheduler) jitter(rng *rand.Rand) time.Duration {
	return randDuration(rng, minRetryAfter)
}

// randDuration returns a random duration in [0, d).
func randDuration(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(d)))
}
