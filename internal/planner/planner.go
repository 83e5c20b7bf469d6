// Package planner places requests: it runs their stages on servers that entries
// share, and chooses the server that runs the request itself. It is the I/O around
// core/staging and core/placement.
package planner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/magnoliawheel/magnoliawheel/core/placement"
	"github.com/magnoliawheel/magnoliawheel/core/staging"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/telemetry"
)

const (
	// tick is the time between two looks at what can be started while there is work.
	tick = 10 * time.Millisecond
	// readGrace is how long the results of a request that was placed for a lost
	// entry are kept, since its server may be about to read them.
	readGrace = 2 * time.Second
)

// Stages carries out calls to the servers of stages.
type Stages interface {
	Make(ctx context.Context, c staging.Call) (staging.CallStatus, []staging.Result, error)
	Free(ctx context.Context, f staging.FreeRequest) error
}

// Pool is a set of servers. Spec is set for servers of stages.
type Pool struct {
	Name    string
	Spec    *staging.PoolSpec
	Stage   []staging.Server
	Servers []placement.Server
}

// Request asks for the placement of one request. Due and Deadline are times left.
type Request struct {
	ID            string
	Key           string
	Stages        []staging.Stage
	Rank          int
	Due, Deadline time.Duration
	Pool          string
	Zone          string
	Parts         []placement.PromptPart
	MaxTokens     int
	Avoid         []string
	// Owner names the start of the entry that asks.
	Owner string
	// Made are results that an entry which placed the request before had made.
	Made []staging.ResultLocation
}

// Reasons besides those of package staging.
const (
	// NoServer: no server of the pool can be used.
	NoServer staging.RefusalReason = 100 + iota
	// Moved: this entry stops; another one goes on with what was made.
	Moved
)

// Watcher hears of one request.
type Watcher struct {
	// Placed is called once, unless the request is cancelled before.
	Placed func(Placed)
	// Made is called with new results.
	Made func([]staging.ResultLocation)
	// Own marks requests of this entry.
	Own bool
}

// Placed is the answer to a Request.
type Placed struct {
	ID string
	// Reason is 0 if the request was placed.
	Reason     staging.RefusalReason
	RetryAfter time.Duration
	Inputs     []string
	Server     string
	Address    string
}

// Phase is how far a placed request got.
type Phase uint8

// The phases after the placement.
const (
	// Started requests have read their inputs.
	Started Phase = iota + 1
	Complete
	Failed
	Unreached
	Cancelled
)

var phaseEnds = map[Phase]placement.Outcome{
	Complete: placement.Complete, Failed: placement.Failed,
	Unreached: placement.Unreached, Cancelled: placement.Cancelled,
}

type waiting struct {
	req Request
	w   Watcher
	at  time.Duration
	// moving requests are being handed over to another entry.
	moving bool
}

// Planner places requests. It is safe for concurrent use.
type Planner struct {
	stages Stages
	log    logr.Logger

	mu      sync.Mutex
	sched   *staging.Scheduler
	servers *placement.Table
	waiting map[string]*waiting
	wake    chan struct{}
	stopped bool
}

// New returns a planner without pools. The map holds the region of each availability
// zone.
func New(stages Stages, regions map[string]string, log logr.Logger) *Planner {
	return &Planner{
		stages: stages, log: log, sched: staging.New(), servers: placement.New(regions),
		waiting: map[string]*waiting{}, wake: make(chan struct{}, 1),
	}
}

// Run keeps the planner going until ctx ends. Other events do not put ticks off.
func (p *Planner) Run(ctx context.Context) {
	timer := time.NewTimer(tick)
	defer timer.Stop()
	for armed := true; ; {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		case <-timer.C:
			armed = false
			p.step(func(now time.Duration) { p.sched.Tick(now) })
		}
		if !armed && !p.idle() {
			timer.Reset(tick)
			armed = true
		}
	}
}

func (p *Planner) idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sched.Idle()
}

