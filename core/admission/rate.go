package admission

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// burstDuration is the time for which unused rate accumulates.
	burstDuration = time.Second
	// demandHalfLife is the half-life of a request in the demand estimate.
	demandHalfLife = 2 * time.Second
	// maxPeerAge is the age after which a demand report of another entry is ignored.
	maxPeerAge = 10 * time.Second
	// evenFraction is the fraction of a rate that is split evenly among the entries,
	// regardless of demand.
	evenFraction = 0.2
)

// CustomerDemand is the demand of one customer at one entry, in requests per second.
type CustomerDemand struct {
	Customer string
	Demand   float64
}

// rateLimits limits the customers' requests per second over all entries. Each entry
// uses a fraction of a customer's rate in proportion to its own demand.
type rateLimits struct {
	byCustomer map[string]*tokenBucket
	// peers holds the latest report of each other entry, sorted by entry.
	peers []peerDemand
}

// peerDemand is the demand per customer that another entry reported.
type peerDemand struct {
	entry      string
	reportedAt time.Time
	demand     map[string]float64
}

// tokenBucket limits one customer's requests at this entry.
type tokenBucket struct {
	tokens    float64
	updatedAt time.Time
	// demand is in requests per second, decayed as of updatedAt.
	demand float64
	// reportedDemand is the demand last reported to the other entries.
	reportedDemand float64
}

func newRateLimits() rateLimits {
	return rateLimits{byCustomer: map[string]*tokenBucket{}}
}

// take takes a token from the customer's bucket. If there is none, it returns the time
// until the next one.
func (r *rateLimits) take(now time.Time, req *Request, entries int) (wait time.Duration, ok bool) {
	if req.Rate <= 0 {
		return 0, true
	}
	b := r.byCustomer[req.Customer]
	if b == nil {
		b = &tokenBucket{updatedAt: now, tokens: 1}
		r.byCustomer[req.Customer] = b
	}
	perSecond := req.Rate * r.fraction(now, req.Customer, b, entries)
	elapsed := now.Sub(b.updatedAt).Seconds()
	b.updatedAt = now
	b.tokens = min(b.tokens+elapsed*perSecond, max(1, perSecond*burstDuration.Seconds()))
	b.demand *= math.Exp2(-elapsed / demandHalfLife.Seconds())
	b.demand += math.Ln2 / demandHalfLife.Seconds()
	if b.tokens < 1 {
		return time.Duration((1 - b.tokens) / perSecond * float64(time.Second)), false
	}
	b.tokens--
	return 0, true
}

// fraction returns the fraction of the customer's rate that this entry may use. It is
// computed from the demands that the entries reported to each other, so that the
// fractions of all entries add up to one.
func (r *rateLimits) fraction(now time.Time, customer string, b *tokenBucket, entries int) float64 {
	evenSplit := 1 / float64(entries)
	others, freshPeers := 0.0, 0
	for _, p := range r.peers {
		if now.Sub(p.reportedAt) <= maxPeerAge {
			others += p.demand[customer]
			freshPeers++
		}
	}
	if freshPeers < entries-1 || others+b.reportedDemand == 0 {
		return evenSplit
	}
	return evenFraction*evenSplit + (1-evenFraction)*b.reportedDemand/(b.reportedDemand+others)
}

// AppendDemand appends the demand of each customer with a rate limit, sorted by
// customer, for the report to the other entries.
func (c *Controller) AppendDemand(now time.Time, dst []CustomerDemand) []CustomerDemand {
	start := len(dst)
	for name, bucket := range c.rates.byCustomer {
		bucket.reportedDemand = bucket.demand * math.Exp2(-now.Sub(bucket.updatedAt).Seconds()/demandHalfLife.Seconds())
		dst = append(dst, CustomerDemand{name, bucket.reportedDemand})
	}
	slices.SortFunc(dst[start:], func(a, b CustomerDemand) int { return strings.Compare(a.Customer, b.Customer) })
	return dst
}

// SetPeerDemand records the demand reported by another entry.
func (c *Controller) SetPeerDemand(now time.Time, entry string, demand []CustomerDemand) {
	byCustomer := make(map[string]float64, len(demand))
	for _, d := range demand {
		byCustomer[d.Customer] = d.Demand
	}
	peers := slices.DeleteFunc(c.rates.peers, func(p peerDemand) bool {
		return p.entry == entry || now.Sub(p.reportedAt) > maxPeerAge
	})
	peers = append(peers, peerDemand{entry: entry, reportedAt: now, demand: byCustomer})
	slices.SortFunc(peers, func(a, b peerDemand) int { return strings.Compare(a.entry, b.entry) })
	c.rates.peers = peers
}
