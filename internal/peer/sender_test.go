package peer

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/internal/peer/peerpb"
)

// recordingStream is a stream that records what is sent once it is released.
type recordingStream struct {
	stream
	released chan struct{}
	sent     chan *peerpb.Message
}

// Send implements stream.
func (s *recordingStream) Send(m *peerpb.Message) error {
	<-s.released
	s.sent <- m
	return nil
}

// TestWaitingSenderReturnsOnceItsMessageIsWritten guards against a first event that reaches its
// client before the record of the stream's version has left the entry, which may be killed then,
// and against a client that waits for ever because a session stands still.
func TestWaitingSenderReturnsOnceItsMessageIsWritten(t *testing.T) {
	for _, name := range []string{"written", "stands still", "ended"} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			out := &recordingStream{released: make(chan struct{}), sent: make(chan *peerpb.Message, 8)}
			s := newSession(ctx, out)
			go newSender(s, func() *peerpb.Message { return &peerpb.Message{} }).run()
			message := &peerpb.Message{Body: &peerpb.Message_Streams{Streams: &peerpb.Streams{}}}
			timeout := time.Minute
			switch name {
			case "written":
				close(out.released)
			case "stands still":
				timeout = 20 * time.Millisecond
			case "ended":
				cancel()
			}
			s.sendAndWait(message, timeout)
			assert.Equal(t, hasSent(out.sent, message), name == "written")
			cancel()
			if name != "written" {
				close(out.released)
			}
		})
	}
}

// hasSent reports whether a message is among those sent, alone or in a batch.
func hasSent(sent chan *peerpb.Message, wanted *peerpb.Message) bool {
	for len(sent) > 0 {
		m := <-sent
		if m == wanted {
			return true
		}
		for _, part := range m.GetBatch() {
			if part == wanted {
				return true
			}
		}
	}
	return false
}
