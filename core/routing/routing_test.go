package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

var epoch = time.Unix(1_000_000, 0)

const ms = time.Millisecond

// makeServers returns n servers spread evenly over regions with two zones each.
func makeServers(n, regions int) []Server {
	list := make([]Server, n)
	for i := range list {
		region := i % regions
		list[i] = Server{
			ID: fmt.Sprintf("s%04d", i), Addr: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250),
			Region: fmt.Sprintf("r%d", region), Zone: fmt.Sprintf("r%d-z%d", region, i/regions%2),
		}
	}
	return list
}

func newLoadedRouter(seed uint64, list []Server) *Router {
	r := New(Options{Policy: LeastFinish, Zone: "r0-z0", Region: "r0", Seed: seed})
	r.SetServers(epoch, list)
	for _, s := range list {
		r.Observe(epoch, s.ID, Load{Limit: 8, ServiceTime: 100 * ms})
	}
	return r
}

func TestPickSkipsLeavingAndExcludedServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := makeServers(rapid.IntRange(1, 12).Draw(t, "servers"), 3)
		r := New(Options{
			Policy: rapid.SampledFrom([]Policy{LeastFinish, RoundRobin}).Draw(t, "policy"),
			Zone:   "r0-z0", Region: "r0", Seed: rapid.Uint64().Draw(t, "seed"),
		})
		now := epoch
		leaving := map[string]bool{}
		usable := 0
		q := &Query{PrefixHash: rapid.Uint64Range(0, 3).Draw(t, "prefix")}
		for i := range list {
			switch rapid.IntRange(0, 4).Draw(t, "state") {
			case 0:
				list[i].Leaving, leaving[list[i].ID] = true, true
			case 1:
				q.Exclude = append(q.Exclude, list[i].ID)
			default:
				usable++
			}
		}
		r.SetServers(now, list)
		for range 40 {
			id := list[rapid.IntRange(0, len(list)-1).Draw(t, "server")].ID
			now = now.Add(100 * ms)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				r.Observe(now, id, Load{ServiceTime: 10 * ms, Limit: 4, Leaving: leaving[id]})
			case 1:
				r.Start(now, id)
				r.End(now, id, Outcome{Code: result.ServerFailed})
			case 2:
				r.Start(now, id)
				r.End(now, id, Outcome{Unresponsive: true})
			case 3:
				r.Start(now, id)
				r.End(now, id, Outcome{Code: result.ServerLeaving})
				leaving[id] = true
			}
			s, ok := r.Pick(now, q)
			if ok && (leaving[s.ID] || slices.Contains(q.Exclude, s.ID)) {
				t.Fatalf("picked %s, which is leaving or excluded", s.ID)
			}
			remaining := 0
			for _, s := range list {
				if !leaving[s.ID] && !slices.Contains(q.Exclude, s.ID) {
					remaining++
				}
			}
			if ok != (remaining > 0) {
				t.Fatalf("ok %v with %d servers remaining", ok, remaining)
			}
		}
	})
}

// TestSubsetsSpreadOverServers checks that the subsets of many entries cover nearly
// all servers evenly, and that removing 1% of the servers changes a subset only a
// little.
func TestSubsetsSpreadOverServers(t *testing.T) {
	list := makeServers(2700, 5)
	chosen := map[string]int{}
	for seed := range uint64(360) {
		r := New(Options{Zone: fmt.Sprintf("r%d-z%d", seed%5, seed/5%2), Region: fmt.Sprintf("r%d", seed%5), Seed: seed})
		r.SetServers(epoch, list)
		g := r.groupForQuery(epoch, "")
		assert.Equal(t, len(g.candidates), defaultSubsetSize)
		assert.Equal(t, g.candidates[0].Zone, r.opts.Zone)
		assert.Equal(t, g.candidates[defaultSubsetSize-1].tier, tierOther)
		for _, st := range g.candidates {
			chosen[st.ID]++
		}
		before := fmt.Sprint(serverIDs(g.candidates))
		r.SetServers(epoch, list[:len(list)-27])
		after := r.groupForQuery(epoch, "").candidates
		kept := 0
		for _, st := range after {
			if containsID(before, st.ID) {
				kept++
			}
		}
		assert.Assert(t, kept >= defaultSubsetSize-4, "only %d candidates kept", kept)
	}
	greatest := 0
	for _, n := range chosen {
		greatest = max(greatest, n)
	}
	// The mean is 360*24/2700 = 3.2.
	assert.Assert(t, greatest <= 12, "one server in the subsets of %d entries", greatest)
	assert.Assert(t, len(chosen) > 2500, "only %d servers chosen", len(chosen))
}

func TestSameSeedGivesSameChoices(t *testing.T) {
	a, b := newLoadedRouter(7, makeServers(30, 3)), newLoadedRouter(7, makeServers(30, 3))
	for i := range 200 {
		now := epoch.Add(time.Duration(i) * ms)
		x, _ := a.Pick(now, &Query{})
		y, _ := b.Pick(now, &Query{})
		assert.Equal(t, x.ID, y.ID)
		a.Start(now, x.ID)
		b.Start(now, y.ID)
	}
}

