package staging

import (
	"slices"
	"time"
)

// anyRequested reports whether some of the pieces were requested.
func (r *stageRun) anyRequested() bool { return len(r.queuedPieces) < len(r.pieces) }

// countResults counts the pieces with a known result and discards the locations on
// servers that are not listed.
func (r *stageRun) countResults() {
	for k := range r.pieces {
		p := &r.pieces[k]
		if p.handle == "" || p.server == nil {
			*p = piece{}
			continue
		}
		r.completedPieces++
		r.dequeue(k)
	}
	r.resultsChanged()
}

// resultsChanged invalidates what is cached about the run's results. It is called after
// each change of completedPieces or of the location of a result.
func (r *stageRun) resultsChanged() {
	r.job.pathsVersion = 0
	for _, n := range r.dependents {
		n.zoneKnown = false
	}
}

// setFirstCallZone records the zone of the run's first call.
func (r *stageRun) setFirstCallZone(zone string) {
	if r.firstCallZone == "" {
		r.firstCallZone, r.zoneKnown = zone, false
	}
}

// setFreed sets whether the run's results are freed.
func (r *stageRun) setFreed(freed bool) {
	r.resultsFreed = freed
	r.updateClaims()
}

// updateClaims brings the memory sums of the pool in line with the state of the run.
func (r *stageRun) updateClaims() {
	if r.pool == nil {
		return
	}
	var claimed, started int64
	if r.job.accepted && !r.resultsFreed {
		claimed = r.resultBytes * int64(len(r.pieces))
	}
	if r.job.started {
		started = claimed
	}
	r.pool.claimedBytes += claimed - r.claimedBytes
	r.pool.startedBytes += started - r.startedBytes
	r.claimedBytes, r.startedBytes = claimed, started
}

func (r *stageRun) isComplete() bool { return r.completedPieces == len(r.pieces) }

// wasRead reports whether stages read the run's results and all of them are complete. Stages
// without pieces read nothing.
func (r *stageRun) wasRead() bool {
	isRead := slices.ContainsFunc(r.dependents, func(n *stageRun) bool { return len(n.pieces) > 0 })
	return isRead && !slices.ContainsFunc(r.dependents, func(n *stageRun) bool { return !n.isComplete() })
}

// inputsReady reports whether all results that the run reads are available.
func (r *stageRun) inputsReady() bool {
	for _, a := range r.dependencies {
		if !a.isComplete() {
			return false
		}
	}
	return true
}

// inputsReadyAt returns when the last result that the run reads was completed.
func (r *stageRun) inputsReadyAt(now time.Duration) time.Duration {
	readyAt := r.job.submittedAt
	for _, a := range r.dependencies {
		readyAt = max(readyAt, a.completedAt)
	}
	return min(readyAt, now)
}

// inputHandles returns the handles of all results that the run reads.
func (r *stageRun) inputHandles() []string {
	var all []string
	for _, a := range r.dependencies {
		for i := range a.pieces {
			all = append(all, a.pieces[i].handle)
		}
	}
	return all
}

// requeue queues a piece again. The run's inputs are computed again if they were freed.
func (r *stageRun) requeue(k int) {
	for _, a := range r.dependencies {
		a.recomputeFreed()
	}
	if r.job.suspended {
		return
	}
	index, found := slices.BinarySearch(r.queuedPieces, k)
	if !found {
		r.queuedPieces = slices.Insert(r.queuedPieces, index, k)
	}
	if !slices.Contains(r.pool.queuedRuns, r) {
		r.pool.queuedRuns = append(r.pool.queuedRuns, r)
	}
}

// dequeue removes a piece from the queue if it is there.
func (r *stageRun) dequeue(k int) {
	if index, found := slices.BinarySearch(r.queuedPieces, k); found {
		r.queuedPieces = slices.Delete(r.queuedPieces, index, index+1)
	}
}

// criticalPathTime returns the shortest time from now to the end of the run, on idle
// servers and including the runs that it depends on.
func (r *stageRun) criticalPathTime() time.Duration {
	r.job.updatePaths()
	return r.pathTime
}

// updatePath computes the critical path of the run and of those that it depends on.
func (r *stageRun) updatePath() time.Duration {
	if !r.pathKnown {
		r.pathTime, r.pathKnown = r.pathFromDependencies(), true
	}
	return r.pathTime
}

func (r *stageRun) pathFromDependencies() time.Duration {
	if r.isComplete() {
		return 0
	}
	var inputsTime time.Duration
	for _, a := range r.dependencies {
		inputsTime = max(inputsTime, a.updatePath())
	}
	if r.pool == nil {
		return inputsTime
	}
	return inputsTime + r.pool.normalCallTime(min(len(r.pieces)-r.completedPieces, r.pool.spec.BatchSize))
}

// recompute frees the results for which lost is true and requests them again.
func (r *stageRun) recompute(lost func(*piece) bool, now time.Duration) {
	if r.resultsFreed {
		r.recomputeFreed()
		return
	}
	for k := range r.pieces {
		p := &r.pieces[k]
		if p.handle == "" || !lost(p) {
			continue
		}
		p.server.queueFree(p.handle, r.resultBytes, now)
		r.job.scheduler.reportLostResult(r, k)
		p.handle, p.server = "", nil
		r.completedPieces--
		r.resultsChanged()
		r.requeue(k)
	}
}

// recomputeFreed requests freed results again, because one of their readers has to be
// repeated.
func (r *stageRun) recomputeFreed() {
	if !r.resultsFreed {
		return
	}
	r.setFreed(false)
	for k := range r.pieces {
		r.job.scheduler.reportLostResult(r, k)
		r.pieces[k].handle, r.pieces[k].server = "", nil
		r.requeue(k)
	}
	r.completedPieces = 0
	r.resultsChanged()
}

func (r *stageRun) freeResults(now time.Duration) {
	if r.resultsFreed {
		return
	}
	r.setFreed(true)
	for i := range r.pieces {
		if p := &r.pieces[i]; p.handle != "" {
			p.server.queueFree(p.handle, r.resultBytes, now)
		}
	}
}

// detachResults stops accounting for the memory of the results, because another
// scheduler does so from now on.
func (r *stageRun) detachResults() {
	if r.resultsFreed {
		return
	}
	r.setFreed(true)
	for i := range r.pieces {
		if p := &r.pieces[i]; p.handle != "" {
			p.server.usedBytes = max(0, p.server.usedBytes-r.resultBytes)
		}
	}
}
