package staging

import (
	"cmp"
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/residency"
)

// loadKind is a kind of requests with two stages.
type loadKind struct {
	name                string
	rate                float64
	objective, deadline time.Duration
	priority            int
	pieces              [2]int
}

// loadKinds demand about the same from the pools each. At these rates they demand 0.9 of the
// servers that newLoadPlay lists.
var loadKinds = []loadKind{
	{"urgent", 22.2, 1200 * time.Millisecond, 3 * time.Second, 0, [2]int{4, 6}},
	{"waiting", 32.7, 4 * time.Second, 8 * time.Second, 2, [2]int{3, 4}},
	{"between", 49, 1500 * time.Millisecond, 4 * time.Second, 1, [2]int{2, 3}},
}

const (
	loadBurstBegin, loadBurstEnd = 20 * time.Second, 26 * time.Second
	// loadMeasuredEnd includes the time in which the backlog of the burst is served.
	loadMeasuredEnd = 28 * time.Second
	loadEnd         = 95 * time.Second
	loadBurstFactor = 2.6
	loadRequestTime = 250 * time.Millisecond
	loadNoBurst     = -1
)

// loadResult is what became of the requests of one kind that were sent from loadBurstBegin to
// loadMeasuredEnd.
type loadResult struct {
	sent, onTime, late, refused, refusedLater int
	// startedRefused counts the requests that were refused after some of their pieces had
	// been requested.
	startedRefused int
	longestWait    time.Duration
	// returned counts the refused clients that came back, returnedOnTime those that were
	// then served in time.
	returned, returnedOnTime int
}

func (r loadResult) onTimeShare() float64 { return float64(r.onTime) / float64(max(r.sent, 1)) }

// loadRequest is a request that was sent.
type loadRequest struct {
	kind                        int
	at                          time.Duration
	measured, returned, started bool
	identity                    string
}

// loadPlay plays the kinds on two pools whose servers take 0.9 to 1.1 of the normal time.
type loadPlay struct {
	kinds     []loadKind
	scheduler *Scheduler
	random    *rand.Rand
	specs     map[string]PoolSpec
	events    floodEvents
	busyUntil map[string]time.Duration
	requests  map[string]*loadRequest
	results   []loadResult
	returns   map[time.Duration][]*loadRequest
	onCall    func(now time.Duration, c *Call)
	// changes are made to the pools at a time.
	changes map[time.Duration]func()
	lastID  int
	// pick draws the kinds' arrivals, so that they are the same with and without a burst.
	pick []*rand.Rand
}

func newLoadPlay(seed uint64) *loadPlay { return newPlayOfKinds(seed, loadKinds) }

func newPlayOfKinds(seed uint64, kinds []loadKind) *loadPlay {
	w := &loadPlay{
		kinds: kinds, scheduler: New(), random: rand.New(rand.NewPCG(seed, 1)), specs: map[string]PoolSpec{
			"a": {Slots: 1, BatchSize: 8, CallOverhead: 100 * time.Millisecond, TimePerPiece: 16 * time.Millisecond, MemoryBytes: 1 << 40, ResultRetention: 10 * time.Second},
			"b": {Slots: 1, BatchSize: 10, CallOverhead: 100 * time.Millisecond, TimePerPiece: 10 * time.Millisecond, MemoryBytes: 1 << 40, ResultRetention: 10 * time.Second},
		},
		busyUntil: map[string]time.Duration{}, requests: map[string]*loadRequest{}, returns: map[time.Duration][]*loadRequest{}, changes: map[time.Duration]func(){},
		results: make([]loadResult, len(kinds)),
	}
	for i := range kinds {
		w.pick = append(w.pick, rand.New(rand.NewPCG(seed, uint64(10+i))))
	}
	for name, spec := range w.specs {
		w.setPool(name, spec, 9)
	}
	return w
}

func (w *loadPlay) setPool(name string, spec PoolSpec, n int) {
	var servers []Server
	for i := range n {
		servers = append(servers, Server{ID: fmt.Sprint(name, i), Zone: "z"})
	}
	w.specs[name] = spec
	w.scheduler.SetPool(name, spec, servers)
}

