package agent

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
	"github.com/magnoliawheel/magnoliawheel/test/standin"
	"github.com/magnoliawheel/magnoliawheel/test/standin/engine"
	"github.com/magnoliawheel/magnoliawheel/test/standin/service"
)

// TestAttachAfterDisconnect checks that an attempt continues when its caller
// disconnects, and that later subscribers receive every chunk.
func TestAttachAfterDisconnect(t *testing.T) {
	model := startEngine(t, engine.Config{PrefillTime: time.Millisecond})
	f := startAgent(t, testSettings(t, "a", "http://"+model.Addr()))
	req := f.generateRequest("e~1", 60)
	stream, err := f.client.Run(context.Background(), req)
	assert.NilError(t, err)
	a := &runResponse{}
	a.receive(t, stream, func(a *runResponse) bool { return a.nextSeq == 6 })
	assert.NilError(t, stream.Close())

	texts := make([]string, 3)
	var wg sync.WaitGroup
	for i := range texts {
		wg.Go(func() { texts[i] = a.text + f.attach(t, req.Attempt, a.nextSeq).text })
	}
	wg.Wait()
	full := f.attach(t, req.Attempt, 1)
	assert.Equal(t, full.done.Count, uint64(60))
	for _, text := range texts {
		assert.Equal(t, text, full.text)
	}
	executions := model.Recorder.Executions()
	assert.Equal(t, len(executions), 1)
	assert.Equal(t, executions[0].Outcome, standin.Completed)
}

func TestHeartbeatsCarryLoad(t *testing.T) {
	srv := startService(t, service.Config{CallDuration: 600 * time.Millisecond})
	f := startAgent(t, testSettings(t, "a", "http://"+srv.Addr()))
	stream, err := f.client.Run(context.Background(), f.runRequest("e~1"))
	assert.NilError(t, err)
	defer func() { _ = stream.Close() }()
	for {
		ev, err := stream.Recv()
		assert.NilError(t, err)
		if h := ev.GetHeartbeat(); h != nil {
			assert.Equal(t, h.Load.Running, uint32(1))
			assert.Equal(t, h.Load.Incarnation, f.incarnation)
			return
		}
		assert.Assert(t, ev.GetDone() == nil, "no heartbeat came")
	}
}

func TestCancel(t *testing.T) {
	t.Run("running generation", func(t *testing.T) {
		model := startEngine(t, engine.Config{PrefillTime: time.Millisecond})
		f := startAgent(t, testSettings(t, "a", "http://"+model.Addr()))
		req := f.generateRequest("e~1", 1000)
		stream, err := f.client.Run(context.Background(), req)
		assert.NilError(t, err)
		defer func() { _ = stream.Close() }()
		a := &runResponse{}
		a.receive(t, stream, func(a *runResponse) bool { return a.nextSeq > 1 })
		assert.Equal(t, f.cancel(t, req.Attempt), wire.AttemptState_ATTEMPT_STATE_RUNNING)
		a.receive(t, stream, nil)
		assert.Equal(t, result.Code(a.failed.Code), result.Cancelled)
		assert.Equal(t, a.failed.Ran, wire.Ran_RAN_YES)
		waitFor(t, func() bool { return model.Recorder.Executions()[0].Outcome == standin.Cancelled })
	})
	t.Run("unknown attempt", func(t *testing.T) {
		srv := startService(t, service.Config{})
		f := startAgent(t, testSettings(t, "a", "http://"+srv.Addr()))
		req := f.runRequest("e~1")
		assert.Equal(t, f.cancel(t, req.Attempt), wire.AttemptState_ATTEMPT_STATE_NOT_RUN)
		late := f.run(t, req)
		assert.DeepEqual(t, late.events, []string{"refused 2011 RAN_NO"})
		assert.Equal(t, len(srv.Recorder.Executions()), 0)
	})
	t.Run("queued attempt", func(t *testing.T) {
		srv := startService(t, service.Config{CallDuration: 300 * time.Millisecond})
		f := startAgent(t, testSettings(t, "a", "http://"+srv.Addr()))
		f.worker.limiter.SetMax(1)
		first := f.startRun(t, f.runRequest("e~1"))
		second := f.startRun(t, f.runRequest("e~2"))
		assert.Equal(t, f.cancel(t, f.runRequest("e~2").Attempt), wire.AttemptState_ATTEMPT_STATE_NOT_RUN)
		assert.DeepEqual(t, second.finish(t), []string{"accepted attached=false", "refused 2011 RAN_NO"})
		assert.DeepEqual(t, first.finish(t), []string{"accepted attached=false", "done 1"})
		assert.Equal(t, len(srv.Recorder.Executions()), 1)
	})
	t.Run("running call that must not be repeated", func(t *testing.T) {
		srv := startService(t, service.Config{CallDuration: 200 * time.Millisecond})
		f := startAgent(t, testSettings(t, "a", "http://"+srv.Addr()))
		req := f.runRequest("e~1")
		req.Idempotent = false
		run := f.startRun(t, req)
		waitFor(t, func() bool { return len(srv.Recorder.Executions()) == 1 })
		assert.Equal(t, f.cancel(t, req.Attempt), wire.AttemptState_ATTEMPT_STATE_RUNNING)
		assert.DeepEqual(t, run.finish(t), []string{"accepted attached=false", "done 1"})
	})
}

