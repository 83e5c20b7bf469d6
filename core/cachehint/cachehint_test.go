package cachehint

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

func TestHints(t *testing.T) {
	cases := []struct {
		name   string
		events []Event
		after  time.Duration
		likely float64
		known  bool
	}{
		{"nothing", nil, 0, 0, false},
		{"present", []Event{{1, 7, true}}, 0, 1, true},
		{"aged", []Event{{1, 7, true}}, half, 0.5, true},
		{"forgotten", []Event{{1, 7, true}}, forgotten + 1, 0, false},
		{"evicted", []Event{{1, 7, true}, {2, 7, false}}, 0, 0, true},
		{"gap after", []Event{{1, 7, true}, {3, 8, true}}, 0, 0, false},
		{"gap before", []Event{{1, 8, true}, {4, 7, true}}, 0, 1, true},
		{"sent again", []Event{{1, 7, true}, {2, 7, false}, {1, 7, true}}, 0, 0, true},
		{"late after a gap", []Event{{1, 8, true}, {3, 8, true}, {2, 7, true}}, 0, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := New()
			table.Observe(epoch, "s", c.events)
			likely, known := table.Lookup(epoch.Add(c.after), "s", 7)
			assert.Equal(t, likely, c.likely)
			assert.Equal(t, known, c.known)
		})
	}
}

// TestNeverWrong checks that whatever events are lost, delayed or doubled, a
// hint never contradicts the state as of the latest event that came in.
func TestNeverWrong(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New()
		truth := map[uint64]bool{}
		var sent []Event
		for seq := range uint64(rapid.IntRange(1, 60).Draw(t, "events")) {
			e := Event{seq + 1, rapid.Uint64Range(1, 4).Draw(t, "prefix"), rapid.Bool().Draw(t, "present")}
			truth[e.Prefix] = e.Present
			sent = append(sent, e)
			if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
				continue
			}
			table.Observe(epoch, "s", []Event{e})
			if rapid.Bool().Draw(t, "again") {
				table.Observe(epoch, "s", []Event{sent[rapid.IntRange(0, len(sent)-1).Draw(t, "which")]})
			}
			for prefix, present := range truth {
				likely, known := table.Lookup(epoch, "s", prefix)
				if known && (likely == 1) != present {
					t.Fatalf("prefix %d: hint %v, truth %v", prefix, likely, present)
				}
			}
		}
	})
}

func TestBounded(t *testing.T) {
	table := New()
	for i := range uint64(3 * perServer) {
		table.Observe(epoch, "s", []Event{{i + 1, i, true}})
	}
	assert.Equal(t, len(table.servers["s"].hints), perServer)
	table.Forget("s")
	_, known := table.Lookup(epoch, "s", 3*perServer-1)
	assert.Assert(t, !known)
}
