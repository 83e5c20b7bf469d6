package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/roster"
	"github.com/magnoliawheel/magnoliawheel/platform"
	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// stagedCall returns a request with one piece at each of two stages.
func stagedCall(requestID string) clientCall {
	return clientCall{path: standin.PathStream, ClientHeader: standin.ClientHeader{RequestID: requestID, APIKey: "key-1", PieceCounts: "1,1", PieceKey: "k"}}
}

// newestRecord returns the newest record of an entry in a topic, or "" if there is none.
func (f *fleet) newestRecord(topic, name string) string {
	records, _, err := platform.NewStore(f.store.Address()).Newest(f.t.Context(), topic)
	assert.NilError(f.t, err)
	for _, rec := range records {
		if rec.Key == name {
			return string(rec.Value)
		}
	}
	return ""
}

// TestRestartFreesResultsOfEarlierStart checks that a restarted entry frees the results
// that a server still holds for its earlier process start.
func TestRestartFreesResultsOfEarlierStart(t *testing.T) {
	f := newFleet(t)
	a := f.startServer("a", "a1", 0)
	stageRunStarted, release := make(chan struct{}), make(chan struct{})
	f.startServer("b", "b1", 0).SetHandler(func(_ http.ResponseWriter, r *http.Request) bool {
		if r.URL.Path == platform.StageRunPath {
			close(stageRunStarted)
			<-release
			f.servers["b1"].SetHandler(nil)
		}
		return false
	})
	f.startServer("model", "m1", 2)
	f.putConfig()
	earlier := f.startEntry("e1", 0).waitReady()
	done := make(chan reply)
	go func() { done <- earlier.do(stagedCall("r1")) }()
	<-stageRunStarted
	eventually(t, "the held result is recorded", func() bool {
		return strings.Contains(f.newestRecord(platform.ResultsTopic, "e1"), "r1.0.0")
	})
	assert.Equal(t, len(a.FreedHandles()), 0)

	// The earlier process start still listens on its port.
	delete(f.peerPorts, "e1")
	f.startEntry("e1", 0).waitReady()
	eventually(t, "the result is freed", func() bool { return len(a.FreedHandles()) > 0 })
	assert.Assert(t, strings.HasSuffix(a.FreedHandles()[0], "r1.0.0"), a.FreedHandles()[0])
	close(release)
	<-done
}

// TestRestartKeepsResultsOfOtherEntries checks that a starting entry frees only results
// recorded for its own earlier process starts, also if the name of another entry has its
// name as a prefix.
func TestRestartKeepsResultsOfOtherEntries(t *testing.T) {
	f := newFleet(t)
	a := f.startServer("a", "a1", 0)
	held := func(handle string) []heldResults {
		return []heldResults{{Server: "a1", Address: a.Address(), Handles: []string{handle}}}
	}
	value, err := json.Marshal(map[string][]heldResults{"e1#1": held("of e1"), "e2#1": held("of e2"), "e11#1": held("of e11")})
	assert.NilError(t, err)
	f.store.Put(platform.ResultsTopic, "e2", value)
	f.store.Put(platform.ResultsTopic, "invalid", []byte("\x00not json"))
	f.putConfig()
	f.startServer("b", "b1", 0)
	f.startServer("model", "m1", 2)
	e := f.startEntry("e1", 0).waitReady()
	eventually(t, "the result of the earlier start is freed", func() bool { return len(a.FreedHandles()) > 0 })
	assert.Equal(t, e.do(stagedCall("r1")).status, 200)
	eventually(t, "the result of the request is freed", func() bool { return len(a.FreedHandles()) > 1 })
	assert.Equal(t, a.FreedHandles()[0], "of e1")
	assert.Assert(t, !slices.Contains(a.FreedHandles(), "of e2") && !slices.Contains(a.FreedHandles(), "of e11"))
}

// TestTwoPlannersAtOnce checks two entries that place requests at the same time because
// they cannot reach each other. The server of the first stage runs one call at a time and
// refuses the others. Every request must get its own results, and all results must be
// freed.
func TestTwoPlannersAtOnce(t *testing.T) {
	f := newFleet(t)
	a, b := f.startServer("a", "a1", 0), f.startServer("b", "b1", 0)
	a.LimitToOneStageRun()
	f.startServer("model", "m1", 2)
	f.putConfig()
	first := f.startEntry("e1", 0).waitReady()
	eventually(t, "the first entry is registered", func() bool { return first.localEntry.Registered() })
	var record roster.Record
	assert.NilError(t, json.Unmarshal([]byte(f.newestRecord(platform.EntriesTopic, "e1")), &record))
	record.Address = "127.0.0.1:1"
	unreachable, err := json.Marshal(record)
	assert.NilError(t, err)
	f.store.Put(platform.EntriesTopic, "e1", unreachable)
	second := f.startEntry("e2", 0).waitReady()
	eventually(t, "the second entry places requests itself", func() bool { return second.localEntry.Registered() && second.links.PlanningPeer() == nil })

	const requests = 40
	replies := make([]reply, requests)
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() {
			e := first
			if i%2 == 1 {
				e = second
			}
			replies[i] = e.do(stagedCall(fmt.Sprint("r", i)))
		})
	}
	wg.Wait()
	for i, got := range replies {
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, 200, got.body)
		assert.Equal(t, got.body, fmt.Sprintf("id: 1\ndata: token 1 of r%d\n\nid: 2\ndata: token 2 of r%d\n\n", i, i))
	}
	for _, s := range []*standin.Server{a, b} {
		eventually(t, "all results are freed", func() bool {
			completed, freed := s.CompletedPieces(), s.FreedHandles()
			return len(completed) == len(freed)
		})
	}
}

