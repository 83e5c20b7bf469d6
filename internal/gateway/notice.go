package gateway

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/jitter"
	"github.com/magnoliawheel/magnoliawheel/core/notice"
	"github.com/magnoliawheel/magnoliawheel/core/placement"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/peer"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

const (
	// cooldownSpreadShare is the fraction of the time until a server may be called again
	// over which the retries of refused clients are distributed, and minCooldownSpread the
	// shortest time for that.
	cooldownSpreadShare = 0.25
	minCooldownSpread   = 100 * time.Millisecond
)

// handleNotices handles what a response says about the server itself: that it is leaving,
// how many requests a second it takes, or that it wants none from this entry for some time.
func (g *Gateway) handleNotices(req *request, srv placement.Server, sentAt time.Duration, info platform.ServerResponse) {
	server := srv.Start()
	if info.Limit != nil {
		req.log.Info("Server names a limit.", "server", srv.ID, "limit", *info.Limit)
		g.metrics.limits.Inc(1)
	}
	if info.RetryAfter > 0 {
		req.log.Info("Server wants no requests for a time.", "server", srv.ID, "retry_after", info.RetryAfter)
	}
	g.recordNotices(server, sentAt, info, info.Signed)
}

// recordNotices records what a response to a request that was sent at sentAt says about its
// server. mayEndLimit is as in ObserveNotice.
func (g *Gateway) recordNotices(server notice.Server, sentAt time.Duration, info platform.ServerResponse, mayEndLimit bool) {
	g.ObserveNotice(sentAt, notice.Notice{Server: server, Leaving: info.Leaving, Limit: info.Limit}, mayEndLimit)
	if info.RetryAfter <= 0 {
		return
	}
	g.metrics.cooldowns.Inc(1)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pauses.Start(clock.Now(), server, info.RetryAfter)
}

// ObserveNotice handles what a server said about itself in its response to a request that
// was sent at sentAt. mayEndLimit is true for a response that would name the limit if there
// were one.
func (g *Gateway) ObserveNotice(sentAt time.Duration, n notice.Notice, mayEndLimit bool) {
	if !n.Leaving && n.Limit == nil && !mayEndLimit {
		return
	}
	g.mu.Lock()
	isNews := g.notices.Observe(clock.Now(), sentAt, n)
	g.mu.Unlock()
	if isNews {
		g.applyNotice(n)
		g.Links.TellNotices([]notice.Notice{n}, nil)
	}
}

// LearnNotices handles what servers said to another entry.
func (g *Gateway) LearnNotices(from *peer.Peer, notices []notice.Notice) {
	var news []notice.Notice
	g.mu.Lock()
	for _, n := range notices {
		if g.notices.Learn(clock.Now(), n) {
			news = append(news, n)
		}
	}
	g.mu.Unlock()
	for _, n := range news {
		g.applyNotice(n)
	}
	if len(news) > 0 && g.Links.PlanningPeer() == nil {
		g.Links.TellNotices(news, from)
	}
}

// applyNotice makes this entry act on a notice.
func (g *Gateway) applyNotice(n notice.Notice) {
	g.Planner.LearnNotice(n)
	if n.Leaving && g.Servers.MarkLeaving(n.ID, n.StartTime) {
		g.metrics.serversLeaving.Inc(1)
	}
}

// Notices returns what servers said about themselves.
func (g *Gateway) Notices() []notice.Notice {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.notices.All(clock.Now())
}

// limitWait returns the time until one of a service's servers may get a request of this
// entry within its limit; 0 if one may get it now or there are none.
func (g *Gateway) limitWait(req *request, avoid []string) time.Duration {
	allowed := g.residency(req)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.plainServers.LimitWait(clock.Now(), placement.Request{Pool: req.service, Avoid: avoid, Residency: allowed})
}

// isCoolingDown reports whether a server wants no requests now.
func (g *Gateway) isCoolingDown(srv placement.Server) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pauses.Active(clock.Now(), srv.Start())
}

// coolingDown returns the IDs of the servers of a service that want no requests now. If
// that is all of them, it also returns the time until the first may be called again.
func (g *Gateway) coolingDown(service string) ([]string, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pauses.Empty() {
		return nil, 0
	}
	now := clock.Now()
	var ids []string
	var servers []notice.Server
	for _, s := range g.Servers.Usable(service) {
		start := notice.Server{ID: s.ID, StartTime: s.StartTime}
		servers = append(servers, start)
		if g.pauses.Active(now, start) {
			ids = append(ids, s.ID)
		}
	}
	return ids, g.pauses.Remaining(now, servers)
}

// cooldownRetryAfter returns the Retry-After time of a request whose servers may be called
// again after the given time. It varies with the ID, so that clients do not return at the
// same moment.
func cooldownRetryAfter(requestID string, remaining time.Duration) time.Duration {
	spread := max(minCooldownSpread, time.Duration(cooldownSpreadShare*float64(remaining)))
	return remaining + time.Duration(jitter.Fraction(requestID)*float64(spread))
}
