package agent

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/ledger"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

// instantServer answers plain calls and generations at once.
func instantServer(b *testing.B, tokens int) string {
	var stream strings.Builder
	for i := 1; i <= tokens; i++ {
		_, _ = fmt.Fprintf(&stream, "id: %d\ndata: {\"text\":\"0123456789abcdef\",\"tokens\":1}\n\n", i)
	}
	_, _ = fmt.Fprintf(&stream, "event: done\nid: %d\ndata: {}\n\n", tokens+1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/v1/generate") {
			_, _ = w.Write([]byte(stream.String()))
			return
		}
		_, _ = w.Write([]byte("result"))
	}))
	b.Cleanup(srv.Close)
	return srv.URL
}

func benchmarkRun(b *testing.B, url string, request func(*fixture, int) *wire.RunRequest) {
	f := start(b, testSettings(b, "a", url))
	b.ReportAllocs()
	b.ResetTimer()
	for i := 0; b.Loop(); i++ {
		req := request(f, i)
		stream, err := f.client.Run(context.Background(), req)
		assert.NilError(b, err)
		for {
			ev, err := stream.Recv()
			assert.NilError(b, err)
			if ev.GetDone() != nil {
				break
			}
			assert.Assert(b, ev.GetRefused() == nil && ev.GetFailed() == nil, "%v", ev)
		}
		_ = stream.Close()
		f.ack(b, req)
	}
}

func BenchmarkRunPlain(b *testing.B) {
	benchmarkRun(b, instantServer(b, 0), func(f *fixture, i int) *wire.RunRequest { return f.runRequest(fmt.Sprint("e~", i)) })
}

// BenchmarkRunGeneration runs generations of 1000 tokens, with both ends of the
// connection and the engine in one process.
func BenchmarkRunGeneration(b *testing.B) {
	benchmarkRun(b, instantServer(b, 1000), func(f *fixture, i int) *wire.RunRequest { return f.generateRequest(fmt.Sprint("e~", i), 1000) })
}

func BenchmarkRunKeyed(b *testing.B) {
	srv := instantServer(b, 0)
	f := startWith(b, testSettings(b, "a", srv), newFakeLog(), noConfig{})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		req := f.filing(fmt.Sprint("e~", i), newKey(b))
		assert.Assert(b, f.run(b, req).done != nil)
		f.ack(b, req)
	}
}

// BenchmarkKeptMemory reports the heap that one kept result and one remembered
// attempt take beside the bytes of the result.
func BenchmarkKeptMemory(b *testing.B) {
	const results = 20000
	measure := func(ack bool) float64 {
		l := ledger.New(ledger.Options{KeptBytes: 1 << 40, Retention: time.Hour, TombstoneRetention: time.Hour, ReplayRetention: time.Hour, MaxRemembered: 1 << 30})
		now := time.Now()
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range results {
			id := ledger.ID{Request: fmt.Sprintf("entry-1~abcdefgh.%08d", i), Attempt: 1}
			l.Accept(now, id, ledger.Job{Deadline: now.Add(time.Hour), Idempotent: true, Reserve: reserveBytes})
			l.Begin(now, id)
			l.Append(now, id, ledger.Chunk{Data: make([]byte, 1024)})
			l.Finish(now, id, ledger.Outcome{})
			if ack {
				l.Ack(now, id)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(l)
		return float64(after.HeapAlloc-before.HeapAlloc) / results
	}
	for b.Loop() {
		b.ReportMetric(measure(false)-1024, "B/kept-beside-1024")
		b.ReportMetric(measure(true), "B/remembered")
	}
}
