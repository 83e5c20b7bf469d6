package budget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const interval = 18 * time.Second

func TestShare(t *testing.T) {
	s := newShare()
	assert.Equal(t, s.Part(0), 0.0, "an entry that is not registered spends nothing")
	s.Look(0, 3)
	assert.Equal(t, s.Part(0), 1.0/8)
	s.Look(15*time.Second, 20)
	assert.Equal(t, s.Part(15*time.Second), 1.0/20)
	s.Look(20*time.Second, 10)
	assert.Equal(t, s.Part(20*time.Second), 1.0/10)
	s.Leave()
	assert.Equal(t, s.Part(21*time.Second), 0.0)

	late := newShare()
	late.Look(0, 9)
	assert.Equal(t, late.Part(interval+opts.Window-1), 0.0, "the others have not seen it or have spent more")
	assert.Equal(t, late.Part(interval+opts.Window), 1.0/9)

	again := newShare()
	again.Restarted(0)
	again.Look(0, 2)
	assert.Equal(t, again.Part(opts.Window-1), 0.0, "its earlier start has spent")
	assert.Equal(t, again.Part(opts.Window), 1.0/8)
}

func newShare() Share { return Share{Window: opts.Window, Interval: interval} }

// member is an entry of the property test with the parts that it may have spent.
type member struct {
	share      Share
	registered bool
	// recorded is when its record was last written; it stays for a while after it left.
	recorded time.Duration
	known    bool
	nextLook time.Duration
	// spent is the largest part of each second.
	spent map[int]float64
}

// TestSharesOfManyEntries registers, restarts and takes away entries at random. The
// parts that all of them spent within a window never add up to more than the whole.
func TestSharesOfManyEntries(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		all := make([]*member, rapid.IntRange(1, 60).Draw(rt, "entries"))
		for i := range all {
			all[i] = &member{spent: map[int]float64{}}
		}
		for second := range rapid.IntRange(1, 120).Draw(rt, "seconds") {
			now := time.Duration(second) * time.Second
			for range rapid.IntRange(0, 6).Draw(rt, "changes") {
				m := all[rapid.IntRange(0, len(all)-1).Draw(rt, "entry")]
				change(m, now, rapid.IntRange(0, 3).Draw(rt, "change"))
			}
			total := 0.0
			for _, m := range all {
				look(m, all, now)
				m.spent[second] = m.share.Part(now)
				total += within10(m.spent, second)
			}
			assert.Assert(rt, total <= 1+1e-9, "the parts spent up to second %d are %v", second, total)
		}
	})
}

// kept is how long the record of an entry that left stays.
const kept = 3 * interval

// change registers, restarts or takes away an entry.
func change(m *member, now time.Duration, what int) {
	switch {
	case what == 0 && m.registered:
		m.registered = false
		m.recorded = now
		m.share.Leave()
	case what == 1 && m.registered, !m.registered:
		m.share = newShare()
		if m.known {
			m.share.Restarted(now)
		}
		m.registered, m.known = true, true
		m.nextLook = now
	}
}

// look looks at the records when it is time.
func look(m *member, all []*member, now time.Duration) {
	if !m.registered || now < m.nextLook {
		return
	}
	n := 0
	for _, other := range all {
		if !other.registered && other.known && now-other.recorded > kept {
			other.known = false
		}
		if other.known {
			n++
		}
	}
	m.share.Look(now, n)
	m.nextLook = now + interval
}

// within10 returns the largest part of the last ten seconds, the window.
func within10(spent map[int]float64, second int) float64 {
	most := 0.0
	for s := second - 9; s <= second; s++ {
		most = max(most, spent[s])
	}
	return most
}
