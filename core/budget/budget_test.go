package budget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var opts = Options{Ratio: 0.2, Window: 10 * time.Second, Allowance: 54}

func TestRepeatsAreAShareOfRequests(t *testing.T) {
	b := New(opts)
	for range 100 {
		b.Request(0)
	}
	n := 0
	const part = 1.0 / 8
	for b.Repeat(0, part) {
		n++
	}
	// 0.8 of 20 in 100, and an eighth of 54.
	assert.Equal(t, n, 22)
	assert.Assert(t, !b.Repeat(9*time.Second, part))
	assert.Assert(t, b.Repeat(11*time.Second, part))
}

// TestEntriesTogetherKeepTheBound lets up to eight entries repeat whenever their
// budget allows, and counts over all sliding windows.
func TestEntriesTogetherKeepTheBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		entries := make([]*Budget, rapid.IntRange(1, 8).Draw(rt, "entries"))
		for i := range entries {
			entries[i] = New(opts)
		}
		var requests, repeats []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(rt, "events") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond
			e := entries[rapid.IntRange(0, len(entries)-1).Draw(rt, "entry")]
			if rapid.Bool().Draw(rt, "request") {
				e.Request(now)
				requests = append(requests, now)
			}
			for e.Repeat(now, 1.0/8) {
				repeats = append(repeats, now)
			}
		}
		for _, end := range repeats {
			seen := float64(within(requests, end, opts.Window))
			before := float64(within(requests, end-opts.Window, opts.Window))
			half := float64(within(requests, end-opts.Window/2, opts.Window))
			spent := float64(within(repeats, end, opts.Window))
			bound := opts.Ratio*max(seen, before, half) + opts.Allowance
			assert.Assert(rt, spent <= bound, "%v repeats, %v allowed at %v", spent, bound, end)
		}
	})
}

// within counts the times in the window that ends at end.
func within(times []time.Duration, end, window time.Duration) int {
	n := 0
	for _, at := range times {
		if at > end-window && at <= end {
			n++
		}
	}
	return n
}
