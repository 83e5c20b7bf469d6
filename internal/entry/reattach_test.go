package entry

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/membership"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

// pauseAfterFirstChunk makes Run pause after the first chunk until the returned
// function is called.
func (a *fakeAgent) pauseAfterFirstChunk() (resume func()) {
	released := make(chan struct{})
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runFunc = func(req *wire.RunRequest, out wire.DRPCAgent_RunStream) error {
		if err := a.accept(out); err != nil {
			return err
		}
		chunks := chunksOf(req.Stage)
		if err := sendChunk(out, 1, chunks[0]); err != nil {
			return err
		}
		if err := a.heartbeatUntil(out, released); err != nil {
			return err
		}
		return a.sendChunksFrom(out, 2, chunks)
	}
	return func() { close(released) }
}

// newAnswerRequest returns a caller's request for the events of an answer after
// lastEventID.
func (b *testBench) newAnswerRequest(id string, lastEventID uint64) *http.Request {
	req := b.newRequest("GET", "/v1/requests/"+id, "")
	if lastEventID > 0 {
		req.Header.Set("Last-Event-ID", strconv.FormatUint(lastEventID, 10))
	}
	return req
}

// startSecondEntry starts another entry in front of the same agents.
func (b *testBench) startSecondEntry() *testBench {
	b.t.Helper()
	c := &testBench{t: b.t, encoder: b.encoder, engine: b.engine, filer: b.filer, source: b.source, view: b.view}
	c.start("entry-2")
	b.view.mu.Lock()
	defer b.view.mu.Unlock()
	b.view.entries = []membership.Instance{
		{ID: "entry-1", Role: membership.RoleEntry, Addr: b.p.opts.Settings.Listen.Peers},
		{ID: "entry-2", Role: membership.RoleEntry, Addr: c.p.opts.Settings.Listen.Peers},
	}
	return c
}

// reattachAndFinish closes a stream after its first chunk and reads the rest of the
// answer through b.
func reattachAndFinish(t *testing.T, s *callerStream, b *testBench, resume func()) {
	t.Helper()
	s.readUntil("chunk")
	s.close()
	rest := b.openStream(b.newAnswerRequest(s.id, s.seq))
	resume()
	done := rest.readUntil("done")
	assert.Equal(t, s.text.String()+rest.text.String(), draftAnswer["generate"])
	assert.Equal(t, done.field("chunks"), float64(3))
}

func TestReattachAtTheSameEntry(t *testing.T) {
	b := startTestBench(t)
	resume := b.engine.pauseAfterFirstChunk()
	reattachAndFinish(t, b.openCall("ask"), b, resume)
	assert.Equal(t, len(b.engine.runs()), 1)
}

func TestReattachThroughOtherEntry(t *testing.T) {
	b := startTestBench(t)
	other := b.startSecondEntry()
	resume := b.engine.pauseAfterFirstChunk()
	reattachAndFinish(t, b.openCall("ask"), other, resume)
	assert.Equal(t, len(b.engine.runs()), 1)
}

func TestWholeAnswerThroughAnotherEntry(t *testing.T) {
	b := startTestBench(t)
	other := b.startSecondEntry()
	first := b.call("draft")
	second := other.do(other.newAnswerRequest(first.header.Get("Request-Id"), 0))
	assert.Equal(t, second.body, first.body)
	assert.Equal(t, len(b.filer.runs()), 1)
}

func TestCancelThroughAnotherEntry(t *testing.T) {
	b := startTestBench(t)
	other := b.startSecondEntry()
	b.filer.acceptThen(0, staySilent)
	b.filer.replyToCancel(wire.AttemptState_ATTEMPT_STATE_NOT_RUN)
	s := b.openCall("draft")
	s.readUntil("chunk")
	assert.Equal(t, other.do(other.newRequest("DELETE", "/v1/requests/"+s.id, "")).status, http.StatusNoContent)
	assert.Equal(t, s.readUntil("error").field("effects"), "no")
}

// crash stops the entry at once and closes all its connections.
func (b *testBench) crash() {
	b.p.stop()
	b.stop()
	b.done <- <-b.done
}

// newFoundAttempt returns an attempt as an agent reports it in a FindReply.
func newFoundAttempt(id string, stage, attempt uint32, pipeline string, state wire.AttemptState) *wire.FoundAttempt {
	return &wire.FoundAttempt{
		Attempt: &wire.AttemptID{RequestId: id, Stage: stage, Attempt: attempt}, State: state,
		Incarnation: 7, Customer: "acme", Pipeline: pipeline, BudgetUs: 2_000_000, Stage: stageName(pipeline, stage),
	}
}

