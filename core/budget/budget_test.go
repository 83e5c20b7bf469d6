package budget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var testOptions = Options{Ratio: 0.2, Window: 10 * time.Second, Allowance: 54}

func TestRetriesAreLimitedByRequestCount(t *testing.T) {
	b := New(testOptions)
	for range 100 {
		b.CountRequest(0)
	}
	n := 0
	const fraction = 1.0 / 8
	for b.TryRetry(0, fraction) {
		n++
	}
	// 80% of 20% of 100 requests, plus an eighth of 54.
	assert.Equal(t, n, 22)
	assert.Assert(t, !b.TryRetry(9*time.Second, fraction))
	assert.Assert(t, b.TryRetry(11*time.Second, fraction))
}

// TestEntriesTogetherKeepTheBound lets up to eight entries retry whenever their budget
// permits it, and checks the total over all sliding windows.
func TestEntriesTogetherKeepTheBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		entries := make([]*Budget, rapid.IntRange(1, 8).Draw(rt, "entries"))
		for i := range entries {
			entries[i] = New(testOptions)
		}
		var requests, retries []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(rt, "events") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond
			e := entries[rapid.IntRange(0, len(entries)-1).Draw(rt, "entry")]
			if rapid.Bool().Draw(rt, "request") {
				e.CountRequest(now)
				requests = append(requests, now)
			}
			for e.TryRetry(now, 1.0/8) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			current := float64(countWithin(requests, end, testOptions.Window))
			previous := float64(countWithin(requests, end-testOptions.Window, testOptions.Window))
			requestsHalfWindowEarlier := float64(countWithin(requests, end-testOptions.Window/2, testOptions.Window))
			retryCount := float64(countWithin(retries, end, testOptions.Window))
			bound := testOptions.Ratio*max(current, previous, requestsHalfWindowEarlier) + testOptions.Allowance
			assert.Assert(rt, retryCount <= bound, "%v retries, %v allowed in the window that ends at %v", retryCount, bound, end)
		}
	})
}

// countWithin counts the times in the window that ends at end.
func countWithin(times []time.Duration, end, window time.Duration) int {
	n := 0
	for _, at := range times {
		if at > end-window && at <= end {
			n++
		}
	}
	return n
}
