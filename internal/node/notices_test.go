package node

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/platform"
	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// sayLeaving makes a server say in all its responses that it is leaving.
func sayLeaving(s *standin.Server) {
	s.SetHandler(func(w http.ResponseWriter, _ *http.Request) bool {
		standin.SetLeaving(w.Header())
		return false
	})
}

// refuseUntilLater makes a server refuse all requests for the given number of seconds. It
// returns the number of refusals.
func refuseUntilLater(s *standin.Server, retryAfter string) *atomic.Int64 {
	refusals := &atomic.Int64{}
	s.SetHandler(func(w http.ResponseWriter, _ *http.Request) bool {
		refusals.Add(1)
		standin.Refuse(w, retryAfter)
		return true
	})
	return refusals
}

// TestServerLeavingGetsNoPlainRequests checks that a plain server gets nothing more from
// an entry to which it said that it leaves.
func TestServerLeavingGetsNoPlainRequests(t *testing.T) {
	f := newFleet(t)
	leaving, other := f.startServer("plain", "p1", 0), f.startServer("plain", "p2", 0)
	sayLeaving(leaving)
	f.putConfig()
	e := f.startEntry("e1", 0).waitReady()
	for i := range 20 {
		assert.Equal(t, e.do(keyedCall(standin.PathSafe, fmt.Sprint("r", i), "key-1")).status, http.StatusOK)
	}
	assert.Assert(t, len(leaving.ExecutedRequests()) <= 1, "%v", leaving.ExecutedRequests())
	assert.Assert(t, len(other.ExecutedRequests()) >= 19)

	// Another start of the server at the same address is another server.
	f.store.Put(platform.ServersTopic, "p1", standin.RestartedServerRecord("plain", leaving.Address()))
	leaving.SetHandler(nil)
	before := len(leaving.ExecutedRequests())
	eventually(t, "the restarted server gets requests", func() bool {
		e.do(keyedCall(standin.PathSafe, "r", "key-1"))
		return len(leaving.ExecutedRequests()) > before
	})
}

// TestServerLeavingIsReportedToPlacingEntry has a model server say that it leaves to one
// entry. The entry that places the requests of all must not choose it any more.
func TestServerLeavingIsReportedToPlacingEntry(t *testing.T) {
	f := newFleet(t)
	f.startServer("a", "a1", 0)
	f.startServer("b", "b1", 0)
	leaving := f.startServer("model", "m1", 1)
	sayLeaving(leaving)
	f.putConfig()
	placing := f.startEntry("e1", 0).waitReady().waitRegistered()
	asking := f.startEntry("e2", 0).waitReady().waitRegistered()
	eventually(t, "requests are placed by the first entry", func() bool { return asking.links.PlanningPeer() != nil })
	assert.Equal(t, asking.do(stagedCall("r0")).status, http.StatusOK)
	eventually(t, "the placing entry knows", func() bool { return !placing.servers.Takes("m1") })

	other := f.startServer("model", "m2", 1)
	eventually(t, "the other server is known", func() bool { return placing.servers.Takes("m2") && asking.servers.Takes("m2") })
	for i := 1; i < 9; i++ {
		e := []*runningEntry{placing, asking}[i%2]
		assert.Equal(t, e.do(stagedCall(fmt.Sprint("r", i))).status, http.StatusOK)
	}
	assert.Equal(t, len(leaving.ExecutedRequests()), 1)
	assert.Equal(t, len(other.ExecutedRequests()), 8)
}

// TestServerLeavingGetsNoStageCalls checks that a stage server gets no further pieces once
// it said that it leaves, while its results are still read and freed.
func TestServerLeavingGetsNoStageCalls(t *testing.T) {
	f := newFleet(t)
	leaving, other := f.startServer("a", "a1", 0), f.startServer("a", "a2", 0)
	sayLeaving(leaving)
	f.startServer("b", "b1", 0)
	f.startServer("model", "m1", 1)
	f.putConfig()
	e := f.startEntry("e1", 0).waitReady()
	for i := range 12 {
		assert.Equal(t, e.do(stagedCall(fmt.Sprint("r", i))).status, http.StatusOK)
	}
	assert.Assert(t, len(leaving.CompletedPieces()) <= 1, "%v", leaving.CompletedPieces())
	assert.Equal(t, len(leaving.CompletedPieces())+len(other.CompletedPieces()), 12)
}