func (w *loadPlay) submit(now time.Duration, kind int, measured bool, identity string) {
	k := w.kinds[kind]
	w.lastID++
	id := fmt.Sprint("j", w.lastID)
	q := &loadRequest{kind: kind, at: now, measured: measured, returned: identity != "", identity: cmp.Or(identity, id)}
	w.requests[id] = q
	if measured && !q.returned {
		w.results[kind].sent++
	}
	w.scheduler.Submit(now, Job{
		ID: id, Key: id, Priority: k.priority, ObjectiveDeadline: now + k.objective, Deadline: now + k.deadline, RequestDuration: loadRequestTime,
		Stages:    []Stage{{Pool: "a", Pieces: k.pieces[0], ResultBytes: 1000}, {Pool: "b", Pieces: k.pieces[1], ResultBytes: 1000, DependsOn: []int{0}}},
		Residency: residency.Unrestricted(),
	})
	w.takeActions(now)
}

func (w *loadPlay) takeActions(now time.Duration) {
	actions := w.scheduler.TakeActions()
	for _, c := range actions.Calls {
		if w.onCall != nil {
			w.onCall(now, &c)
		}
		spec := w.specs[c.Pool]
		normal := spec.CallOverhead + time.Duration(len(c.Items))*spec.TimePerPiece
		end := max(now, w.busyUntil[c.Server.ID]) + time.Duration((0.9+0.2*w.random.Float64())*float64(normal))
		w.busyUntil[c.Server.ID] = end
		for _, it := range c.Items {
			w.requests[it.JobID].started = true
		}
		heap.Push(&w.events, floodEvent{at: end, call: &c})
	}
	for _, j := range actions.CompletedJobs {
		heap.Push(&w.events, floodEvent{at: now + loadRequestTime, job: j.JobID})
	}
	for _, f := range actions.FreeRequests {
		heap.Push(&w.events, floodEvent{at: now + 10*time.Millisecond, free: f.ID})
	}
	for _, r := range actions.Refusals {
		w.refused(now, r)
	}
}

func (w *loadPlay) refused(now time.Duration, r Refusal) {
	q := w.requests[r.JobID]
	if !q.measured || q.returned {
		return
	}
	res := &w.results[q.kind]
	res.refused++
	if now > q.at {
		res.refusedLater++
	}
	if q.started {
		res.startedRefused++
	}
	res.longestWait = max(res.longestWait, now-q.at)
	if r.RetryAfter > 0 {
		res.returned++
		at := (now + r.RetryAfter).Truncate(time.Millisecond) + time.Millisecond
		w.returns[at] = append(w.returns[at], q)
	}
}

func (w *loadPlay) handle(e floodEvent) {
	switch {
	case e.call != nil:
		results := make([]Result, len(e.call.Items))
		for i, it := range e.call.Items {
			results[i].Handle = fmt.Sprint(it.JobID, ".", it.Stage, ".", it.Piece, ".", e.call.ID)
		}
		w.scheduler.CallDone(e.at, e.call.ID, CallResult{Results: results})
	case e.job != "":
		w.scheduler.RequestStarted(e.at, e.job)
		w.served(e.at, w.requests[e.job])
	default:
		w.scheduler.FreeDone(e.at, e.free, 0)
	}
	w.takeActions(e.at)
}

func (w *loadPlay) served(now time.Duration, q *loadRequest) {
	res := &w.results[q.kind]
	onTime := now-q.at <= w.kinds[q.kind].objective
	switch {
	case !q.measured || q.returned && !onTime:
		return
	case q.returned:
		res.returnedOnTime++
		return
	case onTime:
		res.onTime++
	default:
		res.late++
	}
	res.longestWait = max(res.longestWait, now-q.at)
}

// play sends the kinds' requests, with a burst of one of them unless burst is loadNoBurst, at
// the given factor of the usual rates.
func (w *loadPlay) play(burst int, factor float64) []loadResult {
	const step = time.Millisecond
	for now := time.Duration(0); now < loadEnd; now += step {
		for len(w.events) > 0 && w.events[0].at <= now {
			w.handle(heap.Pop(&w.events).(floodEvent))
		}
		if change := w.changes[now]; change != nil {
			change()
		}
		for _, q := range w.returns[now] {
			w.submit(now, q.kind, q.measured, q.identity)
		}
		for kind, k := range w.kinds {
			rate, draw := factor*k.rate, w.pick[kind].Float64()
			if kind == burst && now >= loadBurstBegin && now < loadBurstEnd {
				rate *= loadBurstFactor
			}
			if draw < rate*step.Seconds() {
				w.submit(now, kind, now >= loadBurstBegin && now < loadMeasuredEnd, "")
			}
		}
		if now%(10*time.Millisecond) == 0 {
			w.scheduler.Tick(now)
			w.takeActions(now)
		}
	}
	return w.results
}

