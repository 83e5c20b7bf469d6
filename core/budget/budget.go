// Package budget limits the retries of calls to a service to a share of its requests in
// a sliding window. All entries (gateway instances) together respect the limit without
// a shared counter: each entry may retry in proportion to the requests that it received
// itself, plus its fraction of a fixed allowance. The package has no clock and no I/O.
package budget

import "time"

const (
	// windowParts is the number of parts into which the window is divided for counting.
	// One more part is stored, because the oldest one is only partly inside the window.
	windowParts = 20
	storedParts = windowParts + 1
	// ratioSafetyFactor reduces the ratio, because the windows of different entries
	// begin at different times.
	ratioSafetyFactor = 0.8
)

// Options are the limits of the budget.
type Options struct {
	// Ratio is the share of requests in a window that may be retried.
	Ratio float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Allowance is the number of additional retries in a window for all entries
	// together.
	Allowance float64
}

// Budget counts the requests and retries of one service. Use New to create one.
type Budget struct {
	options     Options
	currentPart int64
	requests    [storedParts]int
	retries     [storedParts]int
}

// New returns an empty budget.
func New(opts Options) *Budget { return &Budget{options: opts} }

// CountRequest counts the first attempt of a request. now is an offset from any fixed
// point in time.
func (b *Budget) CountRequest(now time.Duration) {
	b.advance(now)
	b.requests[b.currentPart%storedParts]++
}

// TryRetry counts a retry and returns true if the budget permits it. fraction is this
// entry's fraction of the allowance, as returned by AllowanceShare.Fraction.
func (b *Budget) TryRetry(now time.Duration, fraction float64) bool {
	b.advance(now)
	retries, requests := 0, 0
	for i := range storedParts {
		retries += b.retries[i]
		requests += b.requests[i]
	}
	allowed := ratioSafetyFactor*b.options.Ratio*float64(requests) + b.options.Allowance*fraction
	if float64(retries+1) > allowed {
		return false
	}
	b.retries[b.currentPart%storedParts]++
	return true
}

// advance clears the parts that have left the window.
func (b *Budget) advance(now time.Duration) {
	part := int64(now / (b.options.Window / windowParts))
	if part-b.currentPart >= storedParts {
		b.requests, b.retries = [storedParts]int{}, [storedParts]int{}
		b.currentPart = part
	}
	for b.currentPart < part {
		b.currentPart++
		b.requests[b.currentPart%storedParts] = 0
		b.retries[b.currentPart%storedParts] = 0
	}
}
