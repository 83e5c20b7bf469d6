package lease

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func record(holder string, fence uint64) []byte {
	r := Record{Slot: "engine-1", Holder: Holder{Instance: holder, Incarnation: 1}, Fence: fence}
	return r.Encode()
}

func TestFold(t *testing.T) {
	type step struct {
		at     time.Duration
		holder string
		fence  uint64
	}
	cases := []struct {
		name   string
		steps  []step
		holder string
		fence  uint64
		until  time.Duration
		free   time.Duration
	}{
		{"taken", []step{{0, "a", 0}}, "a", 1, 10 * time.Second, -1},
		{"renewed", []step{{0, "a", 0}, {5 * time.Second, "a", 1}}, "a", 1, 15 * time.Second, -1},
		{"taken again by its holder", []step{{0, "a", 0}, {5 * time.Second, "a", 0}}, "a", 1, 15 * time.Second, -1},
		{"taken over", []step{{0, "a", 0}, {time.Second, "b", 0}}, "b", 2, 11 * time.Second, 10 * time.Second},
		{"a late renewal does not take it back", []step{{0, "a", 0}, {time.Second, "b", 0}, {2 * time.Second, "a", 1}}, "b", 2, 11 * time.Second, 10 * time.Second},
		{"taken over twice waits for both", []step{{0, "a", 0}, {time.Second, "b", 0}, {2 * time.Second, "c", 0}}, "c", 3, 12 * time.Second, 11 * time.Second},
		{"former waits for the one between", []step{{0, "a", 0}, {time.Second, "b", 0}, {2 * time.Second, "a", 0}}, "a", 3, 12 * time.Second, 11 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := New()
			for _, s := range c.steps {
				table.Fold(table.Next(), epoch.Add(s.at), record(s.holder, s.fence))
			}
			l, ok := table.Get("engine-1")
			assert.Assert(t, ok)
			assert.Equal(t, l.Holder.Instance, c.holder)
			assert.Equal(t, l.Fence, c.fence)
			assert.Equal(t, l.Until.Sub(epoch), c.until)
			if c.free >= 0 {
				assert.Equal(t, l.Free.Sub(epoch), c.free)
			} else {
				assert.Assert(t, l.Free.IsZero())
			}
		})
	}
}

// TestHoldersNeverOverlap checks that of the holders that heed Free no two may
// give orders at the same time, and that fencing numbers grow.
func TestHoldersNeverOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New()
		now := epoch
		// until holds, for each holder, when its last known lease runs out.
		until := map[string]time.Time{}
		lastFence := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond)
			who := fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "holder"))
			fence := uint64(0)
			if l, ok := table.Get("engine-1"); ok && rapid.Bool().Draw(t, "renew") {
				fence = l.Fence
			}
			table.Fold(table.Next(), now, record(who, fence))
			l, ok := table.Get("engine-1")
			if !ok {
				continue
			}
			if l.Fence < lastFence {
				t.Fatalf("fence %d after %d", l.Fence, lastFence)
			}
			lastFence = l.Fence
			if l.Holder.Instance != who {
				continue
			}
			for other, u := range until {
				if other != who && u.After(l.Free) && u.After(now) {
					t.Fatalf("%s may act from %v, but %s until %v", who, l.Free, other, u)
				}
			}
			until[who] = l.Until
		}
	})
}

func TestGarbageAndOtherOffsets(t *testing.T) {
	table := New()
	table.Fold(1, epoch, []byte("{"))
	table.Fold(2, epoch, []byte(`{"h":{}}`))
	table.Fold(2, epoch, record("a", 0))
	_, ok := table.Get("engine-1")
	assert.Assert(t, !ok)
	table.Skip(9)
	table.Fold(9, epoch, record("a", 0))
	l, _ := table.Get("engine-1")
	assert.Equal(t, l.Fence, uint64(9))
}

func FuzzDecode(f *testing.F) {
	f.Add(record("a", 0))
	f.Add(record("a", 7))
	f.Add([]byte(`{"s":"x","h":[]}`))
	f.Fuzz(func(_ *testing.T, b []byte) {
		table := New()
		table.Fold(1, epoch, b)
		table.Fold(2, epoch, b)
	})
}
