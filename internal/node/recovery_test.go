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

// staged returns a request with one piece at each of two stages.
func staged(id string) call {
	return call{path: standin.PathStream, ClientHeader: standin.ClientHeader{RequestID: id, APIKey: "key-1", PieceCounts: "1,1", PieceKey: "k"}}
}

// newestOf returns the newest record of an entry in a topic, "" if there is none.
func (f *fleet) newestOf(topic, name string) string {
	records, _, err := platform.NewStore(f.store.Address()).Newest(f.t.Context(), topic)
	assert.NilError(f.t, err)
	for _, rec := range records {
		if rec.Key == name {
			return string(rec.Value)
		}
	}
	return ""
}

// TestNewStartGivesUpWhatTheEarlierOneHeld starts an entry again while its earlier
// start, which no longer answers for its clients, holds results at a server.
func TestNewStartGivesUpWhatTheEarlierOneHeld(t *testing.T) {
	f := newFleet(t)
	a := f.server("a", "a1", 0)
	working, finish := make(chan struct{}), make(chan struct{})
	f.server("b", "b1", 0).SetHandler(func(_ http.ResponseWriter, r *http.Request) bool {
		if r.URL.Path == platform.StageRunPath {
			close(working)
			<-finish
			f.servers["b1"].SetHandler(nil)
		}
		return false
	})
	f.server("model", "m1", 2)
	f.configure()
	earlier := f.entry("e1", 0).ready()
	done := make(chan reply)
	go func() { done <- earlier.do(staged("r1")) }()
	<-working
	eventually(t, "the result held is recorded", func() bool {
		return strings.Contains(f.newestOf(platform.ResultsTopic, "e1"), "r1.0.0")
	})
	assert.Equal(t, len(a.FreedHandles()), 0)

	// The earlier start still holds its port.
	delete(f.ports, "e1")
	f.entry("e1", 0).ready()
	eventually(t, "the result is given up", func() bool { return len(a.FreedHandles()) > 0 })
	assert.Assert(t, strings.HasSuffix(a.FreedHandles()[0], "r1.0.0"), a.FreedHandles()[0])
	close(finish)
	<-done
}

// TestLeftoversOfOthersStay starts an entry while another one has results recorded.
func TestLeftoversOfOthersStay(t *testing.T) {
	f := newFleet(t)
	a := f.server("a", "a1", 0)
	held := func(handle string) []heldResults {
		return []heldResults{{Server: "a1", Address: a.Address(), Handles: []string{handle}}}
	}
	value, err := json.Marshal(map[string][]heldResults{"e1#1": held("mine"), "e2#1": held("of e2"), "e11#1": held("of e11")})
	assert.NilError(t, err)
	f.store.Put(platform.ResultsTopic, "e2", value)
	f.store.Put(platform.ResultsTopic, "odd", []byte("\x00not json"))
	f.configure()
	f.server("b", "b1", 0)
	f.server("model", "m1", 2)
	e := f.entry("e1", 0).ready()
	eventually(t, "the own result is given up", func() bool { return len(a.FreedHandles()) > 0 })
	assert.Equal(t, e.do(staged("r1")).status, 200)
	eventually(t, "the request's result is given up", func() bool { return len(a.FreedHandles()) > 1 })
	assert.Equal(t, a.FreedHandles()[0], "mine")
	assert.Assert(t, !slices.Contains(a.FreedHandles(), "of e2") && !slices.Contains(a.FreedHandles(), "of e11"))
}

