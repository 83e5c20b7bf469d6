// Package staging schedules the stages of requests on servers that make the
// results of many pieces in one call and keep them in bounded memory. Pieces of
// different requests share calls. It is a pure state machine: events and the time
// go in, actions come out; the caller does all I/O.
//
// Invariants: a piece is asked for only when all results that it reads are held;
// a result is freed once, after its last reader; the results that this scheduler
// knows of at a server never exceed the server's memory.
package staging

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Scheduler runs the stages of jobs. It is not safe for concurrent use.
type Scheduler struct {
	pools map[string]*pool
	// order holds the pools in the order of their names, so that equal events give
	// equal actions.
	order []*pool
	jobs  map[string]*job
	// queue holds the jobs in the order in which they came.
	queue    []*job
	calls    map[uint64]*call
	lastCall uint64
	frees    map[uint64]pendingFree
	lastFree uint64
	acts     Actions
	// late is how much longer jobs took lately than was expected, and spread how
	// far they differed from that.
	late, spread time.Duration
}

// pendingFree is the size of results that a server is being told to give up.
type pendingFree struct {
	server *server
	bytes  int64
}

// New returns a scheduler without pools.
func New() *Scheduler {
	return &Scheduler{
		pools: map[string]*pool{}, jobs: map[string]*job{}, calls: map[uint64]*call{}, frees: map[uint64]pendingFree{},
	}
}

// SetPool sets the description and the servers of a pool. Servers that are left
// out get no new calls; their calls go on.
func (s *Scheduler) SetPool(name string, spec Spec, servers []Server) {
	p := s.pools[name]
	if p == nil {
		p = &pool{name: name}
		s.pools[name] = p
		s.order = append(s.order, p)
		slices.SortFunc(s.order, func(a, b *pool) int { return cmp.Compare(a.name, b.name) })
	}
	p.spec = spec
	kept := make([]*server, 0, len(servers))
	for _, def := range servers {
		kept = append(kept, p.member(def))
	}
	for _, old := range p.servers {
		old.listed = false
	}
	for _, m := range kept {
		m.listed = true
	}
	p.servers = kept
}

// Jobs returns the number of jobs that are not released.
func (s *Scheduler) Jobs() int { return len(s.jobs) }

// Expected returns the time that the stages of a job were expected to take; false
// if it was not taken.
func (s *Scheduler) Expected(jobID string) (time.Duration, bool) {
	j := s.jobs[jobID]
	if j == nil {
		return 0, false
	}
	return j.expected, true
}

// Submit takes a job, or refuses it if its stages would not end in time.
func (s *Scheduler) Submit(now time.Duration, def Job) {
	if s.jobs[def.ID] != nil {
		return
	}
	j := s.newJob(def)
	expected, ok := s.expect(j, now)
	if !ok || !j.started && !s.admissible(j, now, expected) {
		s.refuse(j, now, Overloaded, expected)
		return
	}
	j.submitted, j.expected = now, expected
	s.jobs[def.ID] = j
	s.queue = append(s.queue, j)
	j.takeMade()
	for _, r := range j.runs {
		if len(r.queued) > 0 {
			r.pool.runs = append(r.pool.runs, r)
		}
	}
	s.finishIfDone(j)
	s.dispatch(now)
}

// Release gives up the results of a job, which its request has read, or cancels it.
func (s *Scheduler) Release(now time.Duration, jobID string) {
	j := s.jobs[jobID]
	if j == nil {
		return
	}
	s.drop(j, now)
	s.dispatch(now)
}

// Started takes the first event of a job's request, which has read its results.
func (s *Scheduler) Started(now time.Duration, jobID string) {
	if j := s.jobs[jobID]; j != nil {
		s.learn(j, now)
	}
	s.Release(now, jobID)
}

// GiveUp frees results that another scheduler had made.
func (s *Scheduler) GiveUp(now time.Duration, made []MadeResult) {
	for _, m := range made {
		if m.Handle == "" {
			continue
		}
		for _, p := range s.order {
			if srv := p.find(m.Server); srv != nil {
				srv.free(m.Handle, 0, now)
			}
		}
	}
	s.dispatch(now)
}

// CallDone takes the end of a call. results has one entry per piece if the call
// was answered.
func (s *Scheduler) CallDone(now time.Duration, id uint64, end CallEnd, results []Result) {
	c := s.calls[id]
	if c == nil {
		return
	}
	delete(s.calls, id)
	c.server.ended(c, now, end)
	if end != Answered || len(results) != len(c.items) {
		for _, it := range c.items {
			s.repeat(it, c, now, end != Full)
		}
	} else {
		for i, it := range c.items {
			s.pieceDone(it, c, results[i], now)
		}
	}
	s.dispatch(now)
}

// FreeDone takes the end of a Free: the memory is there again.
func (s *Scheduler) FreeDone(now time.Duration, id uint64) {
	f, ok := s.frees[id]
	if !ok {
		return
	}
	delete(s.frees, id)
	f.server.used = max(0, f.server.used-f.bytes)
	s.dispatch(now)
}

// Tick starts what can be started and gives up what can't end in time.
func (s *Scheduler) Tick(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(s.calls)) {
		s.checkLate(s.calls[id], now)
	}
	for _, j := range slices.Clone(s.queue) {
		if !j.done && now+j.shortest() > j.def.Deadline {
			s.refuse(j, now, TooLate, 0)
			s.drop(j, now)
		}
	}
	s.dispatch(now)
}

// Take returns the actions since the last call of Take.
func (s *Scheduler) Take() Actions {
	acts := s.acts
	s.acts = Actions{}
	return acts
}

// Hold starts no more calls for a job: another scheduler will go on with it.
func (s *Scheduler) Hold(jobID string) {
	j := s.jobs[jobID]
	if j == nil {
		return
	}
	j.held = true
	for _, r := range j.runs {
		r.queued = nil
	}
}

// Calling tells whether a call is making a piece of the job.
func (s *Scheduler) Calling(jobID string) bool {
	for _, c := range s.calls {
		for _, it := range c.items {
			if it.run.job.def.ID == jobID {
				return true
			}
		}
	}
	return false
}

// Forget ends a job without giving up its results, which another scheduler uses.
func (s *Scheduler) Forget(jobID string) {
	j := s.jobs[jobID]
	if j == nil {
		return
	}
	for _, r := range j.runs {
		r.forget()
	}
	s.drop(j, 0)
}

// Held returns the results that servers keep for jobs, by owner of the job.
func (s *Scheduler) Held() map[string][]Free {
	held := map[string]map[Server][]string{}
	for _, j := range s.jobs {
		byServer := held[j.def.Owner]
		if byServer == nil {
			byServer = map[Server][]string{}
			held[j.def.Owner] = byServer
		}
		for _, r := range j.runs {
			if r.freed {
				continue
			}
			for i := range r.pieces {
				if p := &r.pieces[i]; p.handle != "" {
					byServer[p.server.def] = append(byServer[p.server.def], p.handle)
				}
			}
		}
	}
	all := map[string][]Free{}
	for owner, byServer := range held {
		for srv, handles := range byServer {
			all[owner] = append(all[owner], Free{Server: srv, Handles: handles})
		}
	}
	return all
}

// Idle tells whether there is nothing that needs ticks.
func (s *Scheduler) Idle() bool {
	if len(s.calls) > 0 {
		return false
	}
	for _, p := range s.order {
		if len(p.runs) > 0 {
			return false
		}
		for _, m := range p.servers {
			if len(m.frees) > 0 {
				return false
			}
		}
	}
	return true
}
