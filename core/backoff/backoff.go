// Package backoff computes the pauses after failures in a row.
package backoff

import "time"

// Pauses double with each failure in a row.
type Pauses struct {
	First, Longest time.Duration
}

// After returns the pause after a failure that follows on the given number of others.
func (p Pauses) After(others int) time.Duration {
	pause := p.First
	for range others {
		if pause >= p.Longest {
			break
		}
		pause *= 2
	}
	return min(pause, p.Longest)
}
