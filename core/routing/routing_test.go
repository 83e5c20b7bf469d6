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

// servers returns n servers spread over regions with two zones each.
func servers(n, regions int) []Server {
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

func newRouter(seed uint64, list []Server) *Router {
	r := New(Options{Policy: LeastFinish, Zone: "r0-z0", Region: "r0", Seed: seed})
	r.SetServers(epoch, list)
	for _, s := range list {
		r.Observe(epoch, s.ID, Load{Limit: 8, Service: 100 * ms})
	}
	return r
}

func TestNeverLeavingNeverExcluded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := servers(rapid.IntRange(1, 12).Draw(t, "servers"), 3)
		r := New(Options{
			Policy: rapid.SampledFrom([]Policy{LeastFinish, RoundRobin}).Draw(t, "policy"),
			Zone:   "r0-z0", Region: "r0", Seed: rapid.Uint64().Draw(t, "seed"),
		})
		now := epoch
		leaving := map[string]bool{}
		usable := 0
		q := &Query{Prefix: rapid.Uint64Range(0, 3).Draw(t, "prefix")}
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
				r.Observe(now, id, Load{Service: 10 * ms, Limit: 4, Leaving: leaving[id]})
			case 1:
				r.Start(now, id)
				r.End(now, id, Outcome{Code: result.ServerFailed})
			case 2:
				r.Start(now, id)
				r.End(now, id, Outcome{Silent: true})
			case 3:
				r.Start(now, id)
				r.End(now, id, Outcome{Code: result.ServerLeaving})
				leaving[id] = true
			}
			s, ok := r.Pick(now, q)
			if ok && (leaving[s.ID] || slices.Contains(q.Exclude, s.ID)) {
				t.Fatalf("picked %s, which is leaving or excluded", s.ID)
			}
			left := 0
			for _, s := range list {
				if !leaving[s.ID] && !slices.Contains(q.Exclude, s.ID) {
					left++
				}
			}
			if ok != (left > 0) {
				t.Fatalf("ok %v with %d servers left", ok, left)
			}
		}
	})
}

// TestSubsetSpread checks that entries of all zones spread over the servers of
// their zone, and that one change of the list changes a subset little.
func TestSubsetSpread(t *testing.T) {
	list := servers(2700, 5)
	chosen := map[string]int{}
	for seed := range uint64(360) {
		r := New(Options{Zone: fmt.Sprintf("r%d-z%d", seed%5, seed/5%2), Region: fmt.Sprintf("r%d", seed%5), Seed: seed})
		r.SetServers(epoch, list)
		g := r.group(epoch, "")
		assert.Equal(t, len(g.candidates), defaultSubset)
		assert.Equal(t, g.candidates[0].Zone, r.opts.Zone)
		assert.Equal(t, g.candidates[defaultSubset-1].tier, tierOther)
		for _, st := range g.candidates {
			chosen[st.ID]++
		}
		before := fmt.Sprint(ids(g.candidates))
		r.SetServers(epoch, list[:len(list)-27])
		after := r.group(epoch, "").candidates
		kept := 0
		for _, st := range after {
			if containsID(before, st.ID) {
				kept++
			}
		}
		assert.Assert(t, kept >= defaultSubset-4, "kept %d", kept)
	}
	greatest := 0
	for _, n := range chosen {
		greatest = max(greatest, n)
	}
	// The mean is 360*24/2700 = 3.2.
	assert.Assert(t, greatest <= 12, "one server in the subsets of %d entries", greatest)
	assert.Assert(t, len(chosen) > 2500, "only %d servers chosen", len(chosen))
}

func TestSameSeedSameChoices(t *testing.T) {
	a, b := newRouter(7, servers(30, 3)), newRouter(7, servers(30, 3))
	for i := range 200 {
		now := epoch.Add(time.Duration(i) * ms)
		x, _ := a.Pick(now, &Query{})
		y, _ := b.Pick(now, &Query{})
		assert.Equal(t, x.ID, y.ID)
		a.Start(now, x.ID)
		b.Start(now, y.ID)
	}
}

func TestPrefixGoesHome(t *testing.T) {
	list := servers(9, 1)
	homes := map[string]bool{}
	for prefix := uint64(1); prefix <= 40; prefix++ {
		at := map[string]bool{}
		for seed := range uint64(4) {
			r := newRouter(seed, list)
			r.opts.Cache = fixedCache{}
			q := &Query{Prefix: prefix}
			s, _ := r.Pick(epoch, q)
			at[s.ID] = true
		}
		assert.Equal(t, len(at), 1, "prefix %d at several servers", prefix)
		for id := range at {
			homes[id] = true
		}
	}
	assert.Assert(t, len(homes) >= 6, "only %d homes", len(homes))
}

