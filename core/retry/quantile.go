package retry

import (
	"slices"
	"time"
)

const (
	// sampleWindow is the number of recent latencies kept per stage.
	sampleWindow = 128
	// minSamples is the number of latencies required before hedging starts.
	minSamples = 32
	// recomputeInterval is the number of latencies between two recomputations of
	// the median and the hedge delay.
	recomputeInterval = 16
	// medianPeriod is the number of recomputations in a period for which the lowest
	// median is kept. The current and the previous period count.
	medianPeriod = 64
	// queueingThreshold is the ratio of the current to the lowest median above which
	// calls are assumed to be queueing, as opposed to a single server being slow.
	queueingThreshold = 1.5
	// hedgeQuantile is the latency quantile after which a hedge may start.
	hedgeQuantile = 0.95
	// minHedgeMedians is the shortest hedge delay, as a multiple of the median latency.
	minHedgeMedians = 2
)

// latencyStats keeps the recent latencies of one stage, their median and the delay
// after which to hedge.
type latencyStats struct {
	// samples is a ring buffer; count is the number of latencies ever added.
	samples            [sampleWindow]time.Duration
	count              int
	median, hedgeDelay time.Duration
	// lowestMedian and previousLowestMedian are the lowest medians of the current and
	// the previous period.
	lowestMedian, previousLowestMedian time.Duration
	// recomputations counts the calls of recompute.
	recomputations int
	scratch        [sampleWindow]time.Duration
}

func (t *latencyStats) add(d time.Duration) {
	t.samples[t.count%sampleWindow] = d
	t.count++
	if t.count >= minSamples && t.count%recomputeInterval == 0 {
		t.recompute()
	}
}

func (t *latencyStats) recompute() {
	n := min(t.count, sampleWindow)
	s := t.scratch[:n]
	copy(s, t.samples[:n])
	slices.Sort(s)
	t.median = s[n/2]
	t.hedgeDelay = max(s[int(hedgeQuantile*float64(n-1))], minHedgeMedians*t.median)
	t.trackLowestMedian()
}

// trackLowestMedian updates the lowest median and starts a new period when due.
func (t *latencyStats) trackLowestMedian() {
	if t.recomputations%medianPeriod == 0 {
		t.previousLowestMedian, t.lowestMedian = t.lowestMedian, 0
	}
	t.recomputations++
	if t.lowestMedian == 0 || t.median < t.lowestMedian {
		t.lowestMedian = t.median
	}
}

// isQueueing reports whether most calls take much longer than they did recently. This
// suggests long queues, which additional calls would make worse.
func (t *latencyStats) isQueueing() bool {
	lowest := t.lowestMedian
	if t.previousLowestMedian > 0 {
		lowest = min(lowest, t.previousLowestMedian)
	}
	return float64(t.median) > queueingThreshold*float64(lowest)
}