// assertBurstStaysWithinItsKind compares a burst of each kind with no burst.
func assertBurstStaysWithinItsKind(t *testing.T, play func(burst int) []loadResult) {
	calm := play(loadNoBurst)
	for burst := range loadKinds {
		results := play(burst)
		for kind, r := range results {
			name := fmt.Sprintf("%s in a burst of %s: %+v", loadKinds[kind].name, loadKinds[burst].name, r)
			t.Log(name)
			assert.Assert(t, kind == burst || r.onTimeShare() >= calm[kind].onTimeShare()-0.05, name)
			assert.Assert(t, r.late+r.refusedLater <= r.sent/50, "accepted and then late or refused: %s", name)
			assert.Equal(t, r.startedRefused, 0, "capacity was spent on refused requests: %s", name)
			assert.Assert(t, r.longestWait <= loadKinds[kind].deadline, name)
			assert.Assert(t, float64(r.returnedOnTime) >= 0.9*float64(r.refused), "false Retry-After times: %s", name)
		}
		assert.Assert(t, loadBurstFactor*results[burst].onTimeShare() >= 0.95, "the kind with the burst gets less than without it")
	}
}

// TestBurstOfOneKind guards against a burst of one kind that makes requests of the others late
// or refused, and against Retry-After times at which there is no capacity.
func TestBurstOfOneKind(t *testing.T) {
	for seed := range uint64(2) {
		assertBurstStaysWithinItsKind(t, func(burst int) []loadResult { return newLoadPlay(seed+1).play(burst, 1) })
	}
}

// TestBurstOfOneKindWithScarceMemory guards against the same if the memory for results is short
// before the servers' time is: many small jobs must not keep larger, more urgent ones from
// starting.
func TestBurstOfOneKindWithScarceMemory(t *testing.T) {
	assertBurstStaysWithinItsKind(t, func(burst int) []loadResult {
		w := newLoadPlay(1)
		spec := w.specs["b"]
		spec.MemoryBytes = 40_000
		w.setPool("b", spec, 9)
		return w.play(burst, 1)
	})
}

// TestLostServersAtBurst guards against urgent requests that starve behind those that can wait,
// and against requests that are accepted and then refused, when two of nine servers of each pool
// are lost shortly before a burst of the kind that can wait.
func TestLostServersAtBurst(t *testing.T) {
	w := newLoadPlay(1)
	w.changes[loadBurstBegin-2*time.Second] = func() {
		for name, spec := range w.specs {
			w.setPool(name, spec, 7)
		}
	}
	results := w.play(1, 1)
	for kind, r := range results {
		t.Logf("%s: %+v", loadKinds[kind].name, r)
		assert.Equal(t, r.startedRefused, 0)
		assert.Assert(t, r.late+r.refusedLater <= r.sent/50, "accepted and then late or refused: %+v", r)
	}
	assert.Assert(t, results[0].onTimeShare() >= 0.9, "urgent: %+v", results[0])
	assert.Assert(t, results[1].onTimeShare() >= 0.35, "waiting: %+v", results[1])
}

// TestRunWithoutShortageGivesSameCalls guards against changes of the calls where there is
// capacity for all. The hashes are of the code before kinds had shares.
func TestRunWithoutShortageGivesSameCalls(t *testing.T) {
	for _, run := range []struct {
		seed   uint64
		factor float64
		hash   string
	}{
		{1, 0.6, "e80ca3c29828ed09"}, {1, 0.9, "97511b531c60208a"}, {2, 0.8, "5aa159409074634c"}, {2, 0.9, "16ca8e78e8449e3d"}, {3, 0.9, "588001852f9ba9e7"},
	} {
		w, h := newLoadPlay(run.seed), fnv.New64a()
		w.onCall = func(now time.Duration, c *Call) {
			fmt.Fprint(h, now, c.Server.ID)
			for _, it := range c.Items {
				fmt.Fprint(h, it.JobID, it.Stage, it.Piece)
			}
		}
		w.play(loadNoBurst, run.factor)
		assert.Equal(t, fmt.Sprintf("%016x", h.Sum64()), run.hash, "seed %d, %.1f of the rates", run.seed, run.factor)
	}
}
