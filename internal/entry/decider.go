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

// hedgeOff is the hedge policy that disables hedging.
const hedgeOff = "off"

// decider holds the routers, admission controller and retry budget that all requests
// of the entry share, and guards them with a lock.
type decider struct {
	p        *Process
	settings *settings.Entry
	seed     uint64

	mu sync.Mutex
	// statusBuf is a reusable buffer for keyHome.
	statusBuf []routing.Status
	routers   map[string]*poolRouter
	admission *admission.Controller
	budget    *retry.Budget
	// retryShare is the share that budget was created with; nil is the default.
	retryShare *float64
	entryCount int
	// claimOutages tracks the servers that recently could not record claims on
	// idempotency keys.
	claimOutages admission.Outages
}

// poolRouter is the router of one pool.
type poolRouter struct {
	*routing.Router
	// viewVersion is the version of the membership view that the servers were taken
	// from.
	viewVersion uint64
	// initialized is set once the servers were taken from a view.
	initialized bool
}

func newDecider(p *Process) *decider {
	s := p.opts.Settings
	d := &decider{p: p, settings: s, seed: xxhash.Sum64String(s.Instance.ID), routers: map[string]*poolRouter{}}
	d.admission = admission.New(admission.Options{Policy: s.Policy.Admission, Seed: d.seed})
	d.setRetryShare(nil)
	return d
}

// setRetryShare replaces the retry budget if the schema's retry share has changed.
// The caller holds the lock.
func (d *decider) setRetryShare(share *float64) {
	if d.budget != nil && (share == d.retryShare || share != nil && d.retryShare != nil && *share == *d.retryShare) {
		return
	}
	d.retryShare = share
	d.budget = retry.New(retry.Options{
		Policy: d.settings.Policy.Retry, RetryShare: share, HedgingEnabled: d.settings.Policy.Hedge != hedgeOff,
	})
}

// updateEntryCount sets the number of entries that share the customers' rates at the
// admission controller.
func (d *decider) updateEntryCount(instances []membership.Instance) {
	count := 0
	for i := range instances {
		if instances[i].Role == membership.RoleEntry && !instances[i].Leaving {
			count++
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if count > 0 && count != d.entryCount {
		d.entryCount = count
		d.admission.SetEntryCount(count)
	}
}

// router returns the router of a pool, updated to the current membership view. The
// caller holds the lock.
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
	if v := d.p.view.Version(); v != r.viewVersion || !r.initialized {
		r.SetServers(now, d.p.view.Servers(pool))
		r.viewVersion, r.initialized = v, true
	}
	return r
}

// eachRouter calls f for the router of each pool in schema order, with the lock
// held.
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

// probesPerSecond bounds the rate of an entry's load probes. At about 200 bytes each
// on the wire, they use less than half of the 7 KB/s allowed to a node for control
// traffic.
const probesPerSecond = 16

// probesPerPool divides the entry's probe rate evenly among the pools.
func (d *decider) probesPerPool() float64 {
	if s := d.p.source.Current().Schema; s != nil && len(s.Pools) > 0 {
		return probesPerSecond / float64(len(s.Pools))
	}
	return probesPerSecond
}

func (d *decider) routingQuery(now time.Time, st *schema.Stage, r *callerapi.Request) routing.Query {
	return routing.Query{
		Zone: d.settings.Instance.Zone, Region: d.settings.Instance.Region, Model: st.Model, PrefixHash: r.PromptPrefixHash,
		TimeBudget: r.Received.Add(r.Timeout).Sub(now),
	}
}

// admit decides whether to admit a request, based on the time its stages are
// currently expected to take.
func (d *decider) admit(now time.Time, r *callerapi.Request) admission.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setRetryShare(r.Snapshot.Schema.Limits.RetryShare)
	admissionReq := admission.Request{
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
		q := d.routingQuery(now, st, r)
		expected, ok := d.router(now, st.Pool).ExpectedTime(now, &q)
		if !ok {
			expected = st.TypicalDuration.AsDuration()
		}
		admissionReq.ExpectedTime += expected
		admissionReq.UnloadedTime += st.TypicalDuration.AsDuration()
	}
	return d.admission.Admit(now, &admissionReq)
}

