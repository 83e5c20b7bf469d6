package agent

import (
	"context"
	"fmt"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/ledger"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/engine"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

// Limits for cancelling a call at the server.
const (
	maxCancelTries      = 3
	cancelRetryInterval = 100 * time.Millisecond
)

func attemptID(a *wire.AttemptID) ledger.ID {
	return ledger.ID{Request: a.GetRequestId(), Stage: a.GetStage(), Attempt: a.GetAttempt()}
}

func wireID(id ledger.ID) *wire.AttemptID {
	return &wire.AttemptID{RequestId: id.Request, Stage: id.Stage, Attempt: id.Attempt}
}

// attemptName returns the id by which the server knows an attempt.
func attemptName(id ledger.ID) string {
	return fmt.Sprintf("%s/%d/%d", id.Request, id.Stage, id.Attempt)
}

// notifySubscribers signals that the attempt has changed. The caller holds the
// worker's mu.
func (t *task) notifySubscribers() {
	for subscriber := range t.subscribers {
		select {
		case subscriber <- struct{}{}:
		default:
		}
	}
}

// serverFor returns the client for the kind of call.
func (w *worker) serverFor(req *wire.RunRequest) engine.Server {
	if req.Model != "" {
		return w.engineClient
	}
	return w.serviceClient
}

// runTask executes a call at the server and releases its slot afterwards.
func (w *worker) runTask(t *task) {
	ctx, cancel := context.WithDeadline(w.ctx, t.deadline)
	defer cancel()
	w.mu.Lock()
	t.cancel = cancel
	w.mu.Unlock()
	server := w.serverFor(t.req)
	o := server.Run(ctx, engine.Call{
		ID: attemptName(t.id), Name: t.req.Call, Input: t.req.Payload, Model: t.req.Model, Prefix: t.req.Prefix,
		MaxTokens: t.req.MaxTokens, Priority: t.req.Priority,
		BeforeSend: func() result.Code { return w.beginTask(t) },
	}, func(c engine.Chunk) result.Code { return w.appendChunk(t, c) })
	w.endTask(t, o)
	if o.Code != result.OK && o.Ran != result.RanNo {
		w.cancelAtServer(server, t)
	}
	w.releaseSlot(t, o)
}

// beginTask marks a task as running. It is called immediately before the
// request is sent to the server.
func (w *worker) beginTask(t *task) result.Code {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	code := w.ledger.Begin(now, t.id)
	if code == result.OK {
		t.startedAt = now
	}
	return code
}

// appendChunk stores a part of the result.
func (w *worker) appendChunk(t *task, c engine.Chunk) result.Code {
	w.mu.Lock()
	defer w.mu.Unlock()
	code := w.ledger.Append(time.Now(), t.id, ledger.Chunk{Data: c.Data, Tokens: c.Tokens})
	if code != result.OK {
		return code
	}
	_, _ = t.checksum.Write(c.Data)
	t.tokens += uint64(c.Tokens)
	t.notifySubscribers()
	return result.OK
}

// endTask records the outcome of a call.
func (w *worker) endTask(t *task, o engine.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	outcome := ledger.Outcome{Code: o.Code, Message: o.Message, Ran: o.Ran}
	t.endedAt = now
	t.req.Payload = nil
	t.cancel = nil
	switch a := w.ledger.Get(t.id); {
	case a == nil || a.State == ledger.NotRun:
		w.removeTask(t.id)
	case a.State == ledger.Queued:
		w.refuseAttempt(now, t.id, outcome)
	case o.Ran == result.RanNo:
		w.ledger.MarkNotRun(now, t.id, outcome)
		w.process.metrics.countEnded(o.Code)
		w.removeTask(t.id)
	default:
		w.ledger.Finish(now, t.id, outcome)
		w.process.metrics.countEnded(o.Code)
		t.notifySubscribers()
		w.notifyChanged()
	}
}

// releaseSlot frees the slot of an ended call, updates the limiter and the
// service times, and starts queued calls.
func (w *worker) releaseSlot(t *task, o engine.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if !t.startedAt.IsZero() && (o.Code == result.OK || o.Code == result.ServerFailed) {
		serviceTime := t.endedAt.Sub(t.startedAt)
		w.limiter.Observe(now, timePerToken(t, serviceTime), w.runningCount, o.Code != result.OK)
		if o.Code == result.OK {
			w.timing.observe(t.req, serviceTime, t.tokens)
			w.process.metrics.serviceTime.Record(serviceTime)
		}
	}
	w.runningCount--
	w.dispatch(now)
}

// timePerToken returns the service time per generated token, or the whole
// service time if no tokens were generated.
func timePerToken(t *task, serviceTime time.Duration) time.Duration {
	if t.tokens == 0 {
		return serviceTime
	}
	return serviceTime / time.Duration(t.tokens)
}

// cancelAtServer cancels a call at the server after it ended here without a
// result.
func (w *worker) cancelAtServer(server engine.Server, t *task) {
	for range maxCancelTries {
		err := server.Cancel(context.WithoutCancel(w.ctx), attemptName(t.id))
		if err == nil {
			return
		}
		w.log.V(1).Info("Cancelling a call at the server failed.", "request", t.id.Request, "error", err.Error())
		time.Sleep(cancelRetryInterval)
	}
}

// cancelTask cancels an attempt and returns its state. A running call that is
// not idempotent continues.
func (w *worker) cancelTask(now time.Time, id ledger.ID) ledger.State {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := w.ledger.Cancel(now, id)
	t := w.tasks[id]
	switch {
	case state == ledger.NotRun:
		w.queue.Remove(id)
		w.removeTask(id)
		if t != nil && t.cancel != nil {
			t.cancel()
		}
	case state == ledger.Running && t.req.Idempotent && t.cancel != nil:
		t.cancel()
	}
	if a := w.ledger.Get(id); a != nil {
		return w.effectiveState(a)
	}
	return state
}

// acknowledge drops the result of a finished attempt.
func (w *worker) acknowledge(now time.Time, id ledger.ID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a := w.ledger.Get(id); a == nil || a.State != ledger.Finished {
		return
	}
	w.ledger.Ack(now, id)
	if w.ledger.Get(id).State != ledger.Finished {
		w.removeTask(id)
	}
	w.notifyChanged()
}
