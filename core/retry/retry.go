// Package retry decides which outcomes may be repeated, and keeps the budgets
// of retries and hedges. It has no clock and no I/O.
package retry

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// Policy names a way of retrying.
type Policy string

// The policies.
const (
	// Budgeted bounds retries and hedges by a share of the load.
	Budgeted Policy = "budgeted"
	// ThreeTimes repeats up to three times at once; the baseline.
	ThreeTimes Policy = "three-times"
)

// Ask describes an attempt that did not succeed.
type Ask struct {
	Code       result.Code
	Ran        result.Ran
	Idempotent bool
	// Attempts is how many attempts at the stage were made.
	Attempts int
	// Remaining is the time to the deadline; Expected that of the stages left.
	Remaining, Expected time.Duration
}

// Options sets up a Budget.
type Options struct {
	Policy Policy
	// Share is the share of added load that retries and hedges may make.
	Share float64
	Hedge bool
}

const (
	// attemptsMost bounds the attempts at a stage.
	attemptsMost = 3
	// backoffBase is the wait before the second repeat; it doubles.
	backoffBase = 10 * time.Millisecond
)

// Budget bounds the retries and hedges of one entry. It is not safe for
// concurrent use.
type Budget struct {
	opts   Options
	bucket bucket
	stages map[string]*times
}

// New returns a budget with a reserve for the first retries.
func New(o Options) *Budget {
	if o.Share <= 0 {
		o.Share = defaultShare
	}
	return &Budget{opts: o, bucket: bucket{tokens: reserve, share: o.Share}, stages: map[string]*times{}}
}

// Request records a first attempt at a stage.
func (b *Budget) Request(now time.Time) { b.bucket.fill() }

// Retry decides whether the attempt may be repeated, and after which wait. It
// never allows repeating a stage that is not idempotent unless Ran is RanNo.
func (b *Budget) Retry(now time.Time, a *Ask) (wait time.Duration, ok bool) {
	if a.Ran != result.RanNo && !a.Idempotent {
		return 0, false
	}
	if !repeatable(a.Code) || a.Attempts >= attemptsMost {
		return 0, false
	}
	if b.opts.Policy == ThreeTimes {
		return 0, true
	}
	if a.Attempts > 1 {
		wait = backoffBase << (a.Attempts - 2)
	}
	if a.Remaining < a.Expected+wait {
		return 0, false
	}
	return wait, b.bucket.take(0)
}

// HedgeAfter returns when a second attempt at an idempotent stage may start; ok
// is false if none may, as while the stage's queues are long.
func (b *Budget) HedgeAfter(now time.Time, stage string, remaining time.Duration) (after time.Duration, ok bool) {
	t := b.stages[stage]
	if !b.opts.Hedge || t == nil || t.count < samplesNeeded {
		return 0, false
	}
	if remaining < t.late+t.median || t.queueing() {
		return 0, false
	}
	return t.late, true
}

// HedgeSent takes a hedge out of the budget; ok is false if it is empty.
func (b *Budget) HedgeSent(now time.Time) (ok bool) {
	return b.opts.Hedge && b.bucket.take(hedgeLevel*reserve)
}

// Took records the time of an attempt at a stage that succeeded.
func (b *Budget) Took(stage string, d time.Duration) {
	t := b.stages[stage]
	if t == nil {
		t = &times{}
		b.stages[stage] = t
	}
	t.add(d)
}
