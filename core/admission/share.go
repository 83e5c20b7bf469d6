package admission

import (
	"math"
	"time"
)

const (
	// useHalf is the time after which admitted work counts half.
	useHalf = time.Second
	// useForgotten is the use, in seconds of service, under which a customer
	// counts as idle.
	useForgotten = 0.001
	// leastCost is the cost of a request of unknown service time, in seconds.
	leastCost = 0.01
)

// uses holds the recent work of each customer.
type uses struct {
	byCustomer map[string]*use
	// list holds the customers in order of arrival.
	list []*use
	// total and weight are over the customers that are not idle.
	total, weight float64
	at            time.Time
}

type use struct {
	customer string
	// cost is the admitted service time in seconds, decayed as of uses.at.
	cost   float64
	weight float64
}

func newUses() uses { return uses{byCustomer: map[string]*use{}} }

// ratio returns the customer's use relative to its share of the total.
func (u *uses) ratio(now time.Time, a *Ask) float64 {
	u.decay(now)
	c := u.byCustomer[a.Customer]
	if c == nil || u.total == 0 {
		return 0
	}
	return c.cost / c.weight * u.weight / u.total
}

func (u *uses) add(now time.Time, a *Ask) {
	u.decay(now)
	c := u.byCustomer[a.Customer]
	if c == nil {
		c = &use{customer: a.Customer}
		u.byCustomer[a.Customer] = c
		u.list = append(u.list, c)
	}
	weight := float64(max(a.Weight, 1))
	cost := max(a.Least.Seconds(), leastCost)
	u.weight += weight - c.weight
	u.total += cost
	c.weight = weight
	c.cost += cost
}

// decay ages all uses and forgets idle customers.
func (u *uses) decay(now time.Time) {
	age := now.Sub(u.at)
	if age < useHalf/64 {
		return
	}
	u.at = now
	factor := math.Exp2(-float64(age) / float64(useHalf))
	kept := u.list[:0]
	u.total, u.weight = 0, 0
	for _, c := range u.list {
		c.cost *= factor
		if c.cost < useForgotten {
			delete(u.byCustomer, c.customer)
			continue
		}
		kept = append(kept, c)
		u.total += c.cost
		u.weight += c.weight
	}
	clear(u.list[len(kept):])
	u.list = kept
}
