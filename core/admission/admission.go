// Package admission decides at an entry whether a request can be served within
// its deadline and within its customer's share. It has no clock and no I/O.
package admission

import "time"

// Policy names a way of admitting.
type Policy string

// The policies.
const (
	// Feasible refuses requests whose stages are expected to miss the deadline.
	Feasible Policy = "feasible"
	// Everything admits all; the baseline.
	Everything Policy = "everything"
)

// Ask describes a request to be admitted.
type Ask struct {
	Customer string
	Weight   int
	// Rate bounds the customer's requests a second over all entries; 0 is none.
	Rate     float64
	Pipeline string
	// Budget is the time until the deadline.
	Budget time.Duration
	// Expected is the expected wait and service of all stages at the servers
	// that would be chosen now; Least is the same without load.
	Expected, Least time.Duration
}
