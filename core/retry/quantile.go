package retry

import (
	"slices"
	"time"
)

const (
	// samplesKept is the number of recent times kept per stage.
	samplesKept = 128
	// samplesNeeded is the number of times needed before hedging.
	samplesNeeded = 32
	// samplesBetween is the number of times between two computations.
	samplesBetween = 16
	// medianKept is the number of computations after which the least median begins
	// anew; two adjoining periods count.
	medianKept = 64
	// queueingFactor is the median, relative to the least one, from which the stage
	// is taken to be queueing rather than to have a slow server.
	queueingFactor = 1.5
	// hedgeQuantile is the quantile of the times at which a hedge starts.
	hedgeQuantile = 0.95
	// hedgeMedians is the least time before a hedge, in medians.
	hedgeMedians = 2
)

// times keeps the recent times of one stage with their median and the time after
// which a call is late.
type times struct {
	ring         [samplesKept]time.Duration
	count        int
	median, late time.Duration
	// least and older are the least medians of two adjoining periods.
	least, older time.Duration
	computed     int
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
	t.late = max(s[int(hedgeQuantile*float64(n-1))], hedgeMedians*t.median)
	t.track()
}

// track keeps the least median.
func (t *times) track() {
	if t.computed%medianKept == 0 {
		t.older, t.least = t.least, 0
	}
	t.computed++
	if t.least == 0 || t.median < t.least {
		t.least = t.median
	}
}

// queueing tells whether most calls take much longer than they did lately, which
// more calls would make worse.
func (t *times) queueing() bool {
	least := t.least
	if t.older > 0 {
		least = min(least, t.older)
	}
	return float64(t.median) > queueingFactor*float64(least)
}
