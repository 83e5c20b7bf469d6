package peer

import (
	"slices"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/streamversion"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/peer/peerpb"
)

// maxStreamsPerMessage bounds the records of streams in one message.
const maxStreamsPerMessage = 256

// recordWriteTimeout bounds the wait until the version of a stream has been sent, before which
// its first event does not reach the client.
const recordWriteTimeout = 50 * time.Millisecond

// sendStreams sends the versions that began streams to the other entry, at once if that
// is urgent.
func (p *Peer) sendStreams(records []streamversion.Record, urgent bool) {
	for part := range slices.Chunk(records, maxStreamsPerMessage) {
		p.session.enqueue(outgoingMessage{Message: encodeStreams(part), urgent: urgent})
	}
}

func encodeStreams(records []streamversion.Record) *peerpb.Message {
	now := clock.Now()
	wire := &peerpb.Streams{}
	for _, r := range records {
		wire.Streams = append(wire.Streams, &peerpb.StreamVersion{Stream: r.Stream, Version: r.Version, RemainingMs: (r.Until - now).Milliseconds()})
	}
	return &peerpb.Message{Body: &peerpb.Message_Streams{Streams: wire}}
}

// handleStreams records which versions began streams of the other entry.
func (p *Peer) handleStreams(m *peerpb.Streams) {
	now := clock.Now()
	for _, s := range m.GetStreams() {
		until := now + time.Duration(s.GetRemainingMs())*time.Millisecond
		r := streamversion.Record{Stream: s.GetStream(), Version: s.GetVersion(), Until: until}
		p.planner.StreamBegan(r, false, p.isIncoming(r.Stream))
	}
}

// isIncoming reports whether this entry places a request of the other one.
func (p *Peer) isIncoming(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incoming[id]
}

// StreamBegan records which version of the server software begins a stream of this entry,
// and sends the record to its backup, so that the stream can be resumed if this entry is
// lost. While streams of several versions may be resumed, it returns only once the record has
// been sent, or cannot be sent soon.
func (l *Links) StreamBegan(r streamversion.Record) {
	backup, places := l.backup()
	l.planner.StreamBegan(r, true, !places)
	switch {
	case backup == nil:
	case l.planner.HasSeveralVersions():
		backup.session.sendAndWait(encodeStreams([]streamversion.Record{r}), recordWriteTimeout)
	default:
		backup.sendStreams([]streamversion.Record{r}, !places)
	}
}

// backup returns the entry that holds a copy of what this one knows alone: the one that
// places its requests, or if this entry places them itself, the first ready one after it. It
// returns nil if there is none, and whether the entry places requests of this one.
func (l *Links) backup() (backup *Peer, places bool) {
	if p := l.PlanningPeer(); p != nil {
		return p, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.firstReadyInbound(), false
}

// updateBackup sends all records of this entry's streams, what servers said about themselves,
// and which attempts may have crashed servers, to a new backup. It returns the backup.
func (l *Links) updateBackup(previous *Peer) *Peer {
	backup, _ := l.backup()
	if backup != nil && backup != previous {
		backup.sendStreams(l.planner.LocalStreams(), false)
		if l.local.Notices != nil {
			backup.sendNotices(l.local.Notices())
		}
		backup.sendEvidence(l.planner.Evidence())
	}
	return backup
}
