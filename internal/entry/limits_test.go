package entry

import (
	"bytes"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
	"github.com/magnoliawheel/magnoliawheel/internal/settings"
)

// changeLimits changes the limits of the request table, which are read under its lock.
func (b *testBench) changeLimits(change func(l *settings.EntryLimits)) {
	b.p.table.mu.Lock()
	defer b.p.table.mu.Unlock()
	change(&b.p.table.limits)
}

func TestInFlightRequestsBounded(t *testing.T) {
	b := startTestBench(t)
	b.changeLimits(func(l *settings.EntryLimits) { l.MaxRequests = 1 })
	resume := b.engine.pauseAfterFirstChunk()
	s := b.openCall("ask")
	s.readUntil("chunk")
	r := b.call("ask")
	assert.Equal(t, result.Code(r.errorData(t).Code), result.Overloaded)
	assert.Equal(t, r.errorData(t).Effects, "no")
	assert.Equal(t, r.header.Get("Retry-After"), "1")
	resume()
	s.readUntil("done")
	// The entry counts the request until its handler has returned, after the last event.
	waitFor(t, func() bool { return b.call("ask").status == http.StatusOK })
}

// TestAnswerMemoryBound checks that the oldest answer is evicted when the memory for
// answers is full, and that a request is refused if no answer can be evicted.
func TestAnswerMemoryBound(t *testing.T) {
	b := startTestBench(t)
	first := b.call("ask").header.Get("Request-Id")
	assert.Equal(t, b.do(b.newAnswerRequest(first, 0)).status, http.StatusOK)
	b.changeLimits(func(l *settings.EntryLimits) { l.AnswerMemoryBytes = 130 })
	r := b.call("ask")
	assert.Equal(t, r.status, http.StatusOK, "the older answer was not evicted: %s", r.body)
	assert.Equal(t, result.Code(b.do(b.newAnswerRequest(first, 0)).errorData(t).Code), result.UnknownRequest)
	resume := b.engine.pauseAfterFirstChunk()
	s := b.openCall("ask")
	s.readUntil("chunk")
	r = b.call("ask")
	assert.Equal(t, result.Code(r.errorData(t).Code), result.ResultsFull)
	resume()
	s.readUntil("done")
}

func TestAnswersExpire(t *testing.T) {
	b := startTestBench(t)
	b.changeLimits(func(l *settings.EntryLimits) { l.AnswerRetention = 0 })
	first := b.call("ask").header.Get("Request-Id")
	assert.Equal(t, b.call("ask").status, http.StatusOK)
	assert.Equal(t, result.Code(b.do(b.newAnswerRequest(first, 0)).errorData(t).Code), result.UnknownRequest)
	waitFor(t, func() bool { return b.p.table.answerBytes.Load() == 0 })
}

func TestAnswerOverCallLimit(t *testing.T) {
	b := startTestBench(t)
	b.engine.runFunc = func(_ *wire.RunRequest, out wire.DRPCAgent_RunStream) error {
		if err := b.engine.accept(out); err != nil {
			return err
		}
		return b.engine.sendChunksFrom(out, 1, []string{strings.Repeat("x", 65)})
	}
	r := b.call("ask")
	assert.Equal(t, result.Code(r.errorData(t).Code), result.StreamTooLong)
	assert.Equal(t, r.errorData(t).Effects, "no")
}

func TestWriteCutListsRequests(t *testing.T) {
	b := startTestBench(t)
	resume := b.engine.pauseAfterFirstChunk()
	s := b.openCall("ask")
	s.readUntil("chunk")
	var out bytes.Buffer
	b.p.WriteCut(&out)
	assert.Equal(t, out.String(), "cut request "+s.id+" of customer acme in stage generate\n")
	resume()
	s.readUntil("done")
	out.Reset()
	b.p.WriteCut(&out)
	assert.Equal(t, out.String(), "")
}

// returnReference makes Run answer with a reference to its result.
func (a *fakeAgent) returnReference() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runFunc = func(req *wire.RunRequest, out wire.DRPCAgent_RunStream) error {
		if err := a.accept(out); err != nil {
			return err
		}
		return out.Send(&wire.RunEvent{Event: &wire.RunEvent_Done{Done: &wire.Done{Ref: &wire.PayloadRef{
			Attempt: req.Attempt, Instance: a.id, Address: a.addr, Incarnation: 7, SizeBytes: 1 << 20,
			Checksum: xxhash.Sum64String("large"), Zone: "z1", Region: "r1",
		}}}})
	}
}

func TestLargeResultsPassByReference(t *testing.T) {
	b := startTestBench(t)
	b.encoder.returnReference()
	assert.DeepEqual(t, b.call("draft").answer(t), draftAnswer)
	run := b.engine.runs()[0]
	assert.Equal(t, len(run.Payload), 0)
	assert.Equal(t, run.Ref.Address, b.encoder.addr)
	assert.Equal(t, run.Ref.SizeBytes, uint64(1<<20))
	assert.Equal(t, b.encoder.runs()[0].KeepOverBytes, uint64(b.source.Current().Schema.Limits.ReferenceThresholdBytes))
	assert.Equal(t, b.filer.runs()[0].KeepOverBytes, uint64(0))
}

func TestLostReferenceReproduced(t *testing.T) {
	b := startTestBench(t)
	b.encoder.returnReference()
	var once sync.Once
	b.engine.runFunc = func(req *wire.RunRequest, out wire.DRPCAgent_RunStream) error {
		lost := false
		once.Do(func() { lost = true })
		if lost {
			return out.Send(&wire.RunEvent{Event: &wire.RunEvent_Failed{Failed: &wire.Failed{Code: uint32(result.PayloadLost), Ran: wire.Ran_RAN_NO}}})
		}
		return b.engine.complete(req, out)
	}
	assert.DeepEqual(t, b.call("draft").answer(t), draftAnswer)
	assert.Equal(t, len(b.encoder.runs()), 2)
	assert.Equal(t, len(b.filer.runs()), 1)
}

// TestObserversSeeEveryRequest checks the values reported for a request that
// completed and for one that was refused.
func TestObserversSeeEveryRequest(t *testing.T) {
	b := startTestBench(t)
	finished := make(chan FinishedRequest, 2)
	b.p.opts.Observers = append(b.p.opts.Observers, observerFunc(func(f *FinishedRequest) { finished <- *f }))
	b.call("draft")
	f := <-finished
	assert.Equal(t, f.Code, result.OK)
	assert.Equal(t, f.Customer, "acme")
	assert.Equal(t, len(f.Stages), 3)
	assert.Equal(t, f.Stages[1].Tokens, 3)
	assert.Equal(t, f.Stages[1].Server, "engine-1")
	assert.Equal(t, len(f.ChunkGaps), 5)
	assert.Assert(t, f.TimeToFirstChunk > 0 && f.TimeToFirstChunk <= f.Elapsed)
	assert.Equal(t, f.Timeout, 3*time.Second)
	b.changeLimits(func(l *settings.EntryLimits) { l.MaxRequests = 0 })
	b.call("draft")
	f = <-finished
	assert.Equal(t, f.Code, result.Overloaded)
	assert.Equal(t, f.ID, "")
}

type observerFunc func(*FinishedRequest)

func (f observerFunc) RequestFinished(x *FinishedRequest) { f(x) }
