package agent

import (
	"context"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/ledger"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

// runStream is the stream of a Run or an Attach.
type runStream interface {
	Context() context.Context
	Send(*wire.RunEvent) error
}

// view is what a reader sees of an attempt at one moment.
type view struct {
	known   bool
	state   ledger.State
	outcome ledger.Outcome
	count   uint64
	chunks  []ledger.Chunk
	task    *task
	// bytes is the size of the result so far.
	bytes int64
	// claiming is set while the claim of the key is not settled.
	claiming bool
	// keepOver is the size over which the result is answered by a reference, in
	// bytes; 0 if never.
	keepOver int64
}

// working tells whether the attempt has not ended.
func (v *view) working() bool { return v.state == ledger.Queued || v.state == ledger.Running }

// referenced tells whether the reader gets a reference instead of chunks.
func (v *view) referenced() bool {
	return v.keepOver > 0 && (v.working() || v.outcome.OK() && v.bytes > v.keepOver)
}

// view returns the attempt with its chunks from a sequence number on.
func (w *work) view(id ledger.ID, from uint64) view {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := w.ledger.Get(id)
	if a == nil {
		return view{}
	}
	v := view{known: true, state: a.State, outcome: a.Outcome, count: uint64(len(a.Chunks)), bytes: a.ResultBytes, task: w.tasks[id]}
	if v.task != nil {
		v.claiming = v.task.claiming
		v.keepOver = int64(v.task.req.KeepOverBytes)
	}
	if from <= v.count {
		v.chunks = a.Chunks[from-1:]
	}
	return v
}

// subscribe returns a channel that is signalled when the attempt changes.
func (w *work) subscribe(id ledger.ID) (wake chan struct{}, unsubscribe func()) {
	wake = make(chan struct{}, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.tasks[id]
	if t == nil {
		return wake, func() {}
	}
	t.readers[wake] = struct{}{}
	return wake, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(t.readers, wake)
	}
}

// follow streams an attempt to its end. The end of the stream's context is not a
// cancellation: the attempt goes on and its result is kept.
func (p *Process) follow(stream runStream, id ledger.ID, next uint64, attached bool) error {
	wake, unsubscribe := p.work.subscribe(id)
	defer unsubscribe()
	heartbeat := time.NewTimer(rpc.HeartbeatInterval)
	defer heartbeat.Stop()
	introduced := false
	for {
		v := p.work.view(id, next)
		if holder, ok := p.localHolder(v); ok && !introduced {
			return p.follow(stream, holder, next, true)
		}
		if !introduced && !v.claiming && (v.working() || v.state == ledger.Finished) {
			if err := p.accepted(stream, id, attached); err != nil {
				return err
			}
			introduced = true
		}
		if !v.referenced() {
			if err := sendChunks(stream, v.chunks, next); err != nil {
				return err
			}
			next += uint64(len(v.chunks))
		}
		if !v.working() {
			return p.last(stream, v)
		}
		heartbeat.Reset(rpc.HeartbeatInterval)
		select {
		case <-wake:
		case <-heartbeat.C:
			if err := stream.Send(&wire.RunEvent{Event: &wire.RunEvent_Heartbeat{Heartbeat: &wire.Heartbeat{Load: p.load()}}}); err != nil {
				return err
			}
		case <-stream.Context().Done():
			return nil
		}
	}
}

func (p *Process) accepted(stream runStream, id ledger.ID, attached bool) error {
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

// last sends the last event of an attempt that is not queued or running.
func (p *Process) last(stream runStream, v view) error {
	switch {
	case !v.known:
		return p.refuse(stream, &result.Error{Code: result.Tombstoned, Message: "the attempt is not known here", Ran: result.RanUnknown})
	case v.state == ledger.ResultDropped:
		return p.fail(stream, ledger.Outcome{Code: result.ResultExpired, Message: "the result was acknowledged or expired", Ran: result.RanYes})
	case v.state == ledger.NotRun && !failed(v.outcome.Code):
		e := &result.Error{Code: v.outcome.Code, Message: v.outcome.Message, Ran: v.outcome.Ran, RetryAfter: retryAfter(v.outcome)}
		return p.refuseFor(stream, e, v.outcome.Holder)
	case !v.outcome.OK():
		return p.fail(stream, v.outcome)
	}
	return stream.Send(&wire.RunEvent{Event: &wire.RunEvent_Done{Done: p.done(v)}})
}

// resultsRetryAfter is when room for results may be expected.
const resultsRetryAfter = time.Second

// retryAfter returns when coming back to this agent helps; 0 if it does not.
func retryAfter(o ledger.Outcome) time.Duration {
	if o.Code == result.ResultsFull {
		return resultsRetryAfter
	}
	return o.RetryAfter
}

// failed tells whether a code stands for a failure rather than a refusal.
func failed(c result.Code) bool { return c >= 3000 && c < 4000 || c >= 9000 }

func (p *Process) done(v view) *wire.Done {
	t := v.task
	d := &wire.Done{Count: v.count, Load: p.load()}
	if t == nil {
		return d
	}
	d.Checksum = t.checksum.Sum64()
	d.QueueUs = uint64(t.began.Sub(t.accepted).Microseconds())
	d.ServiceUs = uint64(t.ended.Sub(t.began).Microseconds())
	d.Tokens = t.tokens
	d.FetchedBytes, d.FetchedRegion = t.fetchedBytes, t.fetchedRegion
	if v.referenced() {
		d.Ref = &wire.PayloadRef{
			Attempt: wireID(t.id), Instance: p.settings.Instance.ID, Address: p.address, Incarnation: p.incarnation,
			SizeBytes: uint64(v.bytes), Checksum: d.Checksum, Zone: p.settings.Instance.Zone, Region: p.settings.Instance.Region,
		}
	}
	return d
}

func (p *Process) refuse(stream runStream, e *result.Error) error {
	return p.refuseFor(stream, e, nil)
}

func (p *Process) refuseFor(stream runStream, e *result.Error, h *ledger.Holder) error {
	return stream.Send(&wire.RunEvent{Event: &wire.RunEvent_Refused{Refused: &wire.Refused{
		Code: uint32(e.Code), Message: e.Message, Ran: wireRan(e.Ran), RetryAfterUs: uint64(e.RetryAfter.Microseconds()),
		Load: p.load(), Holder: wireHolder(h),
	}}})
}

func (p *Process) fail(stream runStream, o ledger.Outcome) error {
	return stream.Send(&wire.RunEvent{Event: &wire.RunEvent_Failed{Failed: &wire.Failed{
		Code: uint32(o.Code), Message: o.Message, Ran: wireRan(o.Ran), Load: p.load(),
	}}})
}
