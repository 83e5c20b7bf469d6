package admission

import "time"

// outageDuration is how long calls are refused after a server failed to record a
// claim. The first call after that tests whether the server has recovered.
const outageDuration = time.Second

// Outages tracks the servers that recently could not record claims on idempotency
// keys. Calls that need such a claim there are refused before any stage runs. It is
// not safe for concurrent use.
type Outages struct {
	refuseUntil map[string]time.Time
}

// RecordFailure records that a server could not record a claim.
func (o *Outages) RecordFailure(now time.Time, server string) {
	if o.refuseUntil == nil {
		o.refuseUntil = map[string]time.Time{}
	}
	o.refuseUntil[server] = now.Add(outageDuration)
}

// ShouldRefuse reports whether a call that needs a claim at the server must be refused,
// and after what time the caller may retry.
func (o *Outages) ShouldRefuse(now time.Time, server string) (retryAfter time.Duration, refuse bool) {
	until, ok := o.refuseUntil[server]
	if !ok {
		return 0, false
	}
	if !now.Before(until) {
		delete(o.refuseUntil, server)
		return 0, false
	}
	return until.Sub(now), true
}
