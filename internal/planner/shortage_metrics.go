package planner

import (
	"github.com/uber-go/tally/v4"

	"github.com/magnoliawheel/magnoliawheel/core/staging"
)

// shortageMetrics holds the counters of the decisions at a shortage of stage capacity.
type shortageMetrics struct {
	scope                      tally.Scope
	shortageJobs, overShare    tally.Counter
	promisesMade, promisesKept tally.Counter
}

func newShortageMetrics(scope tally.Scope) shortageMetrics {
	return shortageMetrics{
		scope: scope, shortageJobs: scope.Counter("stage_shortage_requests"), overShare: scope.Counter("stage_over_share_requests"),
		promisesMade: scope.Counter("stage_promises_made"), promisesKept: scope.Counter("stage_promises_kept"),
	}
}

func (m *shortageMetrics) record(actions staging.Actions) {
	c := actions.Shortage
	m.shortageJobs.Inc(int64(c.Jobs))
	m.overShare.Inc(int64(c.OverShare))
	m.promisesMade.Inc(int64(c.PromisesMade))
	m.promisesKept.Inc(int64(c.PromisesKept))
	for _, r := range actions.Refusals {
		m.scope.Tagged(map[string]string{"reason": r.Reason.String()}).Counter("stage_refusals").Inc(1)
	}
}
