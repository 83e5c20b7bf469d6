package agent

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliawheel/magnoliawheel/core/claims"
	"github.com/magnoliawheel/magnoliawheel/core/fairqueue"
	"github.com/magnoliawheel/magnoliawheel/core/ledger"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/schema"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

// accept admits a new attempt or refuses it. It returns true if the attempt is
// already recorded, so that the caller attaches to it.
func (w *worker) accept(now time.Time, id ledger.ID, req *wire.RunRequest) (attached bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ledger.Get(id) != nil {
		return true
	}
	w.applyConfig()
	if o := w.checkAdmission(now, req); o.Code != result.OK {
		w.refuseAttempt(now, id, o)
		return false
	}
	job := newJob(now, req)
	if code := w.ledger.Accept(now, id, job); code != result.OK {
		w.process.metrics.countEnded(code)
		return false
	}
	w.process.metrics.accepted.Inc(1)
	w.enqueueOrPrepare(now, &task{id: id, req: req, deadline: job.Deadline, acceptedAt: now, checksum: xxhash.New(), subscribers: map[chan struct{}]struct{}{}})
	return false
}

// newJob returns the ledger's description of a call.
func newJob(now time.Time, req *wire.RunRequest) ledger.Job {
	return ledger.Job{
		Customer: req.Customer, Pipeline: req.Pipeline, Stage: req.Stage, Deadline: now.Add(requestBudget(req)), Idempotent: req.Idempotent, Shared: needsClaim(req),
		ReserveBytes: resultReserveBytes(req), InputBytes: inputBytes(req), MaxResultBytes: schema.MaxAnswerBytes,
	}
}

// requestBudget returns the time left for a call when its request was sent.
func requestBudget(req *wire.RunRequest) time.Duration {
	return time.Duration(req.BudgetUs) * time.Microsecond
}

// enqueueOrPrepare adds an accepted task. It queues the task at once, or starts
// the preparation of a task that needs its input fetched or its key claimed.
// The caller holds mu.
func (w *worker) enqueueOrPrepare(now time.Time, t *task) {
	w.tasks[t.id] = t
	if t.req.Ref == nil && !needsClaim(t.req) {
		w.enqueue(now, t)
		return
	}
	t.preparing, t.claiming = true, needsClaim(t.req)
	w.preparingCount++
	w.wg.Go(func() { w.prepare(t) })
}

// checkAdmission returns the outcome of a call that must be refused; the code
// is OK if the call may be accepted. A duplicate of a key held by this process
// is answered from its record, even when new calls are not accepted.
func (w *worker) checkAdmission(now time.Time, req *wire.RunRequest) ledger.Outcome {
	if e := w.checkKey(now, req); e != nil {
		return ledger.Outcome{Code: e.Code, Message: e.Message, Ran: e.Ran}
	}
	if o, held := w.duplicateOutcome(req); held {
		return o
	}
	return w.checkCapacity(now, req)
}

// enqueue adds a task to the queue, or refuses it if the queue is full. The
// caller holds mu.
func (w *worker) enqueue(now time.Time, t *task) {
	item := fairqueue.Item{
		Key: t.id, Customer: t.req.Customer, Weight: int(t.req.Weight), Cost: w.timing.expected(t.req).Seconds(),
		Deadline: w.latestStart(t), Priority: int(t.req.Priority),
	}
	if !w.queue.Push(now, item) {
		w.refuseAttempt(now, t.id, ledger.Outcome{Code: result.QueueFull, Ran: result.RanNo, RetryAfter: w.expectedWait(t.req)})
		return
	}
	w.dispatch(now)
}

// prepare fetches the input of a task and claims its key, as needed, and then
// queues the task.
func (w *worker) prepare(t *task) {
	if o := w.fetchInput(t); o.Code != result.OK {
		w.refusePrepared(t, o)
		return
	}
	if needsClaim(t.req) {
		w.claimAndEnqueue(t)
		return
	}
	w.enqueuePrepared(t, nil)
}

