// Package planner places requests. It runs their stages on stage servers that all
// entries share, and then chooses the server for the request itself. It performs the
// I/O for core/staging and core/placement.
package planner

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"github.com/magnoliawheel/magnoliawheel/core/notice"
	"github.com/magnoliawheel/magnoliawheel/core/placement"
	"github.com/magnoliawheel/magnoliawheel/core/quarantine"
	"github.com/magnoliawheel/magnoliawheel/core/staging"
	"github.com/magnoliawheel/magnoliawheel/core/streamversion"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
)

const (
	// tickInterval is the time between scheduler ticks while there is work.
	tickInterval = 10 * time.Millisecond
	// abandonedResultRetention is how long the results of a placed request are kept
	// after its entry was lost, since its server may still read them.
	abandonedResultRetention = 2 * time.Second
	// resumeRetryAfter is the Retry-After time of a stream that cannot be resumed now.
	// Servers of its version may return, or another entry may tell the version.
	resumeRetryAfter = time.Second
)

// StageCaller performs calls to stage servers.
type StageCaller interface {
	// Run runs the pieces of a call on its server. The error is the cause of a call that
	// was not answered.
	Run(ctx context.Context, c staging.Call) (staging.CallResult, error)
	// Free frees results on a server. If the server refuses and says when to come back,
	// Free returns the time until then.
	Free(ctx context.Context, f staging.FreeRequest) (retryAfter time.Duration, err error)
}

// Pool is a set of servers: StageServers if StageSpec is set, else ModelServers.
type Pool struct {
	Name         string
	StageSpec    *staging.PoolSpec
	StageServers []staging.Server
	ModelServers []placement.Server
	// HasResumableStreams is set if streams of the pool may be resumed, so that the store
	// must hold its software versions.
	HasResumableStreams bool
	// ColdLimit bounds the requests to cold servers. ColdUntil is the time until which each
	// server is presumed to be cold, if there is a limit.
	ColdLimit notice.ColdLimit
	ColdUntil map[notice.Server]time.Duration
}

// pendingRequest is a request that is not placed yet.
type pendingRequest struct {
	req        Request
	callbacks  Callbacks
	receivedAt time.Duration
	// handingOver requests are refused with HandedOver once they have no open call.
	handingOver bool
	// version, if set, is the only software version of which servers may be chosen.
	version *string
	// refusal is the reason for which Place refused the request, or 0, and retryAfter the
	// time to wait then.
	refusal    staging.RefusalReason
	retryAfter time.Duration
	// elements are what the request may have in common with others that crash servers. trial
	// requests are placed although they may.
	elements []string
	trial    bool
	// submitted is set once the request has been checked and its stages were submitted.
	submitted bool
	// viewConfirmed is set if the servers were confirmed after the request arrived.
	viewConfirmed bool
}

// Planner places requests. It is safe for concurrent use.
type Planner struct {
	stages StageCaller
	log    logr.Logger

	mu           sync.Mutex
	scheduler    *staging.Scheduler
	modelServers *placement.Table
	// streams are the versions that began streams, poolVersions those that may have begun
	// the streams of a pool. onVersions, if set, is called when the store lacks some of them.
	streams      *streamversion.Table
	poolVersions *streamversion.Pools
	onVersions   func()
	// unstored are the streams whose versions the store does not hold yet, while it must.
	unstored streamversion.Outgoing
	// view, if set, is what this process knows of the servers.
	view View
	// notices is what servers said about themselves.
	notices *notice.Table
	// quarantine holds back requests that crash servers. evaluation evaluates its evidence
	// when that is due; it is nil before the first time.
	quarantine *quarantine.Table
	evaluation *time.Timer
	pending    map[string]*pendingRequest
	// handingOver is the number of pending requests to hand over.
	handingOver int
	// ticking is true from the first event that needs ticks until a tick finds the
	// scheduler idle. wake receives a value when it becomes true.
	ticking bool
	wake    chan struct{}
	// stopping is set by Stop.
	stopping bool
	// onQuarantine, if set, receives the patterns of requests that this planner found or
	// released, onEvidence the attempts of stage calls that may have crashed servers.
	onQuarantine func([]quarantine.Change)
	onEvidence   func(...quarantine.Attempt)
	metrics      *metrics
	// onTakeover, if set, is called when the planner begins to place requests. placedAt is when
	// it was last asked to place one.
	onTakeover func()
	placedAt   time.Duration
	// decided are the requests that were refused or only checked, and that are not answered
	// yet.
	decided []*pendingRequest
}

