package staging

import (
	"slices"
	"time"
)

const (
	// maxTries is how often one piece is asked for before its job is given up.
	maxTries = 5
	// maxRemakes is how often a job's lost results are made again.
	maxRemakes = 3
)

// job is a request whose stages are being run or whose results are kept.
type job struct {
	sched   *Scheduler
	def     Job
	runs    []*run
	started bool
	done    bool
	// held jobs start no more calls.
	held    bool
	remakes int
	// expected is the time that the stages were expected to take from submitted on.
	submitted, expected time.Duration
}

// run is one stage of one job.
type run struct {
	job    *job
	stage  int
	pool   *pool
	bytes  int64
	after  []*run
	next   []*run
	pieces []piece
	// queued are the pieces to be asked for; made counts those with a result.
	queued []int
	made   int
	freed  bool
	// zone is where the first pieces were asked for.
	zone string
	// completed is when the last piece was made.
	completed time.Duration
}

// piece is one result of a run.
type piece struct {
	handle string
	server *server
	// copies is the number of calls that are making the piece, late of them are late.
	copies, late int
	tries        int
}

func (s *Scheduler) newJob(def Job) *job {
	j := &job{sched: s, def: def, started: len(def.Made) > 0}
	for i, st := range def.Stages {
		r := &run{job: j, stage: i, pool: s.pools[st.Pool], bytes: st.Bytes, pieces: make([]piece, st.Pieces)}
		for k := range r.pieces {
			r.queued = append(r.queued, k)
		}
		j.runs = append(j.runs, r)
	}
	for i, st := range def.Stages {
		for _, a := range st.After {
			j.runs[i].after = append(j.runs[i].after, j.runs[a])
			j.runs[a].next = append(j.runs[a].next, j.runs[i])
		}
	}
	return j
}

// takeMade takes the results that another scheduler had made, at servers that are
// still listed.
func (j *job) takeMade() {
	for _, m := range j.def.Made {
		if m.Stage < 0 || m.Stage >= len(j.runs) || m.Piece < 0 || m.Piece >= len(j.runs[m.Stage].pieces) {
			continue
		}
		r := j.runs[m.Stage]
		r.pieces[m.Piece] = piece{handle: m.Handle, server: r.pool.find(m.Server)}
	}
	for _, r := range j.runs {
		r.countMade()
	}
	for _, r := range j.runs {
		r.freed = len(r.next) > 0 && len(r.pieces) > 0 && !slices.ContainsFunc(r.next, func(n *run) bool { return !n.complete() })
		for i := range r.pieces {
			if p := &r.pieces[i]; p.server != nil && !r.freed {
				p.server.used += r.bytes
			}
		}
	}
}

// begun tells whether a call was sent for some of the pieces.
func (r *run) begun() bool { return len(r.queued) < len(r.pieces) }

// countMade takes the results that were told as made, where their makers are listed.
func (r *run) countMade() {
	for k := range r.pieces {
		p := &r.pieces[k]
		if p.handle == "" || p.server == nil {
			*p = piece{}
			continue
		}
		r.made++
		r.unqueue(k)
	}
}

func (r *run) complete() bool { return r.made == len(r.pieces) }

// ready tells whether the results that the run reads are all held.
func (r *run) ready() bool {
	for _, a := range r.after {
		if !a.complete() {
			return false
		}
	}
	return true
}

// readySince is when the last result that the run reads was made.
func (r *run) readySince(now time.Duration) time.Duration {
	since := r.job.submitted
	for _, a := range r.after {
		since = max(since, a.completed)
	}
	return min(since, now)
}

// inputs returns the handles of all results that the run reads.
func (r *run) inputs() []string {
	var all []string
	for _, a := range r.after {
		for i := range a.pieces {
			all = append(all, a.pieces[i].handle)
		}
	}
	return all
}

// requeue puts a piece back to be asked for, in the order of pieces.
func (r *run) requeue(k int) {
	for _, a := range r.after {
		a.restore()
	}
	if r.job.held {
		return
	}
	at, found := slices.BinarySearch(r.queued, k)
	if !found {
		r.queued = slices.Insert(r.queued, at, k)
	}
	if !slices.Contains(r.pool.runs, r) {
		r.pool.runs = append(r.pool.runs, r)
	}
}

// unqueue removes a piece that was made meanwhile.
func (r *run) unqueue(k int) {
	if at, found := slices.BinarySearch(r.queued, k); found {
		r.queued = slices.Delete(r.queued, at, at+1)
	}
}

// shortest is the least time in which the stages left can end.
func (j *job) shortest() time.Duration {
	var longest time.Duration
	for _, r := range j.runs {
		longest = max(longest, r.pathTime())
	}
	return longest
}

// pathTime is the least time from now to the end of the run.
func (r *run) pathTime() time.Duration {
	if r.complete() {
		return 0
	}
	var before time.Duration
	for _, a := range r.after {
		before = max(before, a.pathTime())
	}
	if r.pool == nil {
		return before
	}
	return before + r.pool.callTime(min(len(r.pieces)-r.made, r.pool.spec.Batch))
}

// end takes the end of a call that was to make the piece.
func (p *piece) end(c *call) {
	p.copies--
	if c.late {
		p.late--
	}
}

// pieceDone takes the outcome of one piece.
func (s *Scheduler) pieceDone(it item, c *call, res Result, now time.Duration) {
	r := it.run
	p := &r.pieces[it.piece]
	if res.Outcome != Made {
		s.pieceFailed(it, c, res.Outcome, now)
		return
	}
	p.end(c)
	if s.jobs[r.job.def.ID] != r.job || p.handle != "" || r.freed {
		c.server.free(res.Handle, r.bytes, now)
		return
	}
	p.handle, p.server = res.Handle, c.server
	s.noteMade(r, it.piece)
	r.made++
	r.unqueue(it.piece)
	if r.complete() {
		s.runComplete(r, now)
	}
}

