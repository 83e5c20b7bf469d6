package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/placement"
	"github.com/magnoliawheel/magnoliawheel/core/residency"
	"github.com/magnoliawheel/magnoliawheel/core/staging"
)

// placeStream places a stream with a prompt of 20,000 tokens.
func placeStream(p *Planner, id string) Placement {
	placed := make(chan Placement, 1)
	p.Place(Request{
		ID: id, Pool: "m", PromptParts: []placement.PromptPart{{ID: id, Tokens: 20_000}}, MaxPause: 400 * time.Millisecond,
		TimeToObjective: time.Second, TimeToDeadline: time.Minute, Residency: residency.Unrestricted(),
	}, Callbacks{OnPlacement: func(a Placement) { placed <- a }, OnResultChanges: func([]staging.ResultLocation) {}})
	return <-placed
}

// TestSpeedsOutliveThePlacingEntry guards against expected times that ignore what the requests of
// all entries have measured, and against an entry that begins without it after the one that
// placed requests was lost.
func TestSpeedsOutliveThePlacingEntry(t *testing.T) {
	pools := []Pool{{Name: "m", ModelServers: []placement.Server{{ID: "m1", StartTime: 1}}}}
	first := New(nil, nil, logr.Discard())
	first.SetPools(pools)
	unmeasured := placeStream(first, "r").ExpectedFirstEvent
	assert.Equal(t, unmeasured.Round(time.Millisecond), 463*time.Millisecond)
	first.UpdateProgress("r", Progress{Phase: Cancelled})
	for i := range 30 {
		id := fmt.Sprint("r", i)
		placeStream(first, id)
		first.UpdateProgress(id, Progress{Phase: Started, FirstEvent: 900 * time.Millisecond})
		// A repeated report must not count again, nor one without a time.
		first.UpdateProgress(id, Progress{Phase: Started})
		first.UpdateProgress(id, Progress{Phase: Complete, LongestPause: 50 * time.Millisecond})
	}
	assert.Assert(t, placeStream(first, "last").ExpectedFirstEvent > 700*time.Millisecond)

	for _, known := range [][]Pool{pools, nil} {
		next := New(nil, nil, logr.Discard())
		next.SetPools(known)
		next.LearnSpeeds(first.Speeds())
		next.SetPools(pools)
		assert.Assert(t, placeStream(next, "r").ExpectedFirstEvent > 700*time.Millisecond)
		assert.Equal(t, len(next.Speeds()), 0, "only what it measured itself")
	}
	// The message is lost, or the server has restarted.
	next := New(nil, nil, logr.Discard())
	next.LearnSpeeds(first.Speeds())
	next.SetPools([]Pool{{Name: "m", ModelServers: []placement.Server{{ID: "m1", StartTime: 2}}}})
	assert.Equal(t, placeStream(next, "r").ExpectedFirstEvent, unmeasured)
}
