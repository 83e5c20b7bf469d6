package budget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const refreshInterval = 18 * time.Second

func TestAllowanceFraction(t *testing.T) {
	s := newTestShare()
	assert.Equal(t, s.Fraction(0), 0.0, "an unregistered entry must not use the allowance")
	s.UpdateEntryCount(0, 3)
	assert.Equal(t, s.Fraction(0), 1.0/8)
	s.UpdateEntryCount(15*time.Second, 20)
	assert.Equal(t, s.Fraction(15*time.Second), 1.0/20)
	s.UpdateEntryCount(20*time.Second, 10)
	assert.Equal(t, s.Fraction(20*time.Second), 1.0/10)
	s.Stop()
	assert.Equal(t, s.Fraction(21*time.Second), 0.0)

	ninth := newTestShare()
	ninth.UpdateEntryCount(0, 9)
	assert.Equal(t, ninth.Fraction(refreshInterval+testOptions.Window-1), 0.0, "other entries may not have seen the ninth one, or have used a larger fraction within the window")
	assert.Equal(t, ninth.Fraction(refreshInterval+testOptions.Window), 1.0/9)

	restarted := newTestShare()
	restarted.RecordRestart(0)
	restarted.UpdateEntryCount(0, 2)
	assert.Equal(t, restarted.Fraction(testOptions.Window-1), 0.0, "the entry may have used its fraction before the restart")
	assert.Equal(t, restarted.Fraction(testOptions.Window), 1.0/8)
}

func newTestShare() AllowanceShare {
	return AllowanceShare{Window: testOptions.Window, Interval: refreshInterval}
}

// simulatedEntry is an entry of the property test with the fractions that it may have
// used.
type simulatedEntry struct {
	share      AllowanceShare
	registered bool
	// stoppedAt is when the entry stopped writing its record, which then remains
	// for recordRetention.
	stoppedAt  time.Duration
	hasRecord  bool
	nextUpdate time.Duration
	// fractionBySecond is the fraction that the entry could use at each second.
	fractionBySecond map[int]float64
}

// TestFractionsNeverExceedAllowance registers, restarts and stops entries at random.
// The fractions that all entries can use within a window never add up to more than 1.
func TestFractionsNeverExceedAllowance(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		entries := make([]*simulatedEntry, rapid.IntRange(1, 60).Draw(rt, "entries"))
		for i := range entries {
			entries[i] = &simulatedEntry{fractionBySecond: map[int]float64{}}
		}
		for second := range rapid.IntRange(1, 120).Draw(rt, "seconds") {
			now := time.Duration(second) * time.Second
			for range rapid.IntRange(0, 6).Draw(rt, "changes") {
				m := entries[rapid.IntRange(0, len(entries)-1).Draw(rt, "entry")]
				applyChange(m, now, rapid.IntRange(0, 3).Draw(rt, "change"))
			}
			total := 0.0
			for _, m := range entries {
				updateEntryCount(m, entries, now)
				m.fractionBySecond[second] = m.share.Fraction(now)
				total += maxOfLastTenSeconds(m.fractionBySecond, second)
			}
			assert.Assert(rt, total <= 1+1e-9, "the fractions used in the window up to second %d add up to %v", second, total)
		}
	})
}

// recordRetention is how long the record of a stopped entry remains.
const recordRetention = 3 * refreshInterval

// applyChange registers, restarts or stops an entry.
func applyChange(m *simulatedEntry, now time.Duration, kind int) {
	switch {
	case kind == 0 && m.registered:
		m.registered = false
		m.stoppedAt = now
		m.share.Stop()
	case kind == 1 && m.registered, !m.registered:
		m.share = newTestShare()
		if m.hasRecord {
			m.share.RecordRestart(now)
		}
		m.registered, m.hasRecord = true, true
		m.nextUpdate = now
	}
}

// updateEntryCount lets an entry count the records if its interval has elapsed, and
// removes expired records.
func updateEntryCount(m *simulatedEntry, entries []*simulatedEntry, now time.Duration) {
	if !m.registered || now < m.nextUpdate {
		return
	}
	recordCount := 0
	for _, other := range entries {
		if !other.registered && other.hasRecord && now-other.stoppedAt > recordRetention {
			other.hasRecord = false
		}
		if other.hasRecord {
			recordCount++
		}
	}
	m.share.UpdateEntryCount(now, recordCount)
	m.nextUpdate = now + refreshInterval
}

// maxOfLastTenSeconds returns the largest fraction of the last ten seconds, which is
// the window.
func maxOfLastTenSeconds(fractionBySecond map[int]float64, second int) float64 {
	largest := 0.0
	for s := second - 9; s <= second; s++ {
		largest = max(largest, fractionBySecond[s])
	}
	return largest
}
