package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

const (
	targetServers = 2700
	targetModels  = 35
)

// BenchmarkPick picks among 2,700 servers with 35 models and records the start and
// outcome of each attempt.
func BenchmarkPick(b *testing.B) {
	for _, prefix := range []bool{false, true} {
		b.Run(fmt.Sprintf("prefix=%v", prefix), func(b *testing.B) {
			list := makeServers(targetServers, 5)
			models := make([]string, targetModels)
			for i := range models {
				models[i] = fmt.Sprintf("model-%02d", i)
			}
			r := New(Options{Policy: LeastFinish, Zone: "r0-z0", Region: "r0", Seed: 1, CacheHints: emptyCacheHints{}})
			r.SetServers(epoch, list)
			for i, s := range list {
				r.Observe(epoch, s.ID, Load{
					Running: i % 7, Queued: i % 3, Limit: 8, QueueWait: time.Duration(i%50) * ms,
					ServiceTime: 200 * ms, Models: models[i%targetModels : i%targetModels+1],
				})
			}
			queries := make([]Query, targetModels)
			for i := range queries {
				queries[i] = Query{Model: models[i], InputBytes: 4096}
				if prefix {
					queries[i].PrefixHash = uint64(i) + 1
				}
				r.Pick(epoch, &queries[i])
			}
			now := epoch
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(100 * time.Microsecond)
				s, ok := r.Pick(now, &queries[i%targetModels])
				if !ok {
					b.Fatal("no server")
				}
				r.Start(now, s.ID)
				r.End(now, s.ID, Outcome{Code: result.OK, Elapsed: ms})
			}
		})
	}
}
