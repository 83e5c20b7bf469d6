// Package retry decides which failed attempts may be retried and limits retries and
// hedges by a budget. It performs no I/O and takes the current time as a parameter.
package retry

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// Policy is a retry strategy.
type Policy string

// The retry policies.
const (
	// Budgeted limits retries and hedges to a share of the requests.
	Budgeted Policy = "budgeted"
	// ThreeTimes makes up to three attempts without backoff or budget; it is the
	// baseline for comparisons.
	ThreeTimes Policy = "three-times"
)

// FailedAttempt describes an attempt that did not succeed.
type FailedAttempt struct {
	Code       result.Code
	Ran        result.Ran
	Idempotent bool
	// Attempts is the number of attempts made at the stage so far.
	Attempts int
	// TimeLeft is the time until the deadline; ExpectedTime is the expected duration of
	// the remaining stages.
	TimeLeft, ExpectedTime time.Duration
}

// Options configures a Budget.
type Options struct {
	Policy Policy
	// RetryShare is the number of retries and hedges allowed per first attempt; nil
	// selects defaultRetryShare, and 0 allows none.
	RetryShare     *float64
	HedgingEnabled bool
}

const (
	// maxAttempts bounds the attempts at a stage.
	maxAttempts = 3
	// backoffBase is the wait before the second retry; it doubles with each further
	// one. The first retry is immediate.
	backoffBase = 10 * time.Millisecond
)

// Budget limits the retries and hedges of one entry. It is not safe for concurrent
// use.
type Budget struct {
	opts   Options
	bucket tokenBucket
	stages map[string]*latencyStats
}

// New returns a Budget whose token bucket is full, unless no retries are allowed.
func New(o Options) *Budget {
	bucket := tokenBucket{tokens: bucketCapacity, perRequest: defaultRetryShare}
	if o.RetryShare != nil {
		bucket.perRequest = *o.RetryShare
	}
	if bucket.perRequest <= 0 {
		bucket.tokens = 0
	}
	return &Budget{opts: o, bucket: bucket, stages: map[string]*latencyStats{}}
}

// RecordRequest records the first attempt at a stage.
func (b *Budget) RecordRequest(now time.Time) { b.bucket.refill() }

// Retry decides whether the attempt may be retried and how long to wait before. It
// never allows retrying a stage that is not idempotent unless Ran is RanNo.
func (b *Budget) Retry(now time.Time, a *FailedAttempt) (wait time.Duration, ok bool) {
	if a.Ran != result.RanNo && !a.Idempotent {
		return 0, false
	}
	if !isRetryable(a.Code) || a.Attempts >= maxAttempts {
		return 0, false
	}
	if b.opts.Policy == ThreeTimes {
		return 0, true
	}
	if a.Attempts > 1 {
		wait = backoffBase << (a.Attempts - 2)
	}
	if a.TimeLeft < a.ExpectedTime+wait {
		return 0, false
	}
	return wait, b.bucket.take(0)
}

// HedgeDelay returns how long after the first attempt at an idempotent stage a second
// one may start. ok is false if hedging is not allowed, for example because the
// servers' queues are long.
func (b *Budget) HedgeDelay(now time.Time, stage string, timeLeft time.Duration) (delay time.Duration, ok bool) {
	t := b.stages[stage]
	if !b.opts.HedgingEnabled || t == nil || t.count < minSamples {
		return 0, false
	}
	if timeLeft < t.hedgeDelay+t.median || t.isQueueing() {
		return 0, false
	}
	return t.hedgeDelay, true
}

// AllowHedge takes a token for a hedge; ok is false if hedging is disabled or too few
// tokens are left.
func (b *Budget) AllowHedge(now time.Time) (ok bool) {
	return b.opts.HedgingEnabled && b.bucket.take(hedgeFloorShare*bucketCapacity)
}

// RecordLatency records the duration of a successful attempt at a stage.
func (b *Budget) RecordLatency(stage string, d time.Duration) {
	t := b.stages[stage]
	if t == nil {
		t = &latencyStats{}
		b.stages[stage] = t
	}
	t.add(d)
}
