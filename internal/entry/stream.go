package entry

import (
	"context"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/pipeline"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/routing"
	"github.com/magnoliawheel/magnoliawheel/core/schema"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

// maxCancelSends is the number of times that a cancellation is sent if no reply arrives.
const maxCancelSends = 2

// stream is the connection to the agent for one attempt. Its fields are guarded by
// the request's lock, except those set before the first use.
type stream struct {
	r      *request
	id     pipeline.Attempt
	server pipeline.Server
	stage  *schema.Stage
	sentAt time.Time

	// incarnation is the agent incarnation that the attempt was sent to; 0 until it
	// is known.
	incarnation atomic.Uint64
	// holder is set when the work belongs to an attempt of another request.
	holder *pipeline.ClaimHolder
	// stop closes the current connection.
	stop context.CancelFunc
	// generation is incremented whenever a connection is closed, so that events of
	// earlier connections can be ignored.
	generation int
	// attached is set once an Attach was sent for the attempt.
	attached bool
	// endReported is set once the end of the attempt was reported to the router.
	endReported bool
}

// receiver is the receiving side of a Run or Attach stream.
type receiver interface {
	Recv() (*wire.RunEvent, error)
	Context() context.Context
}

func (s *stream) attemptID() *wire.AttemptID {
	return &wire.AttemptID{RequestId: s.r.id, Stage: s.id.Stage, Attempt: s.id.Number}
}

// send sends the attempt over a new connection.
func (s *stream) send(a pipeline.Send) {
	s.startReading(func(ctx context.Context) (receiver, error) {
		inc, err := s.r.p.agents.incarnation(ctx, s.stage.Pool, s.server.ID, s.server.Addr)
		if err != nil {
			return nil, errors.Mark(err, rpc.ErrNotConnected)
		}
		s.incarnation.Store(inc)
		client := wire.NewDRPCAgentClient(s.r.p.pool.Conn(ctx, s.server.Addr))
		req := s.runRequest(a, inc)
		if req.BudgetUs == 0 {
			return nil, errors.Mark(context.DeadlineExceeded, rpc.ErrNotConnected)
		}
		return client.Run(ctx, req)
	})
}

// runRequest returns the message that requests the agent to run the attempt.
func (s *stream) runRequest(a pipeline.Send, incarnation uint64) *wire.RunRequest {
	r := s.r
	budget := time.Until(r.req.Received.Add(r.req.Timeout))
	req := &wire.RunRequest{
		Attempt: s.attemptID(), Incarnation: incarnation, BudgetUs: uint64(max(budget, 0) / time.Microsecond),
		ConfigOffset: r.req.Snapshot.Offset, Customer: r.req.Customer.Name, Weight: uint32(r.req.Customer.Weight),
		Pipeline: r.req.Pipeline.Name, Stage: s.stage.Name, Pool: s.stage.Pool, Call: s.stage.ServerCall,
		Idempotent: s.stage.Idempotent, Digest: r.digest, Model: s.stage.Model, MaxTokens: uint32(s.stage.MaxTokens),
		Prefix: r.req.PromptPrefixHash, Payload: a.Input.Data, KeepOverBytes: uint64(a.KeepOverBytes),
		OriginRegion: r.p.opts.Settings.Instance.Region, OriginAddress: r.p.opts.Settings.Listen.Peers,
	}
	if !s.stage.Idempotent && r.req.IdempotencyKey != "" {
		req.IdempotencyKey, req.SubKey = r.req.IdempotencyKey, s.stage.Name
	}
	if ref := a.Input.Ref; ref != nil {
		req.Ref = refToWire(ref)
	}
	return req
}

func refToWire(ref *pipeline.Ref) *wire.PayloadRef {
	return &wire.PayloadRef{
		Attempt:  &wire.AttemptID{RequestId: ref.RequestID, Stage: ref.Attempt.Stage, Attempt: ref.Attempt.Number},
		Instance: ref.Instance, Address: ref.Address, Incarnation: ref.Incarnation,
		SizeBytes: uint64(ref.Size), Checksum: ref.Checksum, Zone: ref.Zone, Region: ref.Region,
	}
}

func refFromWire(ref *wire.PayloadRef) *pipeline.Ref {
	if ref == nil {
		return nil
	}
	return &pipeline.Ref{
		RequestID: ref.GetAttempt().GetRequestId(),
		Attempt:   pipeline.Attempt{Stage: ref.GetAttempt().GetStage(), Number: ref.GetAttempt().GetAttempt()},
		Instance:  ref.Instance, Address: ref.Address, Incarnation: ref.Incarnation,
		Size: int64(ref.SizeBytes), Checksum: ref.Checksum, Zone: ref.Zone, Region: ref.Region,
	}
}

// attach requests the attempt's chunks again over a new connection.
func (s *stream) attach(a pipeline.Attach) {
	s.attached = true
	req := &wire.AttachRequest{Attempt: s.attemptID(), Incarnation: s.incarnation.Load(), FromSeq: a.FromSeq}
	if h := a.Holder; h != nil {
		s.holder, s.server = h, h.Server
		req.Incarnation = h.Incarnation
		req.Attempt = &wire.AttemptID{RequestId: h.RequestID, Stage: h.Attempt.Stage, Attempt: h.Attempt.Number}
	}
	addr := a.Server.Addr
	s.startReading(func(ctx context.Context) (receiver, error) {
		client := wire.NewDRPCAgentClient(s.r.p.pool.Conn(ctx, addr))
		return client.Attach(ctx, req)
	})
}

// startReading opens a stream and reads it until its last event in a new goroutine.
// A watchdog closes the connection when nothing arrives for rpc.SilenceTimeout. The
// caller holds the request's lock.
func (s *stream) startReading(open func(context.Context) (receiver, error)) {
	s.close()
	ctx, cancel := context.WithCancel(s.r.ctx)
	s.stop = cancel
	generation := s.generation
	go func() {
		defer cancel()
		var silent atomic.Bool
		watchdog := time.AfterFunc(rpc.SilenceTimeout, func() {
			silent.Store(true)
			cancel()
		})
		defer watchdog.Stop()
		err := s.readEvents(ctx, watchdog, generation, open)
		if err == nil {
			return
		}
		if silent.Load() {
			s.r.p.pool.CloseIdle(s.server.Addr)
		}
		s.handleLost(generation, err, silent.Load())
	}()
}

func (s *stream) readEvents(ctx context.Context, watchdog *time.Timer, generation int, open func(context.Context) (receiver, error)) error {
	in, err := open(ctx)
	if err != nil {
		return err
	}
	for {
		ev, err := in.Recv()
		if err != nil {
			return err
		}
		watchdog.Reset(rpc.SilenceTimeout)
		if s.handleEvent(generation, ev) {
			// Reading the end of the stream returns the connection to the pool.
			// Cancelling before that would close the connection.
			_, _ = in.Recv()
			<-in.Context().Done()
			return nil
		}
	}
}

// handleEvent passes an event to the machine and returns true if the connection is
// done: after the last event, or if the event came from an earlier connection.
func (s *stream) handleEvent(generation int, ev *wire.RunEvent) bool {
	s.r.mu.Lock()
	isCurrent := s.generation == generation
	s.r.mu.Unlock()
	if !isCurrent {
		return true
	}
	p := s.r.p
	switch e := ev.GetEvent().(type) {
	case *wire.RunEvent_Heartbeat:
		p.agents.recordLoad(s.stage.Pool, s.server.ID, s.server.Addr, e.Heartbeat.Load)
	case *wire.RunEvent_Accepted:
		p.agents.recordLoad(s.stage.Pool, s.server.ID, s.server.Addr, e.Accepted.Load)
		s.r.step(pipeline.Accepted{Attempt: s.id, Attached: s.belongsToOther(e.Accepted)})
	case *wire.RunEvent_Chunk:
		s.r.step(pipeline.Chunk{Attempt: s.id, Seq: e.Chunk.Seq, Data: e.Chunk.Data, Tokens: int(e.Chunk.Tokens)})
	case *wire.RunEvent_Refused:
		s.handleRefused(e.Refused)
		return true
	case *wire.RunEvent_Failed:
		p.agents.recordLoad(s.stage.Pool, s.server.ID, s.server.Addr, e.Failed.Load)
		s.reportEnd(result.Code(e.Failed.Code), false)
		s.r.step(pipeline.Failed{Attempt: s.id, Code: result.Code(e.Failed.Code), Message: e.Failed.Message, Ran: ranFromWire(e.Failed.Ran)})
		return true
	case *wire.RunEvent_Done:
		s.handleDone(e.Done)
		return true
	}
	return false
}

// belongsToOther reports whether the accepted work belongs to another attempt.
func (s *stream) belongsToOther(a *wire.Accepted) bool {
	h := a.GetHolder()
	return h != nil && (h.RequestId != s.r.id || h.Stage != s.id.Stage || h.Attempt != s.id.Number)
}

func (s *stream) handleRefused(e *wire.Refused) {
	if result.Code(e.Code) == result.WrongIncarnation {
		s.r.p.agents.forgetIncarnation(s.server.ID)
	}
	s.r.p.agents.recordLoad(s.stage.Pool, s.server.ID, s.server.Addr, e.Load)
	s.reportEnd(result.Code(e.Code), false)
	s.r.step(pipeline.Refused{
		Attempt: s.id, Code: result.Code(e.Code), Message: e.Message, Ran: ranFromWire(e.Ran),
		RetryAfter: time.Duration(e.RetryAfterUs) * time.Microsecond, Holder: holderFromWire(e.Holder),
	})
}

func holderFromWire(h *wire.ClaimHolder) *pipeline.ClaimHolder {
	if h == nil {
		return nil
	}
	return &pipeline.ClaimHolder{
		RequestID:   h.GetAttempt().GetRequestId(),
		Attempt:     pipeline.Attempt{Stage: h.GetAttempt().GetStage(), Number: h.GetAttempt().GetAttempt()},
		Server:      pipeline.Server{ID: h.Instance, Addr: h.Address},
		Incarnation: h.Incarnation,
	}
}

func (s *stream) handleDone(e *wire.Done) {
	s.r.p.agents.recordLoad(s.stage.Pool, s.server.ID, s.server.Addr, e.Load)
	s.reportEnd(result.OK, false)
	s.r.p.decider.recordLatency(stageKey(s.r.req.Pipeline, s.stage.Name), time.Since(s.sentAt))
	s.r.step(pipeline.Done{
		Attempt: s.id, ChunkCount: e.Count, Checksum: e.Checksum, Ref: refFromWire(e.Ref),
		QueueTime: time.Duration(e.QueueUs) * time.Microsecond, ServiceTime: time.Duration(e.ServiceUs) * time.Microsecond,
		Tokens: int(e.Tokens), FetchedBytes: int64(e.FetchedBytes), FetchedRegion: e.FetchedRegion,
	})
}

// handleLost reports to the machine that a connection ended without a last event.
func (s *stream) handleLost(generation int, err error, silent bool) {
	s.r.mu.Lock()
	isCurrent := s.generation == generation && !s.r.ended && s.r.p.ctx.Err() == nil
	attached := s.attached
	s.r.mu.Unlock()
	if !isCurrent {
		return
	}
	cause := pipeline.ConnectionBroken
	switch {
	case !attached && errors.Is(err, rpc.ErrNotConnected):
		cause = pipeline.NotConnected
	case errors.Is(err, syscall.ECONNREFUSED):
		cause = pipeline.ConnectionRefused
	case silent:
		cause = pipeline.ConnectionSilent
	}
	if cause == pipeline.NotConnected {
		s.r.p.agents.forgetIncarnation(s.server.ID)
	}
	if cause != pipeline.ConnectionBroken {
		s.reportEnd(result.AgentLost, silent)
	}
	s.r.log.V(1).Info("A stream to an agent was lost.", "agent", s.server.ID, "silent", silent, "error", err.Error())
	s.r.step(pipeline.StreamLost{Attempt: s.id, Cause: cause})
}

// reportEnd reports to the router how the attempt ended. Only the first report counts.
func (s *stream) reportEnd(code result.Code, silent bool) {
	s.r.mu.Lock()
	defer s.r.mu.Unlock()
	s.reportEndLocked(routing.Outcome{Code: code, Unresponsive: silent, Elapsed: time.Since(s.sentAt)})
}

// reportEndLocked is reportEnd for callers that hold the request's lock.
func (s *stream) reportEndLocked(o routing.Outcome) {
	if s.endReported {
		return
	}
	s.endReported = true
	s.r.p.decider.endAttempt(time.Now(), s.stage.Pool, s.server.ID, o)
}

// close closes the current connection. The caller holds the request's lock.
func (s *stream) close() {
	s.generation++
	if s.stop != nil {
		s.stop()
		s.stop = nil
	}
}

func ranFromWire(r wire.Ran) result.Ran {
	switch r {
	case wire.Ran_RAN_NO:
		return result.RanNo
	case wire.Ran_RAN_YES:
		return result.RanYes
	}
	return result.RanUnknown
}

// cancelAttempt sends a cancellation of an attempt to its agent and passes the reply to
// the machine.
func (r *request) cancelAttempt(a pipeline.Cancel) {
	s := r.streams[a.Attempt]
	if s == nil {
		return
	}
	s.reportEndLocked(routing.Outcome{Code: result.Cancelled, Elapsed: time.Since(s.sentAt)})
	go func() {
		state := pipeline.CancelUnknown
		for range maxCancelSends {
			var err error
			if state, err = s.cancel(); err == nil {
				break
			}
			r.p.pool.CloseIdle(s.server.Addr)
		}
		r.step(pipeline.CancelReply{Attempt: s.id, State: state})
	}()
}

// cancel sends one cancellation. If the attempt was never sent, there is no incarnation
// to send it to, and the result is CancelNotRun.
func (s *stream) cancel() (pipeline.CancelState, error) {
	inc := s.incarnation.Load()
	if inc == 0 {
		return pipeline.CancelNotRun, nil
	}
	ctx, cancel := context.WithTimeout(s.r.p.ctx, rpc.SilenceTimeout)
	defer cancel()
	client := wire.NewDRPCAgentClient(s.r.p.pool.Conn(ctx, s.server.Addr))
	reply, err := client.Cancel(ctx, &wire.CancelRequest{Attempt: s.attemptID(), Incarnation: inc})
	if err != nil {
		return pipeline.CancelUnknown, err
	}
	switch reply.State {
	case wire.AttemptState_ATTEMPT_STATE_NOT_RUN:
		return pipeline.CancelNotRun, nil
	case wire.AttemptState_ATTEMPT_STATE_RUNNING:
		return pipeline.CancelRunning, nil
	case wire.AttemptState_ATTEMPT_STATE_FINISHED:
		return pipeline.CancelFinished, nil
	}
	return pipeline.CancelUnknown, nil
}
