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

// gate lets an agent go on after its first chunk.
func (a *fakeAgent) gate() (open func()) {
	opened := make(chan struct{})
	a.mu.Lock()
	defer a.mu.Unlock()
	a.run = func(req *wire.RunRequest, out wire.DRPCAgent_RunStream) error {
		if err := a.accept(out); err != nil {
			return err
		}
		chunks := chunksOf(req.Stage)
		if err := sendChunk(out, 1, chunks[0]); err != nil {
			return err
		}
		if err := a.heartbeatUntil(out, opened); err != nil {
			return err
		}
		return a.sendFrom(out, 2, chunks)
	}
	return func() { close(opened) }
}

func (b *bench) get(id string, lastEventID uint64) *http.Request {
	req := b.request("GET", "/v1/requests/"+id, "")
	if lastEventID > 0 {
		req.Header.Set("Last-Event-ID", strconv.FormatUint(lastEventID, 10))
	}
	return req
}

// second starts another entry before the same agents.
func (b *bench) second() *bench {
	b.t.Helper()
	c := &bench{t: b.t, encoder: b.encoder, engine: b.engine, filer: b.filer, source: b.source, view: b.view}
	c.start("entry-2")
	b.view.mu.Lock()
	defer b.view.mu.Unlock()
	b.view.entries = []membership.Instance{
		{ID: "entry-1", Role: membership.RoleEntry, Addr: b.p.opts.Settings.Listen.Peers},
		{ID: "entry-2", Role: membership.RoleEntry, Addr: c.p.opts.Settings.Listen.Peers},
	}
	return c
}

// finishElsewhere cuts a stream after its first chunk and reads the rest with b.
func finishElsewhere(t *testing.T, s *callerStream, b *bench, open func()) {
	t.Helper()
	s.until("chunk")
	s.close()
	again := b.read(b.get(s.id, s.seq))
	open()
	done := again.until("done")
	assert.Equal(t, s.texts.String()+again.texts.String(), wholeDraft["generate"])
	assert.Equal(t, done.field("chunks"), float64(3))
}

func TestReattachAtTheSameEntry(t *testing.T) {
	b := startBench(t)
	open := b.engine.gate()
	finishElsewhere(t, b.open("ask"), b, open)
	assert.Equal(t, len(b.engine.runs()), 1)
}

func TestReattachThroughAnotherEntry(t *testing.T) {
	b := startBench(t)
	other := b.second()
	open := b.engine.gate()
	finishElsewhere(t, b.open("ask"), other, open)
	assert.Equal(t, len(b.engine.runs()), 1)
}

func TestWholeAnswerThroughAnotherEntry(t *testing.T) {
	b := startBench(t)
	other := b.second()
	first := b.call("draft")
	again := other.do(other.get(first.header.Get("Request-Id"), 0))
	assert.Equal(t, again.body, first.body)
	assert.Equal(t, len(b.filer.runs()), 1)
}

func TestCancelThroughAnotherEntry(t *testing.T) {
	b := startBench(t)
	other := b.second()
	b.filer.acceptThen(0, silence)
	b.filer.onCancel(wire.AttemptState_ATTEMPT_STATE_NOT_RUN)
	s := b.open("draft")
	s.until("chunk")
	assert.Equal(t, other.do(other.request("DELETE", "/v1/requests/"+s.id, "")).status, http.StatusNoContent)
	assert.Equal(t, s.until("error").field("effects"), "no")
}

// kill ends the entry as a crash would: at once, with all its connections.
func (b *bench) kill() {
	b.p.stop()
	b.stop()
	b.done <- <-b.done
}

func found(id string, stage, attempt uint32, pipeline string, state wire.AttemptState) *wire.FoundAttempt {
	return &wire.FoundAttempt{
		Attempt: &wire.AttemptID{RequestId: id, Stage: stage, Attempt: attempt}, State: state,
		Incarnation: 7, Customer: "acme", Pipeline: pipeline, BudgetUs: 2_000_000, Stage: stageOf(pipeline, stage),
	}
}

// stageOf returns the name of a stage of the test schema's pipelines.
func stageOf(pipeline string, stage uint32) string {
	names := map[string][]string{"draft": {"encode", "generate", "file"}, "ask": {"generate"}}[pipeline]
	if int(stage) < len(names) {
		return names[stage]
	}
	return ""
}

func (a *fakeAgent) knows(f ...*wire.FoundAttempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.found = f
}

func TestTakeoverRefusesAPipelineThatChanged(t *testing.T) {
	b := startBench(t)
	other := b.second()
	b.filer.acceptThen(0, silence)
	s := b.open("draft")
	waitFor(t, func() bool { return len(b.filer.runs()) == 1 })
	b.kill()
	f := found(s.id, 1, 1, "draft", wire.AttemptState_ATTEMPT_STATE_FINISHED)
	f.Stage = "rerank"
	b.engine.knows(f)
	r := other.do(other.get(s.id, 0))
	assert.Equal(t, result.Code(r.err(t).Code), result.EntryLost, r.body)
	assert.Equal(t, r.err(t).Effects, "unknown")
	assert.Equal(t, len(b.filer.runs()), 1)
}

