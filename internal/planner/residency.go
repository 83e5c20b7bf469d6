package planner

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/notice"
	"github.com/magnoliawheel/magnoliawheel/core/staging"
)

// residencyRetryAfter is the Retry-After time of a request without a server in its allowed
// regions. A server there may return.
const residencyRetryAfter = time.Second

// checkResidency returns OutsideResidency if no model server is in a region that the request
// permits, else 0. The scheduler checks the servers of the stages. The caller holds the lock.
func (p *Planner) checkResidency(pr *pendingRequest) staging.RefusalReason {
	if p.modelServers.OutsideResidency(pr.placementRequest()) {
		pr.retryAfter = residencyRetryAfter
		return staging.OutsideResidency
	}
	return 0
}

// SetColdShare sets this entry's part of the limits of cold servers.
func (p *Planner) SetColdShare(share notice.ColdShare) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notices.SetColdShare(share)
}

// markCold limits the requests to the cold servers of a pool. The caller holds the lock.
func (p *Planner) markCold(now time.Duration, pool *Pool) {
	for server, until := range pool.ColdUntil {
		if p.notices.MarkCold(now, server, until, pool.ColdLimit) {
			p.log.Info("Server is presumed to be cold.", "pool", pool.Name, "server", server.ID, "for", until-now, "limit", pool.ColdLimit.PerSecond)
		}
	}
}

// ColdServers returns the number of servers that are presumed to be cold.
func (p *Planner) ColdServers(now time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notices.ColdCount(now)
}