// TestServerRetryAfterIsObeyed checks for each kind of server that it gets nothing from an
// entry for the time that it asked for, whatever the requests are.
func TestServerRetryAfterIsObeyed(t *testing.T) {
	tests := []struct {
		service string
		call    func(id string) clientCall
	}{
		{"plain", func(id string) clientCall { return keyedCall(standin.PathSafe, id, "key-1") }},
		{"plain", func(id string) clientCall { return keyedCall(standin.PathUnsafe, id, "key-1") }},
		{"model", func(id string) clientCall { return keyedCall(standin.PathResumable, id, "key-1") }},
		{"a", stagedCall},
	}
	for _, tt := range tests {
		t.Run(tt.service, func(t *testing.T) {
			f := newFleetOfPairs(t)
			refusals := refuseUntilLater(f.servers[tt.service+"1"], "600")
			f.putConfig()
			e := f.startEntry("e1", 0).waitReady().waitRegistered()
			for i := range 16 {
				assert.Equal(t, e.do(tt.call(fmt.Sprint("r", i))).status, http.StatusOK)
				// A server that is only full is tried again within 0.1 s.
				time.Sleep(20 * time.Millisecond)
			}
			assert.Assert(t, refusals.Load() <= 1, "%d requests", refusals.Load())
		})
	}
}

// TestServerRetryAfterOfAllServers checks that a request is refused at once if all servers
// have said when to come back, with the first of these times, and that the refusal is
// true: the request runs nowhere.
func TestServerRetryAfterOfAllServers(t *testing.T) {
	f := newFleet(t)
	first := refuseUntilLater(f.startServer("plain", "p1", 0), "40")
	second := refuseUntilLater(f.startServer("plain", "p2", 0), "20")
	f.putConfig()
	e := f.startEntry("e1", 0).waitReady().waitRegistered()
	eventually(t, "both servers have refused", func() bool {
		e.do(keyedCall(standin.PathSafe, "r", "key-1"))
		return first.Load() > 0 && second.Load() > 0
	})
	seen := map[string]bool{}
	for i := range 10 {
		got := e.do(keyedCall(standin.PathUnsafe, fmt.Sprint("u", i), "key-1"))
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		retryAfter, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, retryAfter > 0 && retryAfter < 26, "the first server may be called after 20 s: %v", retryAfter)
		seen[got.header.Get("Retry-After")] = true
	}
	assert.Assert(t, len(seen) > 5, "the clients return at the same moment: %v", seen)
	assert.Assert(t, first.Load() == 1 && second.Load() == 1)
}

// TestStoreEraKeepsOrderAndKeys restores the store from a copy that lacks a revocation and
// the records of the entries. The key stays revoked, also at an entry that starts before
// the operator has written again; the entries write their records again and keep their
// order; requests are served meanwhile.
func TestStoreEraKeepsOrderAndKeys(t *testing.T) {
	f := newFleet(t)
	f.startServer("plain", "p1", 0)
	f.apiKeys = []string{"key-1", "key-2"}
	f.putConfig()
	older := f.store.Copy()
	f.store.Restore(older)
	first := f.startEntry("e1", time.Hour).waitReady().waitRegistered()
	second := f.startEntry("e2", time.Hour).waitReady().waitRegistered()
	f.apiKeys = []string{"key-1"}
	f.putConfig()
	for _, e := range []*runningEntry{first, second} {
		eventually(t, "the key is revoked", func() bool { return e.do(keyedCall(standin.PathSafe, "r", "key-2")).status == http.StatusUnauthorized })
	}
	position := second.localEntry.Registered()
	assert.Assert(t, position)

	f.store.Restore(older)
	var requests sync.WaitGroup
	for i := range 20 {
		requests.Go(func() {
			assert.Check(t, first.do(keyedCall(standin.PathSafe, fmt.Sprint("r", i), "key-1")).status == http.StatusOK)
		})
	}
	requests.Wait()
	for _, name := range []string{"e1", "e2"} {
		eventually(t, "the entry wrote its record again", func() bool { return f.newestRecord(platform.EntriesTopic, name) != "" })
	}
	assert.Assert(t, first.links.PlanningPeer() == nil)
	eventually(t, "requests are placed by the first entry", func() bool {
		p := second.links.PlanningPeer()
		return p != nil && p.Owner() == first.localEntry.Owner
	})
	assert.Equal(t, first.do(keyedCall(standin.PathSafe, "r", "key-2")).status, http.StatusUnauthorized)

	third := f.startEntry("e3", time.Hour)
	eventually(t, "the new entry answers", func() bool { return third.do(keyedCall(standin.PathSafe, "r", "key-2")).err == nil })
	for range 20 {
		got := third.do(keyedCall(standin.PathSafe, "r", "key-2"))
		assert.Equal(t, got.status, http.StatusServiceUnavailable, "the copy still has the key")
	}
	f.configVersion--
	f.putConfig()
	eventually(t, "the new entry knows the newest version", func() bool { return third.do(keyedCall(standin.PathSafe, "r", "key-1")).status == http.StatusOK })
	assert.Equal(t, third.do(keyedCall(standin.PathSafe, "r", "key-2")).status, http.StatusUnauthorized)
}

