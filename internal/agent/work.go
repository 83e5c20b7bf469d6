package agent

import (
	"context"
	"fmt"
	"io"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"github.com/magnoliawheel/magnoliawheel/core/claims"
	"github.com/magnoliawheel/magnoliawheel/core/fairqueue"
	"github.com/magnoliawheel/magnoliawheel/core/ledger"
	"github.com/magnoliawheel/magnoliawheel/core/limit"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/schema"
	"github.com/magnoliawheel/magnoliawheel/internal/engine"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

// Bounds of the work in hand.
const (
	// defaultConcurrency and defaultQueue apply while no schema is in force.
	defaultConcurrency = 8
	defaultQueue       = 64
	// defaultRetention applies while no schema is in force.
	defaultRetention = 30 * time.Second
	// tombstoneRetention outlasts the longest budget and the longest idle time of
	// a connection, so that no copy of a Run can arrive after it.
	tombstoneRetention = 15 * time.Minute
	replayRetention    = time.Minute
	maxRemembered      = 1 << 16
	// reserveBytes is the memory set aside for the result of a plain call, and
	// tokenBytes for each token of a generation.
	reserveBytes = 4 << 10
	tokenBytes   = 8
	// expireInterval is the time between two sweeps for what expired.
	expireInterval = 250 * time.Millisecond
)

// leavingReason is why the agent takes no new work.
type leavingReason uint8

const (
	// leavingSignal: the process was told to stop.
	leavingSignal leavingReason = 1 << iota
	// leavingListed: the platform's list says that the instance leaves.
	leavingListed
	// leavingOrdered: an operator ordered it.
	leavingOrdered
)

// task is the process's part of an attempt that the ledger holds.
type task struct {
	id       ledger.ID
	req      *wire.RunRequest
	deadline time.Time
	accepted time.Time
	began    time.Time
	ended    time.Time
	tokens   uint64
	checksum *xxhash.Digest
	// cancel stops the call at the server; nil while it does not run.
	cancel  context.CancelFunc
	readers map[chan struct{}]struct{}
	// preparing is set before the task is queued, claiming while the claim of its
	// key is not settled; claim is the one that holds.
	preparing, claiming bool
	claim               *claims.Record

	fetchedBytes  uint64
	fetchedRegion string
}

// work holds the calls in hand: those that wait, those at the server, and the
// results that wait for their acknowledgement.
type work struct {
	p      *Process
	log    logr.Logger
	model  *engine.Model
	plain  *engine.Service
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	ledger *ledger.Ledger
	queue  *fairqueue.Queue
	// queueLimit bounds the queue, and the tasks that are being prepared.
	queueLimit int
	limiter    *limit.Limiter
	tasks      map[ledger.ID]*task
	claims     *claimer
	running    int
	// preparing is the number of tasks that wait for their input or their claim.
	preparing int
	leaving   leavingReason
	// timing is the smoothed time at the server.
	timing timing
	models modelList
	// changed is signalled when work ends or a result is acknowledged.
	changed chan struct{}
}

func newWork(p *Process) *work {
	ctx, cancel := context.WithCancel(context.Background())
	return &work{
		p: p, log: p.log.WithName("work"), ctx: ctx, cancel: cancel,
		model: engine.NewModel(p.settings.Server.URL),
		plain: engine.NewService(p.settings.Server.URL),
		ledger: ledger.New(ledger.Options{
			KeptBytes: p.settings.Limits.KeptBytes, Retention: defaultRetention,
			TombstoneRetention: tombstoneRetention, ReplayRetention: replayRetention, MaxRemembered: maxRemembered,
		}),
		queue:      fairqueue.New(fairqueue.Policy(p.settings.Limits.Queue), defaultQueue),
		queueLimit: defaultQueue,
		limiter:    limit.New(limit.Options{Min: 1, Max: defaultConcurrency}),
		tasks:      map[ledger.ID]*task{},
		changed:    make(chan struct{}, 1),
		claims:     newClaimer(ctx, p.log, p.plog),
	}
}

// applyConfig takes the bounds of the schema in force. The caller holds mu.
func (w *work) applyConfig() {
	s := w.p.config.Current().Schema
	if s == nil {
		return
	}
	if d := s.Limits.ResultRetention.Std(); d > 0 {
		w.ledger.SetRetention(d)
	}
	if pool := s.Pool(w.p.settings.Server.Pool); pool != nil {
		w.limiter.SetMax(pool.Concurrency)
		w.queueLimit = pool.Queue
		w.queue.SetLimit(pool.Queue)
	}
}

// accept takes a run in, or finds the attempt that exists already.
func (w *work) accept(now time.Time, id ledger.ID, req *wire.RunRequest) (attached bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ledger.Get(id) != nil {
		return true
	}
	w.applyConfig()
	deadline := now.Add(time.Duration(req.BudgetUs) * time.Microsecond)
	if o := w.judge(now, req); o.Code != result.OK {
		w.refuse(now, id, o)
		return false
	}
	job := ledger.Job{Deadline: deadline, Idempotent: req.Idempotent, Shared: keyed(req), Reserve: reserveOf(req), Input: inputOf(req), MaxBytes: schema.MaxAnswerBytes}
	if code := w.ledger.Accept(now, id, job); code != result.OK {
		w.p.metrics.ended(code)
		return false
	}
	t := &task{id: id, req: req, deadline: deadline, accepted: now, checksum: xxhash.New(), readers: map[chan struct{}]struct{}{}}
	w.tasks[id] = t
	w.p.metrics.accepted.Inc(1)
	if req.Ref == nil && !keyed(req) {
		w.push(now, t)
		return false
	}
	t.preparing, t.claiming = true, keyed(req)
	w.preparing++
	w.wg.Go(func() { w.prepare(t) })
	return false
}

// prepare pulls the input and claims the key of a task, and queues it.
func (w *work) prepare(t *task) {
	if o := w.pull(t); o.Code != result.OK {
		w.endPreparing(t, o)
		return
	}
	if keyed(t.req) {
		w.claimThenQueue(t)
		return
	}
	w.queuePrepared(t, nil)
}

// queuePrepared queues a task unless it was cancelled meanwhile. The claim is the
// one that holds its key, or nil.
func (w *work) queuePrepared(t *task, claim *claims.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t.claim = claim
	t.preparing, t.claiming = false, false
	w.preparing--
	if a := w.ledger.Get(t.id); a != nil && a.State == ledger.Queued {
		w.push(time.Now(), t)
		return
	}
	if claim != nil {
		w.release(claim)
	}
}

// endPreparing refuses a task.
func (w *work) endPreparing(t *task, o ledger.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t.preparing, t.claiming = false, false
	w.preparing--
	w.refuse(time.Now(), t.id, o)
}

// push queues a task, or refuses it if the queue is full. The caller holds mu.
func (w *work) push(now time.Time, t *task) {
	it := fairqueue.Item{
		Key: t.id, Customer: t.req.Customer, Weight: int(t.req.Weight), Cost: w.timing.expect(t.req).Seconds(),
		Deadline: w.latestStart(t), Priority: int(t.req.Priority),
	}
	if !w.queue.Push(now, it) {
		w.refuse(now, t.id, ledger.Outcome{Code: result.QueueFull, Ran: result.RanNo, RetryAfter: w.wait(t.req)})
		return
	}
	w.dispatch(now)
}

// inputOf returns the memory that the input takes, in bytes.
func inputOf(req *wire.RunRequest) int64 {
	return int64(len(req.Payload)) + int64(req.GetRef().GetSizeBytes())
}

// latestStart returns when a task that has to wait is no longer worth starting,
// since it would not end in time. The caller holds mu.
func (w *work) latestStart(t *task) time.Time {
	if w.running < w.limiter.Limit() {
		return t.deadline
	}
	return t.deadline.Add(-w.timing.expect(t.req))
}

func reserveOf(req *wire.RunRequest) int64 {
	return reserveBytes + tokenBytes*int64(req.MaxTokens)
}

// judge refuses what cannot be served in time.
func (w *work) judge(now time.Time, req *wire.RunRequest) ledger.Outcome {
	budget := time.Duration(req.BudgetUs) * time.Microsecond
	wait := w.wait(req)
	if e := w.judgeKey(now, req); e != nil {
		return ledger.Outcome{Code: e.Code, Message: e.Message, Ran: e.Ran}
	}
	switch {
	case w.leaving != 0:
		return ledger.Outcome{Code: result.ServerLeaving, Ran: result.RanNo}
	case budget <= 0:
		return ledger.Outcome{Code: result.BudgetSpent, Ran: result.RanNo}
	case w.preparing >= w.queueLimit:
		return ledger.Outcome{Code: result.QueueFull, Ran: result.RanNo, RetryAfter: wait}
	case wait > 0 && wait+w.timing.expect(req) > budget:
		return ledger.Outcome{Code: result.Overloaded, Ran: result.RanNo, RetryAfter: wait}
	}
	return ledger.Outcome{}
}

// wait returns the expected time in the queue of a new call. The caller holds mu.
func (w *work) wait(req *wire.RunRequest) time.Duration {
	if w.running < w.limiter.Limit() {
		return 0
	}
	cost := w.timing.expect(req)
	ahead := w.queue.Ahead(req.Customer, int(req.Weight), cost.Seconds())
	return time.Duration((ahead + w.timing.service.Seconds()) / float64(w.limiter.Limit()) * float64(time.Second))
}

// refuse records that an attempt never runs. The caller holds mu.
func (w *work) refuse(now time.Time, id ledger.ID, o ledger.Outcome) {
	w.ledger.Refuse(now, id, o)
	w.p.metrics.ended(o.Code)
	w.drop(id)
}

// drop wakes the readers of an attempt that left the work. The caller holds mu.
func (w *work) drop(id ledger.ID) {
	if t := w.tasks[id]; t != nil {
		delete(w.tasks, id)
		t.wake()
		if a := w.ledger.Get(id); t.claim != nil && a != nil && a.State == ledger.NotRun {
			w.release(t.claim)
		}
	}
	w.notify()
}

func (w *work) notify() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// dispatch refuses the calls that left the queue unserved and starts as many
// others as the limit allows. The caller holds mu.
func (w *work) dispatch(now time.Time) {
	for _, d := range w.queue.Drop(now, nil) {
		o := ledger.Outcome{Code: result.BudgetSpent, Ran: result.RanNo}
		if d.Reason == fairqueue.Displaced {
			o = ledger.Outcome{Code: result.CustomerOverShare, Ran: result.RanNo, RetryAfter: w.timing.service}
		}
		w.refuse(now, d.Key.(ledger.ID), o)
	}
	for w.running < w.limiter.Limit() {
		it, ok := w.queue.Pop(now)
		if !ok {
			return
		}
		t := w.tasks[it.Key.(ledger.ID)]
		w.running++
		w.wg.Go(func() { w.run(t) })
	}
}

// expireLoop drops what outlived its time until ctx ends.
func (w *work) expireLoop(ctx context.Context) {
	tick := time.NewTicker(expireInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			w.expire(now)
		}
	}
}

