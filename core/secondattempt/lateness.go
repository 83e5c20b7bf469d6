package secondattempt

import "slices"

const (
	// sampleCount is the number of kept samples. An entry sends a few streams per second, so
	// that they cover about a minute.
	sampleCount = 256
	// minSamples is the number of samples from which the quantile is used, and defaultLimit
	// applies before.
	minSamples   = 20
	defaultLimit = 4.0
	// recomputeInterval is the number of samples between two computations of the quantiles.
	recomputeInterval = 8
	// lateQuantile leaves room for a few percent of servers that hang: the times of attempts
	// that were given up are samples too, and must not set the limit. If more attempts than
	// these are given up, the limit rises with each of them.
	lateQuantile = 0.95
	// limitMargin is the distance of the limit from the quantile. Without it, one in 20 sound
	// attempts would be given up.
	limitMargin = 1.25
	// minLimit and maxLimit bound the limit.
	minLimit = 1.5
	maxLimit = 20.0
)

// lateness holds the newest ratios of actual to expected times.
type lateness struct {
	// samples is a ring buffer; count is the number of samples ever added.
	samples [sampleCount]float64
	count   int
	// mid and high are the median and lateQuantile as last computed.
	mid, high float64
}

func (l *lateness) add(ratio float64) {
	l.samples[l.count%sampleCount] = ratio
	l.count++
	if l.count < minSamples || l.count%recomputeInterval != 0 {
		return
	}
	n := min(l.count, sampleCount)
	sorted := l.samples
	slices.Sort(sorted[:n])
	l.mid, l.high = sorted[n/2], sorted[int(lateQuantile*float64(n-1))]
}

// limit returns the ratio from which an attempt is overdue.
func (l *lateness) limit() float64 {
	if l.high == 0 {
		return defaultLimit
	}
	return min(max(minLimit, limitMargin*l.high), maxLimit)
}

// median returns the usual ratio, at least 1.
func (l *lateness) median() float64 { return max(1, l.mid) }