// TestAllEntriesStartInRestoredStore guards against a key that was taken away and is accepted
// again: the store is restored from a copy that still has it, and all entries start before
// the operator has written again, so that none knows better.
func TestAllEntriesStartInRestoredStore(t *testing.T) {
	f := newFleet(t)
	f.startServer("plain", "p1", 0)
	f.apiKeys = []string{"key-1", "key-2"}
	f.putConfig()
	older := f.store.Copy()
	f.apiKeys = []string{"key-1"}
	f.putConfig()
	f.store.Restore(older)
	f.rewriteTime = time.Hour
	entries := []*runningEntry{f.startEntry("e1", time.Hour), f.startEntry("e2", time.Hour)}
	for _, e := range entries {
		e.waitRegistered()
		e.links.WaitSettled(t.Context())
	}
	for i := range 40 {
		got := entries[i%2].do(keyedCall(standin.PathSafe, fmt.Sprint("r", i), "key-2"))
		assert.Assert(t, got.err == nil && got.status == http.StatusServiceUnavailable, "%d", got.status)
	}
	f.configVersion--
	f.putConfig()
	for _, e := range entries {
		eventually(t, "the newest version is in force", func() bool { return e.do(keyedCall(standin.PathSafe, "r", "key-1")).status == http.StatusOK })
		assert.Equal(t, e.do(keyedCall(standin.PathSafe, "r", "key-2")).status, http.StatusUnauthorized)
	}
}

// TestMarkerOfSettledEraSparesWait checks that only processes that start right after a restore
// wait: once an entry has seen the operator's time pass, others start without.
func TestMarkerOfSettledEraSparesWait(t *testing.T) {
	f := newFleet(t)
	f.startServer("plain", "p1", 0)
	f.putConfig()
	f.store.Restore(f.store.Copy())
	f.rewriteTime = time.Millisecond
	first := f.startEntry("e1", time.Hour).waitReady()
	eventually(t, "the marker is written", func() bool { return f.store.Mentions(platform.SettledEraKey) })
	first.stop()
	<-first.done
	f.rewriteTime = time.Hour
	f.startEntry("e2", time.Hour).waitReady()
}

// TestRestartedEntryKnowsServersThatLeave guards against a server that is used again by an
// entry which has started anew, although it said to another one that it leaves.
func TestRestartedEntryKnowsServersThatLeave(t *testing.T) {
	f := newFleet(t)
	leaving, other := f.startServer("plain", "p1", 0), f.startServer("plain", "p2", 0)
	sayLeaving(leaving)
	f.putConfig()
	first := f.startEntry("e1", 0).waitReady().waitRegistered()
	f.startEntry("e2", 0).waitReady().waitRegistered()
	for i := range 8 {
		assert.Equal(t, first.do(keyedCall(standin.PathSafe, fmt.Sprint("r", i), "key-1")).status, http.StatusOK)
	}
	assert.Equal(t, len(leaving.ExecutedRequests()), 1)

	restarted := f.startEntry("e3", 0).waitReady().waitRegistered()
	eventually(t, "the entries have a session", func() bool { return restarted.links.PlanningPeer() != nil })
	eventually(t, "the new entry knows that the server leaves", func() bool { return !restarted.servers.Takes("p1") })
	for i := range 8 {
		assert.Equal(t, restarted.do(keyedCall(standin.PathSafe, fmt.Sprint("s", i), "key-1")).status, http.StatusOK)
	}
	assert.Equal(t, len(leaving.ExecutedRequests()), 1)
	assert.Equal(t, len(other.ExecutedRequests()), 15)
}
