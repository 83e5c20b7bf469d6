package staging

import (
	"cmp"
	"slices"
	"time"
)

const (
	// lead is how long before the expected end of a call the next one is sent, so
	// that it waits at the server when its turn comes.
	lead = 25 * time.Millisecond
	// rankStep is how much later a request of the next rank counts as due.
	rankStep = 250 * time.Millisecond
	// missedPenalty puts requests that can't reach their objective behind the others.
	missedPenalty = 20 * time.Second
	// memoryShare is the part of the servers' memory that started jobs may claim in
	// all their stages together. Jobs use it at different times, so it exceeds 1.
	memoryShare = 1.3
	// wholeShare is the part of a server's memory below which a run is begun only as
	// a whole.
	wholeShare = 0.5
	// callTimeout bounds a call.
	callTimeout = 5 * time.Second
)

// dispatch starts all calls that can be started.
func (s *Scheduler) dispatch(now time.Duration) {
	s.flush(now)
	for _, p := range s.order {
		for s.startCall(p, now) {
		}
	}
}

// flush gives up the results that were gathered long enough.
func (s *Scheduler) flush(now time.Duration) {
	for _, p := range s.order {
		for _, m := range p.servers {
			if len(m.frees) >= freeBatch || len(m.frees) > 0 && now-m.freeSince >= freeDelay {
				s.flushServer(m)
			}
		}
	}
}

func (s *Scheduler) flushServer(m *server) {
	s.lastFree++
	s.frees[s.lastFree] = pendingFree{m, m.freeing}
	s.acts.Frees = append(s.acts.Frees, Free{ID: s.lastFree, Server: m.def, Handles: m.frees})
	m.frees, m.freeing = nil, 0
}

// startCall starts the most urgent call of a pool; false if none can be started.
func (s *Scheduler) startCall(p *pool, now time.Duration) bool {
	waiting := p.waiting(s, now)
	if len(waiting) == 0 {
		return false
	}
	n := 0
	for _, r := range waiting {
		n += len(r.queued)
	}
	for _, m := range p.candidates(now, n) {
		items := s.batch(m, waiting, now)
		if len(items) > 0 {
			s.begin(m, items, now)
			return true
		}
	}
	return false
}

// first orders what is true before what is not.
func first(a, b bool) int {
	if a == b {
		return 0
	}
	if a {
		return -1
	}
	return 1
}

// waiting returns the runs with pieces that can be asked for: those that are begun,
// whose results take memory meanwhile, then the most urgent.
func (p *pool) waiting(s *Scheduler, now time.Duration) []*run {
	p.runs = slices.DeleteFunc(p.runs, func(r *run) bool { return len(r.queued) == 0 })
	var ready []*run
	for _, r := range p.runs {
		if r.ready() && !r.early() {
			ready = append(ready, r)
		}
	}
	slices.SortStableFunc(ready, func(a, b *run) int {
		return cmp.Or(first(a.begun(), b.begun()), cmp.Compare(a.job.urgency(now), b.job.urgency(now)), cmp.Compare(a.job.def.ID, b.job.def.ID), cmp.Compare(a.stage, b.stage))
	})
	return ready
}

// early tells whether a run would only hold memory while the job's other stages
// go on: no stage reads its results, and the others take longer than it does.
func (r *run) early() bool {
	if len(r.next) > 0 || len(r.after) > 0 {
		return false
	}
	own := r.pathTime()
	for _, o := range r.job.runs {
		if o != r && o.pathTime() > 2*own+lateSlack {
			return true
		}
	}
	return false
}

// urgency orders jobs: those that can reach their objective by its end and their
// rank, then those that can reach only their deadline.
func (j *job) urgency(now time.Duration) time.Duration {
	u := j.def.Due + time.Duration(j.def.Rank)*rankStep
	if now+j.shortest()+j.def.After > j.def.Due {
		u += missedPenalty
	}
	return u - j.def.After
}

// candidates returns the servers that can begin a call now, the one that would end
// it first in front and those on trial behind. Slow servers are left out while the others can do the work
// sooner.
func (p *pool) candidates(now time.Duration, pieces int) []*server {
	fastest := p.fastest(now)
	size := min(pieces, p.spec.Batch)
	type option struct {
		m   *server
		end time.Duration
	}
	var options []option
	for _, m := range p.servers {
		if !m.usable(now) || m.open() > p.spec.Slots || m.freeAt(now) > now+lead {
			continue
		}
		end := m.freeAt(now) + time.Duration(float64(p.callTime(size))*m.slowness(now))
		if m.slowness(now) > slowRatio*fastest && end > now+p.drainTime(pieces, m, now) {
			continue
		}
		options = append(options, option{m, end})
	}
	slices.SortFunc(options, func(a, b option) int {
		return cmp.Or(first(!a.m.hasLate(), !b.m.hasLate()), cmp.Compare(a.end, b.end), cmp.Compare(a.m.def.ID, b.m.def.ID))
	})
	servers := make([]*server, len(options))
	for i, o := range options {
		servers[i] = o.m
	}
	return servers
}

