package agent

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/ledger"
	"github.com/magnoliawheel/magnoliawheel/internal/platform"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
	"github.com/magnoliawheel/magnoliawheel/test/standin"
	"github.com/magnoliawheel/magnoliawheel/test/standin/platformlog"
)

// startInstantServer starts a server that answers calls and generations without
// delay.
func startInstantServer(b *testing.B, tokens int) string {
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
	f := startAgent(b, testSettings(b, "a", url))
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
	benchmarkRun(b, startInstantServer(b, 0), func(f *fixture, i int) *wire.RunRequest { return f.runRequest(fmt.Sprint("e~", i)) })
}

// BenchmarkRunGeneration runs generations of 1000 tokens. The client, the agent
// and the engine share one process.
func BenchmarkRunGeneration(b *testing.B) {
	benchmarkRun(b, startInstantServer(b, 1000), func(f *fixture, i int) *wire.RunRequest { return f.generateRequest(fmt.Sprint("e~", i), 1000) })
}

func BenchmarkRunKeyed(b *testing.B) {
	srv := startInstantServer(b, 0)
	f := startAgentWith(b, testSettings(b, "a", srv), newFakeLog(), emptyConfig{})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		req := f.keyedRequest(fmt.Sprint("e~", i), newKey(b))
		assert.Assert(b, f.run(b, req).done != nil)
		f.ack(b, req)
	}
}

// countingLog counts appends and the bytes of their records.
type countingLog struct {
	platform.Log
	appends, bytes atomic.Int64
}

func (l *countingLog) Append(ctx context.Context, stream string, records ...[]byte) (uint64, error) {
	l.appends.Add(1)
	for _, r := range records {
		l.bytes.Add(int64(len(r)))
	}
	return l.Log.Append(ctx, stream, records...)
}

// BenchmarkNonIdempotentCalls runs calls with and without a key, one at a time
// and 64 in parallel. Each request to the log takes 5 ms.
func BenchmarkNonIdempotentCalls(b *testing.B) {
	srv, err := platformlog.Start("127.0.0.1:0", platformlog.Config{Faults: standin.Faults{DelayMS: 5}})
	assert.NilError(b, err)
	defer func() { _ = srv.Close() }()
	url := startInstantServer(b, 0)
	for _, keyed := range []bool{false, true} {
		for _, parallel := range []int{1, 64} {
			b.Run(fmt.Sprintf("keyed=%t/parallel=%d", keyed, parallel), func(b *testing.B) {
				log := &countingLog{Log: platform.NewHTTPLog("http://" + srv.Addr())}
				f := startAgentWith(b, testSettings(b, "a", url), log, emptyConfig{})
				f.worker.limiter.SetMax(64)
				var n atomic.Int64
				b.SetParallelism(max(1, parallel/runtime.GOMAXPROCS(0)))
				runCall := func() {
					req := f.keyedRequest(fmt.Sprint("e~", n.Add(1)), newKey(b))
					if !keyed {
						req.IdempotencyKey = ""
					}
					assert.Check(b, f.run(b, req).done != nil)
					f.ack(b, req)
				}
				b.ResetTimer()
				start := time.Now()
				if parallel == 1 {
					for range b.N {
						runCall()
					}
				} else {
					b.RunParallel(func(pb *testing.PB) {
						for pb.Next() {
							runCall()
						}
					})
				}
				b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "filings/s")
				b.ReportMetric(float64(log.appends.Load())/float64(b.N), "appends/filing")
				b.ReportMetric(float64(log.bytes.Load())/float64(b.N), "log-B/filing")
			})
		}
	}
}

// BenchmarkKeptMemory reports the heap memory of a kept result beyond its own
// 1024 bytes, and of an attempt whose result was acknowledged.
func BenchmarkKeptMemory(b *testing.B) {
	const results = 20000
	measure := func(ack bool) float64 {
		l := ledger.New(ledger.Options{MaxBytes: 1 << 40, ResultRetention: time.Hour, TombstoneRetention: time.Hour, ReplayRetention: time.Hour, MaxClosedAttempts: 1 << 30})
		now := time.Now()
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range results {
			id := ledger.ID{Request: fmt.Sprintf("entry-1~abcdefgh.%08d", i), Attempt: 1}
			l.Accept(now, id, ledger.Job{Deadline: now.Add(time.Hour), Idempotent: true, ReserveBytes: baseReserveBytes})
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
