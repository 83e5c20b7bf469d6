package planner

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/notice"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
)

// takeoverGap is the time without requests after which a planner that gets one has taken over
// from another one. Meanwhile that one's requests changed what servers have cached.
const takeoverGap = 5 * time.Second

// OnTakeover sets the function that is called when the planner begins to place requests. It must
// be called before Run.
func (p *Planner) OnTakeover(f func()) { p.onTakeover = f }

// noticeTakeover calls onTakeover if this is the first request for some time.
func (p *Planner) noticeTakeover() {
	p.mu.Lock()
	now := clock.Now()
	begins := p.onTakeover != nil && (p.placedAt == 0 || now-p.placedAt > takeoverGap)
	p.placedAt = now
	p.mu.Unlock()
	if begins {
		p.onTakeover()
	}
}

// LearnCached records which prompt parts a model server reported to have cached.
func (p *Planner) LearnCached(server notice.Server, parts []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.modelServers.LearnCached(clock.Now(), server, parts)
}
