// Package admission decides at an entry whether a request can be served within
// its deadline and within its customer's share. It has no clock and no I/O.
package admission

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

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

// Decision is the answer to an Ask. Code is result.OK for an admitted request.
type Decision struct {
	Code       result.Code
	RetryAfter time.Duration
}

// Options sets up a Controller.
type Options struct {
	Policy Policy
	// Seed makes the spread of RetryAfter reproducible.
	Seed uint64
}

// Controller admits requests at one entry. It is not safe for concurrent use.
type Controller struct{ opts Options }

// New returns a controller without history.
func New(o Options) *Controller { return &Controller{opts: o} }

// Admit decides on a request; an admitted one must be ended by Finish.
func (c *Controller) Admit(now time.Time, a *Ask) Decision { return Decision{} }

// Finish records the end of an admitted request.
func (c *Controller) Finish(now time.Time, customer string, code result.Code, took time.Duration) {}

// SetEntries tells how many entries share the customers' rates.
func (c *Controller) SetEntries(n int) {}