func TestAnotherEntryTakesOver(t *testing.T) {
	const finished, running = wire.AttemptState_ATTEMPT_STATE_FINISHED, wire.AttemptState_ATTEMPT_STATE_RUNNING
	cases := []struct {
		name string
		// stages is how many stages agents know.
		stages  int
		code    result.Code
		effects string
	}{
		{"every result is kept", 3, result.OK, ""},
		{"nobody knows whether the last stage ran", 2, result.EntryLost, "unknown"},
		{"nobody knows the request", 0, result.UnknownRequest, "unknown"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := startBench(t)
			other := b.second()
			b.filer.acceptThen(0, silence)
			s := b.open("draft")
			waitFor(t, func() bool { return len(b.filer.runs()) == 1 })
			b.kill()
			for i, a := range []*fakeAgent{b.encoder, b.engine, b.filer}[:c.stages] {
				a.resume([]string{"encode", "generate", "file"}[i])
				state := finished
				if i == 2 {
					state = running
				}
				a.knows(found(s.id, uint32(i), 1, "draft", state))
			}
			r := other.do(other.get(s.id, 0))
			if c.code == result.OK {
				assert.DeepEqual(t, r.answer(t), wholeDraft)
			} else {
				assert.Equal(t, result.Code(r.err(t).Code), c.code, r.body)
				assert.Equal(t, r.err(t).Effects, c.effects)
			}
			assert.Equal(t, len(b.filer.runs()), 1)
		})
	}
}

func TestStreamGoesOnAfterItsEntryDied(t *testing.T) {
	b := startBench(t)
	other := b.second()
	b.engine.gate()
	s := b.open("ask")
	s.until("chunk")
	b.kill()
	b.engine.resume("generate")
	b.engine.knows(found(s.id, 0, 1, "ask", wire.AttemptState_ATTEMPT_STATE_RUNNING))
	again := other.read(other.get(s.id, s.seq))
	again.until("done")
	assert.Equal(t, s.texts.String()+again.texts.String(), wholeDraft["generate"])
	assert.Equal(t, len(b.engine.runs()), 1)
}

func TestRequestOfAnotherCustomerIsNotGiven(t *testing.T) {
	b := startBench(t)
	other := b.second()
	id := b.call("ask").header.Get("Request-Id")
	for _, at := range []*bench{b, other} {
		req := at.get(id, 0)
		req.Header.Set("Customer", "other")
		req.Header.Set("Customer-Key", "other-key")
		r := at.do(req)
		assert.Equal(t, result.Code(r.err(t).Code), result.NotYourRequest)
		req = at.request("DELETE", "/v1/requests/"+id, "")
		req.Header.Set("Customer", "other")
		req.Header.Set("Customer-Key", "other-key")
		assert.Equal(t, result.Code(at.do(req).err(t).Code), result.NotYourRequest)
	}
}

func TestDrainCutsNothing(t *testing.T) {
	b := startBench(t)
	open := b.engine.gate()
	s := b.open("ask")
	s.until("chunk")
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
		return result.Code(b.call("ask", "Request-Timeout", "1").err(t).Code) == result.EntryDraining
	})
	open()
	s.until("done")
	assert.Equal(t, s.texts.String(), wholeDraft["generate"])
}

func TestDrainCutsNoRelayedStream(t *testing.T) {
	b := startBench(t)
	other := b.second()
	open := b.engine.gate()
	s := b.open("ask")
	s.until("chunk")
	again := other.read(other.get(s.id, s.seq))
	other.stop()
	waitFor(t, func() bool { return !other.p.Ready() && other.p.table.refusal() != nil })
	// Longer than a process that exits waits for idle connections.
	time.Sleep(closeWait + closeWait/5)
	open()
	again.until("done")
	assert.Equal(t, s.texts.String()+again.texts.String(), wholeDraft["generate"])
}

func TestCancelAfterItsEntryDied(t *testing.T) {
	b := startBench(t)
	other := b.second()
	b.engine.gate()
	s := b.open("ask")
	s.until("chunk")
	b.kill()
	b.engine.mu.Lock()
	b.engine.attach = func(_ *wire.AttachRequest, out wire.DRPCAgent_AttachStream) error {
		_ = b.engine.accept(out)
		return hang(out.Context())
	}
	b.engine.mu.Unlock()
	b.engine.knows(found(s.id, 0, 1, "ask", wire.AttemptState_ATTEMPT_STATE_RUNNING))
	assert.Equal(t, other.do(other.request("DELETE", "/v1/requests/"+s.id, "")).status, http.StatusNoContent)
	waitFor(t, func() bool { return b.engine.cancels() == 1 })
}

func TestRequestKeepsItsConfiguration(t *testing.T) {
	b := startBench(t)
	open := b.engine.gate()
	s := b.open("draft")
	s.until("chunk")
	next := *b.source.Current()
	changed := parseSchema(t)
	changed.Pipelines[1].Stages = changed.Pipelines[1].Stages[:2]
	next.Offset, next.Schema = 2, changed
	b.source.set(&next)
	open()
	s.until("done")
	assert.Equal(t, s.texts.String(), wholeDraft["generate"]+wholeDraft["file"])
	for _, run := range b.filer.runs() {
		assert.Equal(t, run.ConfigOffset, uint64(1))
	}
	assert.DeepEqual(t, b.call("draft").answer(t), map[string]string{"generate": wholeDraft["generate"]})
}
