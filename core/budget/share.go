package budget

import "time"

// entriesLeast is the number of entries that the fixed allowance is divided by at
// least: as long as there are no more of them, an entry need not be seen by the others
// before it spends its part.
const entriesLeast = 8

// Share is the part of the fixed allowance that one entry may spend. Entries learn
// how many they are from their records, which stay for several intervals after an
// entry left; each one looks at them at least once in an interval. What all entries
// that keep to it spend within a window never adds up to more than the whole:
//
//   - the entry recorded as the k-th sees at least k records;
//   - with more than entriesLeast entries it spends nothing for an interval and a
//     window: all others have seen it by then, and have spent less from there on;
//   - a new start of a known entry spends nothing for a window: what its earlier start
//     has spent is over then;
//   - one that leaves spends nothing more.
//
// Share has no clock and no I/O. The zero value spends nothing.
type Share struct {
	// Window is the window of the budget.
	Window time.Duration
	// Interval is the longest time between two looks of any entry, and at least Window.
	Interval time.Duration

	entries int
	from    time.Duration
	left    bool
}

// Restarted records that an earlier start of the entry may have spent its part.
func (s *Share) Restarted(now time.Duration) { s.from = max(s.from, now+s.Window) }

// Look takes in the number of records, the entry's own among them.
func (s *Share) Look(now time.Duration, entries int) {
	if s.entries == 0 && entries > entriesLeast {
		s.from = now + s.Interval + s.Window
	}
	s.entries = entries
}

// Leave ends the part of an entry that stops.
func (s *Share) Leave() { s.left = true }

// Part returns the part of the allowance, between 0 and 1.
func (s *Share) Part(now time.Duration) float64 {
	if s.entries == 0 || s.left || now < s.from {
		return 0
	}
	return 1 / float64(max(s.entries, entriesLeast))
}
