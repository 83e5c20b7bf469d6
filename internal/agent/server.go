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

// rpcServer implements the RPCs for entries and other agents.
type rpcServer struct{ process *Process }

// Run accepts an attempt, or attaches to it if it is already recorded, and
// streams its result.
func (s *rpcServer) Run(req *wire.RunRequest, stream wire.DRPCAgent_RunStream) error {
	p := s.process
	p.simulateRegionDelay(stream.Context(), req)
	if req.OriginAddress != "" {
		p.config.ObserveOffset(req.OriginAddress, req.ConfigOffset)
	}
	if req.Incarnation != p.incarnation {
		return p.sendRefused(stream, result.New(result.WrongIncarnation, "the attempt belongs to another incarnation"))
	}
	if e := validateRun(req); e != nil {
		return p.sendRefused(stream, e)
	}
	id := attemptID(req.Attempt)
	attached := p.worker.accept(time.Now(), id, req)
	if attached {
		p.metrics.attached.Inc(1)
	}
	return p.streamAttempt(stream, id, 1, attached)
}

// simulateRegionDelay delays calls from other regions by the latency configured
// for experiments, and subtracts it from their budget.
func (p *Process) simulateRegionDelay(ctx context.Context, req *wire.RunRequest) {
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

// maxNameBytes limits the length of each name in a Run.
const maxNameBytes = 256

// validateRun refuses a malformed Run. Entries never send one.
func validateRun(req *wire.RunRequest) *result.Error {
	id := req.GetAttempt().GetRequestId()
	if id == "" || len(id) > reqid.MaxLength {
		return result.New(result.BadBody, "the request id is missing or too long")
	}
	names := []string{req.Customer, req.Pipeline, req.Stage, req.Pool, req.Call, req.Model, req.IdempotencyKey, req.SubKey}
	for _, name := range names {
		if len(name) > maxNameBytes {
			return result.New(result.BadBody, "a name is longer than %d bytes", maxNameBytes)
		}
	}
	if req.BudgetUs > uint64(schema.MaxDeadline.Microseconds()) {
		return result.New(result.BadDeadline, "the budget exceeds %s", schema.MaxDeadline)
	}
	if len(req.Payload) > schema.MaxBodyBytes || req.GetRef().GetSizeBytes() > schema.MaxAnswerBytes {
		return result.New(result.BodyTooLarge, "the input is too large")
	}
	return nil
}

// Attach streams the result of an attempt that was accepted earlier.
func (s *rpcServer) Attach(req *wire.AttachRequest, stream wire.DRPCAgent_AttachStream) error {
	if req.Incarnation != s.process.incarnation {
		e := result.New(result.WrongIncarnation, "the attempt belongs to another incarnation")
		e.Ran = result.RanUnknown
		return s.process.sendRefused(stream, e)
	}
	s.process.metrics.attached.Inc(1)
	return s.process.streamAttempt(stream, attemptID(req.Attempt), max(req.FromSeq, 1), true)
}

// Cancel cancels an attempt. An attempt that has not started, or is unknown,
// gets a tombstone so that it never runs.
func (s *rpcServer) Cancel(_ context.Context, req *wire.CancelRequest) (*wire.CancelReply, error) {
	reply := &wire.CancelReply{State: wire.AttemptState_ATTEMPT_STATE_UNKNOWN_HERE}
	if req.Incarnation == s.process.incarnation {
		reply.State = wireState(s.process.worker.cancelTask(time.Now(), attemptID(req.Attempt)))
	}
	reply.Load = s.process.load()
	return reply, nil
}

// Ack drops results that the caller has received.
func (s *rpcServer) Ack(_ context.Context, req *wire.AckRequest) (*wire.AckReply, error) {
	if req.Incarnation == s.process.incarnation {
		now := time.Now()
		for _, a := range req.Attempts {
			s.process.worker.acknowledge(now, attemptID(a))
		}
	}
	return &wire.AckReply{Load: s.process.load()}, nil
}

// Probe returns the incarnation and load of the agent, and the list of models
// if the caller has another version of it.
func (s *rpcServer) Probe(_ context.Context, req *wire.ProbeRequest) (*wire.ProbeReply, error) {
	load := s.process.load()
	if load.ModelsVersion != req.ModelsVersion {
		load.Models = s.process.worker.modelNames()
	}
	return &wire.ProbeReply{Load: load}, nil
}

// Find lists the attempts of a request.
func (s *rpcServer) Find(_ context.Context, req *wire.FindRequest) (*wire.FindReply, error) {
	return &wire.FindReply{Attempts: s.process.worker.findAttempts(time.Now(), req.RequestId), Load: s.process.load()}, nil
}

// findAttempts lists the accepted attempts of a request. Attempts without a
// deadline are omitted: they are tombstones or were refused before acceptance.
func (w *worker) findAttempts(now time.Time, request string) []*wire.FoundAttempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []*wire.FoundAttempt
	for _, a := range w.ledger.AttemptsByRequest(request) {
		if a.Job.Deadline.IsZero() {
			continue
		}
		found = append(found, &wire.FoundAttempt{
			Attempt: wireID(a.ID), State: wireState(w.effectiveState(a)), Chunks: uint64(len(a.Chunks)), Incarnation: w.process.incarnation,
			Customer: a.Job.Customer, Pipeline: a.Job.Pipeline, Stage: a.Job.Stage, BudgetUs: uint64(max(0, a.Job.Deadline.Sub(now).Microseconds())),
		})
	}
	return found
}

// effectiveState returns the state of an attempt, or for a duplicate of a key,
// the state of the attempt that holds the key. The caller holds mu.
func (w *worker) effectiveState(a *ledger.Attempt) ledger.State {
	claimHolder := a.Outcome.Holder
	if a.State != ledger.NotRun || claimHolder == nil {
		return a.State
	}
	if claimHolder.Instance != w.process.settings.Instance.ID || claimHolder.Incarnation != w.process.incarnation {
		return ledger.Unknown
	}
	if holder := w.ledger.Get(claimHolder.Attempt); holder != nil {
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

// load returns the load report of the agent and its server.
func (p *Process) load() *wire.Load {
	w := p.worker
	w.mu.Lock()
	defer w.mu.Unlock()
	return &wire.Load{
		Instance: p.settings.Instance.ID, Incarnation: p.incarnation,
		Running: uint32(w.runningCount), Queued: uint32(w.queue.Len()), Limit: uint32(w.limiter.Limit()),
		WaitUs: uint64(w.expectedWait(&wire.RunRequest{}).Microseconds()), ServiceUs: uint64(w.timing.perCall.Microseconds()),
		TokensPerS: w.timing.tokensPerSecond, Leaving: w.leavingReasons != 0,
		ConfigOffset: p.config.Current().Offset, KeptBytes: uint64(w.ledger.UsedBytes()), ModelsVersion: w.models.version,
	}
}
