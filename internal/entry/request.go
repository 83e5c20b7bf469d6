package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"github.com/magnoliawheel/magnoliawheel/core/pipeline"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/routing"
	"github.com/magnoliawheel/magnoliawheel/internal/answer"
	"github.com/magnoliawheel/magnoliawheel/internal/callerapi"
)

// reattachWindow is how long an unfinished request continues without a reader.
const reattachWindow = 2 * time.Second

// request is a request that this entry owns.
type request struct {
	p      *Process
	id     string
	req    *callerapi.Request
	record *answer.Record
	log    logr.Logger
	// digest identifies the call and its body.
	digest uint64
	// adopted lists the attempts found for a request that was taken over from
	// another entry.
	adopted []pipeline.AdoptedAttempt

	mu      sync.Mutex
	machine *pipeline.Machine
	timer   *time.Timer
	ctx     context.Context
	cancel  context.CancelFunc
	streams map[pipeline.Attempt]*stream
	// summary is passed to the observers when the request ends.
	summary FinishedRequest
	// lastChunkAt is the time of the most recent chunk.
	lastChunkAt time.Time
	ended       bool
}

func (p *Process) newRequest(id string, req *callerapi.Request, adopted []pipeline.AdoptedAttempt) *request {
	r := &request{p: p, id: id, req: req, adopted: adopted, log: p.log.WithValues("request", id), streams: map[pipeline.Attempt]*stream{}}
	r.digest = xxhash.Sum64String(req.Call.Name) ^ xxhash.Sum64(req.Body)
	r.ctx, r.cancel = context.WithCancel(p.ctx)
	r.record = answer.New(answer.Options{
		RequestID: id, AbandonTimeout: reattachWindow, OnAppend: p.table.addAnswerBytes,
		OnAbandoned: func() { r.step(pipeline.CallerCancel{}) },
		OnDelivered: func() { r.step(pipeline.Delivered{}) },
	})
	referenceThresholdBytes := int64(0)
	if p.opts.Settings.Policy.PayloadTransfer == payloadsByReference {
		referenceThresholdBytes = req.Snapshot.Schema.Limits.ReferenceThresholdBytes
	}
	r.machine = pipeline.New(pipeline.Options{
		RequestID: id, Pipeline: req.Pipeline, Body: req.Body, Deadline: req.Received.Add(req.Timeout),
		Streaming: req.Streaming, MaxAnswerBytes: req.Call.MaxAnswerBytes, ReferenceThresholdBytes: referenceThresholdBytes,
		AdoptedAttempts: adopted, Decider: requestDecider{decider: p.decider, req: req},
	})
	r.summary = FinishedRequest{
		ID: id, Call: req.Call.Name, Customer: req.Customer.Name, Pipeline: req.Pipeline.Name,
		Started: req.Received, Objective: req.Call.Objective,
	}
	return r
}

// discard releases a request that was never started.
func (r *request) discard() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	for _, s := range r.streams {
		s.reportEndLocked(routing.Outcome{Code: result.Cancelled})
	}
	r.cancel()
	r.p.table.addAnswerBytes(-r.record.Size())
	r.dropBody()
}

// dropBody gives the memory of the body back. A request that was taken over has none.
func (r *request) dropBody() {
	r.machine.DropBody()
	r.req.Body = nil
	if r.req.ReleaseBody != nil {
		r.req.ReleaseBody()
	}
}

// payloadsByReference is the payload policy that keeps large stage results at the
// agents.
const payloadsByReference = "reference"

// step passes an event to the state machine and carries out the resulting actions.
func (r *request) step(ev pipeline.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, a := range r.machine.Step(now, ev) {
		r.apply(now, a)
	}
	r.resetTimer(now)
}

// resetTimer sets the timer to the machine's next tick.
func (r *request) resetTimer(now time.Time) {
	next := r.machine.NextTick()
	switch {
	case next.IsZero():
		if r.timer != nil {
			r.timer.Stop()
		}
	case r.timer == nil:
		r.timer = time.AfterFunc(next.Sub(now), func() { r.step(pipeline.Tick{}) })
	default:
		r.timer.Reset(next.Sub(now))
	}
}

