package retry

import (
	"slices"
	"time"
)

const (
	// samplesKept is the number of recent times kept per stage.
	samplesKept = 256
	// samplesNeeded is the number of times needed before hedging.
	samplesNeeded = 32
	// samplesBetween is the number of times between two computations.
	samplesBetween = 16
	// hedgeQuantile is the quantile of the times at which a hedge starts.
	hedgeQuantile = 0.95
)

// times keeps the recent times of one stage with their median and late quantile.
type times struct {
	ring         [samplesKept]time.Duration
	count        int
	median, late time.Duration
	scratch      [samplesKept]time.Duration
}

func (t *times) add(d time.Duration) {
	t.ring[t.count%samplesKept] = d
	t.count++
	if t.count >= samplesNeeded && t.count%samplesBetween == 0 {
		t.compute()
	}
}

func (t *times) compute() {
	n := min(t.count, samplesKept)
	s := t.scratch[:n]
	copy(s, t.ring[:n])
	slices.Sort(s)
	t.median = s[n/2]
	t.late = s[int(hedgeQuantile*float64(n-1))]
}
