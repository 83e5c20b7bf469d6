package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

func newTable(zones ...string) *Table {
	t := New(nil)
	var defs []Server
	for i, z := range zones {
		defs = append(defs, Server{ID: fmt.Sprint("s", i), Address: fmt.Sprint("a", i), Zone: z, Slots: 4, CacheTokens: 100_000})
	}
	t.SetServers("p", defs)
	return t
}

func request(id string, parts ...Part) Request {
	return Request{ID: id, Pool: "p", Zone: "x", Parts: parts, MaxTokens: 100}
}

func choose(t *testing.T, tab *Table, now time.Duration, r Request) string {
	t.Helper()
	s, ok := tab.Choose(now, r)
	assert.Assert(t, ok)
	return s.ID
}

func TestPromptsFollowTheirCachedParts(t *testing.T) {
	tab := newTable("x", "x", "x")
	shared := Part{ID: "doc", Tokens: 13_000}
	first := choose(t, tab, 0, request("r1", shared, Part{ID: "q1", Tokens: 500}))
	tab.Started(100*ms, "r1")
	tab.Finish(900*ms, "r1", Complete)
	second := choose(t, tab, time.Second, request("r2", shared, Part{ID: "q2", Tokens: 500}))
	assert.Equal(t, second, first)
}

func TestUnknownPromptsHaveOneHomeAtAllEntries(t *testing.T) {
	for i := range 20 {
		r := request("r", Part{ID: fmt.Sprint("doc", i), Tokens: 13_000}, Part{ID: "q", Tokens: 10})
		assert.Equal(t, choose(t, newTable("x", "x", "x"), 0, r), choose(t, newTable("x", "x", "x"), 0, r))
	}
}

func TestLoadSpreadsPromptsThatShareNothing(t *testing.T) {
	tab := newTable("x", "x", "x")
	seen := map[string]int{}
	for i := range 9 {
		seen[choose(t, tab, 0, request(fmt.Sprint("r", i), Part{ID: fmt.Sprint("q", i), Tokens: 6000}))]++
	}
	assert.DeepEqual(t, seen, map[string]int{"s0": 3, "s1": 3, "s2": 3})
}

func TestFaultsKeepRequestsAway(t *testing.T) {
	tests := []struct {
		name string
		// end is how requests at s0 end; 0 leaves them without a first event.
		end   End
		never bool
		// back is when s0 is used again.
		back time.Duration
	}{
		{"unreached", Unreached, false, 30 * time.Second},
		{"failed", Failed, false, 60 * time.Second},
		{"no first event", 0, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tab := newTable("x", "y")
			assert.Equal(t, choose(t, tab, 0, request("r1")), "s0")
			now := 100 * ms
			if tt.never {
				now = 2 * time.Second
			} else {
				tab.Finish(now, "r1", tt.end)
			}
			assert.Equal(t, choose(t, tab, now+ms, request("r2")), "s1")
			if tt.back > 0 {
				tab.Finish(now+ms, "r2", Complete)
				assert.Equal(t, choose(t, tab, now+tt.back, request("r3")), "s0")
			}
		})
	}
}

func TestResultsDrawRequestsToTheirZone(t *testing.T) {
	tab := newTable("x", "y")
	r := request("r")
	assert.Equal(t, choose(t, tab, 0, r), "s0")
	r.ID, r.Results = "r2", map[string]int64{"y": 9_000_000}
	assert.Equal(t, choose(t, tab, 0, r), "s1")
}

func TestAvoidedFullAndMissingServers(t *testing.T) {
	tab := newTable("x", "x")
	r := request("r")
	r.Avoid = []string{"s0", "s1"}
	_, ok := tab.Choose(0, r)
	assert.Assert(t, !ok)
	for i := range 4 {
		r := request(fmt.Sprint("f", i))
		r.Avoid = []string{"s1"}
		assert.Equal(t, choose(t, tab, 0, r), "s0")
	}
	assert.Equal(t, choose(t, tab, 0, request("next")), "s1")
	_, ok = New(nil).Choose(0, request("r"))
	assert.Assert(t, !ok)
}

func TestANewStartHasNothingCached(t *testing.T) {
	tab := newTable("x", "x")
	doc := []Part{{ID: "doc", Tokens: 13_000}, {ID: "q", Tokens: 1}}
	first := choose(t, tab, 0, request("r1", doc...))
	tab.Finish(0, "r1", Complete)
	var defs []Server
	for _, s := range tab.pools["p"] {
		def := s.def
		def.Started = 5
		defs = append(defs, def)
	}
	tab.SetServers("p", defs)
	for _, s := range tab.pools["p"] {
		assert.Equal(t, len(s.cached), 0, first)
	}
}

func TestCacheStaysWithinTheMemory(t *testing.T) {
	tab := newTable("x")
	for i := range 200 {
		id := fmt.Sprint("r", i)
		choose(t, tab, time.Duration(i)*ms, request(id, Part{ID: fmt.Sprint("doc", i), Tokens: 5000}))
		tab.Finish(time.Duration(i)*ms, id, Complete)
	}
	s := tab.pools["p"][0]
	assert.Assert(t, s.tokens <= int(cacheShare*100_000), s.tokens)
	assert.Assert(t, s.cached["/doc199"] != nil && s.cached["/doc0"] == nil)
}

func BenchmarkChooseAmong60Servers(b *testing.B) {
	zones := make([]string, 60)
	for i := range zones {
		zones[i] = fmt.Sprint("z", i%6)
	}
	tab := newTable(zones...)
	r := request("r", Part{ID: "doc", Tokens: 13_000}, Part{ID: "q", Tokens: 500})
	b.ReportAllocs()
	for b.Loop() {
		tab.Choose(0, r)
	}
}

// TestWayToTheServer places short requests: the own zone goes first, then the own
// region; another region is taken only when the others are busier.
func TestWayToTheServer(t *testing.T) {
	regions := map[string]string{"a1": "a", "a2": "a", "b1": "b"}
	for _, tt := range []struct {
		name    string
		servers []string
		busy    map[string]int
		want    string
	}{
		{"own zone", []string{"b1", "a2", "a1"}, nil, "a1"},
		{"own region", []string{"b1", "a2"}, nil, "a2"},
		{"own region, a little busier", []string{"b1", "a2"}, map[string]int{"a2": 5}, "a2"},
		{"other zone of the region before a busier own one", []string{"a1", "a2"}, map[string]int{"a1": 3}, "a2"},
		{"other region before a much busier own one", []string{"b1", "a2"}, map[string]int{"a2": 20}, "b1"},
	} {
		tab := New(regions)
		var defs []Server
		for _, zone := range tt.servers {
			defs = append(defs, Server{ID: zone, Zone: zone, Slots: 64, CacheTokens: 100000})
		}
		for zone, n := range tt.busy {
			tab.SetServers("p", []Server{{ID: zone, Zone: zone, Slots: 64, CacheTokens: 100000}})
			for i := range n {
				tab.Choose(0, Request{ID: fmt.Sprint(i), Pool: "p", Zone: "a1"})
				tab.Started(0, fmt.Sprint(i))
			}
		}
		tab.SetServers("p", defs)
		got, ok := tab.Choose(0, Request{ID: "r", Pool: "p", Zone: "a1"})
		assert.Assert(t, ok)
		assert.Equal(t, got.Zone, tt.want, tt.name)
	}
}
