package planner

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/magnoliawheel/magnoliawheel/core/placement"
	"github.com/magnoliawheel/magnoliawheel/core/residency"
	"github.com/magnoliawheel/magnoliawheel/core/staging"
)

// eventTimeout bounds the wait for an expected event.
const eventTimeout = 30 * time.Second

// hangingFirstCall hangs in the first call until release is closed, and answers all
// others.
type hangingFirstCall struct {
	calls     chan string
	hangToken chan struct{}
	release   chan struct{}
}

func (s *hangingFirstCall) Run(ctx context.Context, c staging.Call) (staging.CallResult, error) {
	s.calls <- c.Server.ID
	select {
	case <-s.hangToken:
		<-s.release
		return staging.CallResult{Status: staging.Incomplete}, ctx.Err()
	default:
	}
	results := make([]staging.Result, len(c.Items))
	for i := range results {
		results[i].Handle = c.Server.ID + "/h"
	}
	return staging.CallResult{Status: staging.Answered, Results: results}, nil
}

func (s *hangingFirstCall) Free(context.Context, staging.FreeRequest) (time.Duration, error) {
	return 0, nil
}

// Guards against updates that come faster than ticks and keep postponing them: the
// overdue call would never be detected, and its piece never retried on another server.
func TestTicksContinueUnderFrequentUpdates(t *testing.T) {
	hangToken := make(chan struct{}, 1)
	hangToken <- struct{}{}
	stages := &hangingFirstCall{calls: make(chan string, 10), hangToken: hangToken, release: make(chan struct{})}
	defer close(stages.release)
	p := New(stages, nil, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.Run(ctx)
	pools := []Pool{
		{Name: "a", StageSpec: &staging.PoolSpec{Slots: 1, BatchSize: 1, CallOverhead: 20 * time.Millisecond, MemoryBytes: 1 << 20}, StageServers: []staging.Server{{ID: "a1"}, {ID: "a2"}}},
		{Name: "m", ModelServers: []placement.Server{{ID: "m1"}}},
	}
	p.SetPools(pools)
	placed := make(chan Placement, 1)
	p.Place(Request{ID: "r", Stages: []staging.Stage{{Pool: "a", Pieces: 1}}, Pool: "m", TimeToObjective: time.Minute, TimeToDeadline: time.Minute, Residency: residency.Unrestricted()},
		Callbacks{OnPlacement: func(a Placement) { placed <- a }, OnResultChanges: func([]staging.ResultLocation) {}})
	hangingServer := <-stages.calls
	deadline := time.After(eventTimeout)
	for {
		select {
		case id := <-stages.calls:
			if id == hangingServer {
				t.Fatalf("called the hanging server %s again", id)
			}
			if a := <-placed; a.RefusalReason != 0 || a.Server != "m1" {
				t.Fatalf("unexpected placement: %+v", a)
			}
			return
		case <-deadline:
			t.Fatal("the hanging call was never detected")
		case <-time.After(time.Millisecond):
			p.SetPools(pools)
		}
	}
}
