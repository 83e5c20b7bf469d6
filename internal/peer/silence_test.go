package peer

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/placement"
	"github.com/magnoliawheel/magnoliawheel/core/residency"
	"github.com/magnoliawheel/magnoliawheel/core/staging"
	"github.com/magnoliawheel/magnoliawheel/internal/peer/peerpb"
	"github.com/magnoliawheel/magnoliawheel/internal/planner"
)

// messageStream is a stream that delivers a number of messages, and then ends.
type messageStream struct {
	stream
	messages int
}

// Recv implements stream.
func (s *messageStream) Recv() (*peerpb.Message, error) {
	if s.messages == 0 {
		return nil, io.EOF
	}
	s.messages--
	return &peerpb.Message{}, nil
}

// TestVersionOfAPlacementIsForgottenAfterASilence guards against an entry that stood still, or that
// was cut off from the one that serves a stream, and keeps the version at which it placed the
// stream: it may have been placed anew since. The first event may have been relayed by an entry
// that was lost without a silence, so then the version stays.
func TestVersionOfAPlacementIsForgottenAfterASilence(t *testing.T) {
	tests := []struct {
		name string
		// silentFor is the time without messages before the last ones, which were queued.
		silentFor time.Duration
		messages  int
		started   bool
		known     bool
	}{
		{"entry was killed", 0, 1, false, true},
		{"silent", 2 * silenceTimeout, 0, false, false},
		{"silent, messages were queued", 2 * silenceTimeout, 3, false, false},
		{"silent after the first event", 2 * silenceTimeout, 3, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPeerWithStatus(&LocalEntry{}, 1, false)
			p.log = logr.Discard()
			p.session = newSession(context.Background(), &messageStream{messages: tt.messages})
			p.planner.SetPools([]planner.Pool{{Name: "m", HasResumableStreams: true, ModelServers: []placement.Server{{ID: "m1", SoftwareVersion: "v1"}}}})
			p.planner.Place(planner.Request{
				ID: "s", Pool: "m", TimeToDeadline: time.Minute, ResumableFor: time.Minute, Residency: residency.Unrestricted(),
			}, planner.Callbacks{OnPlacement: func(planner.Placement) {}, OnResultChanges: func([]staging.ResultLocation) {}})
			p.incoming = map[string]bool{"s": true}
			if tt.started {
				p.handleProgress("s", planner.Progress{Phase: planner.Started})
			}
			p.session.lastReceived = time.Now().Add(-tt.silentFor)
			p.session.receiveLoop(func(*peerpb.Message) {})
			p.endSession()
			assert.Equal(t, p.planner.StreamVersion("s") != nil, tt.known)
		})
	}
}
