package staging

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/residency"
)

// BenchmarkQueuePieceWith60Servers measures queueing a piece and selecting a server for
// it, with 60 servers of which half have open calls.
func BenchmarkQueuePieceWith60Servers(b *testing.B) {
	s := New()
	var servers []Server
	for i := range 60 {
		servers = append(servers, Server{ID: fmt.Sprint("s", i), Zone: fmt.Sprint("z", i%6)})
	}
	s.SetPool("a", PoolSpec{Slots: 1, BatchSize: 10, CallOverhead: 100 * time.Millisecond, TimePerPiece: 10 * time.Millisecond, MemoryBytes: 1 << 40}, servers)
	now := time.Duration(0)
	for i := range 30 {
		s.Submit(now, Job{ID: fmt.Sprint("busy", i), Stages: []Stage{{Pool: "a", Pieces: 10}}, ObjectiveDeadline: time.Hour, Deadline: time.Hour, Residency: residency.Unrestricted()})
	}
	s.TakeActions()
	pieces := 0
	b.ReportAllocs()
	for b.Loop() {
		s.Submit(now, Job{ID: "j", Key: "k", Stages: []Stage{{Pool: "a", Pieces: 10}}, ObjectiveDeadline: now + time.Hour, Deadline: now + time.Hour, Residency: residency.Unrestricted()})
		acts := s.TakeActions()
		for _, c := range acts.Calls {
			s.CallDone(now, c.ID, CallResult{Status: Answered, Results: make([]Result, len(c.Items))})
		}
		s.Release(now, "j")
		s.TakeActions()
		pieces += 10
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(pieces), "ns/piece")
}
