package peer

import (
	"github.com/magnoliawheel/magnoliawheel/core/quarantine"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/peer/peerpb"
)

// TellPatterns tells the entries that have a session to this one which prompts it holds back
// or releases, so that the one that places requests after it knows them at once.
func (l *Links) TellPatterns(changes []quarantine.Change) {
	wire := &peerpb.Patterns{}
	for _, c := range changes {
		wire.Patterns = append(wire.Patterns, &peerpb.Pattern{
			Parts: c.Parts, Crashes: uint32(c.Crashes), RemainingMs: (c.Until - clock.Now()).Milliseconds(), Released: c.Released,
		})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.inboundPeers {
		p.session.send(&peerpb.Message{Body: &peerpb.Message_Patterns{Patterns: wire}})
	}
}

// handlePatterns handles which prompts another entry holds back or releases.
func (p *Peer) handlePatterns(m *peerpb.Patterns) {
	for _, w := range m.GetPatterns() {
		if w.GetReleased() {
			p.planner.ForgetPattern(w.GetParts())
			continue
		}
		p.planner.LearnPattern(quarantine.Pattern{Parts: w.GetParts(), Crashes: int(w.GetCrashes()), Until: clock.Now() + milliseconds(w.GetRemainingMs())})
	}
}
