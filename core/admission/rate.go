package admission

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// rateBurst is the time over which unused rate may be saved up.
	rateBurst = time.Second
	// demandHalf is the time after which a request counts half in the demand.
	demandHalf = 2 * time.Second
	// peerForgotten is the age after which a peer's use no longer counts.
	peerForgotten = 10 * time.Second
	// evenShare is the part of a rate that is split evenly whatever the use.
	evenShare = 0.2
)

// Use is the demand of one customer at one entry, in requests a second.
type Use struct {
	Customer string
	Demand   float64
}

// rates bounds the customers' requests a second over all entries: each entry
// takes the part of a rate that its own demand is of the entries' total.
type rates struct {
	byCustomer map[string]*rate
	// peers holds the other entries by name.
	peers []peer
}

type peer struct {
	entry string
	at    time.Time
	use   map[string]float64
}

type rate struct {
	tokens float64
	at     time.Time
	// demand is in requests a second, decayed as of at.
	demand float64
	// told is the demand that the other entries were told last.
	told float64
}

func newRates() rates {
	return rates{byCustomer: map[string]*rate{}}
}

// take takes a request from the customer's rate; otherwise it returns when one
// is left.
func (r *rates) take(now time.Time, a *Ask, entries int) (wait time.Duration, ok bool) {
	if a.Rate <= 0 {
		return 0, true
	}
	c := r.byCustomer[a.Customer]
	if c == nil {
		c = &rate{at: now, tokens: 1}
		r.byCustomer[a.Customer] = c
	}
	perSecond := a.Rate * r.part(now, a.Customer, c, entries)
	elapsed := now.Sub(c.at).Seconds()
	c.at = now
	c.tokens = min(c.tokens+elapsed*perSecond, max(1, perSecond*rateBurst.Seconds()))
	c.demand *= math.Exp2(-elapsed / demandHalf.Seconds())
	c.demand += math.Ln2 / demandHalf.Seconds()
	if c.tokens < 1 {
		return time.Duration((1 - c.tokens) / perSecond * float64(time.Second)), false
	}
	c.tokens--
	return 0, true
}

// part returns the part of a rate that this entry may use. It goes by what the
// entries told each other, so that the parts of all add up to one.
func (r *rates) part(now time.Time, customer string, c *rate, entries int) float64 {
	even := 1 / float64(entries)
	others, known := 0.0, 0
	for _, p := range r.peers {
		if now.Sub(p.at) <= peerForgotten {
			others += p.use[customer]
			known++
		}
	}
	if known < entries-1 || others+c.told == 0 {
		return even
	}
	return evenShare*even + (1-evenShare)*c.told/(c.told+others)
}

// AppendUse appends the demand of the customers with a rate, by name, for the
// other entries.
func (c *Controller) AppendUse(now time.Time, dst []Use) []Use {
	from := len(dst)
	for name, r := range c.rates.byCustomer {
		r.told = r.demand * math.Exp2(-now.Sub(r.at).Seconds()/demandHalf.Seconds())
		dst = append(dst, Use{name, r.told})
	}
	slices.SortFunc(dst[from:], func(a, b Use) int { return strings.Compare(a.Customer, b.Customer) })
	return dst
}

// SetPeerUse takes in the demand at another entry.
func (c *Controller) SetPeerUse(now time.Time, entry string, use []Use) {
	m := make(map[string]float64, len(use))
	for _, u := range use {
		m[u.Customer] = u.Demand
	}
	peers := slices.DeleteFunc(c.rates.peers, func(p peer) bool {
		return p.entry == entry || now.Sub(p.at) > peerForgotten
	})
	peers = append(peers, peer{entry: entry, at: now, use: m})
	slices.SortFunc(peers, func(a, b peer) int { return strings.Compare(a.entry, b.entry) })
	c.rates.peers = peers
}
