// Package backoff computes the delays between retries after consecutive failures.
package backoff

import (
	"strconv"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/jitter"
)

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

// SpreadDelay returns 0.5 to 1.5 times Delay, by the name of who waits, so that many that
// failed at the same moment do not try again at the same moment.
func (p Policy) SpreadDelay(previousFailures int, name string) time.Duration {
	factor := 0.5 + jitter.Fraction(name+"#"+strconv.Itoa(previousFailures))
	return time.Duration(factor * float64(p.Delay(previousFailures)))
}
