// Package streamversion remembers which version of the server software began a stream, for
// as long as the client may resume it. What two versions write does not fit together, so a
// stream continues only at the version that began it. The package has no clock and does no
// I/O.
package streamversion

import "time"

// MaxAge bounds how long after its begin a stream may be resumed.
const MaxAge = time.Minute

// Record says which version began a stream.
type Record struct {
	// Stream is the ID of the request that brought the first event.
	Stream  string
	Version string
	// Until is the time after which the client no longer resumes the stream.
	Until time.Duration
}

// entry is a record of the table. Local entries are of streams that this process serves.
type entry struct {
	version string
	until   time.Duration
	local   bool
}

// minSweepSize is the least number of records at which expired ones are removed.
const minSweepSize = 1024

// Table holds the records of streams. It is not safe for concurrent use.
type Table struct {
	entries map[string]entry
	// sweepAt is the number of records at which expired ones are removed. It is twice the
	// number that remained the last time, so that the cost per record is constant.
	sweepAt int
}

// New returns an empty table.
func New() *Table { return &Table{entries: map[string]entry{}, sweepAt: minSweepSize} }

// Add adds a record, and replaces an earlier one of the same stream. Local records are of
// streams that this process serves; one stays local if another process reports the stream.
func (t *Table) Add(now time.Duration, r Record, local bool) {
	until := min(r.Until, now+MaxAge)
	if until <= now {
		return
	}
	if len(t.entries) >= t.sweepAt {
		t.sweep(now)
	}
	t.entries[r.Stream] = entry{version: r.Version, until: until, local: local || t.entries[r.Stream].local}
}

// sweep removes expired records.
func (t *Table) sweep(now time.Duration) {
	for stream, e := range t.entries {
		if e.until <= now {
			delete(t.entries, stream)
		}
	}
	t.sweepAt = max(minSweepSize, 2*len(t.entries))
}

// Version returns the version that began a stream, and false if it is not known.
func (t *Table) Version(now time.Duration, stream string) (string, bool) {
	e, ok := t.entries[stream]
	return e.version, ok && e.until > now
}

// All returns the records of all streams, in no particular order.
func (t *Table) All(now time.Duration) []Record {
	return t.collect(now, func(entry) bool { return true })
}

// Local returns the records of the streams that this process serves or served, in no
// particular order.
func (t *Table) Local(now time.Duration) []Record {
	return t.collect(now, func(e entry) bool { return e.local })
}

func (t *Table) collect(now time.Duration, wanted func(entry) bool) []Record {
	var records []Record
	for stream, e := range t.entries {
		if wanted(e) && e.until > now {
			records = append(records, Record{Stream: stream, Version: e.version, Until: e.until})
		}
	}
	return records
}