// New returns a planner without pools. regions maps availability zones to regions.
func New(stages StageCaller, regions map[string]string, log logr.Logger) *Planner {
	notices := notice.NewTable(nil)
	scheduler, modelServers := staging.New(), placement.New(regions)
	scheduler.SetNotices(notices)
	modelServers.SetNotices(notices)
	return &Planner{
		stages: stages, log: log, scheduler: scheduler, modelServers: modelServers, notices: notices,
		streams: streamversion.New(), poolVersions: streamversion.NewPools(), quarantine: quarantine.New(),
		pending: map[string]*pendingRequest{}, wake: make(chan struct{}, 1),
		metrics: newMetrics(tally.NoopScope),
	}
}

// Run runs the scheduler until ctx ends.
func (p *Planner) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
			p.tickUntilIdle(ctx)
		}
	}
}

// tickUntilIdle ticks at a fixed interval until a tick finds the scheduler idle. Other
// events do not change the interval, so that frequent events do not delay ticks.
func (p *Planner) tickUntilIdle(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		idle := false
		p.update(func(now time.Duration) {
			p.scheduler.Tick(now)
			idle = p.scheduler.Idle()
			p.ticking = !idle
		})
		if idle {
			return
		}
	}
}

// SetPools sets the usable servers.
func (p *Planner) SetPools(pools []Pool) {
	p.update(func(now time.Duration) {
		for _, pool := range pools {
			p.markCold(now, &pool)
			if pool.StageSpec != nil {
				p.scheduler.SetPool(pool.Name, *pool.StageSpec, pool.StageServers)
			} else {
				p.modelServers.SetServers(pool.Name, p.observeVersions(now, &pool))
			}
		}
	})
	p.reportVersionsDue()
}

// Place starts the placement of a request. It replaces a pending request with the same
// ID.
func (p *Planner) Place(req Request, callbacks Callbacks) {
	p.noticeTakeover()
	pr := &pendingRequest{req: req, callbacks: callbacks, elements: req.Elements()}
	need := noConfirmation
	p.update(func(now time.Duration) {
		pr.receivedAt = now
		p.scheduler.Release(now, req.ID)
		p.removePending(req.ID)
		p.pending[req.ID] = pr
		if p.stopping && !callbacks.Local {
			p.markHandingOver(pr)
			return
		}
		if need = p.neededConfirmation(now, pr); need == noConfirmation {
			p.submit(now, pr)
		}
	})
	if need != noConfirmation {
		go p.confirmView(pr, need)
	}
}

// submit checks a request and submits its stages. The caller holds the lock.
func (p *Planner) submit(now time.Duration, pr *pendingRequest) {
	pr.submitted = true
	req := &pr.req
	if pr.refusal = p.checkRequest(now, pr); pr.refusal != 0 || req.CheckOnly {
		p.decided = append(p.decided, pr)
		p.scheduler.FreeResults(now, req.PriorResults)
		return
	}
	parts := pr.placementRequest()
	readerZone := ""
	if staging.UsesReaderZone(req.Stages) {
		readerZone = p.modelServers.LikelyZone(now, parts)
	}
	p.scheduler.Submit(now, staging.Job{
		ID: req.ID, Key: req.PieceKey, Stages: req.Stages, Priority: req.Priority,
		ObjectiveDeadline: pr.receivedAt + req.TimeToObjective, Deadline: pr.receivedAt + req.TimeToDeadline, RequestDuration: p.modelServers.ExpectedFirstEvent(parts),
		ReaderZone: readerZone, Customer: req.Customer, Owner: req.Owner, PriorResults: req.PriorResults,
		Residency: req.Residency,
	})
}