func (r *request) apply(now time.Time, a pipeline.Action) {
	switch a := a.(type) {
	case pipeline.Send:
		r.newStream(now, a.Attempt, a.Server).send(a)
	case pipeline.Attach:
		r.attach(now, a)
	case pipeline.CloseStream:
		r.closeStream(a.Attempt)
	case pipeline.Cancel:
		r.cancelAttempt(a)
	case pipeline.Ack:
		r.ack(a)
	case pipeline.Emit:
		r.emit(now, a)
	case pipeline.Finish:
		r.finish(now, a)
	}
}

func (r *request) emit(now time.Time, a pipeline.Emit) {
	r.record.Append(answer.KindChunk, answer.ChunkData{Stage: a.Stage, Text: a.Text})
	if r.lastChunkAt.IsZero() {
		r.summary.TimeToFirstChunk = now.Sub(r.req.Received)
	} else if gap := now.Sub(r.lastChunkAt); len(r.summary.ChunkGaps) < maxChunkGaps {
		r.summary.ChunkGaps = append(r.summary.ChunkGaps, gap)
	}
	r.lastChunkAt = now
}

func (r *request) finish(now time.Time, f pipeline.Finish) {
	r.ended = true
	for id := range r.streams {
		r.closeStream(id)
	}
	r.dropBody()
	r.summary.Code, r.summary.Ran, r.summary.Effects = result.OK, result.RanYes, result.RanYes
	if f.Err != nil {
		r.summary.Code, r.summary.Ran, r.summary.Effects = f.Err.Code, f.Err.Ran, f.Err.Effects
		r.record.Append(answer.KindError, answer.NewErrorData(r.id, f.Err))
		r.logFailure(f.Err)
	} else {
		r.record.Append(answer.KindDone, answer.DoneData{Chunks: f.Chunks, Checksum: fmt.Sprintf("%016x", f.Checksum)})
		r.log.V(1).Info("A request is complete.", "took", now.Sub(r.req.Received).String())
	}
	r.summary.Elapsed = now.Sub(r.req.Received)
	r.summary.Timeout = r.req.Timeout
	r.summary.Stages = append([]pipeline.StageUsage(nil), r.machine.Usage()...)
	if r.adopted == nil {
		r.p.decider.finishRequest(r.summary.Code)
	}
	r.p.metrics.recordFinished(&r.summary)
	for _, o := range r.p.opts.Observers {
		o.RequestFinished(&r.summary)
	}
	r.p.table.finish(r)
}

// logFailure logs a failed request at a limited rate, or without a limit if debug
// logging is enabled.
func (r *request) logFailure(e *result.Error) {
	keyValues := []any{"code", uint32(e.Code), "ran", e.Ran.String(), "effects", e.Effects.String(), "message", e.Message}
	if debug := r.log.V(1); debug.Enabled() {
		debug.Info("A request failed.", keyValues...)
		return
	}
	r.p.rateLimitedLog.Info("A request failed.", append(keyValues, "request", r.id)...)
}

// newStream registers the stream of a new attempt and reports to the router that the
// attempt started.
func (r *request) newStream(now time.Time, id pipeline.Attempt, server pipeline.Server) *stream {
	st := &r.req.Pipeline.Stages[id.Stage]
	s := &stream{r: r, id: id, server: server, stage: st, sentAt: now}
	r.streams[id] = s
	r.p.decider.startAttempt(now, st.Pool, server.ID)
	return s
}

func (r *request) attach(now time.Time, a pipeline.Attach) {
	if s := r.streams[a.Attempt]; s != nil {
		s.attach(a)
	}
}

// closeStream closes the stream of an attempt without an event. The stream stays
// registered, because the machine may attach to the attempt again.
func (r *request) closeStream(id pipeline.Attempt) {
	if s := r.streams[id]; s != nil {
		s.close()
		if r.ended {
			s.reportEndLocked(routing.Outcome{Code: result.Cancelled, Elapsed: time.Since(s.sentAt)})
		}
	}
}

// InFlightRequest describes a request in flight.
type InFlightRequest struct {
	ID       string        `json:"id"`
	Call     string        `json:"call"`
	Customer string        `json:"customer"`
	Stage    string        `json:"stage"`
	Age      time.Duration `json:"age_ns"`
	// Remaining is the time until the request's deadline.
	Remaining time.Duration `json:"left_ns"`
}

func (r *request) inFlight(now time.Time) InFlightRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return InFlightRequest{
		ID: r.id, Call: r.req.Call.Name, Customer: r.req.Customer.Name, Stage: r.machine.Stage(),
		Age: now.Sub(r.req.Received), Remaining: r.req.Received.Add(r.req.Timeout).Sub(now),
	}
}
