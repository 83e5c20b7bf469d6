package staging

import "time"

const (
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
