package agent

import (
	"context"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/membership"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
)

// listCheckInterval is the time between two checks of the instance list.
const listCheckInterval = 500 * time.Millisecond

// watchInstanceList refuses new calls while the instance list marks this
// instance as leaving, until ctx ends. While the list is unavailable, the last
// one applies.
func (p *Process) watchInstanceList(ctx context.Context, instances func() []membership.Instance) {
	for clock.Sleep(ctx, listCheckInterval) {
		p.applyInstanceList(instances())
	}
}

// applyInstanceList starts or stops refusing new calls, depending on whether
// the list marks this instance as leaving.
func (p *Process) applyInstanceList(instances []membership.Instance) {
	leaving := isListedAsLeaving(instances, p.settings.Instance.ID)
	if p.listedAsLeaving.Swap(leaving) == leaving {
		return
	}
	p.worker.setLeaving(leavingListed, leaving)
	p.log.Info("The leaving state in the instance list changed.", "leaving", leaving)
}

// isListedAsLeaving tells whether the list marks an instance as leaving. It is
// false for an instance that is not listed.
func isListedAsLeaving(instances []membership.Instance, id string) bool {
	for i := range instances {
		if instances[i].ID == id {
			return instances[i].Leaving
		}
	}
	return false
}
