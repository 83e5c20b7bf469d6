package peer

import (
	"slices"

	"github.com/magnoliawheel/magnoliawheel/core/notice"
	"github.com/magnoliawheel/magnoliawheel/core/quarantine"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/peer/peerpb"
)

// maxAttemptsPerMessage bounds the attempts in one message.
const maxAttemptsPerMessage = 256

// sendEvidence tells the other entry how attempts ended.
func (p *Peer) sendEvidence(attempts []quarantine.Attempt) {
	now := clock.Now()
	for part := range slices.Chunk(attempts, maxAttemptsPerMessage) {
		wire := &peerpb.Evidence{}
		for _, a := range part {
			wire.Attempts = append(wire.Attempts, &peerpb.Attempt{
				Server: a.Server.ID, StartTime: a.Server.StartTime, Elements: a.Elements, Ending: peerpb.Ending(a.Ending),
				BeganAgoMs: (now - a.BeganAt).Milliseconds(), EndedAgoMs: (now - a.EndedAt).Milliseconds(),
			})
		}
		p.session.send(&peerpb.Message{Body: &peerpb.Message_Evidence{Evidence: wire}})
	}
}

// handleEvidence handles how attempts of other entries ended.
func (p *Peer) handleEvidence(m *peerpb.Evidence) {
	now := clock.Now()
	var attempts []quarantine.Attempt
	for _, w := range m.GetAttempts() {
		attempts = append(attempts, quarantine.Attempt{
			Server: notice.Server{ID: w.GetServer(), StartTime: w.GetStartTime()}, Elements: w.GetElements(), Ending: quarantine.Ending(w.GetEnding()),
			BeganAt: now - milliseconds(w.GetBeganAgoMs()), EndedAt: now - milliseconds(w.GetEndedAgoMs()),
		})
	}
	p.links.reportAttempts(attempts, p)
}

// ReportAttempts records how attempts at servers ended. What may matter to others is told to
// the entry that places requests, or to the one after it, so that it outlives this one.
func (l *Links) ReportAttempts(attempts ...quarantine.Attempt) { l.reportAttempts(attempts, nil) }

// reportAttempts is ReportAttempts for attempts that another entry, from, has told.
func (l *Links) reportAttempts(attempts []quarantine.Attempt, from *Peer) {
	news := l.planner.ReportAttempts(attempts)
	if len(news) == 0 {
		return
	}
	if backup, _ := l.backup(); backup != nil && backup != from {
		backup.sendEvidence(news)
	}
}