func TestBusyHomeIsLeft(t *testing.T) {
	r := newRouter(1, servers(9, 1))
	r.opts.Cache = fixedCache{}
	q := &Query{Prefix: 5}
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
	assert.Assert(t, greatest > 5 && greatest <= 9, "home got %d of 45", greatest)
}

// fixedCache knows nothing.
type fixedCache struct{}

func (fixedCache) Lookup(time.Time, string, uint64) (float64, bool) { return 0, false }

func TestTransferKeepsBytesInRegion(t *testing.T) {
	r := newRouter(3, servers(9, 3))
	for i := range 100 {
		s, _ := r.Pick(epoch, &Query{Bytes: 2 << 20, BytesRegion: "r2"})
		assert.Equal(t, s.Region, "r2", "choice %d", i)
	}
}

// TestBilledBytesOutweighShortGain checks that a gain of some milliseconds does
// not pay for bytes billed between regions.
func TestBilledBytesOutweighShortGain(t *testing.T) {
	r := newRouter(3, servers(6, 3))
	for _, st := range r.all {
		if st.Region == "r0" {
			r.Observe(epoch, st.ID, Load{Running: 5, Limit: 8, Service: 100 * ms})
		}
	}
	remote := map[bool]int{}
	for range 100 {
		s, _ := r.Pick(epoch, &Query{Bytes: 256 << 10})
		remote[s.Region != "r0"]++
		s, _ = r.Pick(epoch, &Query{})
		assert.Assert(t, s.Region != "r0")
	}
	assert.Equal(t, remote[true], 0)
}

func TestExpected(t *testing.T) {
	r := New(Options{})
	r.SetServers(epoch, servers(3, 1))
	_, ok := r.Expected(epoch, &Query{})
	assert.Assert(t, !ok)
	for _, s := range servers(3, 1) {
		r.Observe(epoch, s.ID, Load{Limit: 2, Running: 2, Queued: 4, Service: 100 * ms, Wait: 250 * ms})
	}
	d, ok := r.Expected(epoch, &Query{})
	assert.Assert(t, ok)
	assert.Assert(t, d >= 340*ms && d < 400*ms, "expected %v", d)
}

// TestExpectedCountsOtherEntries checks that between two reports the calls sent
// from here stand for those of other entries too.
func TestExpectedCountsOtherEntries(t *testing.T) {
	expected := func(all int) time.Duration {
		r := New(Options{Zone: "r0-z0", Region: "r0"})
		list := servers(1, 1)
		r.SetServers(epoch, list)
		for range 4 {
			r.Start(epoch, list[0].ID)
		}
		r.Observe(epoch, list[0].ID, Load{Limit: 4, Running: 4, Queued: all - 4, Service: 400 * ms})
		for range 4 {
			r.Start(epoch, list[0].ID)
		}
		d, ok := r.Expected(epoch, &Query{})
		assert.Assert(t, ok)
		return d
	}
	// One call more takes 100 ms more; 4 sent from here since the report.
	assert.Equal(t, expected(4), 900*ms)
	assert.Equal(t, expected(12), 900*ms+(8+2*4)*100*ms)
}

func TestModels(t *testing.T) {
	r := New(Options{Seed: 1})
	list := servers(6, 1)
	r.SetServers(epoch, list)
	for i, s := range list {
		r.Observe(epoch, s.ID, Load{Limit: 2, Service: ms, Models: []string{[]string{"a", "b"}[i%2]}})
	}
	for range 50 {
		s, ok := r.Pick(epoch, &Query{Model: "b"})
		assert.Assert(t, ok)
		assert.Assert(t, int(s.ID[4]-'0')%2 == 1, s.ID)
	}
	r.Observe(epoch, list[0].ID, Load{Limit: 2, Service: ms, Models: []string{"b"}})
	r.End(epoch, list[1].ID, Outcome{Code: result.ModelNotLoaded, Model: "b"})
	seen := map[string]bool{}
	for range 100 {
		s, _ := r.Pick(epoch, &Query{Model: "b"})
		seen[s.ID] = true
	}
	assert.Assert(t, seen[list[0].ID] && !seen[list[1].ID])
}

func ids(list []*server) []string {
	var out []string
	for _, st := range list {
		out = append(out, st.ID)
	}
	return out
}

func containsID(text, id string) bool {
	for i := 0; i+len(id) <= len(text); i++ {
		if text[i:i+len(id)] == id {
			return true
		}
	}
	return false
}