// stageName returns the name of a stage of the test schema.
func stageName(pipeline string, stage uint32) string {
	names := map[string][]string{"draft": {"encode", "generate", "file"}, "ask": {"generate"}}[pipeline]
	if int(stage) < len(names) {
		return names[stage]
	}
	return ""
}

// setFoundAttempts sets the attempts that Find reports.
func (a *fakeAgent) setFoundAttempts(f ...*wire.FoundAttempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.foundAttempts = f
}

func TestTakeoverRefusesChangedPipeline(t *testing.T) {
	b := startTestBench(t)
	other := b.startSecondEntry()
	b.filer.acceptThen(0, staySilent)
	s := b.openCall("draft")
	waitFor(t, func() bool { return len(b.filer.runs()) == 1 })
	b.crash()
	f := newFoundAttempt(s.id, 1, 1, "draft", wire.AttemptState_ATTEMPT_STATE_FINISHED)
	f.Stage = "rerank"
	b.engine.setFoundAttempts(f)
	r := other.do(other.newAnswerRequest(s.id, 0))
	assert.Equal(t, result.Code(r.errorData(t).Code), result.EntryLost, r.body)
	assert.Equal(t, r.errorData(t).Effects, "unknown")
	assert.Equal(t, len(b.filer.runs()), 1)
}

func TestTakeoverByAnotherEntry(t *testing.T) {
	const finished, running = wire.AttemptState_ATTEMPT_STATE_FINISHED, wire.AttemptState_ATTEMPT_STATE_RUNNING
	cases := []struct {
		name string
		// stages is the number of stages whose agents know their attempt.
		stages  int
		code    result.Code
		effects string
	}{
		{"every result is kept", 3, result.OK, ""},
		{"no agent knows whether the last stage ran", 2, result.EntryLost, "unknown"},
		{"no agent knows the request", 0, result.UnknownRequest, "unknown"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := startTestBench(t)
			other := b.startSecondEntry()
			b.filer.acceptThen(0, staySilent)
			s := b.openCall("draft")
			waitFor(t, func() bool { return len(b.filer.runs()) == 1 })
			b.crash()
			for i, a := range []*fakeAgent{b.encoder, b.engine, b.filer}[:c.stages] {
				a.resumeOnAttach([]string{"encode", "generate", "file"}[i])
				state := finished
				if i == 2 {
					state = running
				}
				a.setFoundAttempts(newFoundAttempt(s.id, uint32(i), 1, "draft", state))
			}
			r := other.do(other.newAnswerRequest(s.id, 0))
			if c.code == result.OK {
				assert.DeepEqual(t, r.answer(t), draftAnswer)
			} else {
				assert.Equal(t, result.Code(r.errorData(t).Code), c.code, r.body)
				assert.Equal(t, r.errorData(t).Effects, c.effects)
			}
			assert.Equal(t, len(b.filer.runs()), 1)
		})
	}
}

// TestTakeoverOfRequestThatNeverRan guards against a request whose attempts were all
// refused being run again without its body by the entry that takes it over.
func TestTakeoverOfRequestThatNeverRan(t *testing.T) {
	b := startTestBench(t)
	other := b.startSecondEntry()
	b.encoder.acceptThen(0, staySilent)
	s := b.openCall("draft")
	waitFor(t, func() bool { return len(b.encoder.runs()) == 1 })
	b.crash()
	b.encoder.setFoundAttempts(newFoundAttempt(s.id, 0, 1, "draft", wire.AttemptState_ATTEMPT_STATE_NOT_RUN))
	r := other.do(other.newAnswerRequest(s.id, 0))
	assert.Equal(t, result.Code(r.errorData(t).Code), result.EntryLost, r.body)
	assert.Equal(t, len(b.encoder.runs()), 1, "the request was run again without its body")
}

func TestStreamContinuesAfterEntryCrash(t *testing.T) {
	b := startTestBench(t)
	other := b.startSecondEntry()
	b.engine.pauseAfterFirstChunk()
	s := b.openCall("ask")
	s.readUntil("chunk")
	b.crash()
	b.engine.resumeOnAttach("generate")
	b.engine.setFoundAttempts(newFoundAttempt(s.id, 0, 1, "ask", wire.AttemptState_ATTEMPT_STATE_RUNNING))
	rest := other.openStream(other.newAnswerRequest(s.id, s.seq))
	rest.readUntil("done")
	assert.Equal(t, s.text.String()+rest.text.String(), draftAnswer["generate"])
	assert.Equal(t, len(b.engine.runs()), 1)
}

