package entry

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/pipeline"
	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// TestBurnObserver checks which bytes count as billed between regions.
func TestBurnObserver(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	b := newBurnObserver("entry-1", "amman", scope)
	b.Finished(&Finished{
		Call: "draft", Customer: "petra", Objective: 0.99, Code: result.OK, Took: time.Second, Deadline: 3 * time.Second,
		Stages: []pipeline.StageUsage{
			{Stage: "encode", Attempts: 1, Region: "amman", SentBytes: 100, ReceivedBytes: 10},
			{Stage: "retrieve", Attempts: 2, Hedges: 1, Region: "aqaba", SentBytes: 1000, ReceivedBytes: 500},
			{Stage: "rerank", Attempts: 1, Region: "aqaba", FetchedBytes: 7000, FetchedRegion: "aqaba"},
			{Stage: "generate", Attempts: 1, Region: "irbid", FetchedBytes: 9000, FetchedRegion: "aqaba"},
			{Stage: "file"},
		},
	})
	b.Finished(&Finished{Call: "draft", Code: result.Overloaded, Deadline: 3 * time.Second})
	b.Finished(&Finished{Call: "draft", Code: result.BadBody, Deadline: 3 * time.Second})
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
