// Package budget bounds the repeated calls to a service by a share of its requests
// in a sliding window. All entries together keep the bound without a shared
// counter: each one spends its share of the requests that it saw itself, and its
// part of the fixed allowance. It has no clock and no I/O.
package budget

import "time"

const (
	// parts is the number of parts of the window that are counted by themselves. One
	// more is kept, since the oldest one lies in the window in part.
	parts = 20
	slots = parts + 1
	// safety is the share of the ratio that is spent; the rest covers entries whose
	// windows begin at other times.
	safety = 0.8
)

// Options are the bounds of the budget.
type Options struct {
	// Ratio is the share of requests that may be repeated in a window.
	Ratio float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Allowance is the number of repeats that all entries together may add.
	Allowance float64
}

// Budget counts the requests and repeats of one service. The zero value is not usable.
type Budget struct {
	opts     Options
	slot     int64
	requests [slots]int
	repeats  [slots]int
}

// New returns an empty budget.
func New(opts Options) *Budget { return &Budget{opts: opts} }

// Request counts a first call at now, a time since any fixed start.
func (b *Budget) Request(now time.Duration) {
	b.advance(now)
	b.requests[b.slot%slots]++
}

// Repeat takes one repeat out of the budget and tells whether there was one. The part
// is what this entry may spend of the allowance, as Share returns it.
func (b *Budget) Repeat(now time.Duration, part float64) bool {
	b.advance(now)
	spent, seen := 0, 0
	for i := range slots {
		spent += b.repeats[i]
		seen += b.requests[i]
	}
	allowed := safety*b.opts.Ratio*float64(seen) + b.opts.Allowance*part
	if float64(spent+1) > allowed {
		return false
	}
	b.repeats[b.slot%slots]++
	return true
}

// advance clears the slots that have left the window.
func (b *Budget) advance(now time.Duration) {
	slot := int64(now / (b.opts.Window / parts))
	if slot-b.slot >= slots {
		b.requests, b.repeats = [slots]int{}, [slots]int{}
		b.slot = slot
	}
	for b.slot < slot {
		b.slot++
		b.requests[b.slot%slots] = 0
		b.repeats[b.slot%slots] = 0
	}
}
