package peer

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/internal/planner"
)

const (
	// takeBackDelay is the time that an entry which yields has to hand over the requests of
	// others. It is slow, so it may not get to them.
	takeBackDelay = 300 * time.Millisecond
	// takenBackRetention is how long the other entry keeps the results of requests that were
	// taken back. The entry that places them now uses these.
	takenBackRetention = 2 * time.Second
)

// takeBack has all requests that the other entry has not answered placed by another one,
// unless it has stopped yielding.
func (p *Peer) takeBack() {
	p.mu.Lock()
	if !p.yielding || p.ended {
		p.mu.Unlock()
		return
	}
	outgoing := p.outgoing
	p.outgoing = map[string]*outgoingRequest{}
	p.mu.Unlock()
	if len(outgoing) == 0 {
		return
	}
	p.log.Info("Requests are taken back from an entry that yields.", "entry", p.Owner(), "requests", len(outgoing))
	for _, out := range outgoing {
		out.onReply(planner.Placement{}, false)
	}
	time.AfterFunc(takenBackRetention, func() {
		for id := range outgoing {
			p.ReportProgress(id, planner.Progress{Phase: planner.Cancelled})
		}
	})
}
