package routing

import "time"

// State is the router's assessment of a server.
type State string

// The server states. Their values appear in the admin API.
const (
	StateUsable       State = "usable"
	StateLeaving      State = "leaving"
	StateUnresponsive State = "silent"
	StateEjected      State = "ejected"
	StateReturning    State = "returning"
	// StateNoReport means that the server has not reported its load to this entry.
	StateNoReport State = "unheard"
)

// Status describes the router's view of one server.
type Status struct {
	Server
	State State
	// Reason explains any state other than StateUsable.
	Reason string
	Load   Load
	// LoadAge is the time since the last load report; 0 if there is none.
	LoadAge time.Duration
	// InFlight is the number of this entry's attempts in flight.
	InFlight int
	// FailureRate is the smoothed share of failed attempts.
	FailureRate float64
}

// Status appends the status of each server of the pool to dst, sorted by tier and
// rank.
func (r *Router) Status(now time.Time, dst []Status) []Status {
	for _, st := range r.servers {
		s := Status{Server: st.Server, Load: st.load, InFlight: len(st.attemptStarts), FailureRate: st.currentFailureRate(now)}
		if !st.reportedAt.IsZero() {
			s.LoadAge = now.Sub(st.reportedAt)
		}
		s.State, s.Reason = st.state(now)
		dst = append(dst, s)
	}
	return dst
}

func (st *server) state(now time.Time) (State, string) {
	switch {
	case st.Leaving:
		return StateLeaving, "it is marked as leaving in the instance list or by its agent"
	case st.load.Leaving:
		return StateLeaving, "its agent refused an attempt or reported that it is leaving"
	case st.isEjected(now):
		return StateEjected, "it failed more often than the rest of its pool and stays ejected for " + st.ejectedUntil.Sub(now).Round(time.Millisecond).String() + " more"
	case st.unresponsive:
		return StateUnresponsive, "it stopped responding"
	case st.unansweredProbes >= unansweredProbesThreshold:
		return StateUnresponsive, "it does not answer probes"
	case st.reportedAt.IsZero():
		return StateNoReport, "no load report received yet"
	case !st.returnedAt.IsZero() && now.Sub(st.returnedAt) < slowStartPeriod:
		return StateReturning, "its traffic is ramping up after an ejection or unresponsiveness"
	}
	return StateUsable, ""
}
