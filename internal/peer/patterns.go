package peer

import (
	"slices"

	"github.com/magnoliawheel/magnoliawheel/core/quarantine"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/peer/peerpb"
)

// sendPatterns tells the other entry which requests are held back or released.
func (p *Peer) sendPatterns(changes []quarantine.Change) {
	if len(changes) == 0 {
		return
	}
	now := clock.Now()
	wire := &peerpb.Patterns{}
	for _, c := range changes {
		wire.Patterns = append(wire.Patterns, &peerpb.Pattern{
			Elements: c.Elements, Crashes: uint32(c.Crashes), Proven: c.Proven, Released: c.Released,
			RemainingMs: (c.Until - now).Milliseconds(), SettlesMs: (c.SettlesAt - now).Milliseconds(),
		})
	}
	p.session.send(&peerpb.Message{Body: &peerpb.Message_Patterns{Patterns: wire}})
}

// handlePatterns handles which requests another entry holds back or releases, and passes on
// what is news.
func (p *Peer) handlePatterns(m *peerpb.Patterns) {
	now := clock.Now()
	var news []quarantine.Change
	for _, w := range m.GetPatterns() {
		c := quarantine.Change{Released: w.GetReleased(), Pattern: quarantine.Pattern{
			Elements: w.GetElements(), Crashes: int(w.GetCrashes()), Proven: w.GetProven(),
			Until: now + milliseconds(w.GetRemainingMs()), SettlesAt: now + milliseconds(w.GetSettlesMs()),
		}}
		if p.applyPattern(c) {
			news = append(news, c)
		}
	}
	p.links.tellPatterns(news, p)
}

func (p *Peer) applyPattern(c quarantine.Change) bool {
	if c.Released {
		return p.planner.ForgetPattern(c.Elements)
	}
	return p.planner.LearnPattern(c.Pattern)
}

// TellPatterns tells which requests this entry holds back or releases to all entries that it
// has a session with. They pass it on, so that all entries know it soon.
func (l *Links) TellPatterns(changes []quarantine.Change) {
	changes = slices.DeleteFunc(slices.Clone(changes), func(c quarantine.Change) bool { return c.Expired })
	l.tellPatterns(changes, nil)
}

// tellPatterns tells all entries but from, which may be nil.
func (l *Links) tellPatterns(changes []quarantine.Change, from *Peer) {
	if len(changes) == 0 {
		return
	}
	for _, p := range l.peers() {
		if p != from {
			p.sendPatterns(changes)
		}
	}
}

// peers returns the entries that this one has a session with.
func (l *Links) peers() []*Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []*Peer
	for p := range l.inboundPeers {
		all = append(all, p)
	}
	for _, k := range l.links {
		if p := k.currentPeer(); p != nil {
			all = append(all, p)
		}
	}
	return all
}
