package entry

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/pipeline"
	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// TestBurnObserver checks the request counters of a call and which bytes count as
// cross-region traffic.
func TestBurnObserver(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	b := newBurnObserver("entry-1", "amman", scope)
	b.RequestFinished(&FinishedRequest{
		Call: "draft", Customer: "petra", Objective: 0.99, Code: result.OK, Elapsed: time.Second, Timeout: 3 * time.Second,
		Stages: []pipeline.StageUsage{
			{Stage: "encode", Attempts: 1, Region: "amman", SentBytes: 100, ReceivedBytes: 10},
			{Stage: "retrieve", Attempts: 2, Hedges: 1, Region: "aqaba", SentBytes: 1000, ReceivedBytes: 500},
			{Stage: "rerank", Attempts: 1, Region: "aqaba", FetchedBytes: 7000, FetchedRegion: "aqaba"},
			{Stage: "generate", Attempts: 1, Region: "irbid", FetchedBytes: 9000, FetchedRegion: "aqaba"},
			{Stage: "file"},
		},
	})
	b.RequestFinished(&FinishedRequest{Call: "draft", Code: result.Overloaded, Timeout: 3 * time.Second})
	b.RequestFinished(&FinishedRequest{Call: "draft", Code: result.BadBody, Timeout: 3 * time.Second})
	counters := scope.Snapshot().Counters()
	assert.Equal(t, counters["call_requests_offered+call=draft"].Value(), int64(2))
	assert.Equal(t, counters["call_requests_attained+call=draft"].Value(), int64(1))
	got := b.recorder.Report(time.Now())
	assert.Equal(t, got.Calls[0].Windows[0].Good, uint64(1))
	assert.Equal(t, got.Calls[0].Objective, 0.99)
	var bytes []uint64
	for _, s := range got.Stages {
		bytes = append(bytes, s.CrossRegionBytes)
	}
	assert.DeepEqual(t, bytes, []uint64{0, 1500, 0, 9000})
}
