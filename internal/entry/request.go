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

// reattachWindow is how long an unfinished request goes on without a reader.
const reattachWindow = 2 * time.Second

// request is one request that the entry owns.
type request struct {
	p      *Process
	id     string
	req    *callerapi.Request
	record *answer.Record
	log    logr.Logger
	digest uint64
	// adopted is set for a request that was taken over from another entry.
	adopted []pipeline.AdoptedAttempt

	mu      sync.Mutex
	machine *pipeline.Machine
	timer   *time.Timer
	ctx     context.Context
	cancel  context.CancelFunc
	streams map[pipeline.Attempt]*stream
	event   Finished
	// last is the time of the newest chunk.
	last  time.Time
	ended bool
}

func (p *Process) newRequest(id string, req *callerapi.Request, adopted []pipeline.AdoptedAttempt) *request {
	r := &request{p: p, id: id, req: req, adopted: adopted, log: p.log.WithValues("request", id), streams: map[pipeline.Attempt]*stream{}}
	r.digest = xxhash.Sum64String(req.Call.Name) ^ xxhash.Sum64(req.Body)
	r.ctx, r.cancel = context.WithCancel(p.ctx)
	r.record = answer.New(answer.Options{
		RequestID: id, AbandonTimeout: reattachWindow, OnAppend: p.table.grew,
		OnAbandoned: func() { r.step(pipeline.CallerCancel{}) },
		OnDelivered: func() { r.step(pipeline.Delivered{}) },
	})
	reference := int64(0)
	if p.opts.Settings.Policy.PayloadTransfer == payloadsByReference {
		reference = req.Snapshot.Schema.Limits.ReferenceThresholdBytes
	}
	r.machine = pipeline.New(pipeline.Options{
		RequestID: id, Pipeline: req.Pipeline, Body: req.Body, Deadline: req.Received.Add(req.Timeout),
		Streaming: req.Streaming, MaxAnswerBytes: req.Call.MaxAnswerBytes, ReferenceBytes: reference,
		AdoptedAttempts: adopted, Decider: chooser{decider: p.decider, req: req},
	})
	r.event = Finished{
		ID: id, Call: req.Call.Name, Customer: req.Customer.Name, Pipeline: req.Pipeline.Name,
		Started: req.Received, Objective: req.Call.Objective,
	}
	return r
}

// discard ends a request that never started.
func (r *request) discard() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	for _, s := range r.streams {
		s.settle(routing.Outcome{Code: result.Cancelled})
	}
	r.cancel()
	r.p.table.grew(-r.record.Size())
}

// payloadsByReference is the policy that keeps large stage results at agents.
const payloadsByReference = "reference"

// step takes an event into the machine and carries out its actions.
func (r *request) step(ev pipeline.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, a := range r.machine.Step(now, ev) {
		r.apply(now, a)
	}
	r.wake(now)
}

// wake sets the timer for the machine's next tick.
func (r *request) wake(now time.Time) {
	at := r.machine.NextTick()
	switch {
	case at.IsZero():
		if r.timer != nil {
			r.timer.Stop()
		}
	case r.timer == nil:
		r.timer = time.AfterFunc(at.Sub(now), func() { r.step(pipeline.Tick{}) })
	default:
		r.timer.Reset(at.Sub(now))
	}
}

func (r *request) apply(now time.Time, a pipeline.Action) {
	switch a := a.(type) {
	case pipeline.Send:
		r.open(now, a.Attempt, a.Server).run(a)
	case pipeline.Attach:
		r.attach(now, a)
	case pipeline.CloseStream:
		r.drop(a.Attempt)
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
	if r.last.IsZero() {
		r.event.FirstChunk = now.Sub(r.req.Received)
	} else if gap := now.Sub(r.last); len(r.event.Gaps) < maxGaps {
		r.event.Gaps = append(r.event.Gaps, gap)
	}
	r.last = now
}

func (r *request) finish(now time.Time, f pipeline.Finish) {
	r.ended = true
	for id := range r.streams {
		r.drop(id)
	}
	r.event.Code, r.event.Ran, r.event.Effects = result.OK, result.RanYes, result.RanYes
	if f.Err != nil {
		r.event.Code, r.event.Ran, r.event.Effects = f.Err.Code, f.Err.Ran, f.Err.Effects
		r.record.Append(answer.KindError, answer.NewErrorData(r.id, f.Err))
		r.logFailure(f.Err)
	} else {
		r.record.Append(answer.KindDone, answer.DoneData{Chunks: f.Chunks, Checksum: fmt.Sprintf("%016x", f.Checksum)})
		r.log.V(1).Info("A request is complete.", "took", now.Sub(r.req.Received).String())
	}
	r.event.Took = now.Sub(r.req.Received)
	r.event.Deadline = r.req.Timeout
	r.event.Stages = append([]pipeline.StageUsage(nil), r.machine.Usage()...)
	if r.adopted == nil {
		r.p.decider.finish(now, r.req.Customer.Name, r.event.Code, r.event.Took)
	}
	r.p.metrics.finished(&r.event)
	for _, o := range r.p.opts.Observers {
		o.Finished(&r.event)
	}
	r.p.table.ended(r)
}

// logFailure writes one line a second at most; all of them at the debug level.
func (r *request) logFailure(e *result.Error) {
	values := []any{"code", uint32(e.Code), "ran", e.Ran.String(), "effects", e.Effects.String(), "message", e.Message}
	if debug := r.log.V(1); debug.Enabled() {
		debug.Info("A request failed.", values...)
		return
	}
	r.p.limited.Info("A request failed.", append(values, "request", r.id)...)
}

// open returns the stream record of a new attempt and tells the router of it.
func (r *request) open(now time.Time, id pipeline.Attempt, server pipeline.Server) *stream {
	st := &r.req.Pipeline.Stages[id.Stage]
	s := &stream{r: r, id: id, server: server, stage: st, sent: now}
	r.streams[id] = s
	r.p.decider.start(now, st.Pool, server.ID)
	return s
}

func (r *request) attach(now time.Time, a pipeline.Attach) {
	if s := r.streams[a.Attempt]; s != nil {
		s.attach(a)
	}
}

// drop closes the stream of an attempt without an event. The attempt itself
// stays known, since the machine may attach to it again.
func (r *request) drop(id pipeline.Attempt) {
	if s := r.streams[id]; s != nil {
		s.close()
		if r.ended {
			s.settle(routing.Outcome{Code: result.Cancelled, Elapsed: time.Since(s.sent)})
		}
	}
}

// InFlight describes a request in flight.
type InFlight struct {
	ID       string        `json:"id"`
	Call     string        `json:"call"`
	Customer string        `json:"customer"`
	Stage    string        `json:"stage"`
	Age      time.Duration `json:"age_ns"`
	Left     time.Duration `json:"left_ns"`
}

func (r *request) inFlight(now time.Time) InFlight {
	r.mu.Lock()
	defer r.mu.Unlock()
	return InFlight{
		ID: r.id, Call: r.req.Call.Name, Customer: r.req.Customer.Name, Stage: r.machine.Stage(),
		Age: now.Sub(r.req.Received), Left: r.req.Received.Add(r.req.Timeout).Sub(now),
	}
}
