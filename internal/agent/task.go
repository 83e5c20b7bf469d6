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

// Bounds of cancelling a stream at the engine.
const (
	cancelAttempts = 3
	cancelPause    = 100 * time.Millisecond
)

func idOf(a *wire.AttemptID) ledger.ID {
	return ledger.ID{Request: a.GetRequestId(), Stage: a.GetStage(), Attempt: a.GetAttempt()}
}

func wireID(id ledger.ID) *wire.AttemptID {
	return &wire.AttemptID{RequestId: id.Request, Stage: id.Stage, Attempt: id.Attempt}
}

// idString is the name of an attempt towards the server.
func idString(id ledger.ID) string {
	return fmt.Sprintf("%s/%d/%d", id.Request, id.Stage, id.Attempt)
}

// wake signals the readers. The caller holds the mutex of the work.
func (t *task) wake() {
	for r := range t.readers {
		select {
		case r <- struct{}{}:
		default:
		}
	}
}

// server returns the client for the kind of call.
func (w *work) server(req *wire.RunRequest) engine.Server {
	if req.Model != "" {
		return w.model
	}
	return w.plain
}

// run takes one call through the server.
func (w *work) run(t *task) {
	ctx, cancel := context.WithDeadline(w.ctx, t.deadline)
	defer cancel()
	w.mu.Lock()
	t.cancel = cancel
	w.mu.Unlock()
	server := w.server(t.req)
	o := server.Run(ctx, engine.Call{
		ID: idString(t.id), Name: t.req.Call, Input: t.req.Payload, Model: t.req.Model, Prefix: t.req.Prefix,
		MaxTokens: t.req.MaxTokens, Priority: t.req.Priority,
		BeforeSend: func() result.Code { return w.begin(t) },
	}, func(c engine.Chunk) result.Code { return w.take(t, c) })
	w.end(t, o)
	if o.Code != result.OK && o.Ran != result.RanNo {
		w.cancelAtServer(server, t)
	}
	w.free(t, o)
}

// begin is called immediately before the server is.
func (w *work) begin(t *task) result.Code {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	code := w.ledger.Begin(now, t.id)
	if code == result.OK {
		t.began = now
	}
	return code
}

// take keeps a part of the result.
func (w *work) take(t *task, c engine.Chunk) result.Code {
	w.mu.Lock()
	defer w.mu.Unlock()
	code := w.ledger.Append(time.Now(), t.id, ledger.Chunk{Data: c.Data, Tokens: c.Tokens})
	if code != result.OK {
		return code
	}
	_, _ = t.checksum.Write(c.Data)
	t.tokens += uint64(c.Tokens)
	t.wake()
	return result.OK
}

// end records how the call ended.
func (w *work) end(t *task, o engine.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	out := ledger.Outcome{Code: o.Code, Message: o.Message, Ran: o.Ran}
	t.ended = now
	t.req.Payload = nil
	t.cancel = nil
	switch a := w.ledger.Get(t.id); {
	case a == nil || a.State == ledger.NotRun:
		w.drop(t.id)
	case a.State == ledger.Queued:
		w.refuse(now, t.id, out)
	case o.Ran == result.RanNo:
		w.ledger.MarkNotRun(now, t.id, out)
		w.p.metrics.ended(o.Code)
		w.drop(t.id)
	default:
		w.ledger.Finish(now, t.id, out)
		w.p.metrics.ended(o.Code)
		t.wake()
		w.notify()
	}
}

// free gives the place at the server free.
func (w *work) free(t *task, o engine.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if !t.began.IsZero() && (o.Code == result.OK || o.Code == result.ServerFailed) {
		took := t.ended.Sub(t.began)
		w.limiter.Observe(now, perUnit(t, took), w.running, o.Code != result.OK)
		if o.Code == result.OK {
			w.timing.observe(t.req, took, t.tokens)
			w.p.metrics.service.Record(took)
		}
	}
	w.running--
	w.dispatch(now)
}

// perUnit returns the time relative to the size of the call.
func perUnit(t *task, took time.Duration) time.Duration {
	if t.tokens == 0 {
		return took
	}
	return took / time.Duration(t.tokens)
}

// cancelAtServer stops a call whose result nobody waits for.
func (w *work) cancelAtServer(server engine.Server, t *task) {
	for range cancelAttempts {
		err := server.Cancel(context.WithoutCancel(w.ctx), idString(t.id))
		if err == nil {
			return
		}
		w.log.V(1).Info("Cancelling at the server failed.", "request", t.id.Request, "error", err.Error())
		time.Sleep(cancelPause)
	}
}

// cancelTask cancels an attempt and returns its state.
func (w *work) cancelTask(now time.Time, id ledger.ID) ledger.State {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := w.ledger.Cancel(now, id)
	t := w.tasks[id]
	switch {
	case state == ledger.NotRun:
		w.queue.Remove(id)
		w.drop(id)
		if t != nil && t.cancel != nil {
			t.cancel()
		}
	case state == ledger.Running && t.req.Idempotent && t.cancel != nil:
		t.cancel()
	}
	if a := w.ledger.Get(id); a != nil {
		return w.stateOf(a)
	}
	return state
}

// acknowledge drops the result of an attempt.
func (w *work) acknowledge(now time.Time, id ledger.ID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a := w.ledger.Get(id); a == nil || a.State != ledger.Finished {
		return
	}
	w.ledger.Ack(now, id)
	if w.ledger.Get(id).State != ledger.Finished {
		w.drop(id)
	}
	w.notify()
}