// claimOutage reports whether the home server of a keyed stage recently failed to
// record claims. Such a request would otherwise be refused only after the earlier
// stages had run. The caller holds the lock.
func (d *decider) claimOutage(now time.Time, st *schema.Stage, r *callerapi.Request) (retryAfter time.Duration, refuse bool) {
	if r.IdempotencyKey == "" || st.Idempotent {
		return 0, false
	}
	s, ok := d.keyHome(now, st, r, nil)
	if !ok {
		return 0, false
	}
	return d.claimOutages.ShouldRefuse(now, s.ID)
}

// keyHome returns the home server of a request's key at a stage. The caller holds
// the lock.
func (d *decider) keyHome(now time.Time, st *schema.Stage, r *callerapi.Request, exclude []string) (routing.Server, bool) {
	slot := claims.NewKey(r.Customer.Name, r.IdempotencyKey, st.Name).Partition()
	d.statusBuf = d.router(now, st.Pool).Status(now, d.statusBuf[:0])
	return homeServer(d.statusBuf, uint64(slot), exclude)
}

func (d *decider) finishRequest(code result.Code) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.admission.Finish(code)
}

func (d *decider) startAttempt(now time.Time, pool, serverID string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router(now, pool).Start(now, serverID)
}

func (d *decider) endAttempt(now time.Time, pool, serverID string, o routing.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router(now, pool).End(now, serverID, o)
	if o.Code == result.ClaimUnavailable {
		d.claimOutages.RecordFailure(now, serverID)
	}
}

func (d *decider) recordLoad(now time.Time, pool, serverID string, l routing.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router(now, pool).Observe(now, serverID, l)
}

func (d *decider) recordLatency(stage string, latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.RecordLatency(stage, latency)
}

// requestDecider implements pipeline.Decider for one request.
type requestDecider struct {
	*decider
	req *callerapi.Request
}

// Place selects a server. For a keyed stage that is not idempotent it is the home
// server of the key's partition, so that duplicates of a request reach the same
// agent and each agent reads the claims of few partitions.
func (c requestDecider) Place(now time.Time, q *pipeline.PlacementQuery) (pipeline.Server, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	router := c.router(now, q.Stage.Pool)
	if c.req.IdempotencyKey != "" && !q.Stage.Idempotent {
		s, ok := c.keyHome(now, q.Stage, c.req, q.Exclude)
		return pipelineServer(s), ok
	}
	query := c.routingQuery(now, q.Stage, c.req)
	query.Exclude = q.Exclude
	query.InputBytes, query.InputRegion = q.Input.Bytes()
	s, ok := router.Pick(now, &query)
	return pipelineServer(s), ok
}

func pipelineServer(s routing.Server) pipeline.Server {
	return pipeline.Server{ID: s.ID, Addr: s.Addr, Zone: s.Zone, Region: s.Region}
}

// homeServer returns the home server of a slot among the responsive servers, or
// among the unresponsive and ejected ones if there are none. Servers that are
// leaving are never selected. Entries whose views differ may select different
// servers; the claims in the log then detect duplicates.
func homeServer(statuses []routing.Status, slot uint64, exclude []string) (routing.Server, bool) {
	var responsive, unresponsive []routing.Server
	for i := range statuses {
		switch statuses[i].State {
		case routing.StateLeaving:
		case routing.StateUnresponsive, routing.StateEjected:
			unresponsive = append(unresponsive, statuses[i].Server)
		default:
			responsive = append(responsive, statuses[i].Server)
		}
	}
	if s, ok := routing.Home(responsive, slot, exclude); ok {
		return s, true
	}
	return routing.Home(unresponsive, slot, exclude)
}

// RecordRequest implements pipeline.Decider.
func (c requestDecider) RecordRequest(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.RecordRequest(now)
}

// Retry implements pipeline.Decider.
func (c requestDecider) Retry(now time.Time, a *retry.FailedAttempt) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.Retry(now, a)
}

// HedgeDelay implements pipeline.Decider.
func (c requestDecider) HedgeDelay(now time.Time, st *schema.Stage, remaining time.Duration) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.HedgeDelay(now, stageKey(c.req.Pipeline, st.Name), remaining)
}

// AllowHedge implements pipeline.Decider.
func (c requestDecider) AllowHedge(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.AllowHedge(now)
}

// stageKey identifies a stage in the latency records of the retry budget.
func stageKey(p *schema.Pipeline, stage string) string { return p.Name + "/" + stage }
