// Package limit adapts the concurrency limit of a server to its measured latency. It
// performs no I/O and takes the current time as a parameter.
package limit

import (
	"math"
	"time"
)

const (
	// minWindow is the minimum duration of a measurement window. The limit is adjusted
	// at the end of each window.
	minWindow = 200 * time.Millisecond
	// minWindowCalls is the minimum number of calls in a window.
	minWindowCalls = 5
	// baselinePeriod is the length of a period for which the lowest window average is
	// kept as the baseline. The current and the previous period count.
	baselinePeriod = 30 * time.Second
	// latencyTolerance is the ratio of latency to baseline up to which the limit is
	// not decreased.
	latencyTolerance = 2.0
	// minGradient bounds the decrease at one adjustment.
	minGradient = 0.5
	// failureThreshold is the share of failed calls from which the limit is decreased.
	failureThreshold = 0.2
	// failureDecrease is the factor applied to the limit after a window that reached
	// failureThreshold.
	failureDecrease = 0.7
	// smoothingFactor is the weight of a new limit in the smoothed limit.
	smoothingFactor = 0.4
)

// Options configures a Limiter.
type Options struct {
	// Min and Max bound the limit; Max is also its initial value.
	Min, Max int
}

// Limiter holds the concurrency limit of one server. It is not safe for
// concurrent use.
type Limiter struct {
	opts  Options
	limit float64
	// windowStart is when the current window began. The fields up to maxInflight
	// describe the calls that ended in it.
	windowStart     time.Time
	calls, failures int
	// totalLatency is the sum over the calls that did not fail.
	totalLatency time.Duration
	maxInflight  int
	// baseline and previousBaseline are the lowest window averages of the current and
	// the previous period; baselineStart is when the current period began.
	baseline, previousBaseline time.Duration
	baselineStart              time.Time
}

// New returns a Limiter without measurements.
func New(o Options) *Limiter {
	o.Min = max(o.Min, 1)
	o.Max = max(o.Max, o.Min)
	return &Limiter{opts: o, limit: float64(o.Max)}
}

// Limit returns the number of concurrent calls that the server may have.
func (l *Limiter) Limit() int {
	return min(max(int(math.Round(l.limit)), l.opts.Min), l.opts.Max)
}

// SetMax changes the upper bound of the limit.
func (l *Limiter) SetMax(n int) {
	l.opts.Max = max(n, l.opts.Min)
	l.limit = min(l.limit, float64(l.opts.Max))
}

// Observe records a finished call: its latency at the server normalized by its size,
// the number of concurrent calls, and whether the server failed it.
func (l *Limiter) Observe(now time.Time, latency time.Duration, inflight int, failed bool) {
	if l.windowStart.IsZero() {
		l.windowStart, l.baselineStart = now, now
	}
	l.calls++
	l.maxInflight = max(l.maxInflight, inflight)
	if failed {
		l.failures++
	} else {
		l.totalLatency += latency
	}
	if l.calls < minWindowCalls || now.Sub(l.windowStart) < minWindow {
		return
	}
	l.adjust(now)
	l.windowStart, l.calls, l.failures, l.totalLatency, l.maxInflight = now, 0, 0, 0, 0
}

// adjust sets the limit at the end of a window. It lowers the limit if too many calls
// failed or the latency exceeds the tolerance, and otherwise raises it if at least half
// of it was in use.
func (l *Limiter) adjust(now time.Time) {
	if float64(l.failures) >= failureThreshold*float64(l.calls) {
		l.setLimit(l.limit * failureDecrease)
		return
	}
	average := l.totalLatency / time.Duration(l.calls-l.failures)
	baseline := l.updateBaseline(now, average)
	gradient := min(1, max(minGradient, latencyTolerance*float64(baseline)/float64(max(average, 1))))
	next := l.limit * gradient
	if gradient == 1 {
		if float64(l.maxInflight) < l.limit/2 {
			return
		}
		next = l.limit + math.Sqrt(l.limit)
	}
	l.setLimit(l.limit + smoothingFactor*(next-l.limit))
}

// updateBaseline records the average latency of a window and returns the baseline.
func (l *Limiter) updateBaseline(now time.Time, average time.Duration) time.Duration {
	if now.Sub(l.baselineStart) >= baselinePeriod {
		l.previousBaseline, l.baseline, l.baselineStart = l.baseline, 0, now
	}
	if l.baseline == 0 || average < l.baseline {
		l.baseline = average
	}
	if l.previousBaseline > 0 && l.previousBaseline < l.baseline {
		return l.previousBaseline
	}
	return l.baseline
}

func (l *Limiter) setLimit(v float64) {
	l.limit = min(max(v, float64(l.opts.Min)), float64(l.opts.Max))
}
