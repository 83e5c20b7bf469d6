package staging

import (
	"cmp"
	"slices"
	"time"
)

const (
	// priorityStep is how much later the objective of a job is assumed to end for each
	// step of lower priority.
	priorityStep = 250 * time.Millisecond
	// floodPenalty orders the jobs of customers that flood after those of the others, but
	// before those that can't reach their objective.
	floodPenalty = 5 * time.Second
	// missedObjectivePenalty orders jobs that can't reach their objective after the
	// others.
	missedObjectivePenalty = 20 * time.Second
)

// trueFirst is a comparison that orders true before false.
func trueFirst(a, b bool) int {
	if a == b {
		return 0
	}
	if a {
		return -1
	}
	return 1
}

// readyRun is a run with pieces that can be requested, and its place in the order.
type readyRun struct {
	*stageRun
	requested bool
	deadline  time.Duration
}

// readyRuns returns the runs with pieces that can be requested, except those for whose
// jobs there is no memory, and the number of all pieces that can be requested. Runs that
// are partly requested come first, because their results occupy memory until the run is
// complete; then the order is by urgency. The result is valid until the next call.
func (p *pool) readyRuns(s *Scheduler, now time.Duration) ([]readyRun, int) {
	p.queuedRuns = slices.DeleteFunc(p.queuedRuns, func(r *stageRun) bool { return len(r.queuedPieces) == 0 })
	ready := p.readyBuffer[:0]
	pieces := 0
	for _, r := range p.queuedRuns {
		if !r.inputsReady() || r.shouldDelay() {
			continue
		}
		pieces += len(r.queuedPieces)
		if r.job.started || s.hasMemoryFor(r.job, now) {
			ready = append(ready, readyRun{r, r.anyRequested(), r.job.schedulingDeadline(now)})
		}
	}
	slices.SortFunc(ready, func(a, b readyRun) int {
		return cmp.Or(trueFirst(a.requested, b.requested), cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.job.def.ID, b.job.def.ID), cmp.Compare(a.stage, b.stage))
	})
	p.readyBuffer = ready
	return ready, pieces
}

// shouldDelay reports whether the results of a run would only occupy memory while the
// job's other stages continue: no stage reads them, and another stage takes much
// longer.
func (r *stageRun) shouldDelay() bool {
	if len(r.dependents) > 0 || len(r.dependencies) > 0 {
		return false
	}
	ownTime := r.criticalPathTime()
	for _, o := range r.job.runs {
		if o != r && o.criticalPathTime() > 2*ownTime+overdueSlack {
			return true
		}
	}
	return false
}

// schedulingDeadline returns the sort key of jobs, the most urgent first: the time at which
// the request must start to reach its objective, adjusted for priority. Jobs of customers
// that flood follow the others, and jobs that can't reach their objective follow all.
func (j *job) schedulingDeadline(now time.Duration) time.Duration {
	deadline := j.def.ObjectiveDeadline + time.Duration(j.def.Priority)*priorityStep
	if now+j.minRemainingTime()+j.def.RequestDuration > j.def.ObjectiveDeadline {
		deadline += missedObjectivePenalty
	}
	if j.flooding {
		deadline += floodPenalty
	}
	return deadline - j.def.RequestDuration
}
