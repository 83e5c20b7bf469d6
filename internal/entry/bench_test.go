package entry

import (
	"bufio"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/pipeline"
	"github.com/magnoliawheel/magnoliawheel/core/schema"
	"github.com/magnoliawheel/magnoliawheel/internal/callerapi"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

// liftAnswerLimits raises the answer size and the deadline of the call "ask" to the
// schema's maximum.
func (b *testBench) liftAnswerLimits() {
	snap := *b.source.Current()
	s := parseSchema(b.t)
	s.Call("ask").MaxAnswerBytes = schema.MaxAnswerBytes
	s.Call("ask").Deadline = schema.Duration(schema.MaxDeadline)
	snap.Schema = s
	b.source.set(&snap)
}

// BenchmarkChunkInEntry processes one chunk from the agent's message to the caller's
// record, without a network. A new request is started after every chunksPerRequest
// chunks, because real answers are short.
func BenchmarkChunkInEntry(b *testing.B) {
	const chunksPerRequest = 400
	bench := startTestBench(b)
	bench.engine.acceptThen(0, staySilent)
	snap := bench.source.Current()
	newStream := func() (*request, *stream) {
		r := bench.p.newRequest(newRequestID("entry-1"), &callerapi.Request{
			Snapshot: snap, Call: &schema.Call{MaxAnswerBytes: schema.MaxAnswerBytes}, Pipeline: snap.Schema.Pipeline("ask"),
			Customer: snap.Schema.Customer("acme"), Received: time.Now(), Timeout: time.Hour, Streaming: true,
		}, nil)
		r.mu.Lock()
		s := r.newStream(time.Now(), pipeline.Attempt{Number: 1}, pipelineServer(bench.engine.server()))
		r.machine.Step(time.Now(), pipeline.Start{})
		r.mu.Unlock()
		return r, s
	}
	ev := &wire.RunEvent{Event: &wire.RunEvent_Chunk{Chunk: &wire.Chunk{Data: []byte(" token"), Tokens: 1}}}
	r, s := newStream()
	seq := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		if seq == chunksPerRequest {
			r.discard()
			r, s = newStream()
			seq = 0
		}
		seq++
		ev.GetChunk().Seq = seq
		s.handleEvent(0, ev)
	}
	r.discard()
}

// BenchmarkChunkThroughEntry streams chunks from a fake agent over the network to a
// caller. The result includes the cost of the agent and the caller.
func BenchmarkChunkThroughEntry(b *testing.B) {
	bench := startTestBench(b)
	bench.liftAnswerLimits()
	n := b.N
	chunk := " token"
	bench.engine.runFunc = func(_ *wire.RunRequest, out wire.DRPCAgent_RunStream) error {
		if err := bench.engine.accept(out); err != nil {
			return err
		}
		h := xxhash.New()
		for i := range n {
			_, _ = h.WriteString(chunk)
			if err := sendChunk(out, uint64(i+1), chunk); err != nil {
				return err
			}
		}
		return out.Send(&wire.RunEvent{Event: &wire.RunEvent_Done{Done: &wire.Done{Count: uint64(n), Checksum: h.Sum64()}}})
	}
	req := bench.newRequest("POST", "/v1/calls/ask", `{"q":1}`, "Accept", "text/event-stream")
	b.ReportAllocs()
	b.ResetTimer()
	res, err := http.DefaultClient.Do(req)
	assert.NilError(b, err)
	defer func() { _ = res.Body.Close() }()
	lastEvent := ""
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "event: ") {
			lastEvent = lines.Text()
		}
	}
	b.StopTimer()
	assert.Equal(b, lastEvent, "event: done")
}

// BenchmarkRequestThroughEntry runs whole requests of three stages through the
// entry, at least four at a time. The result includes the cost of the agents and the
// callers.
func BenchmarkRequestThroughEntry(b *testing.B) {
	bench := startTestBench(b)
	b.ReportAllocs()
	b.SetParallelism(max(1, 4/runtime.GOMAXPROCS(0)))
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			res, err := http.DefaultClient.Do(bench.newRequest("POST", "/v1/calls/draft", `{"q":1}`))
			if err != nil {
				b.Error(err)
				return
			}
			if res.StatusCode != http.StatusOK {
				body, _ := io.ReadAll(res.Body)
				b.Errorf("status %d: %s", res.StatusCode, body)
			}
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
		}
	})
}
