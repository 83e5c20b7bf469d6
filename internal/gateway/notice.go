package gateway

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/cooldown"
	"github.com/magnoliawheel/magnoliawheel/core/jitter"
	"github.com/magnoliawheel/magnoliawheel/core/placement"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
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
// or that it wants no requests for some time.
func (g *Gateway) handleNotices(req *request, srv placement.Server, info platform.ServerResponse) {
	if info.Leaving {
		g.ReportLeaving(srv.ID, srv.StartTime)
	}
	if info.Limit != nil {
		req.log.Info("Server names a limit.", "server", srv.ID, "limit", *info.Limit)
		g.metrics.limits.Inc(1)
	}
	if info.RetryAfter <= 0 {
		return
	}
	req.log.Info("Server wants no requests for a time.", "server", srv.ID, "retry_after", info.RetryAfter)
	g.metrics.cooldowns.Inc(1)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cooldowns.Start(clock.Now(), cooldown.Server{ID: srv.ID, StartTime: srv.StartTime}, info.RetryAfter)
}

// ReportLeaving handles the word of a server that it is leaving: this entry sends it
// nothing more, and the entry that places requests is told at once.
func (g *Gateway) ReportLeaving(id string, startTime int64) {
	if !g.Servers.MarkLeaving(id, startTime) {
		return
	}
	g.metrics.serversLeaving.Inc(1)
	if p := g.Links.PlanningPeer(); p != nil {
		p.ReportLeaving(id, startTime)
	}
}

// isCoolingDown reports whether a server wants no requests now.
func (g *Gateway) isCoolingDown(srv placement.Server) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cooldowns.Active(clock.Now(), cooldown.Server{ID: srv.ID, StartTime: srv.StartTime})
}

// coolingDown returns the IDs of the servers of a service that want no requests now. If
// that is all of them, it also returns the time until the first may be called again.
func (g *Gateway) coolingDown(service string) ([]string, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cooldowns.Empty() {
		return nil, 0
	}
	now := clock.Now()
	var ids []string
	var servers []cooldown.Server
	for _, s := range g.Servers.Usable(service) {
		start := cooldown.Server{ID: s.ID, StartTime: s.StartTime}
		servers = append(servers, start)
		if g.cooldowns.Active(now, start) {
			ids = append(ids, s.ID)
		}
	}
	return ids, g.cooldowns.Remaining(now, servers)
}

// cooldownRetryAfter returns the Retry-After time of a request whose servers may be called
// again after the given time. It varies with the ID, so that clients do not return at the
// same moment.
func cooldownRetryAfter(requestID string, remaining time.Duration) time.Duration {
	spread := max(minCooldownSpread, time.Duration(cooldownSpreadShare*float64(remaining)))
	return remaining + time.Duration(jitter.Fraction(requestID)*float64(spread))
}
