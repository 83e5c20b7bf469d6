package members

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/magnoliawheel/magnoliawheel/core/membership"
	"github.com/magnoliawheel/magnoliawheel/core/routing"
	"github.com/magnoliawheel/magnoliawheel/internal/platform"
)

// pollInterval is the time between two polls of the instance list.
const pollInterval = time.Second

// Options sets up Members.
type Options struct {
	List   platform.InstanceList
	Logger logr.Logger
	// Self is the id of this instance, which Peers leaves out.
	Self string
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
	m := &Members{opts: o, log: o.Logger.WithName("members"), table: membership.NewTable()}
	m.view.Store(&view{pools: map[string][]routing.Server{}})
	return m
}

// Run polls the list until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	failing := false
	for {
		list, asOf, err := m.opts.List.List(ctx)
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil:
			if !failing {
				m.log.Error(err, "Instance list unavailable; last known instances stay.")
			}
			failing = true
		default:
			if failing {
				m.log.Info("Instance list available again.")
			}
			failing = false
			m.change(func(t *membership.Table) { t.SetList(list, asOf) })
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pollInterval):
		}
	}
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
	m.change(func(t *membership.Table) { t.Leaving(id, incarnation) })
}

// Seen implements View.
func (m *Members) Seen(id string, incarnation uint64) {
	m.change(func(t *membership.Table) { t.Seen(id, incarnation) })
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
