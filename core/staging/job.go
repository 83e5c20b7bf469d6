package staging

import (
	"slices"
	"time"
)

const (
	// maxAttempts is how often one piece is requested before its job is refused.
	maxAttempts = 5
	// maxRecomputations is how often lost results of a job are computed again.
	maxRecomputations = 3
)

// job is a request whose stages are being run or whose results are kept.
type job struct {
	scheduler *Scheduler
	def       Job
	runs      []*stageRun
	// started is true once a piece was requested, done once all stages are complete.
	started bool
	done    bool
	// suspended jobs start no more calls.
	suspended bool
	// interruptedBy is the server that interrupted the job's last call, or nil.
	interruptedBy  *server
	recomputations int
	// flooding is true if the job's customer sent much more than usual when the job was
	// submitted.
	flooding bool
	// accepted is true from the submission of the job until its removal.
	accepted bool
	// remaining caches minRemainingTime while pathsVersion is the scheduler's
	// specVersion.
	remaining    time.Duration
	pathsVersion uint64
	// expectedDuration is how long the stages were expected to take from submittedAt
	// on.
	submittedAt, expectedDuration time.Duration
}

// stageRun is the execution of one stage of one job.
type stageRun struct {
	job          *job
	stage        int
	pool         *pool
	resultBytes  int64
	dependencies []*stageRun
	dependents   []*stageRun
	pieces       []piece
	// queuedPieces are the pieces to be requested, in ascending order. completedPieces
	// is the number of pieces with a result.
	queuedPieces    []int
	completedPieces int
	resultsFreed    bool
	// claimedBytes and startedBytes are the run's part of the sums of its pool.
	claimedBytes, startedBytes int64
	// pathTime caches criticalPathTime; see job.updatePaths.
	pathTime  time.Duration
	pathKnown bool
	// zone caches preferredZone while zoneKnown is set.
	zone      string
	zoneKnown bool
	// firstCallZone is the zone of the server that got the run's first call.
	firstCallZone string
	// completedAt is when the last piece was completed.
	completedAt time.Duration
}

// piece is the state of one result of a run.
type piece struct {
	handle string
	server *server
	// openCalls is the number of open calls that contain the piece; overdueCalls of
	// them are overdue.
	openCalls, overdueCalls int
	attempts                int
}

func (s *Scheduler) newJob(def Job) *job {
	j := &job{scheduler: s, def: def, started: len(def.PriorResults) > 0}
	for i, st := range def.Stages {
		r := &stageRun{job: j, stage: i, pool: s.pools[st.Pool], resultBytes: st.ResultBytes, pieces: make([]piece, st.Pieces)}
		for k := range r.pieces {
			r.queuedPieces = append(r.queuedPieces, k)
		}
		j.runs = append(j.runs, r)
	}
	for i, st := range def.Stages {
		for _, a := range st.DependsOn {
			j.runs[i].dependencies = append(j.runs[i].dependencies, j.runs[a])
			j.runs[a].dependents = append(j.runs[a].dependents, j.runs[i])
		}
	}
	return j
}

// adoptPriorResults registers the results that another scheduler obtained, if their
// servers are still listed.
func (j *job) adoptPriorResults() {
	for _, m := range j.def.PriorResults {
		if m.Stage < 0 || m.Stage >= len(j.runs) || m.Piece < 0 || m.Piece >= len(j.runs[m.Stage].pieces) {
			continue
		}
		r := j.runs[m.Stage]
		r.pieces[m.Piece] = piece{handle: m.Handle, server: r.pool.findServer(m.ServerID)}
		if srv := r.pieces[m.Piece].server; srv != nil && !srv.allows(j) {
			r.pieces[m.Piece] = piece{}
		}
	}
	for _, r := range j.runs {
		r.countResults()
	}
	for _, r := range j.runs {
		r.resultsFreed = len(r.pieces) > 0 && r.wasRead()
		r.updateClaims()
		for i := range r.pieces {
			if p := &r.pieces[i]; p.server != nil && !r.resultsFreed {
				p.server.usedBytes += r.resultBytes
			}
		}
	}
}

// start marks the job as started.
func (j *job) start() {
	if j.started {
		return
	}
	j.started = true
	for _, r := range j.runs {
		r.updateClaims()
	}
}

// resultBytesIn returns the size of the results that the job keeps or will produce in a
// pool.
func (j *job) resultBytesIn(p *pool) int64 {
	var sum int64
	for _, r := range j.runs {
		if r.pool == p && !r.resultsFreed {
			sum += r.resultBytes * int64(len(r.pieces))
		}
	}
	return sum
}

// minRemainingTime returns the shortest time in which the job's incomplete stages can end.
func (j *job) minRemainingTime() time.Duration {
	j.updatePaths()
	return j.remaining
}

// updatePaths computes the critical paths of the job's runs again if one of them made
// progress or the description of a pool changed.
func (j *job) updatePaths() {
	if j.pathsVersion == j.scheduler.specVersion {
		return
	}
	for _, r := range j.runs {
		r.pathKnown = false
	}
	j.remaining = 0
	for _, r := range j.runs {
		j.remaining = max(j.remaining, r.updatePath())
	}
	j.pathsVersion = j.scheduler.specVersion
}

// callEnded updates the call counts of the piece after a call that contained it.
func (p *piece) callEnded(c *call) {
	p.openCalls--
	if c.overdue {
		p.overdueCalls--
	}
}

