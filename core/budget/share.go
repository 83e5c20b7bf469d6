package budget

import "time"

// minEntries is the smallest number by which the fixed allowance is divided. Up to this
// number of entries, a new entry may use its fraction before the others have seen it.
const minEntries = 8

// AllowanceShare computes the fraction of the fixed allowance that one entry may use.
// Each entry counts the records of all entries in the store at least once per interval.
// The record of an entry that has left remains for several intervals. Together the entries
// never use more than the allowance within a window, because:
//
//   - the k-th entry to be recorded sees at least k records;
//   - a new entry that sees more than minEntries entries uses nothing for an interval
//     and a window: by then all others have seen it and have used their reduced
//     fraction for a whole window;
//   - a restarted entry uses nothing for a window: by then what it used before the
//     restart has left the window;
//   - an entry that leaves uses nothing more.
//
// AllowanceShare has no clock and no I/O. The zero value permits nothing.
type AllowanceShare struct {
	// Window is the window of the budget.
	Window time.Duration
	// Interval is the longest time between two reads of the records by any entry. It
	// must be at least Window.
	Interval time.Duration

	entryCount int
	// usableFrom is the time before which the fraction is 0.
	usableFrom time.Duration
	stopped    bool
}

// RecordRestart records that the entry was restarted and may have used its fraction
// before.
func (s *AllowanceShare) RecordRestart(now time.Duration) {
	s.usableFrom = max(s.usableFrom, now+s.Window)
}

// UpdateEntryCount sets the number of records, including the entry's own.
func (s *AllowanceShare) UpdateEntryCount(now time.Duration, entries int) {
	if s.entryCount == 0 && entries > minEntries {
		s.usableFrom = now + s.Interval + s.Window
	}
	s.entryCount = entries
}

// Stop sets the fraction to 0 because the entry is leaving.
func (s *AllowanceShare) Stop() { s.stopped = true }

// Fraction returns the fraction of the allowance, between 0 and 1.
func (s *AllowanceShare) Fraction(now time.Duration) float64 {
	if s.entryCount == 0 || s.stopped || now < s.usableFrom {
		return 0
	}
	return 1 / float64(max(s.entryCount, minEntries))
}
