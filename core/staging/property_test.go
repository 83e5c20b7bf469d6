package staging

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnoliawheel/magnoliawheel/core/loadreport"
	"github.com/magnoliawheel/magnoliawheel/core/residency"
)

// simulation answers the scheduler's calls with random outcomes and checks its actions.
type simulation struct {
	t         *rapid.T
	scheduler *Scheduler
	now       time.Duration
	specs     map[string]PoolSpec
	// poolByServer maps each server ID to the name of its pool.
	poolByServer map[string]string
	// calls are the calls without an answer yet; openCallIDs and openFreeIDs hold IDs
	// in the order of their actions.
	calls       map[uint64]Call
	openCallIDs []uint64
	openFreeIDs []uint64
	// frees are the open free requests; ownersByFree are the owners of their results.
	frees        map[uint64]FreeRequest
	ownersByFree map[uint64][]string
	// suspendedUntil maps servers to the time until which they want no requests.
	suspendedUntil map[string]time.Duration
	// ownerByHandle maps the results that servers keep to the IDs of their jobs.
	ownerByHandle map[string]string
	// submitted is the set of submitted job IDs; outcomeByJob holds the outcome of each
	// job that has ended.
	submitted    map[string]bool
	outcomeByJob map[string]string
	// jobs are the jobs as submitted, resultsByJob the result changes reported so far.
	// handingOver is the set of suspended jobs that are not resubmitted yet.
	jobs         map[string]Job
	resultsByJob map[string][]ResultLocation
	handingOver  map[string]bool
}

// TestSchedulerInvariants checks for random loads and failures: a job ends exactly
// once; a call has at most a batch of pieces; a result is freed once; the inputs of a
// call exist on a server; nothing remains after all jobs have ended.
func TestSchedulerInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newSimulation(rt)
		jobs := rapid.IntRange(1, 12).Draw(rt, "jobs")
		for i := range jobs {
			w.submitRandomJob(fmt.Sprintf("j%d", i))
			for range rapid.IntRange(0, 3).Draw(rt, "steps") {
				w.randomStep()
			}
		}
		for range 4000 {
			if w.allJobsEnded() {
				break
			}
			w.randomStep()
		}
		for id := range w.submitted {
			assert.Assert(rt, w.outcomeByJob[id] != "", "job %s never ended", id)
			w.scheduler.Release(w.now, id)
		}
		w.advance(time.Second)
		w.scheduler.Tick(w.now)
		w.checkActions()
		assert.Equal(rt, len(w.ownerByHandle), 0, "results that were not freed: %v", w.ownerByHandle)
		assert.Equal(rt, w.scheduler.JobCount(), 0)
		for _, id := range w.openFreeIDs {
			w.scheduler.FreeDone(w.now, id, 0)
		}
		for _, p := range w.scheduler.sortedPools {
			for _, m := range p.servers {
				assert.Equal(rt, m.usedBytes, int64(0), "bytes accounted for on server %s", m.def.ID)
			}
		}
	})
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{
		t: t, scheduler: New(), specs: map[string]PoolSpec{}, poolByServer: map[string]string{}, calls: map[uint64]Call{},
		ownerByHandle: map[string]string{}, submitted: map[string]bool{}, outcomeByJob: map[string]string{},
		jobs: map[string]Job{}, resultsByJob: map[string][]ResultLocation{}, handingOver: map[string]bool{},
		frees: map[uint64]FreeRequest{}, ownersByFree: map[uint64][]string{}, suspendedUntil: map[string]time.Duration{},
	}
	for _, name := range []string{"a", "b", "c"} {
		spec := PoolSpec{
			Slots: rapid.IntRange(1, 2).Draw(t, "slots"), BatchSize: rapid.IntRange(2, 10).Draw(t, "batch"),
			CallOverhead: 100 * time.Millisecond, TimePerPiece: 10 * time.Millisecond,
			MemoryBytes: int64(rapid.IntRange(800, 3000).Draw(t, "memory")), ResultRetention: 4 * time.Second,
		}
		var servers []Server
		for i := range rapid.IntRange(1, 3).Draw(t, "servers") {
			id := fmt.Sprintf("%s%d", name, i)
			w.poolByServer[id] = name
			servers = append(servers, Server{ID: id, Address: id, Zone: fmt.Sprint("z", i)})
		}
		w.specs[name] = spec
		w.scheduler.SetPool(name, spec, servers)
	}
	return w
}

func (w *simulation) submitRandomJob(id string) {
	stages := []Stage{
		{Pool: "a", Pieces: rapid.IntRange(0, 3).Draw(w.t, "pieces"), ResultBytes: 100},
		{Pool: "b", Pieces: rapid.IntRange(0, 6).Draw(w.t, "pieces"), ResultBytes: 50, DependsOn: []int{0}},
		{Pool: "c", Pieces: rapid.IntRange(0, 8).Draw(w.t, "pieces"), ResultBytes: 20, DependsOn: []int{1}},
		{Pool: "a", Pieces: rapid.IntRange(0, 2).Draw(w.t, "pieces"), ResultBytes: 150},
	}
	w.submitted[id] = true
	w.jobs[id] = Job{
		ID: id, Key: id, Stages: stages, Priority: rapid.IntRange(0, 2).Draw(w.t, "priority"),
		ObjectiveDeadline: w.now + 2*time.Second, Deadline: w.now + 20*time.Second, ReaderZone: "z0", Residency: residency.Unrestricted(),
	}
	w.scheduler.Submit(w.now, w.jobs[id])
	w.checkActions()
}