func TestPrefixRoutedToHomeServer(t *testing.T) {
	list := makeServers(9, 1)
	homes := map[string]bool{}
	for prefix := uint64(1); prefix <= 40; prefix++ {
		chosen := map[string]bool{}
		for seed := range uint64(4) {
			r := newLoadedRouter(seed, list)
			r.opts.CacheHints = emptyCacheHints{}
			q := &Query{PrefixHash: prefix}
			s, _ := r.Pick(epoch, q)
			chosen[s.ID] = true
		}
		assert.Equal(t, len(chosen), 1, "prefix %d sent to several servers", prefix)
		for id := range chosen {
			homes[id] = true
		}
	}
	assert.Assert(t, len(homes) >= 6, "only %d home servers", len(homes))
}

func TestOverloadedHomeServerAvoided(t *testing.T) {
	r := newLoadedRouter(1, makeServers(9, 1))
	r.opts.CacheHints = emptyCacheHints{}
	q := &Query{PrefixHash: 5}
	counts := map[string]int{}
	for range 45 {
		s, _ := r.Pick(epoch, q)
		r.Start(epoch, s.ID)
		counts[s.ID]++
	}
	greatest := 0
	for _, n := range counts {
		greatest = max(greatest, n)
	}
	assert.Assert(t, greatest > 5 && greatest <= 9, "home server got %d of 45", greatest)
}

// emptyCacheHints has no information about any prefix.
type emptyCacheHints struct{}

func (emptyCacheHints) Lookup(time.Time, string, uint64) (float64, bool) { return 0, false }

func TestLargeInputStaysInRegion(t *testing.T) {
	r := newLoadedRouter(3, makeServers(9, 3))
	for i := range 100 {
		s, _ := r.Pick(epoch, &Query{InputBytes: 2 << 20, InputRegion: "r2"})
		assert.Equal(t, s.Region, "r2", "choice %d", i)
	}
}

// TestCrossRegionCostOutweighsShortQueue checks that saving a few milliseconds does
// not justify the cost of cross-region traffic.
func TestCrossRegionCostOutweighsShortQueue(t *testing.T) {
	r := newLoadedRouter(3, makeServers(6, 3))
	for _, st := range r.servers {
		if st.Region == "r0" {
			r.Observe(epoch, st.ID, Load{Running: 5, Limit: 8, ServiceTime: 100 * ms})
		}
	}
	picksByRemote := map[bool]int{}
	for range 100 {
		s, _ := r.Pick(epoch, &Query{InputBytes: 256 << 10})
		picksByRemote[s.Region != "r0"]++
		s, _ = r.Pick(epoch, &Query{})
		assert.Assert(t, s.Region != "r0")
	}
	assert.Equal(t, picksByRemote[true], 0)
}

func TestExpectedTime(t *testing.T) {
	r := New(Options{})
	r.SetServers(epoch, makeServers(3, 1))
	_, ok := r.ExpectedTime(epoch, &Query{})
	assert.Assert(t, !ok)
	for _, s := range makeServers(3, 1) {
		r.Observe(epoch, s.ID, Load{Limit: 2, Running: 2, Queued: 4, ServiceTime: 100 * ms, QueueWait: 250 * ms})
	}
	d, ok := r.ExpectedTime(epoch, &Query{})
	assert.Assert(t, ok)
	assert.Assert(t, d >= 340*ms && d < 400*ms, "expected %v", d)
}

// TestExpectedTimeCountsOtherEntries checks that the calls this entry sent since the
// last report are scaled up to account for those of other entries.
func TestExpectedTimeCountsOtherEntries(t *testing.T) {
	expected := func(reportedCalls int) time.Duration {
		r := New(Options{Zone: "r0-z0", Region: "r0"})
		list := makeServers(1, 1)
		r.SetServers(epoch, list)
		for range 4 {
			r.Start(epoch, list[0].ID)
		}
		r.Observe(epoch, list[0].ID, Load{Limit: 4, Running: 4, Queued: reportedCalls - 4, ServiceTime: 400 * ms})
		for range 4 {
			r.Start(epoch, list[0].ID)
		}
		d, ok := r.ExpectedTime(epoch, &Query{})
		assert.Assert(t, ok)
		return d
	}
	// Each further call adds 100 ms; this entry sent 4 since the report.
	assert.Equal(t, expected(4), 900*ms)
	assert.Equal(t, expected(12), 900*ms+(8+2*4)*100*ms)
}

func TestPickByModel(t *testing.T) {
	r := New(Options{Seed: 1})
	list := makeServers(6, 1)
	r.SetServers(epoch, list)
	for i, s := range list {
		r.Observe(epoch, s.ID, Load{Limit: 2, ServiceTime: ms, Models: []string{[]string{"a", "b"}[i%2]}})
	}
	for range 50 {
		s, ok := r.Pick(epoch, &Query{Model: "b"})
		assert.Assert(t, ok)
		assert.Assert(t, int(s.ID[4]-'0')%2 == 1, s.ID)
	}
	r.Observe(epoch, list[0].ID, Load{Limit: 2, ServiceTime: ms, Models: []string{"b"}})
	r.End(epoch, list[1].ID, Outcome{Code: result.ModelNotLoaded, Model: "b"})
	seen := map[string]bool{}
	for range 100 {
		s, _ := r.Pick(epoch, &Query{Model: "b"})
		seen[s.ID] = true
	}
	assert.Assert(t, seen[list[0].ID] && !seen[list[1].ID])
}

func serverIDs(list []*server) []string {
	var result []string
	for _, st := range list {
		result = append(result, st.ID)
	}
	return result
}

func containsID(text, id string) bool {
	for i := 0; i+len(id) <= len(text); i++ {
		if text[i:i+len(id)] == id {
			return true
		}
	}
	return false
}
