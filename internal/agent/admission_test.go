package agent

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
	"github.com/magnoliawheel/magnoliawheel/test/standin/engine"
	"github.com/magnoliawheel/magnoliawheel/test/standin/service"
)

// TestRefusals checks that a refused call never runs, and that its refusal says
// so and carries the right code, a load report, and a retry delay if a retry
// may succeed.
func TestRefusals(t *testing.T) {
	srv := startService(t, service.Config{CallDuration: 400 * time.Millisecond})
	limitToOneCall := func(f *fixture) {
		f.worker.mu.Lock()
		defer f.worker.mu.Unlock()
		f.worker.limiter.SetMax(1)
		f.worker.queue.SetLimit(1)
		f.worker.timing.perCall = 400 * time.Millisecond
	}
	cases := []struct {
		name   string
		change func(*wire.RunRequest)
		// ahead is the number of calls that are running or queued already.
		ahead int
		code  result.Code
		retry bool
	}{
		{"no request id", func(r *wire.RunRequest) { r.Attempt = nil }, 0, result.BadBody, false},
		{"long request id", func(r *wire.RunRequest) { r.Attempt.RequestId = strings.Repeat("x", 200) }, 0, result.BadBody, false},
		{"long name", func(r *wire.RunRequest) { r.Call = strings.Repeat("x", 300) }, 0, result.BadBody, false},
		{"absurd budget", func(r *wire.RunRequest) { r.BudgetUs = 1 << 63 }, 0, result.BadDeadline, false},
		{"budget spent", func(r *wire.RunRequest) { r.BudgetUs = 0 }, 0, result.BudgetSpent, false},
		{"wait over the budget", func(r *wire.RunRequest) { r.BudgetUs = 500_000 }, 1, result.Overloaded, true},
		{"queue full", func(*wire.RunRequest) {}, 2, result.QueueFull, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := startAgent(t, testSettings(t, "a", "http://"+srv.Addr()))
			limitToOneCall(f)
			var ahead []*startedRun
			for i := range c.ahead {
				ahead = append(ahead, f.startRun(t, f.runRequest(c.name+string(rune('a'+i)))))
			}
			req := f.runRequest("refused")
			c.change(req)
			a := f.run(t, req)
			assert.Equal(t, result.Code(a.refused.Code), c.code)
			assert.Equal(t, a.refused.Ran, wire.Ran_RAN_NO)
			assert.Equal(t, a.refused.Load.Incarnation, f.incarnation)
			assert.Equal(t, a.refused.RetryAfterUs > 0, c.retry)
			for _, r := range ahead {
				r.finish(t)
				assert.Assert(t, r.done != nil, "%v", r.events)
			}
		})
	}
	for _, e := range srv.Recorder.Executions() {
		assert.Assert(t, !strings.HasPrefix(e.ID, "refused"), e.ID)
	}
}

// TestQueuedCallIsRefusedWhenItsBudgetEnds checks that a queued call is refused
// as soon as its budget is spent, and not only when the server becomes free.
func TestQueuedCallIsRefusedWhenItsBudgetEnds(t *testing.T) {
	srv := startService(t, service.Config{CallDuration: 3 * time.Second})
	f := startAgent(t, testSettings(t, "a", "http://"+srv.Addr()))
	f.worker.limiter.SetMax(1)
	first := f.startRun(t, f.runRequest("e~1"))
	late := f.runRequest("e~2")
	late.BudgetUs = 300_000
	assert.DeepEqual(t, f.run(t, late).events, []string{"accepted attached=false", "refused 2008 RAN_NO"})
	assert.Equal(t, f.Process.load().Running, uint32(1))
	first.finish(t)
	assert.Equal(t, len(srv.Recorder.Executions()), 1)
}

func TestKeptResultsLimitAdmission(t *testing.T) {
	model := startEngine(t, engine.Config{PrefillTime: time.Millisecond})
	conf := testSettings(t, "a", "http://"+model.Addr())
	conf.Limits.KeptBytes = 10 << 10
	f := startAgent(t, conf)
	first := f.generateRequest("e~1", 100)
	assert.Assert(t, f.run(t, first).done != nil)
	full := f.run(t, f.generateRequest("e~2", 1000))
	assert.Equal(t, result.Code(full.refused.Code), result.ResultsFull)
	assert.Equal(t, full.refused.Ran, wire.Ran_RAN_NO)
	assert.Assert(t, full.refused.RetryAfterUs > 0)
	f.ack(t, first)
	second := f.generateRequest("e~3", 100)
	assert.Assert(t, f.run(t, second).done != nil)
	f.ack(t, second)
	waitFor(t, func() bool { return f.Process.load().KeptBytes == 0 })
}