// handOver suspends a random job, and resubmits suspended jobs with their results once
// they have no open calls. The scheduler that takes over is the same one.
func (w *simulation) handOver() {
	ids := slices.Sorted(maps.Keys(w.submitted))
	if id := rapid.SampledFrom(ids).Draw(w.t, "job to hand over"); w.outcomeByJob[id] == "" && rapid.IntRange(0, 9).Draw(w.t, "hand over a job") == 0 {
		w.scheduler.SuspendJob(id)
		w.handingOver[id] = true
	}
	for _, id := range ids {
		if !w.handingOver[id] || w.scheduler.HasOpenCall(id) {
			continue
		}
		delete(w.handingOver, id)
		if w.outcomeByJob[id] != "" {
			continue
		}
		w.scheduler.DetachJob(id)
		job := w.jobs[id]
		job.PriorResults = w.resultsByJob[id]
		w.scheduler.Submit(w.now, job)
		w.checkActions()
	}
}

func (w *simulation) allJobsEnded() bool {
	return len(w.calls) == 0 && len(w.outcomeByJob) == len(w.submitted)
}

func (w *simulation) advance(d time.Duration) { w.now += d }

// randomStep advances the time and ends a free request if one is open. Then it either
// ends a call, or hands over jobs and ticks.
func (w *simulation) randomStep() {
	w.advance(time.Duration(rapid.IntRange(1, 120).Draw(w.t, "ms")) * time.Millisecond)
	if len(w.openFreeIDs) > 0 {
		w.endFree()
		w.checkActions()
	}
	if len(w.openCallIDs) > 0 && rapid.IntRange(0, 2).Draw(w.t, "end a call") > 0 {
		i := rapid.IntRange(0, len(w.openCallIDs)-1).Draw(w.t, "call to end")
		c := w.calls[w.openCallIDs[i]]
		w.openCallIDs = append(w.openCallIDs[:i:i], w.openCallIDs[i+1:]...)
		delete(w.calls, c.ID)
		w.endCallRandomly(c)
		return
	}
	w.handOver()
	w.scheduler.Tick(w.now)
	w.checkActions()
}

// suspend records that a server wants no requests for d.
func (w *simulation) suspend(server string, d time.Duration) {
	w.suspendedUntil[server] = max(w.suspendedUntil[server], w.now+d)
}

// endFree ends the oldest free request. Some are refused for a time.
func (w *simulation) endFree() {
	id := w.openFreeIDs[0]
	w.openFreeIDs = w.openFreeIDs[1:]
	if rapid.IntRange(0, 9).Draw(w.t, "refuse a free request") > 0 {
		w.scheduler.FreeDone(w.now, id, 0)
		return
	}
	f := w.frees[id]
	for i, h := range f.Handles {
		w.ownerByHandle[h] = w.ownersByFree[id][i]
	}
	retryAfter := time.Duration(rapid.IntRange(1, 400).Draw(w.t, "retry after")) * time.Millisecond
	w.suspend(f.Server.ID, retryAfter)
	w.scheduler.FreeDone(w.now, id, retryAfter)
}

func (w *simulation) endCallRandomly(c Call) {
	status := Answered
	if n := rapid.IntRange(0, 19).Draw(w.t, "call status"); n < 3 {
		status = []CallStatus{ServerFull, ServerGone, Incomplete}[n]
	}
	results := make([]Result, len(c.Items))
	for i, it := range c.Items {
		n := rapid.IntRange(0, 29).Draw(w.t, "outcome")
		if n < 2 || n == 2 && len(it.Inputs) > 0 {
			results[i] = Result{Outcome: []Outcome{OutOfMemory, Failed, InputMissing}[n]}
			continue
		}
		results[i] = Result{Handle: fmt.Sprintf("%s/%s.%d.%d.%d", c.Server.ID, it.JobID, it.Stage, it.Piece, c.ID)}
		if status == Answered {
			w.ownerByHandle[results[i].Handle] = it.JobID
		}
	}
	retryAfter := time.Duration(0)
	if status == ServerFull {
		retryAfter = time.Duration(rapid.IntRange(0, 400).Draw(w.t, "retry after")) * time.Millisecond
	}
	w.suspend(c.Server.ID, retryAfter)
	w.scheduler.CallDone(w.now, c.ID, CallResult{Status: status, Results: results, RetryAfter: retryAfter, Load: w.randomLoad()})
	w.checkActions()
}