// pieceDone handles the outcome of one piece of an answered call.
func (s *Scheduler) pieceDone(it pieceRef, c *call, res Result, now time.Duration) {
	r := it.run
	p := &r.pieces[it.piece]
	if res.Outcome != Succeeded {
		s.pieceFailed(it, c, res.Outcome, now)
		return
	}
	p.callEnded(c)
	if s.jobs[r.job.def.ID] != r.job || p.handle != "" || r.resultsFreed {
		c.server.queueFree(res.Handle, r.resultBytes, now)
		return
	}
	p.handle, p.server = res.Handle, c.server
	s.reportResult(r, it.piece)
	r.completedPieces++
	r.resultsChanged()
	r.dequeue(it.piece)
	if r.isComplete() {
		s.runComplete(r, now)
	}
}

// reportResult reports a new result to the caller.
func (s *Scheduler) reportResult(r *stageRun, k int) {
	p := &r.pieces[k]
	s.reportChange(r, ResultLocation{Stage: r.stage, Piece: k, Handle: p.handle, ServerID: p.server.def.ID})
}

// reportLostResult reports to the caller that a result is lost.
func (s *Scheduler) reportLostResult(r *stageRun, k int) {
	s.reportChange(r, ResultLocation{Stage: r.stage, Piece: k})
}

func (s *Scheduler) reportChange(r *stageRun, m ResultLocation) {
	if s.actions.ResultChanges == nil {
		s.actions.ResultChanges = map[string][]ResultLocation{}
	}
	id := r.job.def.ID
	s.actions.ResultChanges[id] = append(s.actions.ResultChanges[id], m)
}

func (s *Scheduler) pieceFailed(it pieceRef, c *call, outcome Outcome, now time.Duration) {
	if outcome == InputMissing && s.jobs[it.run.job.def.ID] == it.run.job && it.run.pieces[it.piece].handle == "" {
		s.recomputeInputs(it.run, now)
	}
	s.retryPiece(it, c, now, outcome != OutOfMemory)
	if outcome == OutOfMemory {
		c.server.recordOutOfMemory(now)
	}
}

// retryPiece requests a piece again, unless another call that is not overdue contains
// it. The job is refused after too many attempts.
func (s *Scheduler) retryPiece(it pieceRef, c *call, now time.Duration, countsAsAttempt bool) {
	r := it.run
	p := &r.pieces[it.piece]
	p.callEnded(c)
	c.server.usedBytes = max(0, c.server.usedBytes-r.resultBytes)
	if s.jobs[r.job.def.ID] != r.job || p.handle != "" || r.resultsFreed || p.openCalls > p.overdueCalls {
		return
	}
	if countsAsAttempt {
		p.attempts++
	}
	if p.attempts >= maxAttempts {
		s.refuse(r.job, now, RepeatedFailures, 0)
		s.removeJob(r.job, now)
		return
	}
	r.requeue(it.piece)
}

// recomputeInputs recomputes lost results that a run reads: those on servers that fail
// or have left the pool, or all of them if there are none on such servers.
func (s *Scheduler) recomputeInputs(r *stageRun, now time.Duration) {
	if !r.inputsReady() {
		return
	}
	r.job.recomputations++
	if r.job.recomputations > maxRecomputations {
		return
	}
	lost := func(p *piece) bool { return p.server != nil && (!p.server.listed || p.server.consecutiveFailures > 0) }
	if !slices.ContainsFunc(r.dependencies, func(a *stageRun) bool { return slices.ContainsFunc(a.pieces, func(p piece) bool { return lost(&p) }) }) {
		lost = func(*piece) bool { return true }
	}
	for _, a := range r.dependencies {
		a.recompute(lost, now)
	}
}

// runComplete frees the results that have no reader left, and ends the job if this was
// its last run.
func (s *Scheduler) runComplete(r *stageRun, now time.Duration) {
	r.completedAt = now
	for _, a := range r.dependencies {
		if !slices.ContainsFunc(a.dependents, func(n *stageRun) bool { return !n.isComplete() }) {
			a.freeResults(now)
		}
	}
	s.completeIfDone(r.job)
}

func (s *Scheduler) completeIfDone(j *job) {
	if j.done {
		return
	}
	var handles []string
	for _, r := range j.runs {
		if !r.isComplete() {
			return
		}
		if len(r.dependents) > 0 {
			continue
		}
		for i := range r.pieces {
			handles = append(handles, r.pieces[i].handle)
		}
	}
	j.done = true
	s.actions.CompletedJobs = append(s.actions.CompletedJobs, CompletedJob{JobID: j.def.ID, Handles: handles, BytesByZone: j.outputBytesByZone()})
}

// removeJob removes a job, frees its results and cancels its queued pieces.
func (s *Scheduler) removeJob(j *job, now time.Duration) {
	delete(s.jobs, j.def.ID)
	if i := slices.Index(s.jobsByArrival, j); i >= 0 {
		s.jobsByArrival = slices.Delete(s.jobsByArrival, i, i+1)
	}
	j.accepted = false
	for _, r := range j.runs {
		r.freeResults(now)
		r.queuedPieces = nil
		if r.pool != nil {
			r.pool.removeRun(r)
		}
	}
}

func (s *Scheduler) refuse(j *job, now time.Duration, reason RefusalReason, expected time.Duration) {
	s.actions.Refusals = append(s.actions.Refusals, Refusal{
		JobID: j.def.ID, Reason: reason, RetryAfter: s.retryAfter(j, now), ExpectedTime: expected,
	})
}
