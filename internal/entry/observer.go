package entry

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/magnoliawheel/magnoliawheel/core/pipeline"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/callerapi"
)

// maxGaps bounds the gaps between chunks kept for one request.
const maxGaps = 1024

// Finished describes a request that ended, or that was refused; then ID is empty.
type Finished struct {
	ID, Call, Customer, Pipeline string
	Started                      time.Time
	// Objective is the attainment objective of the call.
	Objective float64
	// Deadline is the time the caller gave; Took the time used.
	Deadline, Took time.Duration
	Code           result.Code
	Ran, Effects   result.Ran
	// FirstChunk is the time to the first chunk; 0 if there was none.
	FirstChunk time.Duration
	// Gaps are the times between chunks.
	Gaps   []time.Duration
	Stages []pipeline.StageUsage
}

// Complete tells whether the whole answer was given.
func (f *Finished) Complete() bool { return f.Code == result.OK }

// Observer is told of each request that ended. It must not block and must not
// keep the event.
type Observer interface {
	Finished(f *Finished)
}

type metrics struct {
	scope    tally.Scope
	complete tally.Counter
	failed   tally.Counter
	refusals tally.Counter
	took     tally.Histogram
	first    tally.Histogram
}

func newMetrics(scope tally.Scope) metrics {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)
	return metrics{
		scope:    scope,
		complete: scope.Counter("requests_complete"),
		failed:   scope.Counter("requests_failed"),
		refusals: scope.Counter("requests_refused"),
		took:     scope.Histogram("request_seconds", buckets),
		first:    scope.Histogram("first_chunk_seconds", buckets),
	}
}

// refused tells the observers of a request that was not admitted.
func (p *Process) refused(now time.Time, req *callerapi.Request, e *result.Error) {
	p.metrics.refusals.Inc(1)
	p.limited.Info("A request was refused.", "code", uint32(e.Code), "call", req.Call.Name, "customer", req.Customer.Name, "message", e.Message)
	f := Finished{
		Call: req.Call.Name, Customer: req.Customer.Name, Pipeline: req.Pipeline.Name, Started: req.Received, Objective: req.Call.Objective,
		Deadline: req.Timeout, Took: now.Sub(req.Received), Code: e.Code, Ran: e.Ran, Effects: e.Effects,
	}
	for _, o := range p.opts.Observers {
		o.Finished(&f)
	}
}

func (m *metrics) finished(f *Finished) {
	if !f.Complete() {
		m.failed.Inc(1)
		return
	}
	m.complete.Inc(1)
	m.took.RecordDuration(f.Took)
	if f.FirstChunk > 0 {
		m.first.RecordDuration(f.FirstChunk)
	}
}