// TestSinglePlannerAfterAllEntriesRestart restarts all entries in another order than
// before, a small one first, while the records of their earlier process starts still
// exist. All of them must soon use the same entry to place requests, without waiting for
// the next regular read of the records.
func TestSinglePlannerAfterAllEntriesRestart(t *testing.T) {
	f := newFleet(t)
	f.readInterval = time.Hour
	f.startServer("plain", "p1", 0)
	f.putConfig()
	for _, name := range []string{"e1", "e2", "e3"} {
		value, err := json.Marshal(roster.Record{Address: fmt.Sprint("127.0.0.1:", f.peerPort(name)), StartID: 1})
		assert.NilError(t, err)
		f.store.Put(platform.EntriesTopic, name, value)
	}
	f.cores = smallEntryCores / 2
	small := f.startEntry("small", 0).waitReady()
	eventually(t, "the small entry is registered", func() bool { return small.localEntry.Registered() })
	f.cores = 1
	var others []*runningEntry
	for _, name := range []string{"e3", "e2", "e1"} {
		e := f.startEntry(name, 0).waitReady()
		eventually(t, "the entry is registered", func() bool { return e.localEntry.Registered() })
		others = append(others, e)
	}
	first := others[0]
	for _, e := range append(others[1:], small) {
		eventually(t, "requests are placed by the entry that registered first", func() bool {
			p := e.links.PlanningPeer()
			return p != nil && p.Owner() == first.localEntry.Owner
		})
	}
	assert.Assert(t, first.links.PlanningPeer() == nil)
}

// startBlockingServer starts a server of the service plain that calls arrivals.Done for
// each request and responds once release is closed.
func (f *fleet) startBlockingServer() (arrivals *sync.WaitGroup, release chan struct{}) {
	arrivals, release = &sync.WaitGroup{}, make(chan struct{})
	f.startServer("plain", "p1", 0).SetHandler(func(http.ResponseWriter, *http.Request) bool {
		arrivals.Done()
		<-release
		return false
	})
	return arrivals, release
}

// TestStoppingEntriesAreSkipped stops the first two entries while they still have
// requests in flight. The requests of the others must be placed by the third.
func TestStoppingEntriesAreSkipped(t *testing.T) {
	f := newFleet(t)
	f.readInterval = time.Hour
	arrivals, release := f.startBlockingServer()
	f.putConfig()
	var entries []*runningEntry
	for _, name := range []string{"e1", "e2", "e3", "e4", "e5"} {
		e := f.startEntry(name, 0).waitReady()
		eventually(t, "the entry is registered", func() bool { return e.localEntry.Registered() })
		entries = append(entries, e)
	}
	var requests sync.WaitGroup
	for _, e := range entries[:2] {
		arrivals.Add(1)
		requests.Go(func() {
			assert.Check(t, e.do(keyedCall(standin.PathUnsafe, "r"+e.baseURL, "key-1")).status == http.StatusOK)
		})
	}
	arrivals.Wait()
	entries[0].stop()
	entries[1].stop()
	for _, e := range entries[3:] {
		eventually(t, "requests are placed by the third entry", func() bool {
			p := e.links.PlanningPeer()
			return p != nil && p.Owner() == entries[2].localEntry.Owner
		})
	}
	close(release)
	requests.Wait()
}

