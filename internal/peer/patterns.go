package peer

import (
	"slices"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/notice"
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
		wire.Patterns = append(wire.Patterns, encodePattern(now, c))
	}
	p.session.send(&peerpb.Message{Body: &peerpb.Message_Patterns{Patterns: wire}})
}

func encodePattern(now time.Duration, c quarantine.Change) *peerpb.Pattern {
	wire := &peerpb.Pattern{
		Elements: c.Elements, Crashes: uint32(c.Crashes), Proven: c.Proven, Released: c.Released,
		RemainingMs: (c.Until - now).Milliseconds(), SettlesMs: (c.SettlesAt - now).Milliseconds(),
	}
	for _, end := range c.Ends {
		wire.Ends = append(wire.Ends, &peerpb.ServerEnd{Server: end.Server.ID, StartTime: end.Server.StartTime, EndedAgoMs: (now - end.At).Milliseconds()})
	}
	return wire
}

func decodePattern(now time.Duration, wire *peerpb.Pattern) quarantine.Change {
	c := quarantine.Change{Released: wire.GetReleased(), Pattern: quarantine.Pattern{
		Elements: wire.GetElements(), Crashes: int(wire.GetCrashes()), Proven: wire.GetProven(),
		Until: now + milliseconds(wire.GetRemainingMs()), SettlesAt: now + milliseconds(wire.GetSettlesMs()),
	}}
	for _, end := range wire.GetEnds() {
		server := notice.Server{ID: end.GetServer(), StartTime: end.GetStartTime()}
		c.Ends = append(c.Ends, quarantine.End{Server: server, At: now - milliseconds(end.GetEndedAgoMs())})
	}
	return c
}

// handlePatterns handles which requests another entry holds back or releases, and passes on
// what is news.
func (p *Peer) handlePatterns(m *peerpb.Patterns) {
	now := clock.Now()
	var news []quarantine.Change
	for _, w := range m.GetPatterns() {
		c := decodePattern(now, w)
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
