package pipeline

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliawheel/magnoliawheel/core/retry"
	"github.com/magnoliawheel/magnoliawheel/core/schema"
)

// stubDecider places every attempt on one server and allows no retries or hedges.
type stubDecider struct{}

func (stubDecider) Place(time.Time, *PlacementQuery) (Server, bool)             { return Server{ID: "s"}, true }
func (stubDecider) RecordRequest(time.Time)                                     {}
func (stubDecider) Retry(time.Time, *retry.FailedAttempt) (time.Duration, bool) { return 0, false }
func (stubDecider) AllowHedge(time.Time) bool                                   { return false }
func (stubDecider) HedgeDelay(time.Time, *schema.Stage, time.Duration) (time.Duration, bool) {
	return 0, false
}

func newBenchPipeline() *schema.Pipeline {
	return &schema.Pipeline{Name: "p", Stages: []schema.Stage{
		{Name: "encode", Pool: "p", Idempotent: true},
		{Name: "retrieve", Pool: "p", Idempotent: true},
		{Name: "rerank", Pool: "p", Idempotent: true},
		{Name: "generate", Pool: "p", Idempotent: true, InAnswer: true},
		{Name: "file", Pool: "p", InAnswer: true},
	}}
}

// BenchmarkRequest runs a request with five stages and one chunk per stage.
func BenchmarkRequest(b *testing.B) {
	data := []byte("result")
	sum := xxhash.Sum64(data)
	b.ReportAllocs()
	for b.Loop() {
		m := New(Options{RequestID: "r", Pipeline: newBenchPipeline(), Body: data, Deadline: epoch.Add(time.Second), Streaming: true, Decider: stubDecider{}})
		m.Step(epoch, Start{})
		for st := range uint32(5) {
			id := Attempt{Stage: st, Number: 1}
			m.Step(epoch, Accepted{Attempt: id})
			m.Step(epoch, Chunk{Attempt: id, Seq: 1, Data: data})
			m.Step(epoch, Done{Attempt: id, ChunkCount: 1, Checksum: sum})
		}
		m.Step(epoch, Delivered{})
		if !m.Ended() {
			b.Fatal("the request did not end")
		}
	}
}

// BenchmarkChunk processes one chunk of a streaming answer of 400 chunks.
func BenchmarkChunk(b *testing.B) {
	const chunks = 400
	pl := &schema.Pipeline{Stages: []schema.Stage{{Name: "generate", Idempotent: true, InAnswer: true}}}
	data := []byte(" token")
	var m *Machine
	b.ReportAllocs()
	seq := uint64(chunks)
	for b.Loop() {
		if seq == chunks {
			m = New(Options{RequestID: "r", Pipeline: pl, Deadline: epoch.Add(time.Second), Streaming: true, Decider: stubDecider{}})
			m.Step(epoch, Start{})
			seq = 0
		}
		seq++
		if len(m.Step(epoch, Chunk{Attempt: Attempt{Number: 1}, Seq: seq, Data: data, Tokens: 1})) == 0 {
			b.Fatal("nothing was emitted")
		}
	}
}
