// Package loadreport evaluates what servers tell in their responses about their load.
//
// Pace uses the reported time of work for the expected time of the next call to a batch
// server; Table uses the reported queues to compare the servers of a service. Both weigh a
// report by its age and by how well earlier reports of the same server start agreed with its
// calls. Without reports, both leave every estimate as it is. The package has no clock and
// does no I/O, and its types are not safe for concurrent use.
package loadreport

import (
	"math"
	"time"
)

// Report is what a server tells about its load in a response.
type Report struct {
	// Running and Waiting are the requests that the server runs and has waiting.
	Running, Waiting int
	// Slots is the number of requests that the server runs at the same time, at least 1.
	Slots int
	// WorkTime is how long work takes on the server's machine at the moment, relative to its
	// usual time; 0 if the server does not tell.
	WorkTime float64
}

// rounds returns the waiting requests relative to the slots.
func (r Report) rounds() float64 {
	return min(max(0, float64(r.Waiting))/float64(max(1, r.Slots)), maxRounds)
}

// freshness returns the weight, between 0 and 1, of a report of the given age.
func freshness(age, halfLife, validity time.Duration) float64 {
	if age >= validity {
		return 0
	}
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}