func TestRequestOfOtherCustomerRefused(t *testing.T) {
	b := startTestBench(t)
	other := b.startSecondEntry()
	id := b.call("ask").header.Get("Request-Id")
	for _, bench := range []*testBench{b, other} {
		req := bench.newAnswerRequest(id, 0)
		req.Header.Set("Customer", "other")
		req.Header.Set("Customer-Key", "other-key")
		r := bench.do(req)
		assert.Equal(t, result.Code(r.errorData(t).Code), result.NotYourRequest)
		req = bench.newRequest("DELETE", "/v1/requests/"+id, "")
		req.Header.Set("Customer", "other")
		req.Header.Set("Customer-Key", "other-key")
		assert.Equal(t, result.Code(bench.do(req).errorData(t).Code), result.NotYourRequest)
	}
}

// TestDrainFinishesOpenStreams checks that a draining entry reports not ready,
// refuses new requests and completes the open ones.
func TestDrainFinishesOpenStreams(t *testing.T) {
	b := startTestBench(t)
	resume := b.engine.pauseAfterFirstChunk()
	s := b.openCall("ask")
	s.readUntil("chunk")
	b.stop()
	ready := func() int {
		req, err := http.NewRequestWithContext(context.Background(), "GET", "http://"+b.p.opts.Settings.Listen.Admin+"/readyz", nil)
		assert.NilError(t, err)
		res, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		_ = res.Body.Close()
		return res.StatusCode
	}
	waitFor(t, func() bool { return ready() == http.StatusServiceUnavailable })
	waitFor(t, func() bool {
		return result.Code(b.call("ask", "Request-Timeout", "1").errorData(t).Code) == result.EntryDraining
	})
	resume()
	s.readUntil("done")
	assert.Equal(t, s.text.String(), draftAnswer["generate"])
}

// TestDrainFinishesRelayedStreams checks that a draining entry completes a stream
// that it relays from another entry.
func TestDrainFinishesRelayedStreams(t *testing.T) {
	b := startTestBench(t)
	other := b.startSecondEntry()
	resume := b.engine.pauseAfterFirstChunk()
	s := b.openCall("ask")
	s.readUntil("chunk")
	rest := other.openStream(other.newAnswerRequest(s.id, s.seq))
	other.stop()
	waitFor(t, func() bool { return !other.p.Ready() && other.p.table.drainRefusal() != nil })
	// Wait longer than an exiting process waits for its idle connections.
	time.Sleep(closeTimeout + closeTimeout/5)
	resume()
	rest.readUntil("done")
	assert.Equal(t, s.text.String()+rest.text.String(), draftAnswer["generate"])
}

func TestCancelAfterEntryCrash(t *testing.T) {
	b := startTestBench(t)
	other := b.startSecondEntry()
	b.engine.pauseAfterFirstChunk()
	s := b.openCall("ask")
	s.readUntil("chunk")
	b.crash()
	b.engine.mu.Lock()
	b.engine.attachFunc = func(_ *wire.AttachRequest, out wire.DRPCAgent_AttachStream) error {
		_ = b.engine.accept(out)
		return waitClosed(out.Context())
	}
	b.engine.mu.Unlock()
	b.engine.setFoundAttempts(newFoundAttempt(s.id, 0, 1, "ask", wire.AttemptState_ATTEMPT_STATE_RUNNING))
	assert.Equal(t, other.do(other.newRequest("DELETE", "/v1/requests/"+s.id, "")).status, http.StatusNoContent)
	waitFor(t, func() bool { return b.engine.cancelCount() == 1 })
}

// TestRequestKeepsItsConfiguration checks that a request in flight keeps the schema
// with which it was admitted.
func TestRequestKeepsItsConfiguration(t *testing.T) {
	b := startTestBench(t)
	resume := b.engine.pauseAfterFirstChunk()
	s := b.openCall("draft")
	s.readUntil("chunk")
	nextSnapshot := *b.source.Current()
	changedSchema := parseSchema(t)
	changedSchema.Pipelines[1].Stages = changedSchema.Pipelines[1].Stages[:2]
	nextSnapshot.Offset, nextSnapshot.Schema = 2, changedSchema
	b.source.set(&nextSnapshot)
	resume()
	s.readUntil("done")
	assert.Equal(t, s.text.String(), draftAnswer["generate"]+draftAnswer["file"])
	for _, run := range b.filer.runs() {
		assert.Equal(t, run.ConfigOffset, uint64(1))
	}
	assert.DeepEqual(t, b.call("draft").answer(t), map[string]string{"generate": draftAnswer["generate"]})
}
