package notice

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/delegation"
)

// ColdLimit bounds the requests that a cold server of a service gets from all instances
// together: in any second at most PerSecond * Overage + Slack.
type ColdLimit struct {
	// PerSecond is the rate that a cold server tolerates; 0 means no limit.
	PerSecond      float64
	Overage, Slack float64
	// ColdStart is how long a server is cold after its start.
	ColdStart time.Duration
}

// Enabled reports whether cold servers are limited.
func (l ColdLimit) Enabled() bool { return l.PerSecond > 0 }

// maxInOneSecond is the number of requests that may arrive in any second.
func (l ColdLimit) maxInOneSecond() float64 { return l.PerSecond*max(l.Overage, 1) + l.Slack }

// grantWindow is the longest time between the grants of requests that are sent within one
// second.
const grantWindow = time.Second + delegation.GrantValidity

// rate returns the requests per second that all instances together may grant. It leaves at
// least one request for the reserve of an instance.
func (l ColdLimit) rate() float64 {
	return max(0, min(l.PerSecond, (l.maxInOneSecond()-1)/grantWindow.Seconds()))
}

// Holders returns the number of instances that may send requests at the same time. Each of
// them may hold one request in reserve beyond the rate.
func (l ColdLimit) Holders() int {
	return max(1, int(l.maxInOneSecond()-l.rate()*grantWindow.Seconds()))
}

// ColdShare returns the part of the limit of a cold server that this instance may use now:
// 0, or at least one part in holders.
type ColdShare func(now time.Duration, s Server, holders int) float64

// coldServer is a server that is presumed to be cold. It begins without a token, since
// another instance may have sent a request just before.
type coldServer struct {
	limit ColdLimit
	until time.Duration
	rate  rate
}

// SetColdShare sets this instance's part of the limits of cold servers; without it, cold
// servers get no requests.
func (t *Table) SetColdShare(share ColdShare) { t.coldShare = share }

// MarkCold records that a server is presumed to be cold until the given time. It reports
// whether that is new.
func (t *Table) MarkCold(now time.Duration, s Server, until time.Duration, limit ColdLimit) bool {
	if !limit.Enabled() || until <= now {
		return false
	}
	for other, c := range t.cold {
		if now >= c.until {
			delete(t.cold, other)
		}
	}
	if c := t.cold[s]; c != nil {
		c.until, c.limit = max(c.until, until), limit
		return false
	}
	t.cold[s] = &coldServer{limit: limit, until: until, rate: rate{updatedAt: now}}
	return true
}

// IsCold reports whether a server is presumed to be cold.
func (t *Table) IsCold(now time.Duration, s Server) bool {
	c := t.cold[s]
	return c != nil && now < c.until
}

// ColdCount returns the number of servers that are presumed to be cold.
func (t *Table) ColdCount(now time.Duration) int {
	n := 0
	for s := range t.cold {
		if t.IsCold(now, s) {
			n++
		}
	}
	return n
}

// coldRate returns the rate to which this instance keeps for a cold server, or nil if the
// server is not cold.
func (t *Table) coldRate(now time.Duration, s Server) *rate {
	if !t.IsCold(now, s) {
		return nil
	}
	c := t.cold[s]
	c.rate.refillUpTo(now, 1)
	c.rate.perSecond = 0
	if t.coldShare != nil {
		c.rate.perSecond = c.limit.rate() * t.coldShare(now, s, c.limit.Holders())
	}
	if c.rate.perSecond == 0 {
		// A reserve from the time before would add to those of the instances that have a share.
		c.rate.tokens = 0
	}
	return &c.rate
}

// coldWait returns the time until a server may get a request although it is cold.
func (t *Table) coldWait(now time.Duration, s Server) time.Duration {
	r := t.coldRate(now, s)
	if r == nil || r.tokens >= 1-roundingError {
		return 0
	}
	left := t.cold[s].until - now
	if r.perSecond <= 0 {
		return left
	}
	// The rate may be so low that only the lesser of the two is a valid duration.
	return time.Duration(min(float64(left), (1-r.tokens)/r.perSecond*float64(time.Second)))
}
