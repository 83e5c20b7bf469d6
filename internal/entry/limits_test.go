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

// withLimits changes the settings of the table, which are read with its lock.
func (b *bench) withLimits(change func(l *settings.EntryLimits)) {
	b.p.table.mu.Lock()
	defer b.p.table.mu.Unlock()
	change(&b.p.table.limits)
}

func TestRequestsInFlightAreBounded(t *testing.T) {
	b := startBench(t)
	b.withLimits(func(l *settings.EntryLimits) { l.MaxRequests = 1 })
	open := b.engine.gate()
	s := b.open("ask")
	s.until("chunk")
	r := b.call("ask")
	assert.Equal(t, result.Code(r.err(t).Code), result.Overloaded)
	assert.Equal(t, r.err(t).Effects, "no")
	assert.Equal(t, r.header.Get("Retry-After"), "1")
	open()
	s.until("done")
	assert.Equal(t, b.call("ask").status, http.StatusOK)
}

func TestAnswersAreKeptWithinTheBounds(t *testing.T) {
	b := startBench(t)
	first := b.call("ask").header.Get("Request-Id")
	assert.Equal(t, b.do(b.get(first, 0)).status, http.StatusOK)
	b.withLimits(func(l *settings.EntryLimits) { l.AnswerMemoryBytes = 130 })
	r := b.call("ask")
	assert.Equal(t, r.status, http.StatusOK, "the old answer makes room: %s", r.body)
	assert.Equal(t, result.Code(b.do(b.get(first, 0)).err(t).Code), result.UnknownRequest)
	open := b.engine.gate()
	s := b.open("ask")
	s.until("chunk")
	r = b.call("ask")
	assert.Equal(t, result.Code(r.err(t).Code), result.ResultsFull)
	open()
	s.until("done")
}

func TestAnswersExpire(t *testing.T) {
	b := startBench(t)
	b.withLimits(func(l *settings.EntryLimits) { l.AnswerRetention = 0 })
	first := b.call("ask").header.Get("Request-Id")
	assert.Equal(t, b.call("ask").status, http.StatusOK)
	assert.Equal(t, result.Code(b.do(b.get(first, 0)).err(t).Code), result.UnknownRequest)
	waitFor(t, func() bool { return b.p.table.bytes.Load() == 0 })
}

func TestAnswerOverTheCallsLimit(t *testing.T) {
	b := startBench(t)
	b.engine.run = func(_ *wire.RunRequest, out wire.DRPCAgent_RunStream) error {
		if err := b.engine.accept(out); err != nil {
			return err
		}
		return b.engine.sendFrom(out, 1, []string{strings.Repeat("x", 65)})
	}
	r := b.call("ask")
	assert.Equal(t, result.Code(r.err(t).Code), result.StreamTooLong)
	assert.Equal(t, r.err(t).Effects, "no")
}

func TestWriteCutListsRequests(t *testing.T) {
	b := startBench(t)
	open := b.engine.gate()
	s := b.open("ask")
	s.until("chunk")
	var out bytes.Buffer
	b.p.WriteCut(&out)
	assert.Equal(t, out.String(), "cut request "+s.id+" of customer acme in stage generate\n")
	open()
	s.until("done")
	out.Reset()
	b.p.WriteCut(&out)
	assert.Equal(t, out.String(), "")
}

// referring answers with a reference to its result.
func (a *fakeAgent) referring() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.run = func(req *wire.RunRequest, out wire.DRPCAgent_RunStream) error {
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
	b := startBench(t)
	b.encoder.referring()
	assert.DeepEqual(t, b.call("draft").answer(t), wholeDraft)
	run := b.engine.runs()[0]
	assert.Equal(t, len(run.Payload), 0)
	assert.Equal(t, run.Ref.Address, b.encoder.addr)
	assert.Equal(t, run.Ref.SizeBytes, uint64(1<<20))
	assert.Equal(t, b.encoder.runs()[0].KeepOverBytes, uint64(b.source.Current().Schema.Limits.ReferenceThresholdBytes))
	assert.Equal(t, b.filer.runs()[0].KeepOverBytes, uint64(0))
}

func TestLostReferenceIsMadeAgain(t *testing.T) {
	b := startBench(t)
	b.encoder.referring()
	var once sync.Once
	b.engine.run = func(req *wire.RunRequest, out wire.DRPCAgent_RunStream) error {
		lost := false
		once.Do(func() { lost = true })
		if lost {
			return out.Send(&wire.RunEvent{Event: &wire.RunEvent_Failed{Failed: &wire.Failed{Code: uint32(result.PayloadLost), Ran: wire.Ran_RAN_NO}}})
		}
		return b.engine.complete(req, out)
	}
	assert.DeepEqual(t, b.call("draft").answer(t), wholeDraft)
	assert.Equal(t, len(b.encoder.runs()), 2)
	assert.Equal(t, len(b.filer.runs()), 1)
}

// TestObserversSeeEveryRequest checks the event of a request that ended and of one
// that was refused.
func TestObserversSeeEveryRequest(t *testing.T) {
	b := startBench(t)
	seen := make(chan Finished, 2)
	b.p.opts.Observers = append(b.p.opts.Observers, observerFunc(func(f *Finished) { seen <- *f }))
	b.call("draft")
	f := <-seen
	assert.Equal(t, f.Code, result.OK)
	assert.Equal(t, f.Customer, "acme")
	assert.Equal(t, len(f.Stages), 3)
	assert.Equal(t, f.Stages[1].Tokens, 3)
	assert.Equal(t, f.Stages[1].Server, "engine-1")
	assert.Equal(t, len(f.Gaps), 5)
	assert.Assert(t, f.FirstChunk > 0 && f.FirstChunk <= f.Took)
	assert.Equal(t, f.Deadline, 3*time.Second)
	b.withLimits(func(l *settings.EntryLimits) { l.MaxRequests = 0 })
	b.call("draft")
	f = <-seen
	assert.Equal(t, f.Code, result.Overloaded)
	assert.Equal(t, f.ID, "")
}

type observerFunc func(*Finished)

func (f observerFunc) Finished(x *Finished) { f(x) }
