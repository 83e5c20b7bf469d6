package node

import "time"

const (
	// shutdownReserve is the part of the shutdown grace period that remains when the last
	// requests are answered at the latest. lastWriteTimeout is the part of it in which the
	// answers are written to their connections, which is no longer waited for in its last
	// lastWriteReserve.
	shutdownReserve  = 700 * time.Millisecond
	lastWriteTimeout = 300 * time.Millisecond
	lastWriteReserve = 50 * time.Millisecond
	// maxReserveFraction is the largest fraction of a grace period that is reserved.
	maxReserveFraction = 0.4
)

// stopLimits are the longest times from the beginning of a stop to the last answers, to the end of
// the delivery of complete answers to clients that read slowly, and to the last written byte.
type stopLimits struct {
	answer, deliver, write time.Duration
}

// stopLimitsOf returns the limits for a grace period. In a very short one, the reserved times
// shrink in proportion.
func stopLimitsOf(grace time.Duration) stopLimits {
	scale := min(1, maxReserveFraction*grace.Seconds()/shutdownReserve.Seconds())
	scaled := func(d time.Duration) time.Duration { return time.Duration(scale * float64(d)) }
	answer := grace - scaled(shutdownReserve)
	write := answer + scaled(lastWriteTimeout)
	return stopLimits{answer: answer, deliver: write - scaled(lastWriteReserve), write: write}
}
