package peer

import (
	"slices"

	"github.com/magnoliawheel/magnoliawheel/core/notice"
	"github.com/magnoliawheel/magnoliawheel/internal/peer/peerpb"
)

// maxNoticesPerMessage bounds the notices in one message.
const maxNoticesPerMessage = 256

// sendNotices tells the other entry what servers said about themselves.
func (p *Peer) sendNotices(notices []notice.Notice) {
	for part := range slices.Chunk(notices, maxNoticesPerMessage) {
		wire := &peerpb.Notices{}
		for _, n := range part {
			wire.Notices = append(wire.Notices, &peerpb.Notice{Server: n.ID, StartTime: n.StartTime, Leaving: n.Leaving, Limit: n.Limit})
		}
		p.session.send(&peerpb.Message{Body: &peerpb.Message_Notices{Notices: wire}})
	}
}

// handleNotices handles what servers said to the other entry.
func (p *Peer) handleNotices(m *peerpb.Notices) {
	if p.local.OnNotices == nil {
		return
	}
	var notices []notice.Notice
	for _, n := range m.GetNotices() {
		server := notice.Server{ID: n.GetServer(), StartTime: n.GetStartTime()}
		notices = append(notices, notice.Notice{Server: server, Leaving: n.GetLeaving(), Limit: n.Limit})
	}
	p.local.OnNotices(p, notices)
}

// TellNotices tells what servers said about themselves to the entry that places the requests
// of this one. If this entry places them itself, it tells all entries that have a session to
// it, except from, which may be nil.
func (l *Links) TellNotices(notices []notice.Notice, from *Peer) {
	if p := l.PlanningPeer(); p != nil {
		if p != from {
			p.sendNotices(notices)
		}
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.inboundPeers {
		if p != from {
			p.sendNotices(notices)
		}
	}
}
