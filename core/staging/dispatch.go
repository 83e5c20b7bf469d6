package staging

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// sendAhead is how long before the expected end of a call the next one is sent, so
	// that it is already queued at the server when a slot becomes free.
	sendAhead = 25 * time.Millisecond
	// priorityStep is how much later the objective of a job is assumed to end for each
	// step of lower priority.
	priorityStep = 250 * time.Millisecond
	// floodPenalty orders the jobs of customers that flood after those of the others, but
	// before those that can't reach their objective.
	floodPenalty = 5 * time.Second
	// missedObjectivePenalty orders jobs that can't reach their objective after the
	// others.
	missedObjectivePenalty = 20 * time.Second
	// memoryOvercommit bounds the total size of the results of all stages of the started
	// jobs, as a multiple of the servers' memory. It exceeds 1 because jobs occupy the
	// memory at different times.
	memoryOvercommit = 1.3
	// If a server has less than wholeRunMemoryShare of its memory left, a run is started
	// there only with all its pieces or a full batch of them.
	wholeRunMemoryShare = 0.5
	// callTimeout bounds the duration of a call.
	callTimeout = 5 * time.Second
)

// dispatch starts all calls that can be started.
func (s *Scheduler) dispatch(now time.Duration) {
	s.sendDueFreeRequests(now)
	for _, p := range s.sortedPools {
		for len(p.queuedRuns) > 0 && s.startCall(p, now) {
		}
	}
}

// sendDueFreeRequests sends the collected FreeRequests that are due.
func (s *Scheduler) sendDueFreeRequests(now time.Duration) {
	for _, p := range s.sortedPools {
		if !p.hasHandlesToFree {
			continue
		}
		p.hasHandlesToFree = false
		for _, m := range p.servers {
			if m.isFreeDue(now) {
				s.sendFreeRequest(m, now)
			}
			p.hasHandlesToFree = p.hasHandlesToFree || len(m.handlesToFree) > 0
		}
	}
}

func (s *Scheduler) sendFreeRequest(m *server, now time.Duration) {
	m.pool.notices.RecordCall(now, m.start())
	s.lastFreeID++
	s.pendingFrees[s.lastFreeID] = pendingFree{m, m.handlesToFree, m.bytesToFree}
	s.actions.FreeRequests = append(s.actions.FreeRequests, FreeRequest{ID: s.lastFreeID, Server: m.def, Handles: m.handlesToFree})
	m.handlesToFree, m.bytesToFree = nil, 0
}

// startCall starts the most urgent call of a pool. It returns false if none can be
// started.
func (s *Scheduler) startCall(p *pool, now time.Duration) bool {
	if !p.hasFreeServer(now) {
		return false
	}
	ready, n := p.readyRuns(s, now)
	if len(ready) == 0 {
		return false
	}
	for _, m := range p.candidates(now, n, ready) {
		pieces := s.selectPieces(m, ready, now)
		if len(pieces) > 0 {
			s.sendCall(m.server, pieces, now)
			return true
		}
	}
	return false
}

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

// hasFreeServer reports whether one of the pool's servers can start a call.
func (p *pool) hasFreeServer(now time.Duration) bool {
	return slices.ContainsFunc(p.servers, func(m *server) bool { return m.canStart(now) })
}

