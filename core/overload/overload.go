// Package overload keeps an entry that places requests from falling behind. It measures
// how long messages waited before the entry handled them, and decides which requests are
// refused because of that wait, so that refusals come early and the wait stays short.
package overload

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/jitter"
)

const (
	// maxAge is the age of a message up to which the least urgent request that it carries
	// is placed; agePerPriority is added for each more urgent priority.
	maxAge         = 200 * time.Millisecond
	agePerPriority = 75 * time.Millisecond
	// meanAgeShare is the mean age of all messages, as a fraction of these limits, up to
	// which nothing is refused. ageWeight is the weight of the newest message in the mean.
	meanAgeShare = 0.5
	ageWeight    = 0.05
	// lowestPriority is the priority from which requests count as least urgent.
	lowestPriority = 2
	// retryAgeFactor is the retry delay of a refused request as a multiple of the age of
	// its message. minRetryAfter and maxRetryShare, a fraction of the time to the
	// deadline, bound it; retryJitter is the fraction over which retries are distributed.
	retryAgeFactor = 4
	minRetryAfter  = 400 * time.Millisecond
	maxRetryShare  = 0.32
	retryJitter    = 0.4
)

// AgeMeter estimates the age of the messages of one sender, whose clock is unknown. The
// fastest message seen is assumed to have waited for nothing.
type AgeMeter struct {
	seen bool
	// least is the smallest difference between the receiver's clock and the sender's.
	least time.Duration
}

// Age returns how much longer a message took than the fastest one. sentAt is the
// sender's clock, now the receiver's.
func (m *AgeMeter) Age(sentAt, now time.Duration) time.Duration {
	offset := now - sentAt
	if !m.seen || offset < m.least {
		m.seen, m.least = true, offset
	}
	return offset - m.least
}

// MeanAge is a moving average of the ages of the messages of all senders. It tells an
// instance that is late with its work from a single connection that is slow.
type MeanAge struct {
	mean time.Duration
}

// Add includes the age of a message.
func (m *MeanAge) Add(age time.Duration) {
	m.mean += time.Duration(ageWeight * float64(age-m.mean))
}

// Value returns the mean.
func (m *MeanAge) Value() time.Duration { return m.mean }

// ShouldRefuse reports whether a request is refused because its message is too old, as
// those of other senders are. Priority 0 is the most urgent.
func (m *MeanAge) ShouldRefuse(age time.Duration, priority int) bool {
	limit := maxAge + time.Duration(lowestPriority-min(priority, lowestPriority))*agePerPriority
	return age > limit && m.mean > time.Duration(meanAgeShare*float64(limit))
}

// RetryAfter returns the delay after which the caller of a refused request should try
// again. It varies with the request's ID.
func RetryAfter(id string, age, timeToDeadline time.Duration) time.Duration {
	delay := max(retryAgeFactor*age, minRetryAfter)
	delay = min(delay, time.Duration(maxRetryShare*float64(max(0, timeToDeadline))))
	return delay - time.Duration(retryJitter*jitter.Fraction(id)*float64(delay))
}
