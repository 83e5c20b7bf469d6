package entry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliawheel/magnoliawheel/core/admission"
	"github.com/magnoliawheel/magnoliawheel/core/claims"
	"github.com/magnoliawheel/magnoliawheel/core/membership"
	"github.com/magnoliawheel/magnoliawheel/core/pipeline"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/retry"
	"github.com/magnoliawheel/magnoliawheel/core/routing"
	"github.com/magnoliawheel/magnoliawheel/core/schema"
	"github.com/magnoliawheel/magnoliawheel/internal/callerapi"
	"github.com/magnoliawheel/magnoliawheel/internal/settings"
)

// hedgeOff is the setting that switches hedges off.
const hedgeOff = "off"

// decider guards the state machines that decide for all requests of the entry.
type decider struct {
	p        *Process
	settings *settings.Entry
	seed     uint64

	mu sync.Mutex
	// status is the space in which homes are sought.
	status    []routing.Status
	routers   map[string]*poolRouter
	admission *admission.Controller
	budget    *retry.Budget
	// retryShare is that of the budget.
	retryShare float64
	entries    int
	// claims are the servers' outages in recording claims of keys.
	claims admission.Outages
}

type poolRouter struct {
	*routing.Router
	// version is that of the membership view which the servers were taken from.
	version uint64
	loaded  bool
}

func newDecider(p *Process) *decider {
	s := p.opts.Settings
	d := &decider{p: p, settings: s, seed: xxhash.Sum64String(s.Instance.ID), routers: map[string]*poolRouter{}}
	d.admission = admission.New(admission.Options{Policy: s.Policy.Admission, Seed: d.seed})
	d.setRetryShare(defaultRetryShare)
	return d
}

// defaultRetryShare holds until a schema says otherwise.
const defaultRetryShare = 0.1

// setRetryShare begins a new budget when the schema's share changed. The caller
// holds the lock.
func (d *decider) setRetryShare(share float64) {
	if d.budget != nil && share == d.retryShare {
		return
	}
	d.retryShare = share
	d.budget = retry.New(retry.Options{
		Policy: d.settings.Policy.Retry, RetryShare: share, HedgingEnabled: d.settings.Policy.Hedge != hedgeOff,
	})
}