// canStart reports whether the server can start a call now, or soon enough for the call
// to be sent ahead.
func (m *server) canStart(now time.Duration) bool {
	return m.usable(now) && m.activeCalls() <= m.pool.spec.Slots && m.availableAt(now) <= now+sendAhead && m.pool.notices.Wait(now, m.start()) == 0
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

// candidate is a server that can start a call, with the expected end of that call.
type candidate struct {
	*server
	overdue bool
	end     time.Duration
	// restrictedOnly is set for a slow server that is used only for jobs that may not run
	// in all regions, since the other servers would finish the other pieces sooner.
	restrictedOnly bool
}

// candidates returns the servers that can start a call now, ordered by the expected end
// of the call; servers with an overdue call come last. Slow servers are omitted if the
// others would finish the queued pieces sooner, unless the job of a ready run may not use
// the others. The result is valid until the next call.
func (p *pool) candidates(now time.Duration, pieces int, ready []readyRun) []candidate {
	lowest := p.lowestSlowness(now)
	hasRestricted := slices.ContainsFunc(ready, func(r readyRun) bool { return r.job.def.Residency.Restricted() })
	batchSize := min(pieces, p.spec.BatchSize)
	poolRate := sync.OnceValue(func() float64 { return p.piecesPerSecond(now) })
	options := p.candidateBuffer[:0]
	for _, m := range p.servers {
		if !m.canStart(now) {
			continue
		}
		end := m.availableAt(now) + time.Duration(float64(p.normalCallTime(batchSize))*m.slowness(now))
		slow := m.slowness(now) > slowThreshold*lowest && end > now+p.drainTime(pieces, poolRate()-m.piecesPerSecond(now))
		if slow && !hasRestricted {
			continue
		}
		options = append(options, candidate{m, m.hasOverdueCall(), end, slow})
	}
	slices.SortFunc(options, func(a, b candidate) int {
		return cmp.Or(trueFirst(!a.overdue, !b.overdue), cmp.Compare(a.end, b.end), cmp.Compare(a.def.ID, b.def.ID))
	})
	p.candidateBuffer = options
	return options
}

// drainTime returns how long servers that compute so many pieces a second together take for the
// queued pieces.
func (p *pool) drainTime(pieces int, rate float64) time.Duration {
	if rate <= 0 {
		return callTimeout
	}
	return p.normalCallTime(p.spec.BatchSize) + time.Duration(float64(pieces)/rate*float64(time.Second))
}

// selectPieces selects the pieces of the next call to a server.
func (s *Scheduler) selectPieces(m candidate, ready []readyRun, now time.Duration) []pieceRef {
	var pieces []pieceRef
	memoryLeft := m.availableMemory(now)
	clear(m.pool.piecesAhead)
	for _, r := range ready {
		if !m.allows(r.job) || m.restrictedOnly && !r.job.def.Residency.Restricted() {
			continue
		}
		if !r.job.started && !s.hasMemoryFor(r.job, now) || !r.mayRunOn(m.server, m.pool.piecesAhead, now) || r.job.isSeparate(m.server, pieces) {
			continue
		}
		n := m.fittingPieces(r.stageRun, m.pool.spec.BatchSize-len(pieces), memoryLeft)
		for _, k := range r.queuedPieces[:n] {
			pieces = append(pieces, pieceRef{r.stageRun, k})
		}
		memoryLeft -= int64(n) * r.resultBytes
		if n > 0 {
			r.job.start()
		}
		if len(pieces) == m.pool.spec.BatchSize {
			break
		}
	}
	return pieces
}

// fittingPieces returns how many of the run's pieces fit into a call of at most maxPieces
// pieces and into the given memory. If the server's memory is scarce, a run is started
// only with all its pieces or a full batch of them, because no stage can read its results
// before the last one exists.
func (m *server) fittingPieces(r *stageRun, maxPieces int, memory int64) int {
	n := min(len(r.queuedPieces), maxPieces)
	if r.resultBytes > 0 {
		n = int(min(int64(n), memory/r.resultBytes))
	}
	wholeRun := min(len(r.queuedPieces), m.pool.spec.BatchSize)
	if n < wholeRun && !r.anyRequested() && float64(memory) < wholeRunMemoryShare*float64(m.pool.spec.MemoryBytes) {
		return 0
	}
	return max(n, 0)
}

// hasMemoryFor reports whether there is memory for the results of all stages of a job
// besides those of the started jobs.
func (s *Scheduler) hasMemoryFor(j *job, now time.Duration) bool {
	for _, r := range j.runs {
		p := r.pool
		if p == nil || r.resultsFreed || p.startedBytes == 0 {
			continue
		}
		if float64(p.startedBytes+j.resultBytesIn(p)) > memoryOvercommit*float64(p.totalMemory(now)) {
			return false
		}
	}
	return true
}

// sendCall reserves the memory of a call's results and adds the call to the actions.
func (s *Scheduler) sendCall(m *server, pieces []pieceRef, now time.Duration) {
	if len(m.handlesToFree) > 0 && !m.hasAmpleMemory(now) && !m.isLimited(now) {
		s.sendFreeRequest(m, now)
	}
	m.pool.notices.RecordCall(now, m.start())
	s.lastCallID++
	c := &call{id: s.lastCallID, server: m, pieces: pieces}
	c.expectedStart = m.availableAt(now)
	expected := time.Duration(float64(m.pool.normalCallTime(len(pieces))) * m.slowness(now))
	c.expectedEnd = c.expectedStart + expected
	c.forecast, c.overdueExtension = m.forecast(now), m.overdueExtension(now, len(pieces))
	for _, it := range pieces {
		it.run.setFirstCallZone(m.def.Zone)
	}
	s.calls[c.id] = c
	m.calls = append(m.calls, c)
	action := Call{ID: c.id, Pool: m.pool.name, Server: m.def, Timeout: callTimeout, ExpectedTime: c.expectedEnd - now}
	for _, it := range pieces {
		it.run.dequeue(it.piece)
		it.run.pieces[it.piece].openCalls++
		m.usedBytes += it.run.resultBytes
		action.Items = append(action.Items, it.callItem(now))
		action.WaitTime = max(action.WaitTime, now-it.run.inputsReadyAt(now))
	}
	action.MemoryLeft = m.availableMemory(now)
	if m.pace.Known() {
		action.WorkTime, action.ReportTrust = c.forecast.WorkTime, m.pace.Trust()
	}
	s.actions.Calls = append(s.actions.Calls, action)
}

// callItem returns the entry of the piece in a call.
func (it pieceRef) callItem(now time.Duration) Item {
	def := &it.run.job.def
	item := Item{JobID: def.ID, Stage: it.run.stage, Piece: it.piece, RemainingTime: def.Deadline - now}
	item.Inputs = it.run.inputHandles()
	if len(item.Inputs) == 0 {
		item.Key = def.Key
	}
	return item
}