// removePending removes a request that is answered, cancelled or replaced.
func (p *Planner) removePending(id string) {
	if pr := p.pending[id]; pr != nil && pr.handingOver {
		p.handingOver--
	}
	delete(p.pending, id)
}

// UpdateProgress records the progress of a placed request.
func (p *Planner) UpdateProgress(id string, progress Progress) {
	p.update(func(now time.Duration) {
		p.observeSpeed(now, id, progress)
		if progress.Phase == Started {
			p.modelServers.RequestStarted(now, id)
			p.scheduler.RequestStarted(now, id)
			return
		}
		if pr := p.pending[id]; pr != nil && !pr.submitted {
			// The scheduler does not know of them yet.
			p.scheduler.FreeResults(now, pr.req.PriorResults)
		}
		p.removePending(id)
		p.modelServers.Finish(now, id, outcomeByPhase[progress.Phase])
		p.quarantine.End(now, id, endingByPhase[progress.Phase])
		p.scheduler.Release(now, id)
	})
}

// FreeResults frees results obtained by another entry that was lost.
func (p *Planner) FreeResults(results []staging.ResultLocation) {
	p.update(func(now time.Duration) { p.scheduler.FreeResults(now, results) })
}

// Abandon ends a request whose entry was lost. The results of a placed request are kept
// for abandonedResultRetention.
func (p *Planner) Abandon(id string) {
	p.mu.Lock()
	_, pending := p.pending[id]
	p.mu.Unlock()
	if pending {
		p.UpdateProgress(id, Progress{Phase: Cancelled})
		return
	}
	time.AfterFunc(abandonedResultRetention, func() { p.UpdateProgress(id, Progress{Phase: Cancelled}) })
}

// placementRequest returns what the choice of a server depends on.
func (pr *pendingRequest) placementRequest() placement.Request {
	req := &pr.req
	return placement.Request{
		ID: req.ID, Pool: req.Pool, Zone: req.Zone, Parts: req.PromptParts, MaxTokens: req.MaxTokens, Avoid: req.Avoid, SoftwareVersion: pr.version, Residency: req.Residency,
		MaxPause: req.MaxPause,
	}
}

// update changes the state under the lock, and then performs the actions that result.
func (p *Planner) update(change func(now time.Duration)) {
	p.mu.Lock()
	now := clock.Now()
	change(now)
	changes := p.applyQuarantine(now)
	actions := p.scheduler.TakeActions()
	callbacks := p.collectCallbacks(now, actions)
	callbacks = append(callbacks, p.quarantineCallbacks(append(changes, p.quarantine.TakeChanges()...))...)
	wake := !p.ticking && !p.scheduler.Idle()
	p.ticking = p.ticking || wake
	p.mu.Unlock()
	for _, callback := range callbacks {
		callback()
	}
	for _, c := range actions.Calls {
		go p.runCall(c)
	}
	for _, f := range actions.FreeRequests {
		go p.freeOnServer(f)
	}
	if wake {
		p.wake <- struct{}{}
	}
}

// collectCallbacks chooses the servers of completed jobs and returns the calls of the
// callbacks that result from the actions. The caller makes them without the lock.
func (p *Planner) collectCallbacks(now time.Duration, actions staging.Actions) []func() {
	var callbacks []func()
	reply := func(pr *pendingRequest, answer Placement) {
		p.removePending(answer.ID)
		callbacks = append(callbacks, func() { pr.callbacks.OnPlacement(answer) })
	}
	for id, results := range actions.ResultChanges {
		if pr := p.pending[id]; pr != nil {
			callbacks = append(callbacks, func() { pr.callbacks.OnResultChanges(results) })
		}
	}
	for _, pr := range p.takeDecided() {
		if pr.refusal == 0 {
			reply(pr, Placement{ID: pr.req.ID})
			continue
		}
		reply(pr, p.refuse(now, pr))
	}
	for _, r := range actions.Refusals {
		if pr := p.pending[r.JobID]; pr != nil {
			p.log.Info("Request refused.", "request", r.JobID, "owner", pr.req.Owner, "reason", r.Reason.String(), "due", pr.req.TimeToObjective,
				"expected", r.ExpectedTime, "waited", now-pr.receivedAt, "retry_after", r.RetryAfter, "jobs", p.scheduler.JobCount())
			reply(pr, Placement{ID: r.JobID, RefusalReason: r.Reason, RetryAfter: r.RetryAfter})
		}
	}
	for _, job := range actions.CompletedJobs {
		if pr := p.pending[job.JobID]; pr != nil {
			reply(pr, p.chooseServer(now, pr, job))
		}
	}
	p.finishHandOvers(reply)
	return callbacks
}

