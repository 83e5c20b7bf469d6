package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/membership"
	"github.com/magnoliawheel/magnoliawheel/core/routing"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

// probeInterval is the time between two rounds of load probes.
const probeInterval = 250 * time.Millisecond

// maxProbes bounds the probes of one round.
const maxProbes = 64

// errReplaced means that another instance answered at an agent's address.
var errReplaced = errors.New("entry: another instance answered at the address")

// agents keeps what each agent last said of its identity and its models.
type agents struct {
	p *Process

	mu     sync.Mutex
	byID   map[string]uint64
	models map[string]modelList
}

// modelList is the list of models at a server; agents send it only to those that
// do not have its version.
type modelList struct {
	version uint64
	names   []string
}

func newAgents(p *Process) *agents {
	return &agents{p: p, byID: map[string]uint64{}, models: map[string]modelList{}}
}

// incarnation returns the incarnation of an agent, asking it if it is not known.
func (a *agents) incarnation(ctx context.Context, pool, id, addr string) (uint64, error) {
	a.mu.Lock()
	inc := a.byID[id]
	a.mu.Unlock()
	if inc != 0 {
		return inc, nil
	}
	return a.ask(ctx, pool, id, addr)
}

// ask probes an agent for its load and incarnation.
func (a *agents) ask(ctx context.Context, pool, id, addr string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, rpc.SilenceTimeout)
	defer cancel()
	client := wire.NewDRPCAgentClient(a.p.pool.Conn(ctx, addr))
	reply, err := client.Probe(ctx, &wire.ProbeRequest{ConfigOffset: a.p.source.Current().Offset, ModelsVersion: a.modelsOf(id).version})
	if err != nil {
		a.p.pool.CloseIdle(addr)
		return 0, err
	}
	if reply.GetLoad().GetInstance() != id {
		return 0, errReplaced
	}
	a.saw(pool, id, addr, reply.Load)
	return reply.Load.Incarnation, nil
}

// saw takes in what an agent says of itself.
func (a *agents) saw(pool, id, addr string, l *wire.Load) {
	if l == nil || l.Instance != id {
		return
	}
	if l.Incarnation != 0 {
		a.mu.Lock()
		a.byID[id] = l.Incarnation
		a.mu.Unlock()
		a.p.view.Seen(id, l.Incarnation)
	}
	a.p.source.ObserveOffset(addr, l.ConfigOffset)
	if l.Leaving {
		a.p.view.Leaving(id, l.Incarnation)
	}
	a.p.decider.observe(time.Now(), pool, id, routing.Load{
		Running: int(l.Running), Queued: int(l.Queued), Limit: int(l.Limit),
		QueueWait:   time.Duration(l.WaitUs) * time.Microsecond,
		ServiceTime: time.Duration(l.ServiceUs) * time.Microsecond,
		Leaving:     l.Leaving, Models: a.learnModels(id, l),
	})
}

func (a *agents) modelsOf(id string) modelList {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.models[id]
}

// learnModels returns the models at a server as far as they are known.
func (a *agents) learnModels(id string, l *wire.Load) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := a.models[id]
	if l.ModelsVersion != known.version && (len(l.Models) > 0 || l.ModelsVersion == 0) {
		known = modelList{version: l.ModelsVersion, names: l.Models}
		a.models[id] = known
	}
	return known.names
}

// prune drops agents that are not listed any more, once they are more than those
// that are.
func (a *agents) prune(list []membership.Instance) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(list) == 0 || len(a.byID) <= 2*len(list) {
		return
	}
	listed := make(map[string]bool, len(list))
	for i := range list {
		listed[list[i].ID] = true
	}
	for id := range a.byID {
		if !listed[id] {
			delete(a.byID, id)
			delete(a.models, id)
		}
	}
}

// forget drops the incarnation of an agent, so that it is asked again.
func (a *agents) forget(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.byID, id)
}

// probe asks agents for their load when the routers want it.
func (p *Process) probe(ctx context.Context) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	var inFlight sync.Map
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		instances := p.view.Instances()
		p.decider.countEntries(instances)
		p.agents.prune(instances)
		for _, t := range p.decider.probes(time.Now()) {
			if _, busy := inFlight.LoadOrStore(t.server.ID, true); busy {
				continue
			}
			wg.Go(func() {
				defer inFlight.Delete(t.server.ID)
				if _, err := p.agents.ask(ctx, t.pool, t.server.ID, t.server.Addr); err != nil && ctx.Err() == nil {
					p.log.V(1).Info("A probe failed.", "agent", t.server.ID, "error", err.Error())
				}
			})
		}
	}
}

type probeTarget struct {
	pool   string
	server routing.Server
}

// probes lists the servers whose load is wanted, pool by pool in schema order.
func (d *decider) probes(now time.Time) []probeTarget {
	var out []probeTarget
	var servers []routing.Server
	d.eachRouter(now, func(pool string, r *poolRouter) {
		servers = r.Probes(now, servers[:0])
		for _, s := range servers {
			if len(out) < maxProbes {
				out = append(out, probeTarget{pool: pool, server: s})
			}
		}
	})
	return out
}
