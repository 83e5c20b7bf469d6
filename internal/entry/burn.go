package entry

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/magnoliawheel/magnoliawheel/core/burn"
	"github.com/magnoliawheel/magnoliawheel/core/pipeline"
	"github.com/magnoliawheel/magnoliawheel/internal/report"
)

// burnObserver records finished requests for the report on service-level burn.
type burnObserver struct {
	recorder    *report.Recorder
	region      string
	callMetrics *callMetrics
}

func newBurnObserver(entry, region string, scope tally.Scope) burnObserver {
	return burnObserver{recorder: report.NewRecorder(entry), region: region, callMetrics: newCallMetrics(scope)}
}

// callMetrics counts the requests of each call, for use in alert rules.
type callMetrics struct {
	scope tally.Scope

	mu     sync.Mutex
	byCall map[string]callCounters
}

type callCounters struct{ offered, attained tally.Counter }

func newCallMetrics(scope tally.Scope) *callMetrics {
	return &callMetrics{scope: scope, byCall: map[string]callCounters{}}
}

func (m *callMetrics) count(r *burn.Request) {
	if !r.CountsTowardObjective() {
		return
	}
	m.mu.Lock()
	c, ok := m.byCall[r.Call]
	if !ok {
		s := m.scope.Tagged(map[string]string{"call": r.Call})
		c = callCounters{offered: s.Counter("call_requests_offered"), attained: s.Counter("call_requests_attained")}
		m.byCall[r.Call] = c
	}
	m.mu.Unlock()
	c.offered.Inc(1)
	if r.Attained() {
		c.attained.Inc(1)
	}
}

func (b burnObserver) record(r *burn.Request) {
	b.recorder.Record(time.Now(), r)
	b.callMetrics.count(r)
}

// RequestFinished implements Observer.
func (b burnObserver) RequestFinished(f *FinishedRequest) {
	r := burn.Request{
		Call: f.Call, Customer: f.Customer, Objective: f.Objective, Code: f.Code, Elapsed: f.Elapsed, Deadline: f.Timeout,
		Stages: make([]burn.Stage, 0, len(f.Stages)),
	}
	for i := range f.Stages {
		if f.Stages[i].Attempts > 0 {
			r.Stages = append(r.Stages, b.burnStage(&f.Stages[i]))
		}
	}
	b.record(&r)
}

// burnStage converts the usage of a stage. Payload bytes count as cross-region
// traffic when the server is in another region than the entry, fetched bytes when
// the two agents are in different regions.
func (b burnObserver) burnStage(s *pipeline.StageUsage) burn.Stage {
	out := burn.Stage{
		Name: s.Stage, Attempts: s.Attempts, Hedges: s.Hedges, Elapsed: s.Elapsed,
		QueueTime: s.QueueTime, ServiceTime: s.ServiceTime, Tokens: int64(s.Tokens),
	}
	if s.Region != "" && s.Region != b.region {
		out.CrossRegionBytes += s.SentBytes + s.ReceivedBytes
	}
	if s.Region != "" && s.FetchedRegion != "" && s.FetchedRegion != s.Region {
		out.CrossRegionBytes += s.FetchedBytes
	}
	return out
}
