package planner

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/loadreport"
	"github.com/magnoliawheel/magnoliawheel/core/notice"
	"github.com/magnoliawheel/magnoliawheel/core/staging"
)

// LearnLoad handles what a stage server said about its load in a response to anything but a
// call.
func (p *Planner) LearnLoad(server staging.Server, load loadreport.Report) {
	p.update(func(now time.Duration) { p.scheduler.ObserveLoad(now, server, load) })
}

// LearnNotice handles what a server said about itself to this entry or another one.
func (p *Planner) LearnNotice(n notice.Notice) {
	p.update(func(now time.Duration) { p.notices.Learn(now, n) })
}

// checkLimits returns LimitReached if all servers for a request have got as many as they
// take now, else 0. The caller holds the lock.
func (p *Planner) checkLimits(now time.Duration, pr *pendingRequest) staging.RefusalReason {
	if pr.retryAfter = p.modelServers.LimitWait(now, pr.placementRequest()); pr.retryAfter > 0 {
		return LimitReached
	}
	return 0
}
