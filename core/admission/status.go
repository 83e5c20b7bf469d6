package admission

import (
	"slices"
	"strings"
	"time"
)

// CustomerUse is the recent use of one customer at this entry.
type CustomerUse struct {
	Customer string
	// Share is the customer's share of the work admitted lately.
	Share float64
	// Entitled is its share by weight among the customers that are not idle.
	Entitled float64
}

// CustomerUses returns the customers that are not idle, sorted by name.
func (c *Controller) CustomerUses(now time.Time) []CustomerUse {
	u := &c.use
	u.decay(now)
	out := make([]CustomerUse, 0, len(u.list))
	for _, one := range u.list {
		if u.total == 0 || u.weight == 0 {
			break
		}
		out = append(out, CustomerUse{Customer: one.customer, Share: one.cost / u.total, Entitled: one.weight / u.weight})
	}
	slices.SortFunc(out, func(a, b CustomerUse) int { return strings.Compare(a.Customer, b.Customer) })
	return out
}
