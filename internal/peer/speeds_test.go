package peer

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/placement"
	"github.com/magnoliawheel/magnoliawheel/core/residency"
	"github.com/magnoliawheel/magnoliawheel/core/staging"
	"github.com/magnoliawheel/magnoliawheel/internal/planner"
)

// newSpeedsPeer returns a peer of an entry whose planner has model servers, and that queues its
// messages.
func newSpeedsPeer(servers int) *Peer {
	p := newPeerWithStatus(&LocalEntry{Ready: func() bool { return true }, Stopping: func() bool { return false }}, 1, false)
	p.session.sendQueue = make(chan outgoingMessage, sendQueueSize)
	var defs []placement.Server
	for i := range servers {
		defs = append(defs, placement.Server{ID: fmt.Sprint("m", i), StartTime: 1, Slots: 1})
	}
	p.planner.SetPools([]planner.Pool{{Name: "m", ModelServers: defs}})
	return p
}

// place places a request with a prompt of 20,000 tokens.
func place(p *planner.Planner, id string) planner.Placement {
	placed := make(chan planner.Placement, 1)
	p.Place(planner.Request{
		ID: id, Pool: "m", PromptParts: []placement.PromptPart{{ID: id, Tokens: 20_000}}, TimeToObjective: time.Minute, TimeToDeadline: time.Minute, Residency: residency.Unrestricted(),
	}, planner.Callbacks{OnPlacement: func(a planner.Placement) { placed <- a }, OnResultChanges: func([]staging.ResultLocation) {}})
	return <-placed
}

// measure has each of the servers serve a request slowly.
func measure(p *planner.Planner, servers int) {
	for i := range servers {
		id := fmt.Sprint("r", i)
		place(p, id)
		p.UpdateProgress(id, planner.Progress{Phase: planner.Started, FirstEvent: 2 * time.Second})
	}
}

// TestSpeedsReachTheNextPlacingEntry guards against an entry that begins to place requests with
// the starting values after the one before it was lost, and against messages to all new sessions
// that grow with the number of servers. A lost message costs only the values in it.
func TestSpeedsReachTheNextPlacingEntry(t *testing.T) {
	const servers = maxSpeedsPerMessage + 10
	first, next, fresh := newSpeedsPeer(servers), newSpeedsPeer(servers), newSpeedsPeer(servers)
	unmeasured := place(fresh.planner, "r").ExpectedFirstEvent
	measure(first.planner, servers)
	assert.Equal(t, len(first.planner.Speeds()), servers)

	first.sendFirstSpeeds(first.planner.Speeds())
	assert.Equal(t, len(first.session.sendQueue), 1)
	<-first.session.sendQueue
	first.sendSpeeds(first.planner.Speeds())
	assert.Equal(t, len(first.session.sendQueue), 2)
	for len(first.session.sendQueue) > 0 {
		next.handleMessage((<-first.session.sendQueue).Message)
	}
	assert.Assert(t, place(next.planner, "r").ExpectedFirstEvent > unmeasured+50*time.Millisecond)
	next.sendFirstSpeeds(next.planner.Speeds())
	assert.Equal(t, len(next.session.sendQueue), 0, "values of others are not passed on")
}

// TestBackupIsToldAgain guards against a backup that knows only what was measured before it became
// the backup.
func TestBackupIsToldAgain(t *testing.T) {
	a, b := &Peer{}, &Peer{}
	var timer speedsTimer
	for _, tt := range []struct {
		now    time.Duration
		backup *Peer
		want   bool
	}{
		{0, nil, false}, {0, a, true}, {time.Second, a, false}, {time.Second, b, true},
		{speedsInterval, b, false}, {speedsInterval + time.Second, b, true}, {2 * speedsInterval, nil, false},
	} {
		assert.Equal(t, timer.due(tt.now, tt.backup), tt.want, "%v", tt.now)
	}
	l := NewLinks(&LocalEntry{Ready: func() bool { return true }, Stopping: func() bool { return false }}, planner.New(nil, nil, logr.Discard()), logr.Discard())
	l.tellSpeeds(&timer, nil)
}
