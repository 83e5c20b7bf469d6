package admission

import (
	"slices"
	"strings"
	"time"
)

// CustomerShare is the recent share of one customer at this entry.
type CustomerShare struct {
	Customer string
	// Share is the customer's fraction of the recently admitted work.
	Share float64
	// EntitledShare is its share by weight among the customers that are not idle.
	EntitledShare float64
}

// CustomerShares returns the shares of all customers that are not idle, sorted by name.
func (c *Controller) CustomerShares(now time.Time) []CustomerShare {
	work := &c.work
	work.decay(now)
	shares := make([]CustomerShare, 0, len(work.customers))
	for _, customer := range work.customers {
		if work.totalCost == 0 || work.totalWeight == 0 {
			break
		}
		shares = append(shares, CustomerShare{Customer: customer.customer, Share: customer.cost / work.totalCost, EntitledShare: customer.weight / work.totalWeight})
	}
	slices.SortFunc(shares, func(a, b CustomerShare) int { return strings.Compare(a.Customer, b.Customer) })
	return shares
}
