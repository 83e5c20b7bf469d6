package peer

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/internal/peer/peerpb"
)

const (
	// sendQueueSize bounds the messages waiting to be sent; a session whose queue is
	// full is closed.
	sendQueueSize = 1024
	// sendDelay is how long a message that is not urgent may wait for others, so that
	// they are sent together.
	sendDelay = 25 * time.Millisecond
	// maxBatch bounds the messages that are sent together.
	maxBatch = 64
)

// outgoingMessage is a message to be sent at once, or within sendDelay if it is not
// urgent.
type outgoingMessage struct {
	*peerpb.Message
	urgent bool
	// written, if set, is closed once the message has been written to the connection.
	written chan<- struct{}
}

// send queues a message. If the queue is full, it closes the session.
func (s *session) send(m *peerpb.Message) { s.enqueue(outgoingMessage{Message: m, urgent: true}) }

// sendLater queues a message that may wait for others.
func (s *session) sendLater(m *peerpb.Message) { s.enqueue(outgoingMessage{Message: m}) }

// sendAndWait queues a message and waits until it has been written, the session has ended, or the
// timeout has passed.
func (s *session) sendAndWait(m *peerpb.Message, timeout time.Duration) {
	written := make(chan struct{})
	s.enqueue(outgoingMessage{Message: m, urgent: true, written: written})
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-written:
	case <-s.ctx.Done():
	case <-timer.C:
	}
}

func (s *session) enqueue(m outgoingMessage) {
	select {
	case s.sendQueue <- m:
	default:
		s.cancel()
	}
}

// sendStatus makes the sender send the status now. Only the sender may ask for it, since the
// changes that go with it must be sent in order.
func (s *session) sendStatus() {
	select {
	case s.statusDue <- struct{}{}:
	default:
	}
}

// sender sends the messages of a session in the order in which they were queued, several
// in one write if they are queued together.
type sender struct {
	*session
	status func() *peerpb.Message
	// pending are the messages to be sent in the next write; urgent is true if one of
	// them is.
	pending []*peerpb.Message
	urgent  bool
	// written are closed after the next write.
	written []chan<- struct{}
	// delay fires when the messages that are not urgent have waited for sendDelay.
	delay *time.Timer
}

func newSender(s *session, status func() *peerpb.Message) *sender {
	return &sender{session: s, status: status, delay: time.NewTimer(sendDelay)}
}

// run sends queued messages, and a status message at each interval, until the session
// ends or a write fails.
func (s *sender) run() {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	defer s.delay.Stop()
	err := s.add(outgoingMessage{Message: s.status(), urgent: true})
	for err == nil {
		select {
		case <-s.ctx.Done():
			return
		case m := <-s.sendQueue:
			err = s.add(m)
		case <-ticker.C:
			err = s.add(outgoingMessage{Message: s.status(), urgent: true})
		case <-s.statusDue:
			err = s.add(outgoingMessage{Message: s.status(), urgent: true})
		case <-s.delay.C:
			err = s.flush()
		}
	}
}

// add adds a message to the pending ones, and sends them unless they can wait or more
// are queued.
func (s *sender) add(m outgoingMessage) error {
	if len(s.pending) == 0 {
		s.delay.Reset(sendDelay)
	}
	s.pending = append(s.pending, m.Message)
	s.urgent = s.urgent || m.urgent
	if m.written != nil {
		s.written = append(s.written, m.written)
	}
	if s.urgent && len(s.sendQueue) == 0 || len(s.pending) >= maxBatch {
		return s.flush()
	}
	return nil
}

// flush sends the pending messages.
func (s *sender) flush() error {
	pending, written := s.pending, s.written
	s.pending, s.written, s.urgent = nil, nil, false
	if err := s.sendAll(pending); err != nil {
		return err
	}
	for _, w := range written {
		close(w)
	}
	return nil
}

// sendAll sends messages in one write.
func (s *sender) sendAll(messages []*peerpb.Message) error {
	switch len(messages) {
	case 0:
		return nil
	case 1:
		return s.stream.Send(messages[0])
	}
	return s.stream.Send(&peerpb.Message{Batch: messages})
}
