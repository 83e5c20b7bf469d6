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

// sendStreams sends the versions that began streams to the other entry, at once if that
// is urgent.
func (p *Peer) sendStreams(records []streamversion.Record, urgent bool) {
	now := clock.Now()
	for part := range slices.Chunk(records, maxStreamsPerMessage) {
		wire := &peerpb.Streams{}
		for _, r := range part {
			wire.Streams = append(wire.Streams, &peerpb.StreamVersion{Stream: r.Stream, Version: r.Version, RemainingMs: (r.Until - now).Milliseconds()})
		}
		p.session.enqueue(outgoingMessage{&peerpb.Message{Body: &peerpb.Message_Streams{Streams: wire}}, urgent})
	}
}

// handleStreams records which versions began streams of the other entry.
func (p *Peer) handleStreams(m *peerpb.Streams) {
	now := clock.Now()
	for _, s := range m.GetStreams() {
		until := now + time.Duration(s.GetRemainingMs())*time.Millisecond
		p.planner.StreamBegan(streamversion.Record{Stream: s.GetStream(), Version: s.GetVersion(), Until: until}, false)
	}
}

// StreamBegan records which version of the server software begins a stream of this entry,
// and sends the record to its backup, so that the stream can be resumed if this entry is
// lost.
func (l *Links) StreamBegan(r streamversion.Record) {
	l.planner.StreamBegan(r, true)
	backup, places := l.backup()
	if backup == nil {
		return
	}
	// An entry that places the requests of this one has recorded the version with the
	// placement, unless another one placed this request.
	backup.sendStreams([]streamversion.Record{r}, !places)
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
