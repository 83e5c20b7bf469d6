package gateway

import (
	"github.com/magnoliawheel/magnoliawheel/core/routes"
	"github.com/magnoliawheel/magnoliawheel/core/staging"
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
		all = append(all, plannerPool(svc, g.Servers.Usable(svc.Name)))
	}
	return all
}

func plannerPool(svc *routes.Service, servers []platform.Server) planner.Pool {
	p := planner.Pool{Name: svc.Name}
	if svc.Batch != nil {
		p.StageSpec = poolSpec(svc.Batch)
		for _, s := range servers {
			p.StageServers = append(p.StageServers, staging.Server{ID: s.ID, Address: s.Address, Zone: s.Zone, StartTime: s.StartTime})
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
