package routing

import "time"

// State is what the router makes of a server.
type State string

// The states.
const (
	StateUsable    State = "usable"
	StateLeaving   State = "leaving"
	StateSilent    State = "silent"
	StateEjected   State = "ejected"
	StateReturning State = "returning"
	// StateUnheard servers have not reported their load to this entry.
	StateUnheard State = "unheard"
)

// Status describes one server as the router sees it.
type Status struct {
	Server
	State State
	// Why gives the reason of a state other than usable.
	Why  string
	Load Load
	// Age is the time since the load came in; 0 if none did.
	Age time.Duration
	// InFlight is the number of attempts from this entry.
	InFlight int
	// Failing is the smoothed share of failed attempts.
	Failing float64
}

// Status appends the servers of the pool to dst, in the order of SetServers.
func (r *Router) Status(now time.Time, dst []Status) []Status {
	for _, st := range r.all {
		s := Status{Server: st.Server, Load: st.load, InFlight: len(st.starts), Failing: st.failingNow(now)}
		if !st.reported.IsZero() {
			s.Age = now.Sub(st.reported)
		}
		s.State, s.Why = st.state(now)
		dst = append(dst, s)
	}
	return dst
}

func (st *server) state(now time.Time) (State, string) {
	switch {
	case st.Leaving:
		return StateLeaving, "the instance list or the agent says so"
	case st.load.Leaving:
		return StateLeaving, "its agent refused or reported so"
	case st.ejected(now):
		return StateEjected, "it failed more often than its pool, for " + st.until.Sub(now).Round(time.Millisecond).String() + " more"
	case st.silent:
		return StateSilent, "it stopped answering"
	case st.unanswered >= probesUnanswered:
		return StateSilent, "it does not answer probes"
	case st.reported.IsZero():
		return StateUnheard, "no load came in yet"
	case !st.returned.IsZero() && now.Sub(st.returned) < slowStart:
		return StateReturning, "it takes up its share slowly after an ejection or silence"
	}
	return StateUsable, ""
}
