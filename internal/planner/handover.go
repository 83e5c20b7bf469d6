package planner

import "time"

// Stop hands over the requests of other entries. Those of this entry continue, since it
// may know of no entry that comes after it.
func (p *Planner) Stop() {
	p.update(func(time.Duration) {
		p.stopping = true
		p.handOver(func(pr *pendingRequest) bool { return !pr.callbacks.Local })
	})
}

// HandOver hands over all requests, to an entry that comes before this one.
func (p *Planner) HandOver() {
	p.update(func(time.Duration) { p.handOver(func(*pendingRequest) bool { return true }) })
}

// handOver starts no more calls for the selected requests. Each is answered with
// HandedOver once it has no open call.
func (p *Planner) handOver(selects func(*pendingRequest) bool) {
	for id, pr := range p.pending {
		if !pr.handingOver && selects(pr) {
			p.markHandingOver(pr)
			p.scheduler.SuspendJob(id)
		}
	}
}

// finishHandOvers answers the requests to hand over that have no open call.
func (p *Planner) finishHandOvers(reply func(*pendingRequest, Placement)) {
	if p.handingOver == 0 {
		return
	}
	for id, pr := range p.pending {
		if pr.handingOver && !p.scheduler.HasOpenCall(id) {
			p.scheduler.DetachJob(id)
			reply(pr, Placement{ID: id, RefusalReason: HandedOver})
		}
	}
}

// markHandingOver marks a pending request to be handed over.
func (p *Planner) markHandingOver(pr *pendingRequest) {
	pr.handingOver = true
	p.handingOver++
}
