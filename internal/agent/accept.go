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

// accept takes a run in, or finds the attempt that exists already.
func (w *work) accept(now time.Time, id ledger.ID, req *wire.RunRequest) (attached bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ledger.Get(id) != nil {
		return true
	}
	w.applyConfig()
	if o := w.refusal(now, req); o.Code != result.OK {
		w.refuse(now, id, o)
		return false
	}
	job := jobOf(now, req)
	if code := w.ledger.Accept(now, id, job); code != result.OK {
		w.p.metrics.ended(code)
		return false
	}
	w.p.metrics.accepted.Inc(1)
	w.start(now, &task{id: id, req: req, deadline: job.Deadline, accepted: now, checksum: xxhash.New(), readers: map[chan struct{}]struct{}{}})
	return false
}

// jobOf returns what the ledger needs to know of a run.
func jobOf(now time.Time, req *wire.RunRequest) ledger.Job {
	return ledger.Job{
		Customer: req.Customer, Pipeline: req.Pipeline, Stage: req.Stage, Deadline: now.Add(budgetOf(req)), Idempotent: req.Idempotent, Shared: keyed(req),
		ReserveBytes: reserveOf(req), InputBytes: inputOf(req), MaxResultBytes: schema.MaxAnswerBytes,
	}
}

func budgetOf(req *wire.RunRequest) time.Duration {
	return time.Duration(req.BudgetUs) * time.Microsecond
}

// start queues a task, or prepares it first. The caller holds mu.
func (w *work) start(now time.Time, t *task) {
	w.tasks[t.id] = t
	if t.req.Ref == nil && !keyed(t.req) {
		w.push(now, t)
		return
	}
	t.preparing, t.claiming = true, keyed(t.req)
	w.preparing++
	w.wg.Go(func() { w.prepare(t) })
}

// refusal returns why a run is refused; its code is OK if it is not. Copies of a
// key that this process holds are answered also when new work is not taken.
func (w *work) refusal(now time.Time, req *wire.RunRequest) ledger.Outcome {
	if e := w.judgeKey(now, req); e != nil {
		return ledger.Outcome{Code: e.Code, Message: e.Message, Ran: e.Ran}
	}
	if o, held := w.heldHere(req); held {
		return o
	}
	return w.judge(now, req)
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
	if claim != nil {
		w.hold(t, claim)
	}
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

// reserveOf returns the memory to set aside for the result, in bytes.
func reserveOf(req *wire.RunRequest) int64 {
	return reserveBytes + tokenBytes*int64(req.MaxTokens)
}

// judge refuses new work that is not taken or cannot be served in time. The
// caller holds mu.
func (w *work) judge(now time.Time, req *wire.RunRequest) ledger.Outcome {
	budget := budgetOf(req)
	wait := w.wait(req)
	switch {
	case w.leaving != 0:
		return ledger.Outcome{Code: result.ServerLeaving, Ran: result.RanNo}
	case w.p.pause.paused(now):
		return ledger.Outcome{Code: result.Paused, Ran: result.RanNo, RetryAfter: pauseLimit}
	case budget <= 0:
		return ledger.Outcome{Code: result.BudgetSpent, Ran: result.RanNo}
	case w.preparing >= w.queueLimit:
		return ledger.Outcome{Code: result.QueueFull, Ran: result.RanNo, RetryAfter: wait}
	case wait > 0 && w.waitIfBusy(now, req)+w.timing.expect(req) > budget:
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
	return w.timeFor(w.queue.CostAhead(req.Customer, int(req.Weight), cost.Seconds()))
}

// waitMargin raises the wait in a fair queue, where arrivals of other customers go
// ahead of a call that waits.
const waitMargin = 1.3

// waitIfBusy returns the time in the queue of a new call if the customers that
// wait now go on waiting, with a margin. The caller holds mu.
func (w *work) waitIfBusy(now time.Time, req *wire.RunRequest) time.Duration {
	cost := w.timing.expect(req)
	wait := w.timeFor(w.queue.CostAheadIfBusy(now, req.Customer, int(req.Weight), cost.Seconds()))
	if fairqueue.Policy(w.p.settings.Limits.QueuePolicy) == fairqueue.FIFO {
		return wait
	}
	return time.Duration(waitMargin * float64(wait))
}

// timeFor returns the time until the server has done the cost, in seconds, and
// the first call that runs. The caller holds mu.
func (w *work) timeFor(cost float64) time.Duration {
	return time.Duration((cost + w.timing.service.Seconds()) / float64(w.limiter.Limit()) * float64(time.Second))
}
