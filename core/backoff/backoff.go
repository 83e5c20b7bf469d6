// Package backoff computes the delays between retries after consecutive failures.
package backoff

import "time"

// Policy is an exponential backoff: the delay starts at Initial and doubles with each
// consecutive failure, up to Max.
type Policy struct {
	Initial, Max time.Duration
}

// Delay returns the delay after a failure that was preceded by the given number of
// consecutive failures.
func (p Policy) Delay(previousFailures int) time.Duration {
	delay := p.Initial
	for range previousFailures {
		if delay >= p.Max {
			break
		}
		delay *= 2
	}
	return min(delay, p.Max)
}
