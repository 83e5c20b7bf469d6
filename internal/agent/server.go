package agent

import (
	"context"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/ledger"
	"github.com/magnoliawheel/magnoliawheel/core/reqid"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/schema"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

// rpcServer answers the RPCs of entries and other agents.
type rpcServer struct{ p *Process }

// Run takes in an attempt and streams its result.
func (s *rpcServer) Run(req *wire.RunRequest, stream wire.DRPCAgent_RunStream) error {
	p := s.p
	p.distance(stream.Context(), req)
	if req.OriginAddress != "" {
		p.config.ObserveOffset(req.OriginAddress, req.ConfigOffset)
	}
	if req.Incarnation != p.incarnation {
		return p.refuse(stream, result.New(result.WrongIncarnation, "this is another process"))
	}
	if e := checkRun(req); e != nil {
		return p.refuse(stream, e)
	}
	id := idOf(req.Attempt)
	attached := p.work.accept(time.Now(), id, req)
	if attached {
		p.metrics.attached.Inc(1)
	}
	return p.follow(stream, id, 1, attached)
}

// distance stands in for the time between regions in experiments.
func (p *Process) distance(ctx context.Context, req *wire.RunRequest) {
	delay := p.settings.Experiment.RegionDelay.AsDuration()
	if delay <= 0 || req.OriginRegion == p.settings.Instance.Region {
		return
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
	req.BudgetUs -= min(req.BudgetUs, uint64(delay.Microseconds()))
}

// maxNameBytes bounds each name in a Run.
const maxNameBytes = 256

// checkRun refuses a Run that no entry sends.
func checkRun(req *wire.RunRequest) *result.Error {
	id := req.GetAttempt().GetRequestId()
	if id == "" || len(id) > reqid.MaxLength {
		return result.New(result.BadBody, "the request id is missing or too long")
	}
	names := []string{req.Customer, req.Pipeline, req.Stage, req.Pool, req.Call, req.Model, req.IdempotencyKey, req.SubKey}
	for _, name := range names {
		if len(name) > maxNameBytes {
			return result.New(result.BadBody, "a name has more than %d bytes", maxNameBytes)
		}
	}
	if req.BudgetUs > uint64(schema.MaxDeadline.Microseconds()) {
		return result.New(result.BadDeadline, "the budget is over %s", schema.MaxDeadline)
	}
	if len(req.Payload) > schema.MaxBodyBytes || req.GetRef().GetSizeBytes() > schema.MaxAnswerBytes {
		return result.New(result.BodyTooLarge, "the input is too large")
	}
	return nil
}

// Attach streams the result of an attempt that was accepted before.
func (s *rpcServer) Attach(req *wire.AttachRequest, stream wire.DRPCAgent_AttachStream) error {
	if req.Incarnation != s.p.incarnation {
		e := result.New(result.WrongIncarnation, "this is another process")
		e.Ran = result.RanUnknown
		return s.p.refuse(stream, e)
	}
	s.p.metrics.attached.Inc(1)
	return s.p.follow(stream, idOf(req.Attempt), max(req.FromSeq, 1), true)
}

// Cancel stops an attempt, or leaves a tombstone so that it never runs.
func (s *rpcServer) Cancel(_ context.Context, req *wire.CancelRequest) (*wire.CancelReply, error) {
	reply := &wire.CancelReply{State: wire.AttemptState_ATTEMPT_STATE_UNKNOWN_HERE}
	if req.Incarnation == s.p.incarnation {
		reply.State = wireState(s.p.work.cancelTask(time.Now(), idOf(req.Attempt)))
	}
	reply.Load = s.p.load()
	return reply, nil
}

// Ack drops results that were taken.
func (s *rpcServer) Ack(_ context.Context, req *wire.AckRequest) (*wire.AckReply, error) {
	if req.Incarnation == s.p.incarnation {
		now := time.Now()
		for _, a := range req.Attempts {
			s.p.work.acknowledge(now, idOf(a))
		}
	}
	return &wire.AckReply{Load: s.p.load()}, nil
}

// Probe tells the incarnation and the load.
func (s *rpcServer) Probe(_ context.Context, req *wire.ProbeRequest) (*wire.ProbeReply, error) {
	load := s.p.load()
	if load.ModelsVersion != req.ModelsVersion {
		load.Models = s.p.work.modelNames()
	}
	return &wire.ProbeReply{Load: load}, nil
}

// Find lists the attempts of a request.
func (s *rpcServer) Find(_ context.Context, req *wire.FindRequest) (*wire.FindReply, error) {
	return &wire.FindReply{Attempts: s.p.work.find(time.Now(), req.RequestId), Load: s.p.load()}, nil
}

// find lists the attempts of a request that were accepted.
func (w *work) find(now time.Time, request string) []*wire.FoundAttempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []*wire.FoundAttempt
	for _, a := range w.ledger.AttemptsByRequest(request) {
		if a.Job.Deadline.IsZero() {
			continue
		}
		found = append(found, &wire.FoundAttempt{
			Attempt: wireID(a.ID), State: wireState(w.stateOf(a)), Chunks: uint64(len(a.Chunks)), Incarnation: w.p.incarnation,
			Customer: a.Job.Customer, Pipeline: a.Job.Pipeline, Stage: a.Job.Stage, BudgetUs: uint64(max(0, a.Job.Deadline.Sub(now).Microseconds())),
		})
	}
	return found
}

// stateOf returns the state of the work of an attempt. The work of a copy of a
// key is that of the attempt that holds the key. The caller holds mu.
func (w *work) stateOf(a *ledger.Attempt) ledger.State {
	h := a.Outcome.Holder
	if a.State != ledger.NotRun || h == nil {
		return a.State
	}
	if h.Instance != w.p.settings.Instance.ID || h.Incarnation != w.p.incarnation {
		return ledger.Unknown
	}
	if holder := w.ledger.Get(h.Attempt); holder != nil {
		return holder.State
	}
	return ledger.Unknown
}

func wireState(s ledger.State) wire.AttemptState {
	switch s {
	case ledger.NotRun:
		return wire.AttemptState_ATTEMPT_STATE_NOT_RUN
	case ledger.Queued, ledger.Running:
		return wire.AttemptState_ATTEMPT_STATE_RUNNING
	case ledger.Finished, ledger.ResultDropped:
		return wire.AttemptState_ATTEMPT_STATE_FINISHED
	}
	return wire.AttemptState_ATTEMPT_STATE_UNKNOWN_HERE
}

func wireRan(r result.Ran) wire.Ran { return wire.Ran(r) }

// load describes the agent and its server.
func (p *Process) load() *wire.Load {
	w := p.work
	w.mu.Lock()
	defer w.mu.Unlock()
	return &wire.Load{
		Instance: p.settings.Instance.ID, Incarnation: p.incarnation,
		Running: uint32(w.running), Queued: uint32(w.queue.Len()), Limit: uint32(w.limiter.Limit()),
		WaitUs: uint64(w.wait(&wire.RunRequest{}).Microseconds()), ServiceUs: uint64(w.timing.service.Microseconds()),
		TokensPerS: w.timing.tokensPerSecond, Leaving: w.leaving != 0,
		ConfigOffset: p.config.Current().Offset, KeptBytes: uint64(w.ledger.UsedBytes()), ModelsVersion: w.models.version,
	}
}
