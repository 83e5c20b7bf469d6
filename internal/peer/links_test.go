package peer

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/internal/planner"
)

// newPeerWithStatus returns a peer that has sent a status, as of now.
func newPeerWithStatus(local *LocalEntry, order int64, stopping bool) *Peer {
	s := &session{lastReceived: time.Now(), cancel: func() {}}
	p := newPeer(s, NewLinks(local, planner.New(nil, nil, logr.Discard()), logr.Discard()))
	p.statusReceived, p.ready, p.order, p.stopping = true, !stopping, order, stopping
	return p
}

// TestSearchAfterLossOfManyEntries checks when requests wait for the successor of the entry
// that placed them. Pattern: many entries are killed at once. If each of the others placed
// its own requests until it has found the next one, they would plan side by side, and most
// of their calls would meet servers that are full.
func TestSearchAfterLossOfManyEntries(t *testing.T) {
	local := &LocalEntry{Ready: func() bool { return true }, Stopping: func() bool { return false }}
	local.Register(9)
	lost := &link{wasLost: true, nextDialAt: time.Now().Add(time.Second)}
	tests := []struct {
		name       string
		hadPlanner bool
		links      []*link
		searching  bool
	}{
		{"the next entry is not dialed yet", true, []*link{lost, {}}, true},
		{"the next entry is being dialed", true, []*link{lost, {dialing: true, nextDialAt: time.Now()}}, true},
		{"no other entry comes before this one", true, []*link{lost}, false},
		{"all others were tried without success", true, []*link{lost, {dialFailures: 1, nextDialAt: time.Now()}}, false},
		{"the next entry is there", true, []*link{lost, {peer: newPeerWithStatus(local, 3, false)}, {}}, false},
		{"the next entry is stopping", true, []*link{lost, {peer: newPeerWithStatus(local, 3, true)}, {}}, true},
		{"no entry ever placed its requests", false, []*link{{}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := NewLinks(local, planner.New(nil, nil, logr.Discard()), logr.Discard())
			l.links, l.hadPlanner = tt.links, tt.hadPlanner
			for _, k := range l.links {
				k.links = l
			}
			assert.Equal(t, l.isSearching(), tt.searching)
			if !tt.searching {
				return
			}
			l.searchingSince = time.Now().Add(-maxSearchTime - 1)
			assert.Assert(t, !l.isSearching(), "the search has a bound")
			assert.Assert(t, !l.isSearching(), "it begins again only after another loss")
		})
	}
}

// TestSlowEntryIsUsedAgainLater guards against requests that move to and fro: an entry on a
// slow machine is lost for its silence, connects again, and is lost again. Pattern: flapping.
func TestSlowEntryIsUsedAgainLater(t *testing.T) {
	k := &link{wasLost: true}
	var delays []time.Duration
	for range 6 {
		k.connectedAt = time.Now()
		k.sessionEnded()
		delays = append(delays, k.reuseDelay())
	}
	second := time.Second
	assert.DeepEqual(t, delays, []time.Duration{second / 2, second, 2 * second, 4 * second, 8 * second, 8 * second})
	k.connectedAt = time.Now().Add(-stableSessionTime)
	k.sessionEnded()
	assert.Equal(t, k.reuseDelay(), second/2, "the session was stable")
}

// TestReadySessionIsKeptForOneThatIsNot guards against a session with a ready entry that is
// closed for one whose state is not known yet. If that one turns out not to be ready, or to
// come later, the entry that would place requests after the next loss has no session.
func TestReadySessionIsKeptForOneThatIsNot(t *testing.T) {
	local := &LocalEntry{Ready: func() bool { return true }, Stopping: func() bool { return false }}
	local.Register(9)
	unknown := newPeerWithStatus(local, 1, false)
	unknown.statusReceived = false
	closed := false
	last := newPeerWithStatus(local, 3, false)
	last.session.cancel = func() { closed = true }
	l := NewLinks(local, planner.New(nil, nil, logr.Discard()), logr.Discard())
	l.links = []*link{{peer: unknown}, {peer: newPeerWithStatus(local, 2, false)}, {peer: last}}
	for i, k := range l.links {
		k.links, k.entry.Position = l, int64(i)
	}
	l.maintainSessions(t.Context())
	assert.Assert(t, !closed, "the first entry has not told its state")
	unknown.statusReceived = true
	l.maintainSessions(t.Context())
	assert.Assert(t, closed, "two entries before it are ready")
}

// TestClosedSessionIsReopenedAtOnce guards against an entry that is without a session for the
// redial delay, and does not use the entry for some time after, because it closed the session
// itself when it had enough others. Only lost sessions are a reason to wait.
func TestClosedSessionIsReopenedAtOnce(t *testing.T) {
	local := &LocalEntry{Ready: func() bool { return true }, Stopping: func() bool { return false }}
	local.Register(9)
	l := NewLinks(local, planner.New(nil, nil, logr.Discard()), logr.Discard())
	for _, closed := range []bool{true, false} {
		p := newPeerWithStatus(local, 1, false)
		k := &link{links: l, peer: p, dialing: true, connectedAt: time.Now()}
		if closed {
			k.closeIdle()
		}
		k.disconnected(nil)
		assert.Equal(t, k.nextDialAt.IsZero(), closed)
		k.peer, k.connectedAt = p, time.Now()
		assert.Equal(t, k.usablePeer() != nil, closed)
	}
}

// TestCheckLeavesSessionIdle guards against sessions that are kept for requests which the other
// entry only had checked: they have no server, so no progress follows.
func TestCheckLeavesSessionIdle(t *testing.T) {
	local := &LocalEntry{Ready: func() bool { return true }, Stopping: func() bool { return false }}
	p := newPeerWithStatus(local, 1, false)
	for _, answer := range []planner.Placement{{ID: "checked"}, {ID: "refused", RefusalReason: planner.HeldBack}} {
		p.incoming[answer.ID] = true
		p.sendPlacement(answer)
		assert.Assert(t, p.idle(), answer.ID)
	}
	p.incoming["placed"] = true
	p.sendPlacement(planner.Placement{ID: "placed", Server: "s"})
	assert.Assert(t, !p.idle())
}