func (w *work) expire(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range w.ledger.Expire(now) {
		w.drop(id)
	}
	w.applyConfig()
	w.dispatch(now)
	w.p.metrics.running.Update(float64(w.running))
	w.p.metrics.queued.Update(float64(w.queue.Len()))
	w.p.metrics.limit.Update(float64(w.limiter.Limit()))
	w.p.metrics.kept.Update(float64(w.ledger.KeptBytes()))
	w.p.metrics.known.Update(float64(w.ledger.Len()))
}

func (w *work) setLeaving(why leavingReason, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if on {
		w.leaving |= why
	} else {
		w.leaving &^= why
	}
}

func (w *work) isLeaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving != 0
}

func (w *work) counts() (working, results int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ledger.Unacknowledged()
}

// waitIdle returns once no call waits or runs.
func (w *work) waitIdle() {
	for {
		if working, _ := w.counts(); working == 0 {
			return
		}
		<-w.changed
	}
}

// waitAcknowledged returns once no result is kept or the grace is over, with the
// number of results that are left.
func (w *work) waitAcknowledged(grace <-chan time.Time) int {
	for {
		_, results := w.counts()
		if results == 0 && w.claims.waiting() == 0 {
			return 0
		}
		select {
		case <-w.changed:
		case <-time.After(expireInterval):
		case <-grace:
			return results
		}
	}
}

// stop cancels what still runs and waits for it.
func (w *work) stop() {
	w.cancel()
	w.wg.Wait()
	w.claims.wg.Wait()
}

func (w *work) writeCut(out io.Writer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var lines []string
	for id := range w.tasks {
		a := w.ledger.Get(id)
		lines = append(lines, fmt.Sprintf("%s %s", a.State, idString(id)))
	}
	sort.Strings(lines)
	for _, line := range lines {
		_, _ = fmt.Fprintln(out, "cut:", line)
	}
}
