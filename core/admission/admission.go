// Package admission decides at an entry whether a request can be served within its
// deadline and within its customer's share of the capacity. It has no clock and does
// no I/O.
package admission

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// Policy names an admission policy.
type Policy string

// Admission policies.
const (
	// Feasible refuses requests that are expected to miss their deadline or that exceed
	// their customer's share.
	Feasible Policy = "feasible"
	// AdmitAll admits every request; it serves as the baseline in comparisons.
	AdmitAll Policy = "everything"
)

// Request describes a request to be admitted.
type Request struct {
	Customer string
	Weight   int
	// Rate limits the customer's requests per second over all entries; 0 means no limit.
	Rate     float64
	Pipeline string
	// Budget is the time left until the deadline.
	Budget time.Duration
	// ExpectedTime is the expected queueing and service time of all stages at the
	// servers that would be chosen now. UnloadedTime is the same without any queueing.
	ExpectedTime, UnloadedTime time.Duration
}

// Decision is the result of Admit. Code is result.OK for an admitted request.
type Decision struct {
	Code       result.Code
	RetryAfter time.Duration
}

// Options configures a Controller.
type Options struct {
	Policy Policy
	// Seed makes the random part of RetryAfter reproducible.
	Seed uint64
}

const (
	// Customers' shares are enforced above the load shareEnforcedLoad. At that load a
	// customer may use initialShareRatio times its share; the ratio falls linearly to
	// fullLoadShareRatio at full load.
	shareEnforcedLoad  = 0.25
	initialShareRatio  = 3.0
	fullLoadShareRatio = 0.8
	// A customer whose use is below underShareRatio times its share is admitted up to
	// the load underShareMaxLoad.
	underShareRatio   = 0.8
	underShareMaxLoad = 2.0
	// seedStream separates the random numbers of controllers from other uses of a seed.
	seedStream = 0x61646d69
)

// Controller admits requests at one entry. It is not safe for concurrent use.
type Controller struct {
	opts       Options
	rng        *rand.Rand
	entryCount int
	margin     margin
	work       workTracker
	rates      rateLimits
	retries    retryScheduler
}

// New returns a controller without history.
func New(o Options) *Controller {
	return &Controller{
		opts:       o,
		rng:        rand.New(rand.NewPCG(o.Seed, seedStream)),
		entryCount: 1,
		margin:     newMargin(),
		work:       newWorkTracker(),
		rates:      newRateLimits(),
	}
}

// Admit decides on a request. The end of an admitted request must be reported with
// Finish.
func (c *Controller) Admit(now time.Time, req *Request) Decision {
	if c.opts.Policy == AdmitAll {
		return Decision{}
	}
	if req.Budget <= 0 || req.UnloadedTime > req.Budget {
		return Decision{Code: result.DeadlineTooShort}
	}
	if wait, ok := c.rates.take(now, req, c.entryCount); !ok {
		return Decision{Code: result.CustomerOverShare, RetryAfter: wait + c.retries.jitter(c.rng)}
	}
	if code := c.checkLoad(now, req); code != result.OK {
		return c.refusal(now, code)
	}
	c.work.add(now, req)
	c.retries.recordAdmitted(now)
	return Decision{}
}

// checkLoad refuses a request if the expected load is too high. A customer well below
// its share is admitted at a higher load, because the agents' queues serve it before
// others and refuse the call themselves if they cannot.
func (c *Controller) checkLoad(now time.Time, req *Request) result.Code {
	load := c.margin.load(req)
	if load <= shareEnforcedLoad {
		return result.OK
	}
	ratio := c.work.shareRatio(now, req)
	switch {
	case ratio < underShareRatio && load <= underShareMaxLoad:
		return result.OK
	case load > 1:
		return result.Overloaded
	case ratio > allowedShareRatio(load):
		return result.CustomerOverShare
	}
	return result.OK
}

// refusal returns a refusal with the time after which the caller may retry.
func (c *Controller) refusal(now time.Time, code result.Code) Decision {
	return Decision{Code: code, RetryAfter: c.retries.nextRetryAfter(now, c.rng)}
}

// allowedShareRatio returns how many times its share a customer may use at a load.
func allowedShareRatio(load float64) float64 {
	return fullLoadShareRatio + (initialShareRatio-fullLoadShareRatio)*(1-load)/(1-shareEnforcedLoad)
}

// Finish records the end of an admitted request.
func (c *Controller) Finish(code result.Code) {
	c.margin.update(code)
}

// SetEntryCount sets the number of entries that share the customers' rates.
func (c *Controller) SetEntryCount(n int) { c.entryCount = max(n, 1) }

// Margin returns the factor by which expected times are multiplied.
func (c *Controller) Margin() float64 { return c.margin.factor }
