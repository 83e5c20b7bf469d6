// Package delegation divides a budget that all instances share, without a counter that they
// share. Each instance owns an equal part and delegates it to the instance that places its
// requests. An instance that places requests spends its own part and those delegated to it.
//
// Invariant: a part is spent by at most one instance at a time, whatever messages are lost
// or delayed. An instance delegates its part, or spends it itself, only HandoffTime after it
// last had another instance place its requests; by then what that instance knows of the
// delegation, and the grants that it made, have expired. Only durations are compared, each
// on one clock, so the clocks of instances may differ. The package does no I/O.
package delegation

import "time"

const (
	// HandoffTime is how long an instance must have had the same instance place its requests
	// before that one may spend its part.
	HandoffTime = 1250 * time.Millisecond
	// reportValidity is how long after it was sent a report of a delegation counts. It covers
	// two lost reports in a row, and with GrantValidity must be well below HandoffTime.
	reportValidity = 750 * time.Millisecond
	// GrantValidity is how long after its grant a request may still be sent.
	GrantValidity = 250 * time.Millisecond
)

// Tracker tracks the parts of a budget that an instance may spend. It is not safe for
// concurrent use.
type Tracker struct {
	// target is the name of the instance that places the requests of this one, "" for this
	// one itself, since the time since.
	target string
	since  time.Duration
	// delegatedUntil maps instances to the time until which their parts may be spent here.
	delegatedUntil map[string]time.Duration
	// instances is the number of parts; 0 if it is not known.
	instances int
}

// New returns the tracker of an instance that starts at the given time and places its own
// requests.
func New(now time.Duration) *Tracker {
	return &Tracker{since: now, delegatedUntil: map[string]time.Duration{}}
}

// SetInstances sets the number of instances, including this one.
func (t *Tracker) SetInstances(n int) { t.instances = n }

// Follow records which instance places the requests of this one from now on; "" means that
// it does so itself.
func (t *Tracker) Follow(now time.Duration, target string) {
	if t.target != target {
		t.target, t.since = target, now
	}
}

// DelegatesTo reports whether the part of this instance is delegated to another one now. It
// is told to that one regularly.
func (t *Tracker) DelegatesTo(now time.Duration, target string) bool {
	return target != "" && t.target == target && now-t.since >= HandoffTime
}

// Reported handles a report of another instance, sent at sentAt by the clock of this one,
// whether its part is delegated to this one.
func (t *Tracker) Reported(sentAt time.Duration, name string, delegates bool) {
	if !delegates {
		delete(t.delegatedUntil, name)
		return
	}
	t.delegatedUntil[name] = max(t.delegatedUntil[name], sentAt+reportValidity)
}

// Share returns the fraction of the budget that this instance may spend now. At most holders
// instances may spend some of it at the same time, each at least one part in holders; a
// smaller share is 0.
func (t *Tracker) Share(now time.Duration, holders int) float64 {
	parts := 0
	if t.target == "" && now-t.since >= HandoffTime {
		parts++
	}
	for name, until := range t.delegatedUntil {
		if now >= until {
			delete(t.delegatedUntil, name)
			continue
		}
		parts++
	}
	if t.instances == 0 || parts*holders < t.instances {
		return 0
	}
	return min(1, float64(parts)/float64(t.instances))
}
