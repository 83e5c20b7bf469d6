package admission

import (
	"math"
	"time"
)

const (
	// workHalfLife is the half-life of admitted work.
	workHalfLife = time.Second
	// idleWork is the work, in seconds of service, below which a customer counts as idle.
	idleWork = 0.001
	// minCost is the lowest cost of a request, in seconds. It applies when the service time
	// is unknown.
	minCost = 0.01
)

// workTracker tracks the recently admitted work of each customer.
type workTracker struct {
	byCustomer map[string]*customerWork
	// customers holds the customers in order of arrival.
	customers []*customerWork
	// totalCost and totalWeight are the sums over all customers that are not idle.
	totalCost, totalWeight float64
	decayedAt              time.Time
}

// customerWork is the recently admitted work of one customer.
type customerWork struct {
	customer string
	// cost is the admitted service time in seconds, decayed as of workTracker.decayedAt.
	cost   float64
	weight float64
}

func newWorkTracker() workTracker { return workTracker{byCustomer: map[string]*customerWork{}} }

// shareRatio returns the customer's part of the admitted work divided by its share by
// weight.
func (u *workTracker) shareRatio(now time.Time, req *Request) float64 {
	u.decay(now)
	c := u.byCustomer[req.Customer]
	if c == nil || u.totalCost == 0 {
		return 0
	}
	return c.cost / c.weight * u.totalWeight / u.totalCost
}

// add records an admitted request.
func (u *workTracker) add(now time.Time, req *Request) {
	u.decay(now)
	c := u.byCustomer[req.Customer]
	if c == nil {
		c = &customerWork{customer: req.Customer}
		u.byCustomer[req.Customer] = c
		u.customers = append(u.customers, c)
	}
	weight := float64(max(req.Weight, 1))
	cost := max(req.UnloadedTime.Seconds(), minCost)
	u.totalWeight += weight - c.weight
	u.totalCost += cost
	c.weight = weight
	c.cost += cost
}

// decay ages the work of all customers to now and removes idle customers.
func (u *workTracker) decay(now time.Time) {
	elapsed := now.Sub(u.decayedAt)
	if elapsed < workHalfLife/64 {
		return
	}
	u.decayedAt = now
	factor := math.Exp2(-float64(elapsed) / float64(workHalfLife))
	kept := u.customers[:0]
	u.totalCost, u.totalWeight = 0, 0
	for _, c := range u.customers {
		c.cost *= factor
		if c.cost < idleWork {
			delete(u.byCustomer, c.customer)
			continue
		}
		kept = append(kept, c)
		u.totalCost += c.cost
		u.totalWeight += c.weight
	}
	clear(u.customers[len(kept):])
	u.customers = kept
}
