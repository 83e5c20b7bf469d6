// Package admission decides at an entry whether a request can be served within
// its deadline and within its customer's share. It has no clock and no I/O.
package admission

import (
	"math/rand/v2"
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

const (
	// shareFrom is the load from which customers' shares are enforced, and
	// shareSlack how far above its share a customer may be there; the slack falls
	// to shareLeast at full load.
	shareFrom  = 0.25
	shareSlack = 3.0
	shareLeast = 0.8
	// underShare is the use relative to the share under which a customer is let
	// through up to the load underShareLoad.
	underShare     = 0.8
	underShareLoad = 2.0
	// seedStream separates the random numbers of controllers from other uses of a seed.
	seedStream = 0x61646d69
)

// Controller admits requests at one entry. It is not safe for concurrent use.
type Controller struct {
	opts    Options
	rng     *rand.Rand
	entries int
	margin  margin
	use     uses
	rates   rates
	returns returns
}

// New returns a controller without history.
func New(o Options) *Controller {
	return &Controller{
		opts:    o,
		rng:     rand.New(rand.NewPCG(o.Seed, seedStream)),
		entries: 1,
		margin:  newMargin(),
		use:     newUses(),
		rates:   newRates(),
	}
}

// Admit decides on a request; an admitted one must be ended by Finish.
func (c *Controller) Admit(now time.Time, a *Ask) Decision {
	if c.opts.Policy == Everything {
		return Decision{}
	}
	if a.Budget <= 0 || a.Least > a.Budget {
		return Decision{Code: result.DeadlineTooShort}
	}
	if wait, ok := c.rates.take(now, a, c.entries); !ok {
		return Decision{Code: result.CustomerOverShare, RetryAfter: wait + c.returns.spread(c.rng)}
	}
	if code := c.judge(now, a); code != result.OK {
		return c.refuse(now, code)
	}
	c.use.add(now, a)
	c.returns.admitted(now)
	return Decision{}
}

// judge refuses by the expected load. A customer well under its share is let
// through somewhat longer, since the agents' queues serve it before others, and
// refuse it themselves if they cannot.
func (c *Controller) judge(now time.Time, a *Ask) result.Code {
	load := c.margin.load(a)
	if load <= shareFrom {
		return result.OK
	}
	ratio := c.use.ratio(now, a)
	switch {
	case ratio < underShare && load <= underShareLoad:
		return result.OK
	case load > 1:
		return result.Overloaded
	case ratio > allowed(load):
		return result.CustomerOverShare
	}
	return result.OK
}

func (c *Controller) refuse(now time.Time, code result.Code) Decision {
	return Decision{Code: code, RetryAfter: c.returns.next(now, c.rng)}
}

// allowed returns how far above its share a customer may be at a load.
func allowed(load float64) float64 {
	return shareLeast + (shareSlack-shareLeast)*(1-load)/(1-shareFrom)
}

// Finish records the end of an admitted request.
func (c *Controller) Finish(now time.Time, customer string, code result.Code, took time.Duration) {
	c.margin.finish(code)
}

// SetEntries tells how many entries share the customers' rates.
func (c *Controller) SetEntries(n int) { c.entries = max(n, 1) }

// Margin returns the factor by which expected times are raised.
func (c *Controller) Margin() float64 { return c.margin.factor }
