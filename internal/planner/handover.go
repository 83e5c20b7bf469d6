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

// HandOver hands over all requests.
func (p *Planner) HandOver() {
	p.update(func(time.Duration) { p.handOver(func(*pendingRequest) bool { return true }) })
}

// handOverAge is how long requests of other entries are kept although an entry before this
// one can place them: the others may have found that one slow or lost a moment before.
const handOverAge = time.Second

// HandOverToPredecessor hands over the requests of this entry, and those of others that are
// older than handOverAge, to an entry that comes before this one.
func (p *Planner) HandOverToPredecessor() {
	p.update(func(now time.Duration) {
		p.handOver(func(pr *pendingRequest) bool { return pr.callbacks.Local || now-pr.receivedAt >= handOverAge })
	})
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