// TestPlannersCutOff lets two entries place requests that do not reach each other. The
// first stage's server takes one call at a time and refuses the others: all requests are answered,
// each with its own results, and no result stays behind.
func TestPlannersCutOff(t *testing.T) {
	f := newFleet(t)
	a, b := f.server("a", "a1", 0), f.server("b", "b1", 0)
	a.LimitToOneStageRun()
	f.server("model", "m1", 2)
	f.configure()
	first := f.entry("e1", 0).ready()
	eventually(t, "the first entry is registered", func() bool { return first.self.Registered() })
	var rec roster.Record
	assert.NilError(t, json.Unmarshal([]byte(f.newestOf(platform.EntriesTopic, "e1")), &rec))
	rec.Address = "127.0.0.1:1"
	cut, err := json.Marshal(rec)
	assert.NilError(t, err)
	f.store.Put(platform.EntriesTopic, "e1", cut)
	second := f.entry("e2", 0).ready()
	eventually(t, "the second entry places requests itself", func() bool { return second.self.Registered() && second.links.First() == nil })

	const requests = 40
	replies := make([]reply, requests)
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() {
			e := first
			if i%2 == 1 {
				e = second
			}
			replies[i] = e.do(staged(fmt.Sprint("r", i)))
		})
	}
	wg.Wait()
	for i, got := range replies {
		assert.NilError(t, got.broken)
		assert.Equal(t, got.status, 200, got.body)
		assert.Equal(t, got.body, fmt.Sprintf("id: 1\ndata: token 1 of r%d\n\nid: 2\ndata: token 2 of r%d\n\n", i, i))
	}
	for _, s := range []*standin.Server{a, b} {
		eventually(t, "all results are given up", func() bool {
			made, freed := s.CompletedPieces(), s.FreedHandles()
			return len(made) == len(freed)
		})
	}
}

// TestOnePlannerAfterAllRestarted starts entries in another order than before, a small
// one first, while the records of their earlier starts are still there. All soon have
// their requests placed by the same entry, though the next look is far off.
func TestOnePlannerAfterAllRestarted(t *testing.T) {
	f := newFleet(t)
	f.pause = time.Hour
	f.server("plain", "p1", 0)
	f.configure()
	for _, name := range []string{"e1", "e2", "e3"} {
		value, err := json.Marshal(roster.Record{Address: fmt.Sprint("127.0.0.1:", f.port(name)), StartID: 1})
		assert.NilError(t, err)
		f.store.Put(platform.EntriesTopic, name, value)
	}
	f.cores = smallCores / 2
	small := f.entry("small", 0).ready()
	eventually(t, "the small entry is registered", func() bool { return small.self.Registered() })
	f.cores = 1
	var others []*entry
	for _, name := range []string{"e3", "e2", "e1"} {
		e := f.entry(name, 0).ready()
		eventually(t, "the entry is registered", func() bool { return e.self.Registered() })
		others = append(others, e)
	}
	first := others[0]
	for _, e := range append(others[1:], small) {
		eventually(t, "requests are placed by the entry that registered first", func() bool {
			p := e.links.First()
			return p != nil && p.Name() == first.self.Owner
		})
	}
	assert.Assert(t, first.links.First() == nil)
}

// holdPlain starts a plain server that counts a request down in held and answers once
// finish is closed.
func (f *fleet) holdPlain() (held *sync.WaitGroup, finish chan struct{}) {
	held, finish = &sync.WaitGroup{}, make(chan struct{})
	f.server("plain", "p1", 0).SetHandler(func(http.ResponseWriter, *http.Request) bool {
		held.Done()
		<-finish
		return false
	})
	return held, finish
}

// TestStoppingEntriesArePassedOver stops the first two entries while they still answer
// requests: the others have theirs placed by the third.
func TestStoppingEntriesArePassedOver(t *testing.T) {
	f := newFleet(t)
	f.pause = time.Hour
	held, finish := f.holdPlain()
	f.configure()
	var all []*entry
	for _, name := range []string{"e1", "e2", "e3", "e4", "e5"} {
		e := f.entry(name, 0).ready()
		eventually(t, "the entry is registered", func() bool { return e.self.Registered() })
		all = append(all, e)
	}
	var answered sync.WaitGroup
	for _, e := range all[:2] {
		held.Add(1)
		answered.Go(func() { assert.Check(t, e.do(keyed(standin.PathUnsafe, "r"+e.base, "key-1")).status == http.StatusOK) })
	}
	held.Wait()
	all[0].stop()
	all[1].stop()
	for _, e := range all[3:] {
		eventually(t, "requests are placed by the third entry", func() bool {
			p := e.links.First()
			return p != nil && p.Name() == all[2].self.Owner
		})
	}
	close(finish)
	answered.Wait()
}