// randomLoad returns a report that may be true, false or missing.
func (w *simulation) randomLoad() *loadreport.Report {
	percent := rapid.IntRange(0, 2000).Draw(w.t, "work time percent")
	if percent < 500 {
		return nil
	}
	return &loadreport.Report{Slots: 1, WorkTime: float64(percent) / 500}
}

// claimsBehind adds up what the jobs that are not started and less urgent than j claim in p.
func (w *simulation) claimsBehind(p *pool, j *job) int64 {
	var sum int64
	for _, other := range w.scheduler.jobsByArrival {
		if other.started || other.suspended || other.schedulingDeadline(w.now) <= j.schedulingDeadline(w.now) {
			continue
		}
		sum += other.resultBytesIn(p)
	}
	return sum
}

// checkCaches compares what the scheduler caches with values computed anew.
func (w *simulation) checkCaches() {
	claimed, started := map[*pool]int64{}, map[*pool]int64{}
	for _, j := range w.scheduler.jobsByArrival {
		var remaining time.Duration
		for _, r := range j.runs {
			cached := r.criticalPathTime()
			assert.Equal(w.t, cached, r.pathFromDependencies())
			assert.Equal(w.t, r.preferredZone(), r.findPreferredZone())
			remaining = max(remaining, cached)
			if !r.resultsFreed {
				claimed[r.pool] += r.resultBytes * int64(len(r.pieces))
			}
			if !r.resultsFreed && j.started {
				started[r.pool] += r.resultBytes * int64(len(r.pieces))
			}
		}
		assert.Equal(w.t, j.minRemainingTime(), remaining)
	}
	for _, p := range w.scheduler.sortedPools {
		assert.Equal(w.t, p.claimedBytes, claimed[p])
		assert.Equal(w.t, p.startedBytes, started[p])
		for _, j := range w.scheduler.jobsByArrival {
			assert.Equal(w.t, p.claimsBehind(j, w.now), w.claimsBehind(p, j))
		}
		var total int64
		for _, m := range p.servers {
			total += max(0, m.usedBytes+m.availableMemory(w.now))
			assert.Assert(w.t, len(m.handlesToFree) == 0 || p.hasHandlesToFree)
		}
		assert.Equal(w.t, p.totalMemory(w.now), total)
	}
}

// checkActions takes the scheduler's actions, checks them and records their effects.
func (w *simulation) checkActions() {
	w.checkCaches()
	actions := w.scheduler.TakeActions()
	for id, changes := range actions.ResultChanges {
		w.resultsByJob[id] = append(w.resultsByJob[id], changes...)
	}
	for _, f := range actions.FreeRequests {
		assert.Assert(w.t, w.now >= w.suspendedUntil[f.Server.ID], "free request to server %s, which wants none", f.Server.ID)
		w.frees[f.ID] = f
		for _, h := range f.Handles {
			owner, found := w.ownerByHandle[h]
			assert.Assert(w.t, found, "result %s freed twice or never computed", h)
			w.ownersByFree[f.ID] = append(w.ownersByFree[f.ID], owner)
			delete(w.ownerByHandle, h)
		}
		w.openFreeIDs = append(w.openFreeIDs, f.ID)
	}
	for _, c := range actions.Calls {
		w.checkCall(c)
		w.calls[c.ID] = c
		w.openCallIDs = append(w.openCallIDs, c.ID)
	}
	for _, d := range actions.CompletedJobs {
		assert.Equal(w.t, w.outcomeByJob[d.JobID], "", "job %s ended twice", d.JobID)
		w.outcomeByJob[d.JobID] = "done"
		for _, h := range d.Handles {
			assert.Equal(w.t, w.ownerByHandle[h], d.JobID, "result %s does not belong to the job", h)
		}
	}
	for _, r := range actions.Refusals {
		assert.Equal(w.t, w.outcomeByJob[r.JobID], "", "job %s ended twice", r.JobID)
		w.outcomeByJob[r.JobID] = "refused"
		assert.Assert(w.t, r.RetryAfter >= 0)
	}
}

func (w *simulation) checkCall(c Call) {
	spec := w.specs[c.Pool]
	assert.Equal(w.t, w.poolByServer[c.Server.ID], c.Pool)
	assert.Assert(w.t, len(c.Items) > 0 && len(c.Items) <= spec.BatchSize, "%d pieces in a call", len(c.Items))
	assert.Assert(w.t, w.now >= w.suspendedUntil[c.Server.ID], "call to server %s, which wants none", c.Server.ID)
	seen := map[string]bool{}
	for _, it := range c.Items {
		name := fmt.Sprintf("%s.%d.%d", it.JobID, it.Stage, it.Piece)
		assert.Assert(w.t, !seen[name], "piece %s appears twice in a call", name)
		seen[name] = true
		for _, h := range it.Inputs {
			assert.Equal(w.t, w.ownerByHandle[h], it.JobID, "input %s of piece %s does not belong to the job", h, name)
		}
		assert.Assert(w.t, (it.Key != "") != (len(it.Inputs) > 0), "piece %s has key %q and %d inputs", name, it.Key, len(it.Inputs))
	}
}