// refuse returns the answer to a request that is refused for pr.refusal.
func (p *Planner) refuse(now time.Duration, pr *pendingRequest) Placement {
	fields := []any{
		"request", pr.req.ID, "owner", pr.req.Owner, "reason", ReasonText(pr.refusal), "residency", pr.req.Residency.String(), "waited", now - pr.receivedAt, "retry_after", pr.retryAfter,
	}
	if stream := pr.req.resumedStream(); stream != "" {
		versions, allKnown := p.poolVersions.Resumable(now, pr.req.Pool)
		fields = append(fields, "stream", stream, "stream_version", pr.version, "pool_versions", versions, "all_known", allKnown)
	}
	p.log.Info("Request refused.", fields...)
	return Placement{ID: pr.req.ID, RefusalReason: pr.refusal, RetryAfter: pr.retryAfter}
}

// chooseServer chooses the server of a request whose stages are complete.
func (p *Planner) chooseServer(now time.Duration, pr *pendingRequest, job staging.CompletedJob) Placement {
	if pr.refusal = p.checkQuarantine(now, pr); pr.refusal != 0 {
		p.scheduler.Release(now, job.JobID)
		return p.refuse(now, pr)
	}
	expected, _ := p.scheduler.ExpectedDuration(job.JobID)
	req := pr.placementRequest()
	req.InputBytesByZone = job.BytesByZone
	req.TimeToObjective = pr.req.TimeToObjective - (now - pr.receivedAt)
	srv, ok := p.modelServers.Choose(now, req)
	if !ok {
		p.scheduler.Release(now, job.JobID)
		pr.refusal, pr.retryAfter = NoServer, time.Second
		if wait := p.modelServers.LimitWait(now, req); wait > 0 {
			pr.refusal, pr.retryAfter = LimitReached, wait
		}
		return p.refuse(now, pr)
	}
	p.recordResumed(now, pr)
	p.quarantine.Begin(now, job.JobID, srv.Start(), pr.elements)
	p.metrics.countPlacement(&srv)
	p.log.Info("Request placed.", "request", job.JobID, "owner", pr.req.Owner, "server", srv.ID, "server_version", srv.SoftwareVersion, "pinned", pr.version != nil, "elements", pr.elements, "residency", pr.req.Residency.String(), "cold", srv.Cold, "prompt", srv.PromptTokens, "uncached", srv.UncachedTokens, "queued", srv.QueuedTokens,
		"running", srv.Running, "first_event", srv.ExpectedFirstEvent, "tokens_per_ms", srv.TokensPerMS, "slowdown", srv.Slowdown, "pause", srv.ExpectedPause, "interference", srv.Interference,
		"max_pause", pr.req.MaxPause, "to_objective", req.TimeToObjective, "long", srv.Long, "reserved", srv.Reserved, "copy_servers", srv.CopyServers, "expected", expected, "due", pr.req.TimeToObjective,
		"waited", now-pr.receivedAt, "results", len(job.Handles), "made", len(pr.req.PriorResults), "jobs", p.scheduler.JobCount())
	return Placement{ID: job.JobID, Inputs: job.Handles, Server: srv.ID, Address: srv.Address, SoftwareVersion: srv.SoftwareVersion, Cold: srv.Cold, GrantedAt: now, ExpectedFirstEvent: srv.ExpectedFirstEvent}
}

// JobCount returns the number of requests whose stages are running or whose results are
// kept.
func (p *Planner) JobCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.JobCount()
}

// HeldResults returns the results that servers keep for requests, by owner.
func (p *Planner) HeldResults() map[string][]staging.FreeRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.HeldResults()
}