// SetPools sets the servers that can be used.
func (p *Planner) SetPools(pools []Pool) {
	p.step(func(time.Duration) {
		for _, pool := range pools {
			if pool.Spec != nil {
				p.sched.SetPool(pool.Name, *pool.Spec, pool.Stage)
			} else {
				p.servers.SetServers(pool.Name, pool.Servers)
			}
		}
	})
}

// Place places a request.
func (p *Planner) Place(req Request, w Watcher) {
	p.step(func(now time.Duration) {
		p.sched.Release(now, req.ID)
		p.waiting[req.ID] = &waiting{req: req, w: w, at: now, moving: p.stopped && !w.Own}
		if p.waiting[req.ID].moving {
			return
		}
		parts := placementRequest(&req)
		p.sched.Submit(now, staging.Job{
			ID: req.ID, Key: req.Key, Stages: req.Stages, Priority: req.Rank,
			ObjectiveDeadline: now + req.Due, Deadline: now + req.Deadline, RequestDuration: placement.ExpectedFirstEvent(parts),
			ReaderZone: p.servers.LikelyZone(now, parts), Owner: req.Owner, PriorResults: req.Made,
		})
		if expected, ok := p.sched.ExpectedDuration(req.ID); ok {
			p.log.Info("Request taken.", "request", req.ID, "owner", req.Owner, "expected", expected, "due", req.Due,
				"made", len(req.Made), "jobs", p.sched.JobCount())
		}
	})
}

// Progress takes how far a placed request got.
func (p *Planner) Progress(id string, phase Phase) {
	p.step(func(now time.Duration) {
		if phase == Started {
			p.servers.RequestStarted(now, id)
			p.sched.RequestStarted(now, id)
			return
		}
		delete(p.waiting, id)
		p.servers.Finish(now, id, phaseEnds[phase])
		p.sched.Release(now, id)
	})
}

// GiveUp gives up results that another entry had made and no longer knows of.
func (p *Planner) GiveUp(made []staging.ResultLocation) {
	p.step(func(now time.Duration) { p.sched.FreeResults(now, made) })
}

// Abandon ends a request whose entry was lost. Results that were handed out are
// kept for a while.
func (p *Planner) Abandon(id string) {
	p.mu.Lock()
	_, pending := p.waiting[id]
	p.mu.Unlock()
	if pending {
		p.Progress(id, Cancelled)
		return
	}
	time.AfterFunc(readGrace, func() { p.Progress(id, Cancelled) })
}

func placementRequest(req *Request) placement.Request {
	return placement.Request{
		ID: req.ID, Pool: req.Pool, Zone: req.Zone, Parts: req.Parts, MaxTokens: req.MaxTokens, Avoid: req.Avoid,
	}
}