// noteMade tells a new result, noteLost that one is lost.
func (s *Scheduler) noteMade(r *run, k int) {
	p := &r.pieces[k]
	s.note(r, MadeResult{Stage: r.stage, Piece: k, Handle: p.handle, Server: p.server.def.ID})
}

func (s *Scheduler) noteLost(r *run, k int) { s.note(r, MadeResult{Stage: r.stage, Piece: k}) }

func (s *Scheduler) note(r *run, m MadeResult) {
	if s.acts.Made == nil {
		s.acts.Made = map[string][]MadeResult{}
	}
	id := r.job.def.ID
	s.acts.Made[id] = append(s.acts.Made[id], m)
}

func (s *Scheduler) pieceFailed(it item, c *call, outcome Outcome, now time.Duration) {
	if outcome == InputGone && s.jobs[it.run.job.def.ID] == it.run.job && it.run.pieces[it.piece].handle == "" {
		s.remakeInputs(it.run, now)
	}
	s.repeat(it, c, now, outcome != NoMemory)
	if outcome == NoMemory {
		c.server.noMemory(now)
	}
}

// repeat asks for a piece again unless another call is making it.
func (s *Scheduler) repeat(it item, c *call, now time.Duration, counts bool) {
	r := it.run
	p := &r.pieces[it.piece]
	p.end(c)
	c.server.used = max(0, c.server.used-r.bytes)
	if s.jobs[r.job.def.ID] != r.job || p.handle != "" || r.freed || p.copies > p.late {
		return
	}
	if counts {
		p.tries++
	}
	if p.tries >= maxTries {
		s.refuse(r.job, now, Failing, 0)
		s.drop(r.job, now)
		return
	}
	r.requeue(it.piece)
}

// remakeInputs makes the results again that a run reads and that are lost: those
// at servers that fail or left, or all of them if there are none such.
func (s *Scheduler) remakeInputs(r *run, now time.Duration) {
	if !r.ready() {
		return
	}
	r.job.remakes++
	if r.job.remakes > maxRemakes {
		return
	}
	lost := func(p *piece) bool { return p.server != nil && (!p.server.listed || p.server.failures > 0) }
	if !slices.ContainsFunc(r.after, func(a *run) bool { return slices.ContainsFunc(a.pieces, func(p piece) bool { return lost(&p) }) }) {
		lost = func(*piece) bool { return true }
	}
	for _, a := range r.after {
		a.remake(lost, now)
	}
}

// remake gives up the results for which lost is true and asks for them again.
func (r *run) remake(lost func(*piece) bool, now time.Duration) {
	if r.freed {
		r.restore()
		return
	}
	for k := range r.pieces {
		p := &r.pieces[k]
		if p.handle == "" || !lost(p) {
			continue
		}
		p.server.free(p.handle, r.bytes, now)
		r.job.sched.noteLost(r, k)
		p.handle, p.server = "", nil
		r.made--
		r.requeue(k)
	}
}

// restore asks again for results that were given up before a reader of theirs
// needed them once more.
func (r *run) restore() {
	if !r.freed {
		return
	}
	r.freed = false
	for k := range r.pieces {
		r.job.sched.noteLost(r, k)
		r.pieces[k].handle, r.pieces[k].server = "", nil
		r.requeue(k)
	}
	r.made = 0
}

// runComplete frees the results that have no reader left and ends the job if this
// was its last run.
func (s *Scheduler) runComplete(r *run, now time.Duration) {
	r.completed = now
	for _, a := range r.after {
		if !slices.ContainsFunc(a.next, func(n *run) bool { return !n.complete() }) {
			a.free(now)
		}
	}
	s.finishIfDone(r.job)
}

func (s *Scheduler) finishIfDone(j *job) {
	if j.done {
		return
	}
	var handles []string
	for _, r := range j.runs {
		if !r.complete() {
			return
		}
		if len(r.next) > 0 {
			continue
		}
		for i := range r.pieces {
			handles = append(handles, r.pieces[i].handle)
		}
	}
	j.done = true
	s.acts.Done = append(s.acts.Done, Done{JobID: j.def.ID, Handles: handles, Bytes: j.resultBytes()})
}

func (r *run) free(now time.Duration) {
	if r.freed {
		return
	}
	r.freed = true
	for i := range r.pieces {
		if p := &r.pieces[i]; p.handle != "" {
			p.server.free(p.handle, r.bytes, now)
		}
	}
}

// forget leaves the results to another scheduler: they count for it from now on.
func (r *run) forget() {
	if r.freed {
		return
	}
	r.freed = true
	for i := range r.pieces {
		if p := &r.pieces[i]; p.handle != "" {
			p.server.used = max(0, p.server.used-r.bytes)
		}
	}
}

// drop ends a job: its results are freed and its pieces are not asked for.
func (s *Scheduler) drop(j *job, now time.Duration) {
	delete(s.jobs, j.def.ID)
	s.queue = slices.DeleteFunc(s.queue, func(o *job) bool { return o == j })
	for _, r := range j.runs {
		r.free(now)
		r.queued = nil
		if r.pool != nil {
			r.pool.remove(r)
		}
	}
}

func (s *Scheduler) refuse(j *job, now time.Duration, why Reason, expected time.Duration) {
	s.acts.Refused = append(s.acts.Refused, Refused{
		JobID: j.def.ID, Reason: why, RetryAfter: s.retryAfter(j, now), Expected: expected,
	})
}
