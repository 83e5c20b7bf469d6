// Package roster maintains the registration of an entry among all entries. From the
// records of all entries it derives the entry's position in their order, the entries
// before it, and the expired records. It performs no I/O and takes the current time as
// a parameter.
package roster

import (
	"cmp"
	"slices"
	"time"
)

const (
	// RefreshInterval is the time after which an entry rewrites its record.
	RefreshInterval = 2 * time.Minute
	// RecordExpiry is the time after which a record that was not rewritten is dropped. It
	// covers several refreshes and a long outage of the store.
	RecordExpiry = 15 * time.Minute
	// A position is composed of these bits, the most significant first: one for small
	// entries, which places them after all others, then the era, then the offset.
	smallEntryBit = 1 << 62
	eraShift      = 41
	maxEra        = 1<<(62-eraShift) - 1
	maxOffset     = 1<<eraShift - 1
)

// Record is the registration record of one entry.
type Record struct {
	Name string `json:"-"`
	// Offset is the offset of the record in the log that stores the records.
	Offset  int64  `json:"-"`
	Address string `json:"address"`
	// StartID distinguishes process starts of the same entry.
	StartID int64 `json:"start"`
	// Era is the era of the log in which the first record of this process start was
	// written. The log assigns offsets again in each era.
	Era int64 `json:"era,omitempty"`
	// FirstRecordNumber is the offset, plus 1, of the first record written by this process
	// start. It is 0 in that record itself, whose offset is not known when it is written.
	FirstRecordNumber int64 `json:"first,omitempty"`
	// Small entries place requests only if all other entries are lost.
	Small bool `json:"small,omitempty"`
	// Stopped is set by an entry when it shuts down.
	Stopped bool `json:"left,omitempty"`
}

// position returns the entry's position in the order of all entries. Refreshing the
// record keeps the position; a restarted entry goes last.
func (r Record) position() int64 {
	offset := r.Offset
	if r.FirstRecordNumber > 0 {
		offset = r.FirstRecordNumber - 1
	}
	position := min(r.Era, maxEra)<<eraShift | min(offset, maxOffset)
	if r.Small {
		position |= smallEntryBit
	}
	return position
}

// Entry is another entry and its position in the order.
type Entry struct {
	Name, Address string
	Position      int64
}

// View is what an entry derives from the records of all entries.
type View struct {
	// Registered is false if there is no record of this process start: it was not yet
	// written, was dropped, was replaced by a late write of an earlier start, or marks
	// the entry as stopped.
	Registered bool
	// EarlierStart is set if the entry's record belongs to another process start, and this
	// one was not registered yet.
	EarlierStart bool
	// Lost is the record to write again if this process start was registered and its
	// record has disappeared, as it may when the store is restored from a copy. It keeps
	// the position.
	Lost *Record
	// Position is the entry's own position in the order.
	Position int64
	// Count is the number of records, including those of stopped entries.
	Count int
	// Predecessors are the running entries before this one, in order.
	Predecessors []Entry
	// Refresh is the record to write now; nil if no refresh is due.
	Refresh *Record
	// Drop lists the names of the records to delete.
	Drop []string
}

// firstSeen is when the record at an offset was first seen.
type firstSeen struct {
	offset int64
	seenAt time.Duration
}

// Roster tracks the records of all entries on behalf of one entry.
type Roster struct {
	name    string
	startID int64
	// firstSeen maps the name of an entry to when its newest record was first seen.
	firstSeen map[string]firstSeen
	// registered is the record of this process start when it was last read, with its
	// place in the order; nil before.
	registered *Record
}

// New returns a Roster for a process start of the named entry.
func New(name string, startID int64) *Roster {
	return &Roster{name: name, startID: startID, firstSeen: map[string]firstSeen{}}
}

// Update processes the newest record of each entry. now is the time since an arbitrary
// fixed point.
func (r *Roster) Update(now time.Duration, records []Record) View {
	r.recordFirstSeen(now, records)
	v := View{Count: len(records)}
	i := slices.IndexFunc(records, func(rec Record) bool { return rec.Name == r.name })
	if i < 0 {
		v.Lost = r.registered
		return v
	}
	own := records[i]
	if own.StartID != r.startID {
		v.EarlierStart = r.registered == nil
		v.Lost = r.registered
		return v
	}
	if own.Stopped {
		return v
	}
	r.registered = refreshedRecord(own)
	v.Registered = true
	v.Position = own.position()
	if now-r.firstSeen[own.Name].seenAt >= RefreshInterval {
		v.Refresh = refreshedRecord(own)
	}
	v.Predecessors = predecessors(records, own)
	if r.firstLiveEntry(now, records) == r.name {
		v.Drop = r.expiredRecords(now, records)
	}
	return v
}

func refreshedRecord(own Record) *Record {
	if own.FirstRecordNumber == 0 {
		own.FirstRecordNumber = own.Offset + 1
	}
	return &own
}

func predecessors(records []Record, own Record) []Entry {
	var result []Entry
	for _, rec := range records {
		if rec.Name != own.Name && !rec.Stopped && rec.position() < own.position() {
			result = append(result, Entry{Name: rec.Name, Address: rec.Address, Position: rec.position()})
		}
	}
	slices.SortFunc(result, func(a, b Entry) int { return cmp.Compare(a.Position, b.Position) })
	return result
}

// recordFirstSeen updates when the newest record of each entry was first seen.
func (r *Roster) recordFirstSeen(now time.Duration, records []Record) {
	next := make(map[string]firstSeen, len(records))
	for _, rec := range records {
		s, ok := r.firstSeen[rec.Name]
		if !ok || s.offset != rec.Offset {
			s = firstSeen{offset: rec.Offset, seenAt: now}
		}
		next[rec.Name] = s
	}
	r.firstSeen = next
}

// isExpired reports whether a record was not rewritten within RecordExpiry.
func (r *Roster) isExpired(now time.Duration, rec Record) bool {
	return now-r.firstSeen[rec.Name].seenAt >= RecordExpiry
}

// firstLiveEntry returns the name of the first running entry whose record has not
// expired. Only this entry drops records, so that the entries do not all do so at once.
func (r *Roster) firstLiveEntry(now time.Duration, records []Record) string {
	name, lowest := "", int64(0)
	for _, rec := range records {
		if rec.Stopped || r.isExpired(now, rec) {
			continue
		}
		if name == "" || rec.position() < lowest {
			name, lowest = rec.Name, rec.position()
		}
	}
	return name
}

func (r *Roster) expiredRecords(now time.Duration, records []Record) []string {
	var names []string
	for _, rec := range records {
		if r.isExpired(now, rec) {
			names = append(names, rec.Name)
		}
	}
	return names
}
