package gateway

import (
	"sync"

	"github.com/magnoliawheel/magnoliawheel/internal/clock"
)

// requestPhase is what an accepted request waits for.
type requestPhase uint32

const (
	// phasePlacement waits for a server, or has just been accepted.
	phasePlacement requestPhase = iota
	// phaseServer waits for the response of a server, or relays it.
	phaseServer
	// phaseDelivery waits for the client to read the rest of the response.
	phaseDelivery
)

// String implements fmt.Stringer.
func (p requestPhase) String() string {
	switch p {
	case phasePlacement:
		return "placement"
	case phaseServer:
		return "server"
	case phaseDelivery:
		return "delivery"
	}
	return "unknown"
}

func (r *request) setPhase(p requestPhase) { r.phase.Store(uint32(p)) }

// maxUnansweredLogged bounds the log lines about requests that the process leaves unanswered.
const maxUnansweredLogged = 50

// unansweredRequests is a set of requests. The zero value is empty. It is safe for concurrent
// use.
type unansweredRequests struct {
	mu       sync.Mutex
	requests map[*request]struct{}
}

func (u *unansweredRequests) add(r *request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.requests == nil {
		u.requests = map[*request]struct{}{}
	}
	u.requests[r] = struct{}{}
}

func (u *unansweredRequests) remove(r *request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.requests, r)
}

// LogUnanswered logs the requests that the end of the process leaves without an answer, up to
// maxUnansweredLogged of them.
func (g *Gateway) LogUnanswered() {
	g.unanswered.mu.Lock()
	defer g.unanswered.mu.Unlock()
	left := maxUnansweredLogged
	for r := range g.unanswered.requests {
		if left == 0 {
			return
		}
		left--
		r.log.Info("Process ends before the request is answered.", "phase", requestPhase(r.phase.Load()).String(), "route", r.routeName(), "held", clock.Now()-r.arrivedAt)
	}
}
