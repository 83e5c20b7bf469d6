package peer

import (
	"slices"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/notice"
	"github.com/magnoliawheel/magnoliawheel/core/serverspeed"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/peer/peerpb"
)

const (
	// maxSpeedsPerMessage bounds the speeds in one message. Each takes about 60 bytes.
	maxSpeedsPerMessage = 256
	// speedsInterval is the time after which a backup is told again. With 2,700 servers that
	// takes about 3 KB/s.
	speedsInterval = time.Minute
)

// sendSpeeds tells the other entry what this one has measured of the speeds of servers. Unless
// it places requests, or did so lately, it has measured nothing.
func (p *Peer) sendSpeeds(speeds []serverspeed.Speed) {
	for part := range slices.Chunk(speeds, maxSpeedsPerMessage) {
		wire := &peerpb.Speeds{}
		for _, s := range part {
			wire.Speeds = append(wire.Speeds, &peerpb.ServerSpeed{
				Server: s.ID, StartTime: s.StartTime, PromptTokensPerMs: s.TokensPerMS, FirstEventMs: s.FirstEventMS,
				Slowdown: s.Slowdown, Samples: s.Samples, AgeMs: s.Age.Milliseconds(),
			})
		}
		p.session.send(&peerpb.Message{Body: &peerpb.Message_Speeds{Speeds: wire}})
	}
}

// sendFirstSpeeds is sendSpeeds for a new session, in one message: all entries may open a session
// at once after the loss of another one. The backup is told everything.
func (p *Peer) sendFirstSpeeds(speeds []serverspeed.Speed) {
	p.sendSpeeds(speeds[:min(len(speeds), maxSpeedsPerMessage)])
}

// handleSpeeds handles what the other entry has measured of the speeds of servers.
func (p *Peer) handleSpeeds(m *peerpb.Speeds) {
	speeds := make([]serverspeed.Speed, len(m.GetSpeeds()))
	for i, s := range m.GetSpeeds() {
		speeds[i] = serverspeed.Speed{
			Server:      notice.Server{ID: s.GetServer(), StartTime: s.GetStartTime()},
			TokensPerMS: s.GetPromptTokensPerMs(), FirstEventMS: s.GetFirstEventMs(), Slowdown: s.GetSlowdown(), Samples: s.GetSamples(),
			Age: milliseconds(s.GetAgeMs()),
		}
	}
	p.planner.LearnSpeeds(speeds)
}

// speedsTimer tells when a backup must be told the speeds of servers.
type speedsTimer struct {
	backup *Peer
	dueAt  time.Duration
}

// due reports whether the backup must be told now, and records that it is.
func (t *speedsTimer) due(now time.Duration, backup *Peer) bool {
	if backup == nil || backup == t.backup && now < t.dueAt {
		return false
	}
	t.backup, t.dueAt = backup, now+speedsInterval
	return true
}

// tellSpeeds tells the backup what this entry has measured, when that is due.
func (l *Links) tellSpeeds(timer *speedsTimer, backup *Peer) {
	if timer.due(clock.Now(), backup) {
		backup.sendSpeeds(l.planner.Speeds())
	}
}