// TestAllStopping sends a request with stages to entries all of which are stopping:
// each places its own, and none asks another one again and again.
func TestAllStopping(t *testing.T) {
	f := newFleet(t)
	f.server("a", "a1", 0)
	f.server("b", "b1", 0)
	f.server("model", "m1", 2)
	var answered sync.WaitGroup
	held, finish := f.holdPlain()
	f.configure()
	var all []*entry
	for _, name := range []string{"e1", "e2", "e3"} {
		e := f.entry(name, 0).ready()
		eventually(t, "the entry is registered", func() bool { return e.self.Registered() })
		held.Add(1)
		answered.Go(func() { assert.Check(t, e.do(keyed(standin.PathUnsafe, "r"+name, "key-1")).status == http.StatusOK) })
		all = append(all, e)
	}
	for _, e := range all[1:] {
		eventually(t, "requests are placed by the first entry", func() bool { return e.links.First() != nil })
	}
	held.Wait()
	for _, e := range all {
		e.stop()
	}
	for _, e := range all {
		eventually(t, "the entry stops", func() bool { return e.gateway.Stopping() })
	}
	for i, e := range all {
		got := e.do(staged(fmt.Sprint("s", i)))
		assert.NilError(t, got.broken)
		assert.Equal(t, got.status, 200, got.body)
	}
	close(finish)
	answered.Wait()
}

// wayToStore is a way to the store that can be cut, for some entries only.
func (f *fleet) wayToStore() (address string, cut *atomic.Bool) {
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

// TestEntriesWithoutTheStoreArePassedOver cuts the first two entries off from the store
// but not from the others: requests of all are placed by the third.
func TestEntriesWithoutTheStoreArePassedOver(t *testing.T) {
	f := newFleet(t)
	f.server("plain", "p1", 0)
	f.configure()
	way, cut := f.wayToStore()
	var all []*entry
	for _, name := range []string{"e1", "e2", "e3", "e4", "e5"} {
		f.storeAddress = ""
		if len(all) < 2 {
			f.storeAddress = way
		}
		e := f.entry(name, 0).ready()
		eventually(t, "the entry is registered", func() bool { return e.self.Registered() })
		all = append(all, e)
	}
	cut.Store(true)
	for _, e := range all[:2] {
		eventually(t, "the entry does not place requests", func() bool { return !e.gateway.CanPlan() })
	}
	third := all[2]
	for _, e := range []*entry{all[0], all[1], all[3], all[4]} {
		eventually(t, "requests are placed by the third entry", func() bool {
			p := e.links.First()
			return p != nil && p.Name() == third.self.Owner
		})
	}
	assert.Assert(t, third.links.First() == nil)
	cut.Store(false)
	for _, e := range all[1:] {
		eventually(t, "requests are placed by the first entry again", func() bool {
			p := e.links.First()
			return p != nil && p.Name() == all[0].self.Owner
		})
	}
}

// TestStoreAwayKeepsThePlanner takes the store away from the first entry, then from the
// others. These know a newer state for a while; the first one is asked nevertheless.
func TestStoreAwayKeepsThePlanner(t *testing.T) {
	f := newFleet(t)
	f.server("plain", "p1", 0)
	f.configure()
	wayOfFirst, cutFirst := f.wayToStore()
	way, cut := f.wayToStore()
	var all []*entry
	for _, name := range []string{"e1", "e2", "e3"} {
		f.storeAddress = way
		if len(all) == 0 {
			f.storeAddress = wayOfFirst
		}
		e := f.entry(name, 0).ready()
		eventually(t, "the entry is registered", func() bool { return e.self.Registered() })
		all = append(all, e)
	}
	byFirst := func(e *entry) bool {
		p := e.links.First()
		return p != nil && p.Name() == all[0].self.Owner
	}
	for _, e := range all[1:] {
		eventually(t, "requests are placed by the first entry", func() bool { return byFirst(e) })
	}
	cutFirst.Store(true)
	eventually(t, "the first entry has lost the store", func() bool { return !all[0].config.Reached() })
	cut.Store(true)
	for _, e := range all[1:] {
		eventually(t, "the others have lost the store, and heard it of each other", func() bool { return !e.config.Reached() && byFirst(e) })
	}
	eventually(t, "no entry knows a state that is new enough", func() bool {
		none := true
		for _, e := range all[1:] {
			assert.Assert(t, byFirst(e), "another entry places requests")
			none = none && !e.gateway.CanPlan()
		}
		return none && !all[0].gateway.CanPlan()
	})
}
