package staging

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// world answers the scheduler's calls as servers do, at random, and checks what it asks.
type world struct {
	t     *rapid.T
	s     *Scheduler
	now   time.Duration
	specs map[string]Spec
	// pool is the pool of each server.
	pool  map[string]string
	calls map[uint64]Call
	order []uint64
	frees []uint64
	// kept are the results that lie at servers, with their owners.
	kept  map[string]string
	taken map[string]bool
	ended map[string]string
	// jobs are the jobs as submitted, made their results told so far, and moving those
	// that are handed over.
	jobs   map[string]Job
	made   map[string][]MadeResult
	moving map[string]bool
}

// TestProperties checks for random loads and faults: a job ends once; calls hold at
// most a batch; a result is given up once; inputs lie at a server when a call names
// them; after all jobs ended nothing is left.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		jobs := rapid.IntRange(1, 12).Draw(rt, "jobs")
		for i := range jobs {
			w.submit(fmt.Sprintf("j%d", i))
			for range rapid.IntRange(0, 3).Draw(rt, "steps") {
				w.step()
			}
		}
		for range 4000 {
			if w.idle() {
				break
			}
			w.step()
		}
		for id := range w.taken {
			assert.Assert(rt, w.ended[id] != "", "job %s never ended", id)
			w.s.Release(w.now, id)
		}
		w.advance(time.Second)
		w.s.Tick(w.now)
		w.take()
		assert.Equal(rt, len(w.kept), 0, "results left: %v", w.kept)
		assert.Equal(rt, w.s.Jobs(), 0)
		for _, id := range w.frees {
			w.s.FreeDone(w.now, id)
		}
		for _, p := range w.s.order {
			for _, m := range p.servers {
				assert.Equal(rt, m.used, int64(0), "memory that %s is taken to use", m.def.ID)
			}
		}
	})
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, s: New(), specs: map[string]Spec{}, pool: map[string]string{}, calls: map[uint64]Call{},
		kept: map[string]string{}, taken: map[string]bool{}, ended: map[string]string{},
		jobs: map[string]Job{}, made: map[string][]MadeResult{}, moving: map[string]bool{},
	}
	for _, name := range []string{"a", "b", "c"} {
		spec := Spec{
			Slots: rapid.IntRange(1, 2).Draw(t, "slots"), Batch: rapid.IntRange(2, 10).Draw(t, "batch"),
			CallTime: 100 * time.Millisecond, ItemTime: 10 * time.Millisecond,
			Memory: int64(rapid.IntRange(800, 3000).Draw(t, "memory")), Keep: 4 * time.Second,
		}
		var servers []Server
		for i := range rapid.IntRange(1, 3).Draw(t, "servers") {
			id := fmt.Sprintf("%s%d", name, i)
			w.pool[id] = name
			servers = append(servers, Server{ID: id, Address: id, Zone: fmt.Sprint("z", i)})
		}
		w.specs[name] = spec
		w.s.SetPool(name, spec, servers)
	}
	return w
}

func (w *world) submit(id string) {
	stages := []Stage{
		{Pool: "a", Pieces: rapid.IntRange(0, 3).Draw(w.t, "pieces"), Bytes: 100},
		{Pool: "b", Pieces: rapid.IntRange(0, 6).Draw(w.t, "pieces"), Bytes: 50, After: []int{0}},
		{Pool: "c", Pieces: rapid.IntRange(0, 8).Draw(w.t, "pieces"), Bytes: 20, After: []int{1}},
		{Pool: "a", Pieces: rapid.IntRange(0, 2).Draw(w.t, "pieces"), Bytes: 150},
	}
	w.taken[id] = true
	w.jobs[id] = Job{
		ID: id, Key: id, Stages: stages, Rank: rapid.IntRange(0, 2).Draw(w.t, "rank"),
		Due: w.now + 2*time.Second, Deadline: w.now + 20*time.Second, Zone: "z0",
	}
	w.s.Submit(w.now, w.jobs[id])
	w.take()
}

// handOver forgets a job at one scheduler and gives it to the next one, which here is
// the same.
func (w *world) handOver() {
	ids := slices.Sorted(maps.Keys(w.taken))
	if id := rapid.SampledFrom(ids).Draw(w.t, "moved"); w.ended[id] == "" && rapid.IntRange(0, 9).Draw(w.t, "move") == 0 {
		w.s.Hold(id)
		w.moving[id] = true
	}
	for _, id := range ids {
		if !w.moving[id] || w.s.Calling(id) {
			continue
		}
		delete(w.moving, id)
		if w.ended[id] != "" {
			continue
		}
		w.s.Forget(id)
		job := w.jobs[id]
		job.Made = w.made[id]
		w.s.Submit(w.now, job)
		w.take()
	}
}

