package worktime

import "time"

const (
	// earlyStop is the first part of a stop, in which the load balancer still sends requests.
	earlyStop = 3 * time.Second
	// earlyMargin and lateMargin multiply expected times in that part and after it: what is taken
	// later has come by a connection that could have been closed.
	earlyMargin = 1.1
	lateMargin  = 2.0
	// minMargin is the least distance of an expected end from the last answers.
	minMargin = 300 * time.Millisecond
)

// Stop is the time of a stop: it began at Since, and the last answers are given at LastAnswer.
type Stop struct{ Since, LastAnswer time.Duration }

// LatestStart returns the latest time at which work that is expected to take a time may begin, so
// that it can be expected to end before the last answers.
func (s Stop) LatestStart(expected time.Duration) time.Duration {
	early := s.latest(expected, earlyMargin)
	lateFrom := s.Since + earlyStop
	if early <= lateFrom {
		return early
	}
	return max(lateFrom, s.latest(expected, lateMargin))
}

func (s Stop) latest(expected time.Duration, margin float64) time.Duration {
	return s.LastAnswer - max(time.Duration(margin*float64(expected)), expected+minMargin)
}

// AttemptTime returns the time for which work that is expected to take a time is waited for.
func AttemptTime(expected time.Duration) time.Duration {
	return time.Duration(earlyMargin * float64(expected))
}
