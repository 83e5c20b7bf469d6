package agent

import (
	"context"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/membership"
)

// watchInterval is the time between two looks at the instance list.
const watchInterval = 500 * time.Millisecond

// watchList takes no new work while the instance list says that this instance
// leaves, until ctx ends. A list that is unavailable changes nothing.
func (p *Process) watchList(ctx context.Context, instances func() []membership.Instance) {
	for wait(ctx, watchInterval) {
		p.applyList(instances())
	}
}

// applyList takes in whether the list says that this instance leaves.
func (p *Process) applyList(instances []membership.Instance) {
	leaving := listedLeaving(instances, p.settings.Instance.ID)
	if p.listed.Swap(leaving) == leaving {
		return
	}
	p.work.setLeaving(leavingListed, leaving)
	p.log.Info("The instance list changed.", "leaving", leaving)
}

func listedLeaving(instances []membership.Instance, id string) bool {
	for i := range instances {
		if instances[i].ID == id {
			return instances[i].Leaving
		}
	}
	return false
}
