package planner

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/magnoliawheel/magnoliawheel/core/placement"
	"github.com/magnoliawheel/magnoliawheel/core/staging"
)

// longest bounds the wait for an event that must come.
const longest = 30 * time.Second

// silentFirst never answers the first call; it makes what the others ask for.
type silentFirst struct {
	calls chan string
	first chan struct{}
	end   chan struct{}
}

func (s *silentFirst) Make(ctx context.Context, c staging.Call) (staging.CallStatus, []staging.Result, error) {
	s.calls <- c.Server.ID
	select {
	case <-s.first:
		<-s.end
		return staging.Incomplete, nil, ctx.Err()
	default:
	}
	results := make([]staging.Result, len(c.Items))
	for i := range results {
		results[i].Handle = c.Server.ID + "/h"
	}
	return staging.Answered, results, nil
}

func (s *silentFirst) Free(context.Context, staging.FreeRequest) error { return nil }

// TestTicksComeAlsoWhileMuchHappens lets other events come faster than ticks: a call
// without an answer must still be noticed, and its piece asked for elsewhere.
func TestTicksComeAlsoWhileMuchHappens(t *testing.T) {
	first := make(chan struct{}, 1)
	first <- struct{}{}
	stages := &silentFirst{calls: make(chan string, 10), first: first, end: make(chan struct{})}
	defer close(stages.end)
	p := New(stages, nil, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.Run(ctx)
	pools := []Pool{
		{Name: "a", Spec: &staging.PoolSpec{Slots: 1, BatchSize: 1, CallOverhead: 20 * time.Millisecond, MemoryBytes: 1 << 20}, Stage: []staging.Server{{ID: "a1"}, {ID: "a2"}}},
		{Name: "m", Servers: []placement.Server{{ID: "m1"}}},
	}
	p.SetPools(pools)
	placed := make(chan Placed, 1)
	p.Place(Request{ID: "r", Stages: []staging.Stage{{Pool: "a", Pieces: 1}}, Pool: "m", Due: time.Minute, Deadline: time.Minute},
		Watcher{Placed: func(a Placed) { placed <- a }, Made: func([]staging.ResultLocation) {}})
	silent := <-stages.calls
	deadline := time.After(longest)
	for {
		select {
		case id := <-stages.calls:
			if id == silent {
				t.Fatalf("asked %s again", id)
			}
			if a := <-placed; a.Reason != 0 || a.Server != "m1" {
				t.Fatalf("placed: %+v", a)
			}
			return
		case <-deadline:
			t.Fatal("the silent call was never noticed")
		case <-time.After(time.Millisecond):
			p.SetPools(pools)
		}
	}
}
