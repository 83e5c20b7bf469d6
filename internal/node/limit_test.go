package node

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

const (
	// limitSlack is the number of requests that a server which names a limit may get at any
	// time beyond it, from entries that it has told.
	limitSlack = 5
	// hardlyAny is a limit, in requests per second, that allows no request within the time
	// of a test.
	hardlyAny = "0.0001"
)

// nameLimit makes a server name a limit in all its responses. It returns the number of
// requests that the server gets, those of stages and for freeing results included.
func nameLimit(s *standin.Server, limit string) *atomic.Int64 {
	arrived := &atomic.Int64{}
	s.SetHandler(func(w http.ResponseWriter, _ *http.Request) bool {
		arrived.Add(1)
		standin.SetLimit(w.Header(), limit)
		return false
	})
	return arrived
}

// TestServerLimitHoldsForAllEntries guards against a server that names the requests a second
// that it takes, and gets as many as any other: the entry that is told does not choose the
// server, and the entry that does is not told. Requests go to the other server meanwhile,
// also after the entry that placed them has stopped.
func TestServerLimitHoldsForAllEntries(t *testing.T) {
	tests := []struct {
		service string
		call    func(id string) clientCall
	}{
		{"model", func(id string) clientCall { return keyedCall(standin.PathResumable, id, "key-1") }},
		{"model", stagedCall},
		{"plain", func(id string) clientCall { return keyedCall(standin.PathSafe, id, "key-1") }},
		{"plain", func(id string) clientCall { return keyedCall(standin.PathUnsafe, id, "key-1") }},
		{"a", stagedCall},
	}
	for _, tt := range tests {
		t.Run(tt.service, func(t *testing.T) {
			f := newFleetOfPairs(t)
			arrived := nameLimit(f.servers[tt.service+"1"], hardlyAny)
			f.putConfig()
			entries := []*runningEntry{f.startEntry("e1", 0).waitReady().waitRegistered(), f.startEntry("e2", 0).waitReady().waitRegistered(), f.startEntry("e3", 0).waitReady().waitRegistered()}
			sent := 0
			send := func(n int, entries ...*runningEntry) {
				for range n {
					sent++
					got := entries[sent%len(entries)].do(tt.call(fmt.Sprint("r", sent)))
					assert.Equal(t, got.status, http.StatusOK, got.body)
				}
			}
			send(60, entries...)
			// Each entry has to be told once.
			allowed := int64(len(entries) + limitSlack)
			assert.Assert(t, arrived.Load() <= allowed, "%d requests", arrived.Load())
			entries[0].stop()
			<-entries[0].done
			send(40, entries[1:]...)
			assert.Assert(t, arrived.Load() <= allowed, "%d requests after the first entry stopped", arrived.Load())
		})
	}
}

// TestServerLimitEnds checks that a server gets requests again once its responses name no
// limit any more.
func TestServerLimitEnds(t *testing.T) {
	f := newFleet(t)
	limited := f.startServer("model", "model1", 1)
	f.startServer("model", "model2", 1)
	nameLimit(limited, "20")
	f.putConfig()
	entries := []*runningEntry{f.startEntry("e1", 0).waitReady().waitRegistered(), f.startEntry("e2", 0).waitReady().waitRegistered()}
	n := 0
	send := func() reply {
		n++
		return entries[n%2].do(keyedCall(standin.PathResumable, fmt.Sprint("r", n), "key-1"))
	}
	for range 20 {
		assert.Equal(t, send().status, http.StatusOK)
	}
	limited.SetHandler(nil)
	before := len(limited.ExecutedRequests())
	eventually(t, "the server gets its usual share", func() bool {
		assert.Equal(t, send().status, http.StatusOK)
		return len(limited.ExecutedRequests()) >= before+30
	})
}

// TestRequestsBeyondAllLimitsAreRefusedAtOnce checks that a request for which no server has
// room within its limit is refused with a time to come back, and runs nowhere.
func TestRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	for _, tt := range []struct{ service, path string }{{"model", standin.PathResumable}, {"plain", standin.PathUnsafe}} {
		t.Run(tt.service, func(t *testing.T) {
			f := newFleet(t)
			events := map[string]int{"model": 1}[tt.service]
			first := nameLimit(f.startServer(tt.service, "s1", events), hardlyAny)
			second := nameLimit(f.startServer(tt.service, "s2", events), hardlyAny)
			f.putConfig()
			e := f.startEntry("e1", 0).waitReady().waitRegistered()
			for i := range 20 {
				e.do(keyedCall(tt.path, fmt.Sprint("r", i), "key-1"))
			}
			before := first.Load() + second.Load()
			for i := range 10 {
				got := e.do(keyedCall(tt.path, fmt.Sprint("later", i), "key-1"))
				assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
				assert.Assert(t, got.header.Get("Retry-After") != "")
			}
			assert.Equal(t, first.Load()+second.Load(), before)
		})
	}
}
