package lease

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// encodeRecord returns a record for the slot engine-1.
func encodeRecord(holder string, fence uint64) []byte {
	r := Record{Slot: "engine-1", Holder: Holder{Instance: holder, Incarnation: 1}, Fence: fence}
	return r.Encode()
}

func TestApply(t *testing.T) {
	type step struct {
		at     time.Duration
		holder string
		fence  uint64
	}
	cases := []struct {
		name           string
		steps          []step
		holder         string
		fence          uint64
		expiresAt      time.Duration
		priorExpiresAt time.Duration
	}{
		{"acquired", []step{{0, "a", 0}}, "a", 1, 10 * time.Second, -1},
		{"renewed", []step{{0, "a", 0}, {5 * time.Second, "a", 1}}, "a", 1, 15 * time.Second, -1},
		{"acquired again by its holder", []step{{0, "a", 0}, {5 * time.Second, "a", 0}}, "a", 1, 15 * time.Second, -1},
		{"taken over", []step{{0, "a", 0}, {time.Second, "b", 0}}, "b", 2, 11 * time.Second, 10 * time.Second},
		{"a renewal after the takeover has no effect", []step{{0, "a", 0}, {time.Second, "b", 0}, {2 * time.Second, "a", 1}}, "b", 2, 11 * time.Second, 10 * time.Second},
		{"the third holder waits for both earlier leases", []step{{0, "a", 0}, {time.Second, "b", 0}, {2 * time.Second, "c", 0}}, "c", 3, 12 * time.Second, 11 * time.Second},
		{"a former holder waits for the lease in between", []step{{0, "a", 0}, {time.Second, "b", 0}, {2 * time.Second, "a", 0}}, "a", 3, 12 * time.Second, 11 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := New()
			for _, s := range c.steps {
				table.Apply(table.Next(), epoch.Add(s.at), encodeRecord(s.holder, s.fence))
			}
			l, ok := table.Get("engine-1")
			assert.Assert(t, ok)
			assert.Equal(t, l.Holder.Instance, c.holder)
			assert.Equal(t, l.Fence, c.fence)
			assert.Equal(t, l.ExpiresAt.Sub(epoch), c.expiresAt)
			if c.priorExpiresAt >= 0 {
				assert.Equal(t, l.PriorExpiresAt.Sub(epoch), c.priorExpiresAt)
			} else {
				assert.Assert(t, l.PriorExpiresAt.IsZero())
			}
		})
	}
}

// TestHoldersNeverOverlap checks that no two holders may give orders at the same time
// if each waits for PriorExpiresAt, and that fencing numbers never decrease.
func TestHoldersNeverOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New()
		now := epoch
		// expiresAt holds when the newest known lease of each holder expires.
		expiresAt := map[string]time.Time{}
		lastFence := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond)
			holder := fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "holder"))
			fence := uint64(0)
			if l, ok := table.Get("engine-1"); ok && rapid.Bool().Draw(t, "renew") {
				fence = l.Fence
			}
			table.Apply(table.Next(), now, encodeRecord(holder, fence))
			l, ok := table.Get("engine-1")
			if !ok {
				continue
			}
			if l.Fence < lastFence {
				t.Fatalf("fencing number %d after %d", l.Fence, lastFence)
			}
			lastFence = l.Fence
			if l.Holder.Instance != holder {
				continue
			}
			for other, otherExpiresAt := range expiresAt {
				if other != holder && otherExpiresAt.After(l.PriorExpiresAt) && otherExpiresAt.After(now) {
					t.Fatalf("%s may give orders from %v on, but the lease of %s lasts until %v", holder, l.PriorExpiresAt, other, otherExpiresAt)
				}
			}
			expiresAt[holder] = l.ExpiresAt
		}
	})
}

func TestApplyIgnoresMalformedRecordsAndOtherOffsets(t *testing.T) {
	table := New()
	table.Apply(1, epoch, []byte("{"))
	table.Apply(2, epoch, []byte(`{"h":{}}`))
	table.Apply(2, epoch, encodeRecord("a", 0))
	_, ok := table.Get("engine-1")
	assert.Assert(t, !ok)
	table.Skip(9)
	table.Apply(9, epoch, encodeRecord("a", 0))
	l, _ := table.Get("engine-1")
	assert.Equal(t, l.Fence, uint64(9))
}

// FuzzDecode applies arbitrary bytes as records.
func FuzzDecode(f *testing.F) {
	f.Add(encodeRecord("a", 0))
	f.Add(encodeRecord("a", 7))
	f.Add([]byte(`{"s":"x","h":[]}`))
	f.Fuzz(func(_ *testing.T, b []byte) {
		table := New()
		table.Apply(1, epoch, b)
		table.Apply(2, epoch, b)
	})
}
