package gateway

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/notice"
	"github.com/magnoliawheel/magnoliawheel/core/routes"
	"github.com/magnoliawheel/magnoliawheel/core/staging"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/planner"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

// UpdatePools passes the usable servers to the planner. It is called after each change
// of the configuration or of the servers. Concurrent calls are serialized, so that an
// older list never replaces a newer one.
func (g *Gateway) UpdatePools() {
	g.poolsMu.Lock()
	defer g.poolsMu.Unlock()
	complete := g.Config.Table() != nil && g.Servers.Loaded() && g.PatternsTried()
	g.Planner.SetPools(g.pools())
	g.configChanges.publish(g.Config.Table())
	g.markColdPlainServers()
	g.metrics.serversCold.Update(float64(g.Planner.ColdServers(clock.Now()) + g.coldPlainServers()))
	g.metrics.zonesEvacuated.Update(float64(g.Servers.EvacuatedZones()))
	if complete {
		g.initialized.Store(true)
	}
}

// pools returns the usable servers by service of the current configuration.
func (g *Gateway) pools() []planner.Pool {
	t := g.Config.Table()
	if t == nil {
		return nil
	}
	var all []planner.Pool
	for _, svc := range t.Services() {
		pool := g.plannerPool(svc, g.Servers.Usable(svc.Name))
		pool.HasResumableStreams = t.ServesResumableStreams(svc.Name)
		all = append(all, pool)
	}
	return all
}

// coldLimit returns the limit of a service's cold servers.
func (g *Gateway) coldLimit(svc *routes.Service) notice.ColdLimit {
	limit := svc.Cold
	limit.Overage, limit.Slack = g.Settings.ColdBound.Overage, g.Settings.ColdBound.Slack
	return limit
}

// coldUntil returns the times until which the servers of a service are presumed to be cold;
// nil if cold servers are not limited.
func (g *Gateway) coldUntil(svc *routes.Service, servers []platform.Server) map[notice.Server]time.Duration {
	if !svc.Cold.Enabled() {
		return nil
	}
	until := make(map[notice.Server]time.Duration, len(servers))
	for _, s := range servers {
		until[notice.Server{ID: s.ID, StartTime: s.StartTime}] = g.Servers.ColdUntil(s.ID, svc.Cold.ColdStart)
	}
	return until
}

// coldPlainServers returns the number of plain servers that are presumed to be cold.
func (g *Gateway) coldPlainServers() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.notices.ColdCount(clock.Now())
}

// markColdPlainServers limits the requests that this entry sends to cold servers of services
// that each entry calls on its own.
func (g *Gateway) markColdPlainServers() {
	t := g.Config.Table()
	if t == nil {
		return
	}
	now := clock.Now()
	for _, svc := range t.Services() {
		if svc.Model != nil || svc.Batch != nil || !svc.Cold.Enabled() {
			continue
		}
		until := g.coldUntil(svc, g.Servers.Usable(svc.Name))
		g.mu.Lock()
		for s, end := range until {
			g.notices.MarkCold(now, s, end, g.coldLimit(svc))
		}
		g.mu.Unlock()
	}
}

func (g *Gateway) plannerPool(svc *routes.Service, servers []platform.Server) planner.Pool {
	p := planner.Pool{Name: svc.Name, ColdLimit: g.coldLimit(svc), ColdUntil: g.coldUntil(svc, servers)}
	if svc.Batch != nil {
		p.StageSpec = poolSpec(svc.Batch)
		for _, s := range servers {
			p.StageServers = append(p.StageServers, staging.Server{ID: s.ID, Address: s.Address, Zone: s.Zone, Region: g.Settings.Regions[s.Zone], StartTime: s.StartTime})
		}
		return p
	}
	p.ModelServers = placementServers(servers)
	if svc.Model == nil {
		return p
	}
	for i := range p.ModelServers {
		p.ModelServers[i].Slots, p.ModelServers[i].CacheTokens = svc.Model.Slots, svc.Model.CacheTokens
	}
	return p
}

func poolSpec(b *routes.BatchServers) *staging.PoolSpec {
	return &staging.PoolSpec{
		Slots: b.Slots, BatchSize: b.MaxPieces, CallOverhead: b.CallOverhead, TimePerPiece: b.TimePerPiece, MemoryBytes: b.MemoryBytes, ResultRetention: b.ResultRetention,
	}
}
