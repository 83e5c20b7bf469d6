package peer

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/feed"
	"github.com/magnoliawheel/magnoliawheel/internal/peer/peerpb"
	"github.com/magnoliawheel/magnoliawheel/internal/watch"
)

// Topic is a topic of the store that entries follow. An entry that reads it tells those
// after it what it finds, so that they need not read it.
type Topic interface {
	State() watch.TopicState
	// Next returns the changes that another entry lacks; see feed.Cursor.
	Next(c *feed.Cursor, remote feed.Position) ([]feed.Change, feed.Position, bool)
	ApplyRelayed(era int64, changes []feed.Change)
	ConfirmRelayed(from, to feed.Position, asOf time.Duration)
	// PredecessorSeen records that an entry before this one is there.
	PredecessorSeen()
}

// topicRelay is what one entry told another about a topic.
type topicRelay struct {
	cursor feed.Cursor
	// remote is the position that the other entry reported; it is valid if known is set.
	remote feed.Position
	known  bool
}

// statusMessage returns the status to send to the other entry, together with the changes
// that it lacks.
func (p *Peer) statusMessage() *peerpb.Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	status := p.local.wireStatus()
	status.EchoClockUs = p.remoteClockUs
	status.Delegates = p.links.shares.delegatesTo(p.owner)
	var messages []*peerpb.Message
	for i, t := range p.local.Topics {
		state, changes := p.topicState(i, t)
		status.Topics = append(status.Topics, state)
		if len(changes) > 0 {
			messages = append(messages, encodeChanges(i, state.GetEra(), changes))
		}
	}
	message := &peerpb.Message{Body: &peerpb.Message_Status{Status: status}}
	if len(messages) == 0 {
		return message
	}
	return &peerpb.Message{Batch: append(messages, message)}
}

// topicState returns the state of a topic to send to the other entry, and the changes to
// send before it. The caller holds the lock.
func (p *Peer) topicState(i int, t Topic) (*peerpb.TopicState, []feed.Change) {
	s := t.State()
	state := &peerpb.TopicState{Known: s.Known, Direct: s.Direct, Era: s.Position.Era, Offset: s.Position.Offset, AgeUs: s.Age.Microseconds()}
	relay := &p.relays[i]
	if !s.Direct || !relay.known {
		relay.cursor = feed.Cursor{}
		return state, nil
	}
	changes, from, ok := t.Next(&relay.cursor, relay.remote)
	state.Covered, state.FromOffset = ok, from.Offset
	return state, changes
}

func encodeChanges(topic int, era int64, changes []feed.Change) *peerpb.Message {
	wire := &peerpb.Changes{Topic: uint32(topic), Era: era}
	for _, c := range changes {
		wire.Changes = append(wire.Changes, &peerpb.Change{Offset: c.Offset, Key: c.Key, Value: c.Value, Deleted: c.Deleted, Compressed: c.Compressed})
	}
	return &peerpb.Message{Body: &peerpb.Message_Changes{Changes: wire}}
}

// handleChanges applies changes that the other entry read. They are applied whatever the
// order of the two entries is, since the other one does not send them again.
func (p *Peer) handleChanges(m *peerpb.Changes) {
	if int(m.GetTopic()) >= len(p.local.Topics) {
		return
	}
	changes := make([]feed.Change, 0, len(m.GetChanges()))
	for _, c := range m.GetChanges() {
		changes = append(changes, feed.Change{Offset: c.GetOffset(), Key: c.GetKey(), Value: c.GetValue(), Deleted: c.GetDeleted(), Compressed: c.GetCompressed()})
	}
	p.local.Topics[m.GetTopic()].ApplyRelayed(m.GetEra(), changes)
}

// mayRelay reports whether this entry may go by what the other one reads. Only entries
// before it count, so that no two wait for each other.
func (p *Peer) mayRelay() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.local.isPrecededBy(p.order)
}

// handleTopics handles the topics of a status. What the other entry says held when it sent
// the status, which is after it received the one of this entry that it echoes. So its age
// counts from the time at which that one was sent. An entry that knows a newer version of
// the configuration than this one has not told everything, whatever it says.
func (p *Peer) handleTopics(status *peerpb.Status) {
	isPredecessor := p.mayRelay()
	mayRelay := isPredecessor && status.GetEchoClockUs() > 0
	localVersion, _ := p.local.configVersion()
	for i, s := range status.GetTopics() {
		if i >= len(p.local.Topics) {
			return
		}
		position := feed.Position{Era: s.GetEra(), Offset: s.GetOffset()}
		p.mu.Lock()
		p.relays[i].remote, p.relays[i].known = position, s.GetKnown()
		p.mu.Unlock()
		if isPredecessor {
			p.local.Topics[i].PredecessorSeen()
		}
		if !mayRelay || !s.GetDirect() || !s.GetCovered() || status.GetConfigVersion() > localVersion {
			continue
		}
		asOf := time.Duration(status.GetEchoClockUs()-s.GetAgeUs()) * time.Microsecond
		p.local.Topics[i].ConfirmRelayed(feed.Position{Era: s.GetEra(), Offset: s.GetFromOffset()}, position, asOf)
	}
}
