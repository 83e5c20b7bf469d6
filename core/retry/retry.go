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

// Budget bounds the retries and hedges of one entry. It is not safe for
// concurrent use.
type Budget struct{ opts Options }

// New returns a budget.
func New(o Options) *Budget { return &Budget{opts: o} }

// Request records a first attempt at a stage.
func (b *Budget) Request(now time.Time) {}

// Retry decides whether the attempt may be repeated, and after which wait. It
// never allows repeating a stage that is not idempotent unless Ran is RanNo.
func (b *Budget) Retry(now time.Time, a *Ask) (wait time.Duration, ok bool) {
	if a.Ran != result.RanNo && !a.Idempotent {
		return 0, false
	}
	return 0, a.Attempts < 3
}

// HedgeAfter returns when a second attempt at an idempotent stage may start; ok
// is false if none may.
func (b *Budget) HedgeAfter(now time.Time, stage string, remaining time.Duration) (after time.Duration, ok bool) {
	return 0, false
}

// HedgeSent takes a hedge out of the budget; ok is false if it is empty.
func (b *Budget) HedgeSent(now time.Time) (ok bool) { return false }

// Took records the time of an attempt at a stage that succeeded.
func (b *Budget) Took(stage string, d time.Duration) {}
