package planner

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/serverspeed"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
)

// observeSpeed learns the speed of a model server from the progress of a request. The caller
// holds the lock.
func (p *Planner) observeSpeed(now time.Duration, id string, progress Progress) {
	switch {
	case progress.Phase == Started && progress.FirstEvent > 0:
		if expected := p.modelServers.ObserveFirstEvent(now, id, progress.FirstEvent); expected > 0 {
			p.metrics.countFirstEvent(progress.FirstEvent, expected)
		}
	case progress.Phase == Complete && progress.LongestPause > 0:
		p.modelServers.ObservePause(id, progress.LongestPause)
		p.metrics.longestPause.RecordDuration(progress.LongestPause)
	}
}

// Speeds returns what this entry has measured of the speeds of model servers.
func (p *Planner) Speeds() []serverspeed.Speed {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.modelServers.ExportSpeeds(clock.Now())
}

// LearnSpeeds handles what another entry has measured of the speeds of model servers.
func (p *Planner) LearnSpeeds(speeds []serverspeed.Speed) {
	p.mu.Lock()
	learned := p.modelServers.ImportSpeeds(clock.Now(), speeds)
	p.mu.Unlock()
	p.metrics.speedsLearned.Inc(int64(learned))
	p.log.V(1).Info("Server speeds received.", "servers", len(speeds), "learned", learned)
}