func (w *world) idle() bool {
	return len(w.calls) == 0 && len(w.ended) == len(w.taken)
}

func (w *world) advance(d time.Duration) { w.now += d }

// step lets time pass and ends a call or a free, or ticks.
func (w *world) step() {
	w.advance(time.Duration(rapid.IntRange(1, 120).Draw(w.t, "ms")) * time.Millisecond)
	if len(w.frees) > 0 {
		w.s.FreeDone(w.now, w.frees[0])
		w.frees = w.frees[1:]
		w.take()
	}
	if len(w.order) > 0 && rapid.IntRange(0, 2).Draw(w.t, "end a call") > 0 {
		i := rapid.IntRange(0, len(w.order)-1).Draw(w.t, "which")
		c := w.calls[w.order[i]]
		w.order = append(w.order[:i:i], w.order[i+1:]...)
		delete(w.calls, c.ID)
		w.endCall(c)
		return
	}
	w.handOver()
	w.s.Tick(w.now)
	w.take()
}

func (w *world) endCall(c Call) {
	end := Answered
	if n := rapid.IntRange(0, 19).Draw(w.t, "end"); n < 3 {
		end = []CallEnd{Full, Gone, Broken}[n]
	}
	results := make([]Result, len(c.Items))
	for i, it := range c.Items {
		n := rapid.IntRange(0, 29).Draw(w.t, "outcome")
		if n < 2 || n == 2 && len(it.Inputs) > 0 {
			results[i] = Result{Outcome: []Outcome{NoMemory, Failed, InputGone}[n]}
			continue
		}
		results[i] = Result{Handle: fmt.Sprintf("%s/%s.%d.%d.%d", c.Server.ID, it.JobID, it.Stage, it.Piece, c.ID)}
		if end == Answered {
			w.kept[results[i].Handle] = it.JobID
		}
	}
	w.s.CallDone(w.now, c.ID, end, results)
	w.take()
}

func (w *world) take() {
	acts := w.s.Take()
	for id, made := range acts.Made {
		w.made[id] = append(w.made[id], made...)
	}
	for _, f := range acts.Frees {
		for _, h := range f.Handles {
			_, there := w.kept[h]
			assert.Assert(w.t, there, "result %s given up twice or never made", h)
			delete(w.kept, h)
		}
		w.frees = append(w.frees, f.ID)
	}
	for _, c := range acts.Calls {
		w.checkCall(c)
		w.calls[c.ID] = c
		w.order = append(w.order, c.ID)
	}
	for _, d := range acts.Done {
		assert.Equal(w.t, w.ended[d.JobID], "", "job %s ended twice", d.JobID)
		w.ended[d.JobID] = "done"
		for _, h := range d.Handles {
			assert.Equal(w.t, w.kept[h], d.JobID, "result %s is not the job's", h)
		}
	}
	for _, r := range acts.Refused {
		assert.Equal(w.t, w.ended[r.JobID], "", "job %s ended twice", r.JobID)
		w.ended[r.JobID] = "refused"
		assert.Assert(w.t, r.RetryAfter >= 0)
	}
}

func (w *world) checkCall(c Call) {
	spec := w.specs[c.Pool]
	assert.Equal(w.t, w.pool[c.Server.ID], c.Pool)
	assert.Assert(w.t, len(c.Items) > 0 && len(c.Items) <= spec.Batch, "%d pieces in a call", len(c.Items))
	seen := map[string]bool{}
	for _, it := range c.Items {
		name := fmt.Sprintf("%s.%d.%d", it.JobID, it.Stage, it.Piece)
		assert.Assert(w.t, !seen[name], "%s twice in a call", name)
		seen[name] = true
		for _, h := range it.Inputs {
			assert.Equal(w.t, w.kept[h], it.JobID, "input %s of %s is not the job's", h, name)
		}
		assert.Assert(w.t, (it.Key != "") != (len(it.Inputs) > 0), "%s has key %q and %d inputs", name, it.Key, len(it.Inputs))
	}
}