// countEntries tells the admission how many entries share the customers' rates.
func (d *decider) countEntries(list []membership.Instance) {
	n := 0
	for i := range list {
		if list[i].Role == membership.RoleEntry && !list[i].Leaving {
			n++
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if n > 0 && n != d.entries {
		d.entries = n
		d.admission.SetEntryCount(n)
	}
}

// router returns the router of a pool with the servers now known. The caller
// holds the lock.
func (d *decider) router(now time.Time, pool string) *poolRouter {
	r := d.routers[pool]
	if r == nil {
		s := d.settings
		r = &poolRouter{Router: routing.New(routing.Options{
			Policy: s.Policy.Routing, Zone: s.Instance.Zone, Region: s.Instance.Region,
			SubsetSize: s.Limits.SubsetSize, Seed: d.seed,
		})}
		d.routers[pool] = r
	}
	r.SetProbesPerSecond(d.probesPerPool())
	if v := d.p.view.Version(); v != r.version || !r.loaded {
		r.SetServers(now, d.p.view.Servers(pool))
		r.version, r.loaded = v, true
	}
	return r
}

// eachRouter calls f for the router of each pool in the order of the schema, under
// the lock.
func (d *decider) eachRouter(now time.Time, f func(pool string, r *poolRouter)) {
	snap := d.p.source.Current()
	if snap.Schema == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range snap.Schema.Pools {
		pool := snap.Schema.Pools[i].Name
		f(pool, d.router(now, pool))
	}
}

// probesPerSecond bounds the load probes of an entry. With about 200 bytes on the
// wire each they take under half of the 7 KB/s that a node may spend on control.
const probesPerSecond = 16

// probesPerPool shares the entry's probes among the pools.
func (d *decider) probesPerPool() float64 {
	if s := d.p.source.Current().Schema; s != nil && len(s.Pools) > 0 {
		return probesPerSecond / float64(len(s.Pools))
	}
	return probesPerSecond
}

func (d *decider) query(now time.Time, st *schema.Stage, r *callerapi.Request) routing.Query {
	return routing.Query{
		Zone: d.settings.Instance.Zone, Region: d.settings.Instance.Region, Model: st.Model, PrefixHash: r.PromptPrefixHash,
		TimeBudget: r.Received.Add(r.Timeout).Sub(now),
	}
}

// admit decides on a request from what its stages are expected to take now.
func (d *decider) admit(now time.Time, r *callerapi.Request) admission.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setRetryShare(r.Snapshot.Schema.Limits.RetryShare)
	ask := admission.Request{
		Customer: r.Customer.Name, Weight: r.Customer.Weight, Rate: r.Customer.RatePerSecond,
		Pipeline: r.Pipeline.Name, Budget: r.Timeout - now.Sub(r.Received),
	}
	for i := range r.Pipeline.Stages {
		st := &r.Pipeline.Stages[i]
		if i > 0 {
			if wait, refuse := d.claimOutage(now, st, r); refuse {
				return admission.Decision{Code: result.ClaimUnavailable, RetryAfter: wait}
			}
		}
		q := d.query(now, st, r)
		expected, ok := d.router(now, st.Pool).ExpectedTime(now, &q)
		if !ok {
			expected = st.TypicalDuration.AsDuration()
		}
		ask.ExpectedTime += expected
		ask.UnloadedTime += st.TypicalDuration.AsDuration()
	}
	return d.admission.Admit(now, &ask)
}

// claimOutage tells whether the home of a keyed stage could not record claims
// lately, so that the request would be refused after the stages before have run.
// The caller holds the lock.
func (d *decider) claimOutage(now time.Time, st *schema.Stage, r *callerapi.Request) (retryAfter time.Duration, refuse bool) {
	if r.IdempotencyKey == "" || st.Idempotent {
		return 0, false
	}
	s, ok := d.keyHome(now, st, r, nil)
	if !ok {
		return 0, false
	}
	return d.claims.ShouldRefuse(now, s.ID)
}

// keyHome returns the home of a request's key at a stage. The caller holds the
// lock.
func (d *decider) keyHome(now time.Time, st *schema.Stage, r *callerapi.Request, exclude []string) (routing.Server, bool) {
	slot := claims.NewKey(r.Customer.Name, r.IdempotencyKey, st.Name).Partition()
	d.status = d.router(now, st.Pool).Status(now, d.status[:0])
	return home(d.status, uint64(slot), exclude)
}

func (d *decider) finish(now time.Time, customer string, code result.Code, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.admission.Finish(now, customer, code, took)
}

func (d *decider) start(now time.Time, pool, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router(now, pool).Start(now, id)
}

func (d *decider) end(now time.Time, pool, id string, o routing.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router(now, pool).End(now, id, o)
	if o.Code == result.ClaimUnavailable {
		d.claims.RecordFailure(now, id)
	}
}

func (d *decider) observe(now time.Time, pool, id string, l routing.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router(now, pool).Observe(now, id, l)
}

func (d *decider) took(stage string, t time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.RecordLatency(stage, t)
}

// chooser is the decider as one request sees it.
type chooser struct {
	*decider
	req *callerapi.Request
}

// Place chooses a server. A keyed stage that is not idempotent goes to the home
// of its key's partition, so that copies of the request meet at one agent, and an
// agent reads the claims of few partitions.
func (c chooser) Place(now time.Time, q *pipeline.PlacementQuery) (pipeline.Server, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	router := c.router(now, q.Stage.Pool)
	if c.req.IdempotencyKey != "" && !q.Stage.Idempotent {
		s, ok := c.keyHome(now, q.Stage, c.req, q.Exclude)
		return place(s), ok
	}
	rq := c.query(now, q.Stage, c.req)
	rq.Exclude = q.Exclude
	rq.InputBytes, rq.InputRegion = q.Input.Bytes()
	s, ok := router.Pick(now, &rq)
	return place(s), ok
}

func place(s routing.Server) pipeline.Server {
	return pipeline.Server{ID: s.ID, Addr: s.Addr, Zone: s.Zone, Region: s.Region}
}

// home returns the home of a slot among the servers that answer; entries that see
// them differently meet by the claims in the log. If none answers, any that is
// not leaving is taken.
func home(list []routing.Status, slot uint64, exclude []string) (routing.Server, bool) {
	var answering, others []routing.Server
	for i := range list {
		switch list[i].State {
		case routing.StateLeaving:
		case routing.StateUnresponsive, routing.StateEjected:
			others = append(others, list[i].Server)
		default:
			answering = append(answering, list[i].Server)
		}
	}
	if s, ok := routing.Home(answering, slot, exclude); ok {
		return s, true
	}
	return routing.Home(others, slot, exclude)
}

// RecordRequest records the first attempt at a stage.
func (c chooser) RecordRequest(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.RecordRequest(now)
}

// Retry decides whether an attempt may be repeated.
func (c chooser) Retry(now time.Time, a *retry.FailedAttempt) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.Retry(now, a)
}

// HedgeDelay returns when a second attempt may start.
func (c chooser) HedgeDelay(now time.Time, st *schema.Stage, remaining time.Duration) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.HedgeDelay(now, stageKey(c.req.Pipeline, st.Name), remaining)
}

// SpendHedge takes a hedge out of the budget.
func (c chooser) SpendHedge(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.AllowHedge(now)
}

func stageKey(p *schema.Pipeline, stage string) string { return p.Name + "/" + stage }