// step changes the state and carries out the actions that follow.
func (p *Planner) step(change func(now time.Duration)) {
	p.mu.Lock()
	now := clock.Now()
	change(now)
	acts := p.sched.TakeActions()
	replies := p.replies(now, acts)
	p.mu.Unlock()
	for _, reply := range replies {
		reply()
	}
	for _, c := range acts.Calls {
		go p.make(c)
	}
	for _, f := range acts.FreeRequests {
		go p.free(f)
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// replies chooses the servers of the jobs that are done and returns the answers.
func (p *Planner) replies(now time.Duration, acts staging.Actions) []func() {
	var all []func()
	answer := func(w *waiting, placed Placed) {
		delete(p.waiting, placed.ID)
		all = append(all, func() { w.w.Placed(placed) })
	}
	for id, made := range acts.ResultChanges {
		if w := p.waiting[id]; w != nil {
			all = append(all, func() { w.w.Made(made) })
		}
	}
	for _, r := range acts.Refusals {
		if w := p.waiting[r.JobID]; w != nil {
			p.log.Info("Request refused.", "request", r.JobID, "reason", r.Reason.String(),
				"expected", r.ExpectedTime, "waited", now-w.at, "retry_after", r.RetryAfter, "jobs", p.sched.JobCount())
			answer(w, Placed{ID: r.JobID, Reason: r.Reason, RetryAfter: r.RetryAfter})
		}
	}
	for _, d := range acts.CompletedJobs {
		w := p.waiting[d.JobID]
		if w == nil {
			continue
		}
		req := placementRequest(&w.req)
		req.InputBytesByZone = d.BytesByZone
		srv, ok := p.servers.Choose(now, req)
		if !ok {
			p.sched.Release(now, d.JobID)
			answer(w, Placed{ID: d.JobID, Reason: NoServer, RetryAfter: time.Second})
			continue
		}
		p.log.Info("Request placed.", "request", d.JobID, "server", srv.ID, "waited", now-w.at, "results", len(d.Handles))
		answer(w, Placed{ID: d.JobID, Inputs: d.Handles, Server: srv.ID, Address: srv.Address})
	}
	p.moved(answer)
	return all
}

// Stop hands the requests of other entries over. Those of this entry go on: it may
// know no entry that comes after it.
func (p *Planner) Stop() {
	p.step(func(time.Duration) {
		p.stopped = true
		p.handOver(func(w *waiting) bool { return !w.w.Own })
	})
}

// HandOver hands all requests over, to an entry that comes before this one.
func (p *Planner) HandOver() {
	p.step(func(time.Duration) { p.handOver(func(*waiting) bool { return true }) })
}

// handOver starts no more calls for the requests that which names. Each is answered
// with Moved once no call makes pieces of it.
func (p *Planner) handOver(which func(*waiting) bool) {
	for id, w := range p.waiting {
		if !w.moving && which(w) {
			w.moving = true
			p.sched.SuspendJob(id)
		}
	}
}

// moved answers the requests that are handed over and that no call works for.
func (p *Planner) moved(answer func(*waiting, Placed)) {
	for id, w := range p.waiting {
		if w.moving && !p.sched.HasOpenCall(id) {
			p.sched.DetachJob(id)
			answer(w, Placed{ID: id, Reason: Moved})
		}
	}
}

// make carries out a call and takes its end.
func (p *Planner) make(c staging.Call) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	start := clock.Now()
	end, results, err := p.stages.Make(ctx, c)
	took := clock.Now() - start
	if end != staging.Answered {
		p.log.Info("Stage call failed.", "call", c.ID, "requests", requestsOf(c), "pool", c.Pool, "server", c.Server.ID, "pieces", len(c.Items), "took", took, "cause", telemetry.Cause(err))
	} else {
		p.log.Info("Stage call done.", "call", c.ID, "requests", requestsOf(c), "pool", c.Pool, "server", c.Server.ID, "pieces", len(c.Items), "took", took, "expected", c.ExpectedTime,
			"waited", c.WaitTime, "memory_left", c.MemoryLeft)
	}
	p.step(func(now time.Duration) { p.sched.CallDone(now, c.ID, end, results) })
}

// requestsOf returns the ids of the requests that a call makes pieces of.
func requestsOf(c staging.Call) []string {
	var ids []string
	for _, it := range c.Items {
		if !slices.Contains(ids, it.JobID) {
			ids = append(ids, it.JobID)
		}
	}
	return ids
}

func (p *Planner) free(f staging.FreeRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	start := clock.Now()
	err := p.stages.Free(ctx, f)
	p.log.Info("Results given up.", "server", f.Server.ID, "results", len(f.Handles), "took", clock.Now()-start, "cause", telemetry.Cause(err))
	p.step(func(now time.Duration) { p.sched.FreeDone(now, f.ID) })
}

// Jobs returns the number of requests whose stages run or whose results are kept.
func (p *Planner) Jobs() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sched.JobCount()
}

// Held returns the results that servers keep for requests, by owner.
func (p *Planner) Held() map[string][]staging.FreeRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sched.HeldResults()
}
