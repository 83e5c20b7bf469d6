// Package staging schedules the stages of requests on batch servers. A stage consists of
// pieces, each of which yields one result; later stages read the results of earlier
// ones. A batch server computes the results of several pieces in one call and keeps them
// in bounded memory; pieces of different requests share calls. The package is a pure
// state machine: it turns events and the current time into actions, and the caller does
// all I/O.
//
// Each policy has a file. A job is accepted or refused in admit.go, by the servers' backlog, by
// memory (memory.go) and by how late jobs have been (lateness.go); retry_after.go says when a
// refused caller should return. dispatch.go starts calls: order.go says which pieces are the most
// urgent, candidates.go which servers may get them, zone.go and separate.go which of the pieces a
// server may not get. slowness.go, overdue.go and free.go follow what the servers do.
//
// Invariants: a piece is requested only when all results that it reads exist; a result
// is freed once, after its last reader; the results of this scheduler on a server never
// exceed the server's memory.
package staging

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/fairshare"
	"github.com/magnoliawheel/magnoliawheel/core/notice"
)

// Scheduler runs the stages of jobs. It is not safe for concurrent use.
type Scheduler struct {
	pools map[string]*pool
	// sortedPools holds the pools by name, so that the same events always give the same
	// actions.
	sortedPools   []*pool
	jobs          map[string]*job
	jobsByArrival []*job
	calls         map[uint64]*call
	lastCallID    uint64
	pendingFrees  map[uint64]pendingFree
	lastFreeID    uint64
	actions       Actions
	// demand tells which customers flood.
	demand *fairshare.Tracker
	// specVersion changes with the description of a pool; it is never 0.
	specVersion uint64
	// meanLateness is a moving average of how much longer jobs took than expected,
	// latenessDeviation that of the distance from this average.
	meanLateness, latenessDeviation time.Duration
	// notices are the limits that servers name, pauses those that want no calls for a time.
	notices *notice.Table
	pauses  *notice.Pauses
}

// SetNotices sets the table with the limits that servers name. It must be called before
// SetPool.
func (s *Scheduler) SetNotices(n *notice.Table) { s.notices = n }

// pendingFree is a FreeRequest that has not ended yet, with the size of its results.
type pendingFree struct {
	server  *server
	handles []string
	bytes   int64
}

// New returns a scheduler without pools.
func New() *Scheduler {
	return &Scheduler{
		pools: map[string]*pool{}, jobs: map[string]*job{}, calls: map[uint64]*call{}, pendingFrees: map[uint64]pendingFree{},
		specVersion: 1, demand: fairshare.New(), notices: notice.NewTable(nil), pauses: notice.NewPauses(),
	}
}

// SetPool sets the description and the servers of a pool. Servers that are no longer
// listed get no new calls; their open calls continue.
func (s *Scheduler) SetPool(name string, spec PoolSpec, servers []Server) {
	p := s.pools[name]
	if p == nil {
		p = &pool{name: name, piecesAhead: map[string]int{}, notices: s.notices, pauses: s.pauses}
		s.pools[name] = p
		s.sortedPools = append(s.sortedPools, p)
		slices.SortFunc(s.sortedPools, func(a, b *pool) int { return cmp.Compare(a.name, b.name) })
	}
	if p.spec != spec {
		p.spec = spec
		p.unaccountedUntil += p.unaccountedExpiry()
		s.specVersion++
	}
	members := make([]*server, 0, len(servers))
	for _, def := range servers {
		members = append(members, p.findOrCreateServer(def))
	}
	for _, old := range p.servers {
		old.listed = false
	}
	for _, m := range members {
		m.listed = true
	}
	p.servers = members
}

// JobCount returns the number of jobs that were submitted and not released.
func (s *Scheduler) JobCount() int { return len(s.jobs) }

// ExpectedDuration returns how long the stages of a job were expected to take when it
// was submitted. It returns false for an unknown job.
func (s *Scheduler) ExpectedDuration(jobID string) (time.Duration, bool) {
	j := s.jobs[jobID]
	if j == nil {
		return 0, false
	}
	return j.expectedDuration, true
}

// Submit accepts a job, or refuses it if its stages would not end in time.
func (s *Scheduler) Submit(now time.Duration, def Job) {
	if s.jobs[def.ID] != nil {
		return
	}
	j := s.newJob(def)
	if def.Customer != "" && len(def.PriorResults) == 0 {
		j.flooding = s.demand.Add(now, def.Customer)
	}
	if j.isOutsideResidency() {
		s.refuse(j, now, OutsideResidency, 0)
		return
	}
	expected, ok := s.estimateDuration(j, now)
	if !ok || !j.started && !s.admissible(j, now, expected) {
		s.refuse(j, now, Overloaded, expected)
		return
	}
	j.submittedAt, j.expectedDuration = now, expected
	s.jobs[def.ID] = j
	s.jobsByArrival = append(s.jobsByArrival, j)
	j.accepted = true
	j.adoptPriorResults()
	for _, r := range j.runs {
		if len(r.queuedPieces) > 0 {
			r.pool.queuedRuns = append(r.pool.queuedRuns, r)
		}
	}
	s.completeIfDone(j)
	s.dispatch(now)
}

// Release frees the results of a job. It is called when the request has read them, or
// to cancel the job.
func (s *Scheduler) Release(now time.Duration, jobID string) {
	j := s.jobs[jobID]
	if j == nil {
		return
	}
	s.removeJob(j, now)
	s.dispatch(now)
}

