package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/notice"
)

// BenchmarkIdentity hashes requests of the size of a long prompt.
func BenchmarkIdentity(b *testing.B) {
	r := Request{Method: "POST", Host: "host", Target: "/path/1", Customer: "customer", Body: make([]byte, 14<<10), SharedParts: []string{"5c1e07a2", "91bd3f06"}}
	b.ReportAllocs()
	for b.Loop() {
		r.Identity()
	}
}

// BenchmarkSoundRequest checks and completes requests of new identities, while there is
// evidence of other crashes.
func BenchmarkSoundRequest(b *testing.B) {
	t := New()
	server := notice.Server{ID: "s"}
	for i := range maxCrashes {
		t.Report(0, Attempt{Server: notice.Server{ID: fmt.Sprint("s", i)}, Elements: []string{fmt.Sprint("request:c", i)}, Ending: InterruptedWaiting})
	}
	now := time.Second
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += time.Millisecond
		elements := Elements(fmt.Sprint("request:", i), []string{"5c1e07a2", "91bd3f06"})
		t.Check(now, elements)
		t.Report(now, Attempt{Server: server, Elements: elements, BeganAt: now, EndedAt: now, Ending: Completed})
	}
}