// TestOtherIncarnation checks the answers to requests that were meant for
// another incarnation of the agent.
func TestOtherIncarnation(t *testing.T) {
	srv := startService(t, service.Config{})
	f := startAgent(t, testSettings(t, "a", "http://"+srv.Addr()))
	req := f.runRequest("e~1")
	req.Incarnation++
	assert.DeepEqual(t, f.run(t, req).events, []string{"refused 2007 RAN_NO"})
	req.Incarnation = 0
	assert.DeepEqual(t, f.run(t, req).events, []string{"refused 2007 RAN_NO"})
	stream, err := f.client.Attach(context.Background(), &wire.AttachRequest{Attempt: req.Attempt, Incarnation: f.incarnation + 1, FromSeq: 1})
	assert.NilError(t, err)
	a := &runResponse{}
	a.receive(t, stream, nil)
	assert.DeepEqual(t, a.events, []string{"refused 2007 RAN_UNKNOWN"})
	assert.DeepEqual(t, f.attach(t, req.Attempt, 1).events, []string{"refused 2011 RAN_UNKNOWN"})
	reply, err := f.client.Cancel(context.Background(), &wire.CancelRequest{Attempt: req.Attempt, Incarnation: f.incarnation + 1})
	assert.NilError(t, err)
	assert.Equal(t, reply.State, wire.AttemptState_ATTEMPT_STATE_UNKNOWN_HERE)
	assert.Equal(t, len(srv.Recorder.Executions()), 0)
}

// startedRun is a Run whose first event was received.
type startedRun struct {
	runResponse
	stream wire.DRPCAgent_RunClient
}

// startRun sends a request and waits for the first event.
func (f *fixture) startRun(t testing.TB, req *wire.RunRequest) *startedRun {
	stream, err := f.client.Run(context.Background(), req)
	assert.NilError(t, err)
	r := &startedRun{stream: stream}
	r.receive(t, stream, func(a *runResponse) bool { return len(a.events) > 0 })
	return r
}

// finish receives the rest of the response and returns all events except
// chunks.
func (r *startedRun) finish(t testing.TB) []string {
	r.receive(t, r.stream, nil)
	_ = r.stream.Close()
	return r.events
}

// TestFindAttempts checks the answer to an entry that takes over a request.
func TestFindAttempts(t *testing.T) {
	srv := startService(t, service.Config{})
	f := startAgent(t, testSettings(t, "a", "http://"+srv.Addr()))
	find := func() []*wire.FoundAttempt {
		reply, err := f.client.Find(context.Background(), &wire.FindRequest{RequestId: "e~1"})
		assert.NilError(t, err)
		return reply.Attempts
	}
	assert.Equal(t, len(find()), 0)
	f.cancel(t, &wire.AttemptID{RequestId: "e~1", Attempt: 9})
	assert.Equal(t, len(find()), 0)
	req := f.runRequest("e~1")
	req.Pipeline = "dossier"
	f.run(t, req)
	found := find()
	assert.Equal(t, len(found), 1)
	assert.Equal(t, found[0].Customer, "burj-consult")
	assert.Equal(t, found[0].Pipeline, "dossier")
	assert.Equal(t, found[0].State, wire.AttemptState_ATTEMPT_STATE_FINISHED)
	assert.Assert(t, found[0].BudgetUs > 0 && found[0].BudgetUs <= req.BudgetUs)
	f.ack(t, req)
	found = find()
	assert.Equal(t, found[0].Customer, "burj-consult")
	assert.Equal(t, found[0].Chunks, uint64(0))
}

// TestReplacementAgentResumesStreams checks that a new agent at the same engine
// resumes a generation that is still running instead of executing it again.
func TestReplacementAgentResumesStreams(t *testing.T) {
	model := startEngine(t, engine.Config{PrefillTime: time.Millisecond})
	replaced := startAgent(t, testSettings(t, "a", "http://"+model.Addr()))
	run := replaced.startRun(t, replaced.generateRequest("e~1", 100))
	run.receive(t, run.stream, func(a *runResponse) bool { return a.nextSeq > 3 })

	next := startAgent(t, testSettings(t, "a", "http://"+model.Addr()))
	resumed := next.run(t, next.generateRequest("e~1", 100))
	assert.Equal(t, resumed.done.Count, uint64(100))
	run.finish(t)
	assert.Equal(t, run.text, resumed.text)
	assert.Equal(t, len(model.Recorder.Executions()), 1)
}

// TestSilentEngineConnections checks that a generation resumes over a new
// connection when the existing one carries no more data without being closed.
func TestSilentEngineConnections(t *testing.T) {
	model := startEngine(t, engine.Config{PrefillTime: time.Millisecond})
	f := startAgent(t, testSettings(t, "a", "http://"+model.Addr()))
	run := f.startRun(t, f.generateRequest("e~1", 100))
	run.receive(t, run.stream, func(a *runResponse) bool { return a.nextSeq > 3 })
	resp, err := http.Post("http://"+model.Addr()+"/control", "application/json", strings.NewReader(`{"silence":true}`))
	assert.NilError(t, err)
	_ = resp.Body.Close()
	run.finish(t)
	assert.Equal(t, run.done.Count, uint64(100))
	assert.Equal(t, run.done.Checksum, xxhash.Sum64String(run.text))
	executions := model.Recorder.Executions()
	assert.Equal(t, len(executions), 1)
	assert.Equal(t, executions[0].Outcome, standin.Completed)
}
