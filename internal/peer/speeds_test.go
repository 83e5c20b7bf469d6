package peer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/placement"
	"github.com/magnoliawheel/magnoliawheel/core/residency"
	"github.com/magnoliawheel/magnoliawheel/core/staging"
	"github.com/magnoliawheel/magnoliawheel/internal/planner"
)

// newSpeedsPeer returns a peer that queues its messages, of an entry with model servers.
func newSpeedsPeer(servers int) *Peer {
	p := newPeerWithStatus(&LocalEntry{}, 1, false)
	p.session.sendQueue = make(chan outgoingMessage, sendQueueSize)
	defs := make([]placement.Server, servers)
	for i := range defs {
		defs[i] = placement.Server{ID: fmt.Sprint("m", i), Slots: 1}
	}
	p.planner.SetPools([]planner.Pool{{Name: "m", ModelServers: defs}})
	return p
}

// placeLong places a request with a prompt of 20,000 tokens, and returns the time to the first
// event that is expected.
func placeLong(p *Peer, id string) (expected time.Duration) {
	p.planner.Place(planner.Request{
		ID: id, Pool: "m", PromptParts: []placement.PromptPart{{ID: id, Tokens: 20_000}}, TimeToDeadline: time.Minute, Residency: residency.Unrestricted(),
	}, planner.Callbacks{OnPlacement: func(a planner.Placement) { expected = a.ExpectedFirstEvent }, OnResultChanges: func([]staging.ResultLocation) {}})
	return expected
}

// TestSpeedsReachTheNextPlacingEntry guards against an entry that begins to place requests with
// the starting values after the one before it was lost, and against messages to all new sessions
// that grow with the number of servers. A lost message costs only the values in it.
func TestSpeedsReachTheNextPlacingEntry(t *testing.T) {
	const servers = maxSpeedsPerMessage + 10
	first, next := newSpeedsPeer(servers), newSpeedsPeer(servers)
	unmeasured := placeLong(newSpeedsPeer(servers), "r")
	for i := range servers {
		id := fmt.Sprint("r", i)
		placeLong(first, id)
		first.planner.UpdateProgress(id, planner.Progress{Phase: planner.Started, FirstEvent: 2 * time.Second})
	}
	first.sendFirstSpeeds(first.planner.Speeds())
	assert.Equal(t, len(first.session.sendQueue), 1)
	<-first.session.sendQueue
	first.sendSpeeds(first.planner.Speeds())
	assert.Equal(t, len(first.session.sendQueue), 2)
	for len(first.session.sendQueue) > 0 {
		next.handleMessage((<-first.session.sendQueue).Message)
	}
	assert.Assert(t, placeLong(next, "r") > unmeasured+50*time.Millisecond)
	next.sendFirstSpeeds(next.planner.Speeds())
	assert.Equal(t, len(next.session.sendQueue), 0, "values of others are not passed on")
}

// TestBackupIsToldAgain guards against a backup that knows only what was measured before it became
// the backup.
func TestBackupIsToldAgain(t *testing.T) {
	a, b := &Peer{}, &Peer{}
	var timer speedsTimer
	assert.Assert(t, !timer.due(0, nil) && timer.due(0, a) && !timer.due(time.Second, a) && timer.due(time.Second, b))
	assert.Assert(t, !timer.due(speedsInterval, b) && timer.due(speedsInterval+time.Second, b))
}
