package admission

import "time"

// outageFor is how long calls are refused after a server could not do its part;
// the first call after that finds out whether it can again.
const outageFor = time.Second

// Outages remembers which servers lately could not record claims of idempotency
// keys. Calls that would end there are refused before any stage has run. It is
// not safe for concurrent use.
type Outages struct {
	until map[string]time.Time
}

// Failed records that a server could not record a claim.
func (o *Outages) Failed(now time.Time, server string) {
	if o.until == nil {
		o.until = map[string]time.Time{}
	}
	o.until[server] = now.Add(outageFor)
}

// Refuse tells whether a call that ends at the server is refused now, and when
// coming back helps.
func (o *Outages) Refuse(now time.Time, server string) (retryAfter time.Duration, refuse bool) {
	until, known := o.until[server]
	if !known {
		return 0, false
	}
	if !now.Before(until) {
		delete(o.until, server)
		return 0, false
	}
	return until.Sub(now), true
}
