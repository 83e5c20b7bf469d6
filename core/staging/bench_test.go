package staging

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPieceAmong60Servers measures queueing and choosing a server for one piece,
// with 60 servers and calls at half of them.
func BenchmarkPieceAmong60Servers(b *testing.B) {
	s := New()
	var servers []Server
	for i := range 60 {
		servers = append(servers, Server{ID: fmt.Sprint("s", i), Zone: fmt.Sprint("z", i%6)})
	}
	s.SetPool("a", Spec{Slots: 1, Batch: 10, CallTime: 100 * time.Millisecond, ItemTime: 10 * time.Millisecond, Memory: 1 << 40}, servers)
	now := time.Duration(0)
	for i := range 30 {
		s.Submit(now, Job{ID: fmt.Sprint("busy", i), Stages: []Stage{{Pool: "a", Pieces: 10}}, Due: time.Hour, Deadline: time.Hour})
	}
	s.Take()
	pieces := 0
	b.ReportAllocs()
	for b.Loop() {
		s.Submit(now, Job{ID: "j", Key: "k", Stages: []Stage{{Pool: "a", Pieces: 10}}, Due: now + time.Hour, Deadline: now + time.Hour})
		acts := s.Take()
		for _, c := range acts.Calls {
			s.CallDone(now, c.ID, Answered, make([]Result, len(c.Items)))
		}
		s.Release(now, "j")
		s.Take()
		pieces += 10
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(pieces), "ns/piece")
}