// RequestStarted handles the first event of a job's request: the request has read the
// job's results, so they are released.
func (s *Scheduler) RequestStarted(now time.Duration, jobID string) {
	if j := s.jobs[jobID]; j != nil {
		s.recordLateness(j, now)
	}
	s.Release(now, jobID)
}

// FreeResults frees results that were computed for another scheduler.
func (s *Scheduler) FreeResults(now time.Duration, results []ResultLocation) {
	for _, m := range results {
		if m.Handle == "" {
			continue
		}
		for _, p := range s.sortedPools {
			if srv := p.findServer(m.ServerID); srv != nil {
				srv.queueFree(m.Handle, 0, now)
			}
		}
	}
	s.dispatch(now)
}

// CallDone handles the end of a call.
func (s *Scheduler) CallDone(now time.Duration, id uint64, result CallResult) {
	c := s.calls[id]
	if c == nil {
		return
	}
	delete(s.calls, id)
	c.server.callEnded(c, now, result.Status, result.Load)
	s.pause(now, c.server, result.RetryAfter)
	if result.Status == Interrupted {
		separateJobs(c)
	}
	if result.Status != Answered || len(result.Results) != len(c.pieces) {
		for _, it := range c.pieces {
			s.retryPiece(it, c, now, result.Status != ServerFull)
		}
	} else {
		for i, it := range c.pieces {
			it.run.job.interruptedBy = nil
			s.pieceDone(it, c, result.Results[i], now)
		}
	}
	s.dispatch(now)
}

// pause prevents calls to a server for the time that it asked for, if any.
func (s *Scheduler) pause(now time.Duration, m *server, d time.Duration) {
	if d > 0 {
		s.pauses.Start(now, m.start(), d)
	}
}

// FreeDone handles the end of a FreeRequest. If the server refused it and wants no
// requests for the time retryAfter, the results are freed later. Otherwise their memory is
// available again.
func (s *Scheduler) FreeDone(now time.Duration, id uint64, retryAfter time.Duration) {
	f, ok := s.pendingFrees[id]
	if !ok {
		return
	}
	delete(s.pendingFrees, id)
	if retryAfter > 0 {
		s.pause(now, f.server, retryAfter)
		f.server.requeueFree(f, now)
	} else {
		f.server.usedBytes = max(0, f.server.usedBytes-f.bytes)
	}
	s.dispatch(now)
}

// Tick requests the pieces of overdue calls from other servers, refuses jobs that can't
// meet their deadline any more, and starts the calls that have become possible.
func (s *Scheduler) Tick(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(s.calls)) {
		s.checkOverdue(s.calls[id], now)
	}
	for _, j := range slices.Clone(s.jobsByArrival) {
		if !j.done && now+j.minRemainingTime() > j.def.Deadline {
			s.refuse(j, now, DeadlineUnreachable, 0)
			s.removeJob(j, now)
		}
	}
	s.dispatch(now)
}

// TakeActions returns the actions since the last call of TakeActions.
func (s *Scheduler) TakeActions() Actions {
	actions := s.actions
	s.actions = Actions{}
	return actions
}

// SuspendJob prevents further calls for a job, because another scheduler will continue
// it.
func (s *Scheduler) SuspendJob(jobID string) {
	j := s.jobs[jobID]
	if j == nil {
		return
	}
	j.suspended = true
	for _, r := range j.runs {
		r.queuedPieces = nil
	}
}

// HasOpenCall reports whether an open call contains a piece of the job.
func (s *Scheduler) HasOpenCall(jobID string) bool {
	for _, c := range s.calls {
		for _, it := range c.pieces {
			if it.run.job.def.ID == jobID {
				return true
			}
		}
	}
	return false
}

// DetachJob removes a job without freeing its results, because another scheduler uses
// them.
func (s *Scheduler) DetachJob(jobID string) {
	j := s.jobs[jobID]
	if j == nil {
		return
	}
	for _, r := range j.runs {
		r.detachResults()
	}
	s.removeJob(j, 0)
}

// HeldResults returns the results that servers keep for jobs, by owner of the job.
func (s *Scheduler) HeldResults() map[string][]FreeRequest {
	handlesByOwner := map[string]map[Server][]string{}
	for _, j := range s.jobs {
		byServer := handlesByOwner[j.def.Owner]
		if byServer == nil {
			byServer = map[Server][]string{}
			handlesByOwner[j.def.Owner] = byServer
		}
		for _, r := range j.runs {
			if r.resultsFreed {
				continue
			}
			for i := range r.pieces {
				if p := &r.pieces[i]; p.handle != "" {
					byServer[p.server.def] = append(byServer[p.server.def], p.handle)
				}
			}
		}
	}
	freesByOwner := map[string][]FreeRequest{}
	for owner, byServer := range handlesByOwner {
		for srv, handles := range byServer {
			freesByOwner[owner] = append(freesByOwner[owner], FreeRequest{Server: srv, Handles: handles})
		}
	}
	return freesByOwner
}

// Idle reports whether the scheduler needs no ticks: no call is open, no piece is
// queued, and no result waits to be freed.
func (s *Scheduler) Idle() bool {
	if len(s.calls) > 0 {
		return false
	}
	for _, p := range s.sortedPools {
		if len(p.queuedRuns) > 0 {
			return false
		}
		for _, m := range p.servers {
			if len(m.handlesToFree) > 0 {
				return false
			}
		}
	}
	return true
}