// enqueuePrepared queues a prepared task unless it was cancelled in the
// meantime. claim is the claim that holds the task's key; nil if the task needs
// none.
func (w *worker) enqueuePrepared(t *task, claim *claims.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if claim != nil {
		w.recordHeldKey(t, claim)
	}
	t.preparing, t.claiming = false, false
	w.preparingCount--
	if a := w.ledger.Get(t.id); a != nil && a.State == ledger.Queued {
		w.enqueue(time.Now(), t)
		return
	}
	if claim != nil {
		w.releaseClaim(claim)
	}
}

// refusePrepared refuses a task whose preparation failed.
func (w *worker) refusePrepared(t *task, o ledger.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t.preparing, t.claiming = false, false
	w.preparingCount--
	w.refuseAttempt(time.Now(), t.id, o)
}

// inputBytes returns the memory that the input of a call needs, in bytes.
func inputBytes(req *wire.RunRequest) int64 {
	return int64(len(req.Payload)) + int64(req.GetRef().GetSizeBytes())
}

// latestStart returns the time after which a queued task is not started, since
// it could not end before its deadline. If a slot is free, the task starts at
// once and the expected service time, which may be out of date, is ignored. The
// caller holds mu.
func (w *worker) latestStart(t *task) time.Time {
	if w.runningCount < w.limiter.Limit() {
		return t.deadline
	}
	return t.deadline.Add(-w.timing.expected(t.req))
}

// resultReserveBytes returns the memory to reserve for the result, in bytes.
func resultReserveBytes(req *wire.RunRequest) int64 {
	return baseReserveBytes + reserveBytesPerToken*int64(req.MaxTokens)
}

// checkCapacity refuses a new call if the agent accepts none now, if too many
// tasks are in preparation, or if the call is not expected to end within its
// budget. The caller holds mu.
func (w *worker) checkCapacity(now time.Time, req *wire.RunRequest) ledger.Outcome {
	budget := requestBudget(req)
	wait := w.expectedWait(req)
	switch {
	case w.leavingReasons != 0:
		return ledger.Outcome{Code: result.ServerLeaving, Ran: result.RanNo}
	case w.process.pauseGuard.paused(now):
		return ledger.Outcome{Code: result.Paused, Ran: result.RanNo, RetryAfter: pauseThreshold}
	case budget <= 0:
		return ledger.Outcome{Code: result.BudgetSpent, Ran: result.RanNo}
	case w.preparingCount >= w.queueLimit:
		return ledger.Outcome{Code: result.QueueFull, Ran: result.RanNo, RetryAfter: wait}
	case wait > 0 && w.expectedWaitIfBusy(now, req)+w.timing.expected(req) > budget:
		return ledger.Outcome{Code: result.Overloaded, Ran: result.RanNo, RetryAfter: wait}
	}
	return ledger.Outcome{}
}

// expectedWait returns the expected queueing time of a new call; 0 if a slot is
// free. The caller holds mu.
func (w *worker) expectedWait(req *wire.RunRequest) time.Duration {
	if w.runningCount < w.limiter.Limit() {
		return 0
	}
	return w.timeToServe(w.queue.CostAhead(req.Customer, int(req.Weight)))
}

// fairQueueWaitMargin scales the expected wait in a fair queue, where later
// arrivals of other customers may overtake a queued call.
const fairQueueWaitMargin = 1.3

// expectedWaitIfBusy returns the expected queueing time of a new call under the
// assumption that all customers with queued calls keep sending. For a fair
// queue it includes a margin. The caller holds mu.
func (w *worker) expectedWaitIfBusy(now time.Time, req *wire.RunRequest) time.Duration {
	wait := w.timeToServe(w.queue.CostAheadIfBusy(now, req.Customer, int(req.Weight)))
	if fairqueue.Policy(w.process.settings.Limits.QueuePolicy) == fairqueue.FIFO {
		return wait
	}
	return time.Duration(fairQueueWaitMargin * float64(wait))
}

// timeToServe returns the time that the server needs for queued calls of the
// given total cost, in seconds of service time, and for one call that is
// running. The caller holds mu.
func (w *worker) timeToServe(cost float64) time.Duration {
	return time.Duration((cost + w.timing.perCall.Seconds()) / float64(w.limiter.Limit()) * float64(time.Second))
}
