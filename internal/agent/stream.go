package agent

import (
	"context"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/ledger"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

// runStream is the server side of a Run or Attach stream.
type runStream interface {
	Context() context.Context
	Send(*wire.RunEvent) error
}

// attemptView is a snapshot of an attempt for streaming it to a subscriber.
type attemptView struct {
	// exists is false if the attempt is unknown; all other fields are unset then.
	exists     bool
	state      ledger.State
	outcome    ledger.Outcome
	chunkCount uint64
	chunks     []ledger.Chunk
	task       *task
	// resultBytes is the size of the result received so far.
	resultBytes int64
	// claiming is set until the claim on the attempt's key is decided.
	claiming bool
	// referenceOver is the result size, in bytes, above which the answer is a
	// reference; 0 if it never is.
	referenceOver int64
}

// active tells whether the attempt is queued or running.
func (v *attemptView) active() bool { return v.state == ledger.Queued || v.state == ledger.Running }

// byReference tells whether the result is sent as a reference instead of
// chunks.
func (v *attemptView) byReference() bool {
	return v.referenceOver > 0 && (v.active() || v.outcome.OK() && v.resultBytes > v.referenceOver)
}

// viewAttempt returns a snapshot of an attempt with its chunks from a sequence
// number on.
func (w *worker) viewAttempt(id ledger.ID, from uint64) attemptView {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := w.ledger.Get(id)
	if a == nil {
		return attemptView{}
	}
	v := attemptView{exists: true, state: a.State, outcome: a.Outcome, chunkCount: uint64(len(a.Chunks)), resultBytes: a.ResultBytes, task: w.tasks[id]}
	if v.task != nil {
		v.claiming = v.task.claiming
		v.referenceOver = int64(v.task.req.KeepOverBytes)
	}
	if from <= v.chunkCount {
		v.chunks = a.Chunks[from-1:]
	}
	return v
}

// subscribe returns a channel that is signalled when the attempt changes.
func (w *worker) subscribe(id ledger.ID) (changed chan struct{}, unsubscribe func()) {
	changed = make(chan struct{}, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.tasks[id]
	if t == nil {
		return changed, func() {}
	}
	t.subscribers[changed] = struct{}{}
	return changed, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(t.subscribers, changed)
	}
}

// streamAttempt streams an attempt until it has ended, from the chunk with
// sequence number next. If the stream is closed first, the attempt is not
// cancelled: it continues, and its result is kept.
func (p *Process) streamAttempt(stream runStream, id ledger.ID, next uint64, attached bool) error {
	changed, unsubscribe := p.worker.subscribe(id)
	defer unsubscribe()
	heartbeat := time.NewTimer(rpc.HeartbeatInterval)
	defer heartbeat.Stop()
	acceptedSent := false
	for {
		v := p.worker.viewAttempt(id, next)
		if holder, ok := p.localHolder(v); ok && !acceptedSent {
			return p.streamAttempt(stream, holder, next, true)
		}
		if !acceptedSent && !v.claiming && (v.active() || v.state == ledger.Finished) {
			if err := p.sendAccepted(stream, id, attached); err != nil {
				return err
			}
			acceptedSent = true
		}
		if !v.byReference() {
			if err := sendChunks(stream, v.chunks, next); err != nil {
				return err
			}
			next += uint64(len(v.chunks))
		}
		if !v.active() {
			return p.sendFinal(stream, v)
		}
		heartbeat.Reset(rpc.HeartbeatInterval)
		select {
		case <-changed:
		case <-heartbeat.C:
			if err := stream.Send(&wire.RunEvent{Event: &wire.RunEvent_Heartbeat{Heartbeat: &wire.Heartbeat{Load: p.load()}}}); err != nil {
				return err
			}
		case <-stream.Context().Done():
			return nil
		}
	}
}

func (p *Process) sendAccepted(stream runStream, id ledger.ID, attached bool) error {
	return stream.Send(&wire.RunEvent{Event: &wire.RunEvent_Accepted{Accepted: &wire.Accepted{
		Load: p.load(), Attached: attached, Holder: wireID(id),
	}}})
}

func sendChunks(stream runStream, chunks []ledger.Chunk, seq uint64) error {
	for _, c := range chunks {
		ev := &wire.RunEvent{Event: &wire.RunEvent_Chunk{Chunk: &wire.Chunk{Seq: seq, Data: c.Data, Tokens: c.Tokens}}}
		if err := stream.Send(ev); err != nil {
			return err
		}
		seq++
	}
	return nil
}

// sendFinal sends the last event for an attempt that is not queued or running.
func (p *Process) sendFinal(stream runStream, v attemptView) error {
	switch {
	case !v.exists:
		return p.sendRefused(stream, &result.Error{Code: result.Tombstoned, Message: "the attempt is unknown to this agent", Ran: result.RanUnknown})
	case v.state == ledger.ResultDropped:
		return p.sendFailed(stream, ledger.Outcome{Code: result.ResultExpired, Message: "the result was acknowledged or expired", Ran: result.RanYes})
	case v.state == ledger.NotRun && !isFailure(v.outcome.Code):
		e := &result.Error{Code: v.outcome.Code, Message: v.outcome.Message, Ran: v.outcome.Ran, RetryAfter: retryAfter(v.outcome)}
		return p.sendRefusedWithHolder(stream, e, v.outcome.Holder)
	case !v.outcome.OK():
		return p.sendFailed(stream, v.outcome)
	}
	return stream.Send(&wire.RunEvent{Event: &wire.RunEvent_Done{Done: p.newDone(v)}})
}

// resultsFullRetryAfter is the retry delay sent when there is no memory for
// more results.
const resultsFullRetryAfter = time.Second

// retryAfter returns the delay after which a retry at this agent may succeed; 0
// if none is known.
func retryAfter(o ledger.Outcome) time.Duration {
	if o.Code == result.ResultsFull {
		return resultsFullRetryAfter
	}
	return o.RetryAfter
}

// isFailure tells whether a code denotes a failure rather than a refusal.
func isFailure(c result.Code) bool { return c >= 3000 && c < 4000 || c >= 9000 }

// newDone returns the event that ends a successful attempt.
func (p *Process) newDone(v attemptView) *wire.Done {
	t := v.task
	d := &wire.Done{Count: v.chunkCount, Load: p.load()}
	if t == nil {
		return d
	}
	d.Checksum = t.checksum.Sum64()
	d.QueueUs = uint64(t.startedAt.Sub(t.acceptedAt).Microseconds())
	d.ServiceUs = uint64(t.endedAt.Sub(t.startedAt).Microseconds())
	d.Tokens = t.tokens
	d.FetchedBytes, d.FetchedRegion = t.fetchedBytes, t.fetchedRegion
	if v.byReference() {
		d.Ref = &wire.PayloadRef{
			Attempt: wireID(t.id), Instance: p.settings.Instance.ID, Address: p.address, Incarnation: p.incarnation,
			SizeBytes: uint64(v.resultBytes), Checksum: d.Checksum, Zone: p.settings.Instance.Zone, Region: p.settings.Instance.Region,
		}
	}
	return d
}

func (p *Process) sendRefused(stream runStream, e *result.Error) error {
	return p.sendRefusedWithHolder(stream, e, nil)
}

func (p *Process) sendRefusedWithHolder(stream runStream, e *result.Error, h *ledger.Holder) error {
	return stream.Send(&wire.RunEvent{Event: &wire.RunEvent_Refused{Refused: &wire.Refused{
		Code: uint32(e.Code), Message: e.Message, Ran: wireRan(e.Ran), RetryAfterUs: uint64(e.RetryAfter.Microseconds()),
		Load: p.load(), Holder: wireHolder(h),
	}}})
}

func (p *Process) sendFailed(stream runStream, o ledger.Outcome) error {
	return stream.Send(&wire.RunEvent{Event: &wire.RunEvent_Failed{Failed: &wire.Failed{
		Code: uint32(o.Code), Message: o.Message, Ran: wireRan(o.Ran), Load: p.load(),
	}}})
}
