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

// Mean times between two polls of the instance list. Entries find the servers in it
// and poll it often; agents use it only to find peers.
const (
	EntryPollInterval = 1500 * time.Millisecond
	AgentPollInterval = 30 * time.Second
	// emptyPollInterval is the maximum mean time while no instances are known.
	emptyPollInterval = time.Second
)

// Options configures Members.
type Options struct {
	List   platform.InstanceList
	Logger logr.Logger
	// SelfID is the id of this instance, which Peers omits.
	SelfID string
	// PollInterval is the mean time between two polls; 0 means EntryPollInterval.
	PollInterval time.Duration
}

// Members implements View.
type Members struct {
	opts Options
	log  logr.Logger

	snapshot atomic.Pointer[snapshot]

	mu    sync.Mutex
	table *membership.Table
}

// snapshot is an immutable copy of the table that readers share.
type snapshot struct {
	version   uint64
	instances []membership.Instance
	pools     map[string][]routing.Server
	peers     []string
}

// New returns a Members that knows no instances yet.
func New(o Options) *Members {
	if o.PollInterval == 0 {
		o.PollInterval = EntryPollInterval
	}
	m := &Members{opts: o, log: o.Logger.WithName("members"), table: membership.NewTable()}
	m.snapshot.Store(&snapshot{pools: map[string][]routing.Server{}})
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
			m.log.Error(err, "Instance list is unavailable; keeping the last known instances.")
		}
		if err == nil && failing {
			m.log.Info("Instance list is available again.")
		}
		failing = err != nil
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(m.nextInterval()):
		}
	}
}

// Refresh polls the list once, independently of Run.
func (m *Members) Refresh(ctx context.Context) error { return m.poll(ctx) }

// poll reads the list once and updates the table.
func (m *Members) poll(ctx context.Context) error {
	list, asOf, err := m.opts.List.List(ctx)
	if err != nil {
		return err
	}
	m.updateTable(func(t *membership.Table) { t.SetList(list, asOf) })
	return nil
}

// nextInterval returns a random delay before the next poll, so that processes do not
// poll in step. Its mean is PollInterval, or less while no instances are known.
func (m *Members) nextInterval() time.Duration {
	mean := m.opts.PollInterval
	if len(m.Instances()) == 0 {
		mean = min(mean, emptyPollInterval)
	}
	return mean/2 + rand.N(mean)
}

// Servers implements View.
func (m *Members) Servers(pool string) []routing.Server { return m.snapshot.Load().pools[pool] }

// Version implements View.
func (m *Members) Version() uint64 { return m.snapshot.Load().version }

// Instances implements View. The slice is shared and must not be modified.
func (m *Members) Instances() []membership.Instance { return m.snapshot.Load().instances }

// Peers returns the addresses of all other instances that are not leaving.
func (m *Members) Peers() []string { return m.snapshot.Load().peers }

// MarkLeaving implements View.
func (m *Members) MarkLeaving(id string, incarnation uint64) {
	m.updateTable(func(t *membership.Table) { t.MarkLeaving(id, incarnation) })
}

// RecordIncarnation implements View.
func (m *Members) RecordIncarnation(id string, incarnation uint64) {
	m.updateTable(func(t *membership.Table) { t.RecordIncarnation(id, incarnation) })
}

// updateTable changes the table and publishes a new snapshot if its version changed.
func (m *Members) updateTable(f func(*membership.Table)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.table)
	if m.table.Version() != m.snapshot.Load().version {
		m.snapshot.Store(m.newSnapshot())
	}
}

func (m *Members) newSnapshot() *snapshot {
	v := &snapshot{version: m.table.Version(), instances: m.table.Instances(), pools: map[string][]routing.Server{}}
	for i := range v.instances {
		in := &v.instances[i]
		if in.ID != m.opts.SelfID && !in.Leaving {
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
