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

// maxProbesPerRound bounds the number of probes sent in one round.
const maxProbesPerRound = 64

// errWrongInstance means that another instance answered at an agent's address.
var errWrongInstance = errors.New("entry: another instance answered at the address")

// agentTracker records the last known incarnation and models of each agent, keyed by
// instance ID.
type agentTracker struct {
	p *Process

	mu           sync.Mutex
	incarnations map[string]uint64
	models       map[string]modelList
}

// modelList is a server's list of models. Agents send the list only to processes
// that do not have its current version.
type modelList struct {
	version uint64
	names   []string
}

func newAgentTracker(p *Process) *agentTracker {
	return &agentTracker{p: p, incarnations: map[string]uint64{}, models: map[string]modelList{}}
}

// incarnation returns the incarnation of an agent; it probes the agent if the
// incarnation is not known.
func (a *agentTracker) incarnation(ctx context.Context, pool, id, addr string) (uint64, error) {
	a.mu.Lock()
	inc := a.incarnations[id]
	a.mu.Unlock()
	if inc != 0 {
		return inc, nil
	}
	return a.probe(ctx, pool, id, addr)
}

// probe requests the load of an agent and returns its incarnation.
func (a *agentTracker) probe(ctx context.Context, pool, id, addr string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, rpc.SilenceTimeout)
	defer cancel()
	client := wire.NewDRPCAgentClient(a.p.pool.Conn(ctx, addr))
	reply, err := client.Probe(ctx, &wire.ProbeRequest{ConfigOffset: a.p.source.Current().Offset, ModelsVersion: a.knownModels(id).version})
	if err != nil {
		a.p.pool.CloseIdle(addr)
		return 0, err
	}
	if reply.GetLoad().GetInstance() != id {
		return 0, errWrongInstance
	}
	a.recordLoad(pool, id, addr, reply.Load)
	return reply.Load.Incarnation, nil
}

// recordLoad processes a load report received from an agent. A report of another
// instance is ignored.
func (a *agentTracker) recordLoad(pool, id, addr string, l *wire.Load) {
	if l == nil || l.Instance != id {
		return
	}
	if l.Incarnation != 0 {
		a.mu.Lock()
		a.incarnations[id] = l.Incarnation
		a.mu.Unlock()
		a.p.view.RecordIncarnation(id, l.Incarnation)
	}
	a.p.source.ObserveOffset(addr, l.ConfigOffset)
	if l.Leaving {
		a.p.view.MarkLeaving(id, l.Incarnation)
	}
	a.p.decider.recordLoad(time.Now(), pool, id, routing.Load{
		Running: int(l.Running), Queued: int(l.Queued), Limit: int(l.Limit),
		QueueWait:   time.Duration(l.WaitUs) * time.Microsecond,
		ServiceTime: time.Duration(l.ServiceUs) * time.Microsecond,
		Leaving:     l.Leaving, Models: a.updateModels(id, l),
	})
}

func (a *agentTracker) knownModels(id string) modelList {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.models[id]
}

// updateModels stores the model list of a load report if it has one of another
// version, and returns the server's last known models.
func (a *agentTracker) updateModels(id string, l *wire.Load) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	current := a.models[id]
	if l.ModelsVersion != current.version && (len(l.Models) > 0 || l.ModelsVersion == 0) {
		current = modelList{version: l.ModelsVersion, names: l.Models}
		a.models[id] = current
	}
	return current.names
}

// prune removes agents that are no longer listed, once there are more than twice as
// many recorded agents as listed instances. An empty list removes nothing.
func (a *agentTracker) prune(instances []membership.Instance) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(instances) == 0 || len(a.incarnations) <= 2*len(instances) {
		return
	}
	listed := make(map[string]bool, len(instances))
	for i := range instances {
		listed[instances[i].ID] = true
	}
	for id := range a.incarnations {
		if !listed[id] {
			delete(a.incarnations, id)
			delete(a.models, id)
		}
	}
}

// forgetIncarnation removes the incarnation of an agent, so that the agent is probed
// again.
func (a *agentTracker) forgetIncarnation(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.incarnations, id)
}

// probeLoop periodically probes the agents whose load the routers request.
func (p *Process) probeLoop(ctx context.Context) {
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
		p.decider.updateEntryCount(instances)
		p.agents.prune(instances)
		for _, t := range p.decider.probeTargets(time.Now()) {
			if _, busy := inFlight.LoadOrStore(t.server.ID, true); busy {
				continue
			}
			wg.Go(func() {
				defer inFlight.Delete(t.server.ID)
				if _, err := p.agents.probe(ctx, t.pool, t.server.ID, t.server.Addr); err != nil && ctx.Err() == nil {
					p.log.V(1).Info("A probe failed.", "agent", t.server.ID, "error", err.Error())
				}
			})
		}
	}
}

// probeTarget is a server to probe and the pool it belongs to.
type probeTarget struct {
	pool   string
	server routing.Server
}

// probeTargets lists the servers whose load is needed, pool by pool in schema order.
func (d *decider) probeTargets(now time.Time) []probeTarget {
	var targets []probeTarget
	var servers []routing.Server
	d.eachRouter(now, func(pool string, r *poolRouter) {
		servers = r.Probes(now, servers[:0])
		for _, s := range servers {
			if len(targets) < maxProbesPerRound {
				targets = append(targets, probeTarget{pool: pool, server: s})
			}
		}
	})
	return targets
}
