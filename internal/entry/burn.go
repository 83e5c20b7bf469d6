package entry

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/burn"
	"github.com/magnoliawheel/magnoliawheel/core/pipeline"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/callerapi"
	"github.com/magnoliawheel/magnoliawheel/internal/report"
)

// burnObserver gives the requests that ended to the report on service-level burn.
type burnObserver struct {
	recorder *report.Recorder
	region   string
}

// Finished takes in a request that ended.
func (b burnObserver) Finished(f *Finished) {
	r := burn.Request{
		Call: f.Call, Customer: f.Customer, Objective: f.Objective, Code: f.Code, Took: f.Took, Deadline: f.Deadline,
		Stages: make([]burn.Stage, 0, len(f.Stages)),
	}
	for i := range f.Stages {
		if f.Stages[i].Attempts > 0 {
			r.Stages = append(r.Stages, b.stage(&f.Stages[i]))
		}
	}
	b.recorder.Record(time.Now(), &r)
}

func (b burnObserver) stage(s *pipeline.StageUse) burn.Stage {
	out := burn.Stage{
		Name: s.Stage, Attempts: s.Attempts, Hedges: s.Hedges, Took: s.Took,
		Queue: s.Queue, Service: s.Service, Tokens: int64(s.Tokens),
	}
	if s.Region != "" && s.Region != b.region {
		out.CrossRegionBytes += s.SentBytes + s.ReceivedBytes
	}
	if s.Region != "" && s.FetchedRegion != "" && s.FetchedRegion != s.Region {
		out.CrossRegionBytes += s.FetchedBytes
	}
	return out
}

// refused counts a request that was not admitted.
func (p *Process) refused(req *callerapi.Request, code result.Code) {
	p.metrics.refused(code)
	p.burn.Record(time.Now(), &burn.Request{
		Call: req.Call.Name, Customer: req.Customer.Name, Objective: req.Call.Objective, Code: code, Deadline: req.Timeout,
	})
}
