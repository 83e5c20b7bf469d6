package staging

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/residency"
)

// oneStageKinds are urgent requests that need only the first pool, and requests that can wait
// and need memory of the second one as well.
var oneStageKinds = []loadKind{
	{"urgent", 15, 1500 * time.Millisecond, 6 * time.Second, 0, [2]int{3, 0}},
	{"waiting", 60, 3500 * time.Millisecond, 10 * time.Second, 2, [2]int{1, 6}},
}

// sharedStageKinds are urgent requests and requests that can wait, which need memory of the same
// pool.
var sharedStageKinds = []loadKind{
	{"urgent", 15, 1500 * time.Millisecond, 6 * time.Second, 0, [2]int{2, 2}},
	{"waiting", 60, 3500 * time.Millisecond, 10 * time.Second, 2, [2]int{1, 6}},
}

// assertUrgentServed plays a burst of the kind that can wait while the second pool lacks memory,
// and checks that the urgent kind is served all the same.
func assertUrgentServed(t *testing.T, kinds []loadKind) {
	t.Helper()
	for seed := range uint64(3) {
		w := newPlayOfKinds(seed+1, kinds)
		spec := w.specs["b"]
		spec.MemoryBytes = 20_000
		w.setPool("b", spec, 9)
		results := w.play(1, 1)
		for kind, r := range results {
			t.Logf("%s: %+v", kinds[kind].name, r)
		}
		assert.Assert(t, results[1].refused > results[1].sent/10, "memory is not short")
		assert.Assert(t, results[0].onTimeShare() >= 0.95, "urgent: %+v", results[0])
	}
}

// TestUrgentRequestsBesideAShortageOfAnotherPool guards against urgent requests that are refused
// because others wait for the memory of a pool that they do not need, or because those others
// are late: the servers that the urgent ones need run nearly empty calls meanwhile.
func TestUrgentRequestsBesideAShortageOfAnotherPool(t *testing.T) {
	assertUrgentServed(t, oneStageKinds)
}

// TestUrgentRequestsBesideAQueueForTheSameMemory guards against urgent requests that are refused
// because of memory that requests behind them will need later.
func TestUrgentRequestsBesideAQueueForTheSameMemory(t *testing.T) {
	assertUrgentServed(t, sharedStageKinds)
}

// TestStageWhoseReaderIsOmittedCompletes guards against a job that waits until its deadline,
// because the results of a stage were taken for read: the only stage that reads them has no
// pieces in this request.
func TestStageWhoseReaderIsOmittedCompletes(t *testing.T) {
	w := newPlayOfKinds(1, []loadKind{{"short", 1, time.Second, 2 * time.Second, 0, [2]int{1, 0}}})
	r := w.play(loadNoBurst, 1)[0]
	assert.Assert(t, r.sent > 0 && r.onTime == r.sent, "%+v", r)
}

// TestClaimsOfSuspendedJobsDoNotDependOnDispatch guards against an admission that depends on
// whether a call was tried since a waiting job was suspended: the job counted as one behind
// others until then.
func TestClaimsOfSuspendedJobsDoNotDependOnDispatch(t *testing.T) {
	s := New()
	s.SetPool("p", PoolSpec{Slots: 1, BatchSize: 1, CallOverhead: time.Second, MemoryBytes: 1000}, []Server{{ID: "p1"}})
	submit := func(id string, objective time.Duration) {
		s.Submit(0, Job{
			ID: id, ObjectiveDeadline: objective, Deadline: 20 * time.Second, Residency: residency.Unrestricted(),
			Stages: []Stage{{Pool: "p", Pieces: 1, ResultBytes: 100}},
		})
	}
	submit("running", 10*time.Second)
	submit("waiting", 15*time.Second)
	p, running := s.pools["p"], s.jobs["running"]
	assert.Equal(t, p.claimsBehind(running, 0), int64(100))
	s.SuspendJob("waiting")
	atOnce := p.claimsBehind(running, 0)
	p.readyRuns(s, 0)
	assert.Equal(t, atOnce, p.claimsBehind(running, 0))
}
