package notice

import (
	"maps"
	"time"
)

// Pauses holds the servers that asked an instance not to send them requests for some time.
// It is not safe for concurrent use.
type Pauses struct {
	ends map[Server]time.Duration
}

// NewPauses returns an empty table.
func NewPauses() *Pauses { return &Pauses{ends: map[Server]time.Duration{}} }

// Start records that a server asked for no requests for the given time. A time that ends
// before the one known changes nothing.
func (t *Pauses) Start(now time.Duration, s Server, d time.Duration) {
	maps.DeleteFunc(t.ends, func(_ Server, end time.Duration) bool { return end <= now })
	t.ends[s] = max(t.ends[s], now+d)
}

// Empty reports whether no server was ever recorded, or all have been dropped.
func (t *Pauses) Empty() bool { return len(t.ends) == 0 }

// Active reports whether a server must not be called now.
func (t *Pauses) Active(now time.Duration, s Server) bool { return now < t.ends[s] }

// Remaining returns the time until the first of the servers may be called; 0 if one may
// be called now or there are none.
func (t *Pauses) Remaining(now time.Duration, servers []Server) time.Duration {
	remaining := time.Duration(0)
	for i, s := range servers {
		left := max(0, t.ends[s]-now)
		if i == 0 || left < remaining {
			remaining = left
		}
	}
	return remaining
}
