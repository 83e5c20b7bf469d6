package cachehint

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

func TestLookup(t *testing.T) {
	cases := []struct {
		name        string
		events      []Event
		elapsed     time.Duration
		probability float64
		known       bool
	}{
		{"no events", nil, 0, 0, false},
		{"present", []Event{{1, 7, true}}, 0, 1, true},
		{"half-life passed", []Event{{1, 7, true}}, hintHalfLife, 0.5, true},
		{"expired", []Event{{1, 7, true}}, maxHintAge + 1, 0, false},
		{"evicted", []Event{{1, 7, true}, {2, 7, false}}, 0, 0, true},
		{"gap after the event", []Event{{1, 7, true}, {3, 8, true}}, 0, 0, false},
		{"gap before the event", []Event{{1, 8, true}, {4, 7, true}}, 0, 1, true},
		{"duplicate of an older event", []Event{{1, 7, true}, {2, 7, false}, {1, 7, true}}, 0, 0, true},
		{"delayed event fills a gap", []Event{{1, 8, true}, {3, 8, true}, {2, 7, true}}, 0, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := New()
			table.Observe(epoch, "s", c.events)
			probability, known := table.Lookup(epoch.Add(c.elapsed), "s", 7)
			assert.Equal(t, probability, c.probability)
			assert.Equal(t, known, c.known)
		})
	}
}

// TestHintNeverContradictsLatestEvent checks that no matter which events are lost,
// delayed or duplicated, a hint never contradicts the state after the latest event
// received.
func TestHintNeverContradictsLatestEvent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New()
		actual := map[uint64]bool{}
		var sent []Event
		for seq := range uint64(rapid.IntRange(1, 60).Draw(t, "events")) {
			e := Event{seq + 1, rapid.Uint64Range(1, 4).Draw(t, "prefix"), rapid.Bool().Draw(t, "present")}
			actual[e.Prefix] = e.Present
			sent = append(sent, e)
			if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
				continue
			}
			table.Observe(epoch, "s", []Event{e})
			if rapid.Bool().Draw(t, "duplicate") {
				table.Observe(epoch, "s", []Event{sent[rapid.IntRange(0, len(sent)-1).Draw(t, "duplicateIndex")]})
			}
			for prefix, present := range actual {
				probability, known := table.Lookup(epoch, "s", prefix)
				if known && (probability == 1) != present {
					t.Fatalf("prefix %d: probability %v, but present is %v", prefix, probability, present)
				}
			}
		}
	})
}

func TestHintsPerServerBounded(t *testing.T) {
	table := New()
	for i := range uint64(3 * maxHintsPerServer) {
		table.Observe(epoch, "s", []Event{{i + 1, i, true}})
	}
	assert.Equal(t, len(table.servers["s"].hints), maxHintsPerServer)
	table.Forget("s")
	_, known := table.Lookup(epoch, "s", 3*maxHintsPerServer-1)
	assert.Assert(t, !known)
}
