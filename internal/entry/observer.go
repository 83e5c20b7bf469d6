package entry

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/magnoliawheel/magnoliawheel/core/pipeline"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/callerapi"
)

// maxChunkGaps bounds the number of gaps recorded for one request.
const maxChunkGaps = 1024

// FinishedRequest describes a request that ended or was refused. ID is empty if it
// was refused.
type FinishedRequest struct {
	ID, Call, Customer, Pipeline string
	Started                      time.Time
	// Objective is the service-level objective of the call, such as 0.99.
	Objective float64
	// Timeout is the time allowed by the caller; Elapsed is the time used.
	Timeout, Elapsed time.Duration
	Code             result.Code
	Ran, Effects     result.Ran
	// TimeToFirstChunk is 0 if no chunk was emitted.
	TimeToFirstChunk time.Duration
	// ChunkGaps holds the times between consecutive chunks, up to maxChunkGaps of
	// them.
	ChunkGaps []time.Duration
	Stages    []pipeline.StageUsage
}

// Complete reports whether the caller got the complete answer.
func (f *FinishedRequest) Complete() bool { return f.Code == result.OK }

// Observer is notified of each request that ended or was refused. RequestFinished
// must not block and must not retain f.
type Observer interface {
	RequestFinished(f *FinishedRequest)
}

// metrics holds the metrics of finished and refused requests.
type metrics struct {
	scope            tally.Scope
	completed        tally.Counter
	failed           tally.Counter
	refused          tally.Counter
	requestDuration  tally.Histogram
	timeToFirstChunk tally.Histogram
}

func newMetrics(scope tally.Scope) metrics {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)
	return metrics{
		scope:            scope,
		completed:        scope.Counter("requests_complete"),
		failed:           scope.Counter("requests_failed"),
		refused:          scope.Counter("requests_refused"),
		requestDuration:  scope.Histogram("request_seconds", buckets),
		timeToFirstChunk: scope.Histogram("first_chunk_seconds", buckets),
	}
}

// reportRefusal counts and logs a request that was not admitted and notifies the
// observers.
func (p *Process) reportRefusal(now time.Time, req *callerapi.Request, e *result.Error) {
	p.metrics.refused.Inc(1)
	p.rateLimitedLog.Info("A request was refused.", "code", uint32(e.Code), "call", req.Call.Name, "customer", req.Customer.Name, "message", e.Message)
	f := FinishedRequest{
		Call: req.Call.Name, Customer: req.Customer.Name, Pipeline: req.Pipeline.Name, Started: req.Received, Objective: req.Call.Objective,
		Timeout: req.Timeout, Elapsed: now.Sub(req.Received), Code: e.Code, Ran: e.Ran, Effects: e.Effects,
	}
	for _, o := range p.opts.Observers {
		o.RequestFinished(&f)
	}
}

func (m *metrics) recordFinished(f *FinishedRequest) {
	if !f.Complete() {
		m.failed.Inc(1)
		return
	}
	m.completed.Inc(1)
	m.requestDuration.RecordDuration(f.Elapsed)
	if f.TimeToFirstChunk > 0 {
		m.timeToFirstChunk.RecordDuration(f.TimeToFirstChunk)
	}
}
