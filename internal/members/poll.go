package members

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/magnoliawheel/magnoliawheel/core/membership"
	"github.com/magnoliawheel/magnoliawheel/core/routing"
	"github.com/magnoliawheel/magnoliawheel/internal/platform"
)

// Mean times between two polls of the instance list. Agents need the list only
// to find peers, entries to find servers.
const (
	EntryInterval = 1500 * time.Millisecond
	AgentInterval = 30 * time.Second
	// firstInterval applies while no instances are known.
	firstInterval = time.Second
)

// Options sets up Members.
type Options struct {
	List   platform.InstanceList
	Logger logr.Logger
	// Self is the id of this instance, which Peers leaves out.
	Self string
	// Interval is the mean time between two polls; 0 is EntryInterval.
	Interval time.Duration
}

// Members implements View.
type Members struct {
	opts Options
	log  logr.Logger

	view atomic.Pointer[view]

	mu    sync.Mutex
	table *membership.Table
}

// view is an answer that readers share.
type view struct {
	version   uint64
	instances []membership.Instance
	pools     map[string][]routing.Server
	peers     []string
}

// New returns a Members without instances.
func New(o Options) *Members {
	if o.Interval == 0 {
		o.Interval = EntryInterval
	}
	m := &Members{opts: o, log: o.Logger.WithName("members"), table: membership.NewTable()}
	m.view.Store(&view{pools: map[string][]routing.Server{}})
	return m
}

// Run polls the list until ctx ends. It returns nil.
func (m *Members) Run(ctx context.Context) error {
	failing := false
	for {
		err := m.poll(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil && !failing {
			m.log.Error(err, "Instance list unavailable; last known instances stay.")
		}
		if err == nil && failing {
			m.log.Info("Instance list available again.")
		}
		failing = err != nil
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(m.interval()):
		}
	}
}

// Refresh takes in the list now, beside the polls of Run.
func (m *Members) Refresh(ctx context.Context) error { return m.poll(ctx) }

// poll takes in the list once.
func (m *Members) poll(ctx context.Context) error {
	list, asOf, err := m.opts.List.List(ctx)
	if err != nil {
		return err
	}
	m.change(func(t *membership.Table) { t.SetList(list, asOf) })
	return nil
}

// interval returns a random time with the mean that applies now.
func (m *Members) interval() time.Duration {
	mean := m.opts.Interval
	if len(m.Instances()) == 0 {
		mean = min(mean, firstInterval)
	}
	return mean/2 + rand.N(mean)
}

// Servers implements View.
func (m *Members) Servers(pool string) []routing.Server { return m.view.Load().pools[pool] }

// Version implements View.
func (m *Members) Version() uint64 { return m.view.Load().version }

// Instances implements View. The slice is shared and must not be changed.
func (m *Members) Instances() []membership.Instance { return m.view.Load().instances }

// Peers returns the addresses of all other instances that are not leaving.
func (m *Members) Peers() []string { return m.view.Load().peers }

// Leaving implements View.
func (m *Members) Leaving(id string, incarnation uint64) {
	m.change(func(t *membership.Table) { t.MarkLeaving(id, incarnation) })
}

// Seen implements View.
func (m *Members) Seen(id string, incarnation uint64) {
	m.change(func(t *membership.Table) { t.RecordIncarnation(id, incarnation) })
}

func (m *Members) change(f func(*membership.Table)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.table)
	if m.table.Version() != m.view.Load().version {
		m.view.Store(m.newView())
	}
}

func (m *Members) newView() *view {
	v := &view{version: m.table.Version(), instances: m.table.Instances(), pools: map[string][]routing.Server{}}
	for i := range v.instances {
		in := &v.instances[i]
		if in.ID != m.opts.Self && !in.Leaving {
			v.peers = append(v.peers, in.Addr)
		}
		if in.Role == membership.RoleAgent {
			v.pools[in.Pool] = append(v.pools[in.Pool], routing.Server{
				ID: in.ID, Addr: in.Addr, Zone: in.Zone, Region: in.Region, Leaving: in.Leaving,
			})
		}
	}
	return v
}