// TestAllEntriesStopping sends requests with stages to entries that are all stopping.
// Each must place its own, instead of passing them from entry to entry without end.
func TestAllEntriesStopping(t *testing.T) {
	f := newFleet(t)
	f.startServer("a", "a1", 0)
	f.startServer("b", "b1", 0)
	f.startServer("model", "m1", 2)
	var requests sync.WaitGroup
	arrivals, release := f.startBlockingServer()
	f.putConfig()
	var entries []*runningEntry
	for _, name := range []string{"e1", "e2", "e3"} {
		e := f.startEntry(name, 0).waitReady()
		eventually(t, "the entry is registered", func() bool { return e.localEntry.Registered() })
		arrivals.Add(1)
		requests.Go(func() {
			assert.Check(t, e.do(keyedCall(standin.PathUnsafe, "r"+name, "key-1")).status == http.StatusOK)
		})
		entries = append(entries, e)
	}
	for _, e := range entries[1:] {
		eventually(t, "requests are placed by the first entry", func() bool { return e.links.PlanningPeer() != nil })
	}
	arrivals.Wait()
	for _, e := range entries {
		e.stop()
	}
	for _, e := range entries {
		eventually(t, "the entry is stopping", func() bool { return e.gateway.Stopping() })
	}
	for i, e := range entries {
		got := e.do(stagedCall(fmt.Sprint("s", i)))
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, 200, got.body)
	}
	close(release)
	requests.Wait()
}

// startStoreProxy starts a proxy for the store. Setting cut makes the store unreachable
// for the entries that use the proxy.
func (f *fleet) startStoreProxy() (address string, cut *atomic.Bool) {
	target, err := url.Parse(f.store.URL)
	assert.NilError(f.t, err)
	proxy := httputil.NewSingleHostReverseProxy(target)
	cut = &atomic.Bool{}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if cut.Load() {
			panic(http.ErrAbortHandler)
		}
		proxy.ServeHTTP(w, r)
	}))
	f.t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://"), cut
}

// TestEntriesCutOffFromStoreAreSkipped cuts the first two entries off from the store,
// but not from the other entries. The requests of all must be placed by the third.
func TestEntriesCutOffFromStoreAreSkipped(t *testing.T) {
	f := newFleet(t)
	f.startServer("plain", "p1", 0)
	f.putConfig()
	storeProxy, cut := f.startStoreProxy()
	var entries []*runningEntry
	for _, name := range []string{"e1", "e2", "e3", "e4", "e5"} {
		f.storeAddress = ""
		if len(entries) < 2 {
			f.storeAddress = storeProxy
		}
		e := f.startEntry(name, 0).waitReady()
		eventually(t, "the entry is registered", func() bool { return e.localEntry.Registered() })
		entries = append(entries, e)
	}
	cut.Store(true)
	for _, e := range entries[:2] {
		eventually(t, "the entry does not place requests", func() bool { return !e.gateway.CanPlan() })
	}
	third := entries[2]
	for _, e := range []*runningEntry{entries[0], entries[1], entries[3], entries[4]} {
		eventually(t, "requests are placed by the third entry", func() bool {
			p := e.links.PlanningPeer()
			return p != nil && p.Owner() == third.localEntry.Owner
		})
	}
	assert.Assert(t, third.links.PlanningPeer() == nil)
	cut.Store(false)
	for _, e := range entries[1:] {
		eventually(t, "requests are placed by the first entry again", func() bool {
			p := e.links.PlanningPeer()
			return p != nil && p.Owner() == entries[0].localEntry.Owner
		})
	}
}

// TestStoreOutageKeepsPlanner cuts the first entry off from the store, then the others.
// The others have a more recent configuration for a while, but must continue to have the
// first entry place their requests.
func TestStoreOutageKeepsPlanner(t *testing.T) {
	f := newFleet(t)
	f.startServer("plain", "p1", 0)
	f.putConfig()
	firstStoreProxy, cutFirstProxy := f.startStoreProxy()
	storeProxy, cut := f.startStoreProxy()
	var entries []*runningEntry
	for _, name := range []string{"e1", "e2", "e3"} {
		f.storeAddress = storeProxy
		if len(entries) == 0 {
			f.storeAddress = firstStoreProxy
		}
		e := f.startEntry(name, 0).waitReady()
		eventually(t, "the entry is registered", func() bool { return e.localEntry.Registered() })
		entries = append(entries, e)
	}
	placedByFirst := func(e *runningEntry) bool {
		p := e.links.PlanningPeer()
		return p != nil && p.Owner() == entries[0].localEntry.Owner
	}
	for _, e := range entries[1:] {
		eventually(t, "requests are placed by the first entry", func() bool { return placedByFirst(e) })
	}
	cutFirstProxy.Store(true)
	eventually(t, "the first entry has lost the store", func() bool { return !entries[0].config.StoreReachable() })
	cut.Store(true)
	// An entry that has not yet heard that another one lost the store may still choose
	// it.
	second, third := entries[1], entries[2]
	eventually(t, "the others have lost the store and reported so to each other", func() bool {
		return second.hasReportedNotReady(third) && third.hasReportedNotReady(second)
	})
	eventually(t, "no entry has a recent enough configuration", func() bool {
		none := true
		for _, e := range entries[1:] {
			assert.Assert(t, placedByFirst(e), "another entry places requests")
			none = none && !e.gateway.CanPlan()
		}
		return none && !entries[0].gateway.CanPlan()
	})
}