// drainTime is how long the servers other than m take for the pieces that wait.
func (p *pool) drainTime(pieces int, m *server, now time.Duration) time.Duration {
	full := p.callTime(p.spec.Batch).Seconds()
	rate := p.rate(now) - float64(p.spec.Batch*p.spec.Slots)/(full*m.slowness(now))
	if rate <= 0 {
		return callTimeout
	}
	return p.callTime(p.spec.Batch) + time.Duration(float64(pieces)/rate*float64(time.Second))
}

// batch picks the pieces of a call at a server.
func (s *Scheduler) batch(m *server, waiting []*run, now time.Duration) []item {
	var items []item
	left := m.memoryLeft(now)
	ahead := map[string]int{}
	for _, r := range waiting {
		if !r.job.started && !s.mayStart(r.job, now) || !r.mayLeaveZone(m, ahead, now) {
			continue
		}
		n := m.fitting(r, m.pool.spec.Batch-len(items), left)
		for _, k := range r.queued[:n] {
			items = append(items, item{r, k})
		}
		left -= int64(n) * r.bytes
		r.job.started = r.job.started || n > 0
		if len(items) == m.pool.spec.Batch {
			break
		}
	}
	return items
}

// fitting is the number of pieces of a run that a call with room for that many and
// a server with that much memory can take. Where memory is scarce a run is begun
// only as a whole, as far as one call goes: its results are of use to no reader
// before the last one is made.
func (m *server) fitting(r *run, room int, left int64) int {
	n := min(len(r.queued), room)
	if r.bytes > 0 {
		n = int(min(int64(n), left/r.bytes))
	}
	whole := min(len(r.queued), m.pool.spec.Batch)
	if n < whole && !r.begun() && float64(left) < wholeShare*float64(m.pool.spec.Memory) {
		return 0
	}
	return max(n, 0)
}

// mayStart tells whether there is memory for the results of all stages of a job.
func (s *Scheduler) mayStart(j *job, now time.Duration) bool {
	claimed := map[*pool]int64{}
	for _, o := range s.queue {
		if o.started {
			o.claim(claimed)
		}
	}
	own := map[*pool]int64{}
	j.claim(own)
	for p, bytes := range own {
		total := p.memory(now)
		if claimed[p] > 0 && float64(claimed[p]+bytes) > memoryShare*float64(total) {
			return false
		}
	}
	return true
}

// claim adds the sizes of the results that the job keeps or will make.
func (j *job) claim(sum map[*pool]int64) {
	for _, r := range j.runs {
		if r.pool != nil && !r.freed {
			sum[r.pool] += r.bytes * int64(len(r.pieces))
		}
	}
}

// begin emits a call.
func (s *Scheduler) begin(m *server, items []item, now time.Duration) {
	if len(m.frees) > 0 {
		s.flushServer(m)
	}
	s.lastCall++
	c := &call{id: s.lastCall, server: m, items: items}
	c.begins = m.freeAt(now)
	expected := time.Duration(float64(m.pool.callTime(len(items))) * m.slowness(now))
	c.ends = c.begins + expected
	for _, it := range items {
		it.run.zone = cmp.Or(it.run.zone, m.def.Zone)
	}
	s.calls[c.id] = c
	m.calls = append(m.calls, c)
	act := Call{ID: c.id, Pool: m.pool.name, Server: m.def, Timeout: callTimeout, Expected: c.ends - now}
	for _, it := range items {
		it.run.unqueue(it.piece)
		it.run.pieces[it.piece].copies++
		m.used += it.run.bytes
		act.Items = append(act.Items, it.action(now))
		act.Waited = max(act.Waited, now-it.run.readySince(now))
	}
	act.MemoryLeft = m.memoryLeft(now)
	s.acts.Calls = append(s.acts.Calls, act)
}

func (it item) action(now time.Duration) Item {
	def := &it.run.job.def
	a := Item{JobID: def.ID, Stage: it.run.stage, Piece: it.piece, Remaining: def.Deadline - now}
	a.Inputs = it.run.inputs()
	if len(a.Inputs) == 0 {
		a.Key = def.Key
	}
	return a
}
