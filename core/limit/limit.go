// Package limit adapts the number of calls that a server gets at a time to its
// measured latency. It has no clock and no I/O.
package limit

import (
	"math"
	"time"
)

const (
	// window is the least time between two changes of the limit.
	window = 200 * time.Millisecond
	// windowSamples is the least number of calls between two changes.
	windowSamples = 5
	// baselineAge is how long a latency without load counts as the baseline.
	baselineAge = 30 * time.Second
	// tolerance is the latency, relative to the baseline, that leaves the limit.
	tolerance = 2.0
	// leastGradient bounds the decrease at one change.
	leastGradient = 0.5
	// failedShare is the share of failed calls that lowers the limit.
	failedShare = 0.2
	// failedFactor is the decrease after a window with failures.
	failedFactor = 0.7
	// smoothing is the weight of a new limit.
	smoothing = 0.4
)

// Options bounds a Limiter.
type Options struct {
	// Min and Max bound the limit; Max is also its start.
	Min, Max int
}

// Limiter holds the concurrency limit of one server. It is not safe for
// concurrent use.
type Limiter struct {
	opts  Options
	limit float64
	// started is when the window began.
	started          time.Time
	calls, failures  int
	sum              time.Duration
	greatestInflight int
	// baseline and older are the least window averages of two adjoining periods.
	baseline, older time.Duration
	rotated         time.Time
}

// New returns a limiter without measurements.
func New(o Options) *Limiter {
	o.Min = max(o.Min, 1)
	o.Max = max(o.Max, o.Min)
	return &Limiter{opts: o, limit: float64(o.Max)}
}

// Limit returns the number of calls that the server may have at a time.
func (l *Limiter) Limit() int {
	return min(max(int(math.Round(l.limit)), l.opts.Min), l.opts.Max)
}

// SetMax changes the upper bound.
func (l *Limiter) SetMax(n int) {
	l.opts.Max = max(n, l.opts.Min)
	l.limit = min(l.limit, float64(l.opts.Max))
}

// Observe records a call that ended: its time at the server relative to its
// size, the calls that ran beside it, and whether the server failed it.
func (l *Limiter) Observe(now time.Time, took time.Duration, inflight int, failed bool) {
	if l.started.IsZero() {
		l.started, l.rotated = now, now
	}
	l.calls++
	l.greatestInflight = max(l.greatestInflight, inflight)
	if failed {
		l.failures++
	} else {
		l.sum += took
	}
	if l.calls < windowSamples || now.Sub(l.started) < window {
		return
	}
	l.change(now)
	l.started, l.calls, l.failures, l.sum, l.greatestInflight = now, 0, 0, 0, 0
}

func (l *Limiter) change(now time.Time) {
	if float64(l.failures) >= failedShare*float64(l.calls) {
		l.set(l.limit * failedFactor)
		return
	}
	average := l.sum / time.Duration(l.calls-l.failures)
	base := l.track(now, average)
	gradient := min(1, max(leastGradient, tolerance*float64(base)/float64(max(average, 1))))
	next := l.limit * gradient
	if gradient == 1 {
		if float64(l.greatestInflight) < l.limit/2 {
			return
		}
		next = l.limit + math.Sqrt(l.limit)
	}
	l.set(l.limit + smoothing*(next-l.limit))
}

// track takes in a window's average and returns the baseline.
func (l *Limiter) track(now time.Time, average time.Duration) time.Duration {
	if now.Sub(l.rotated) >= baselineAge {
		l.older, l.baseline, l.rotated = l.baseline, 0, now
	}
	if l.baseline == 0 || average < l.baseline {
		l.baseline = average
	}
	if l.older > 0 && l.older < l.baseline {
		return l.older
	}
	return l.baseline
}

func (l *Limiter) set(v float64) {
	l.limit = min(max(v, float64(l.opts.Min)), float64(l.opts.Max))
}
