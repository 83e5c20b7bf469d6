// Package roster tells what an entry learns from the records of all entries: its own
// place in their order, who comes before it, and which records are out of date. It has
// no clock and no I/O.
package roster

import (
	"cmp"
	"slices"
	"time"
)

const (
	// RefreshAfter is the time after which an entry writes its record again.
	RefreshAfter = 2 * time.Minute
	// GoneAfter is the time after which a record that was not written again is dropped.
	// It spans several refreshes and a long absence of the store.
	GoneAfter = 15 * time.Minute
	// smallOrder puts small entries behind all others; offsets stay below it.
	smallOrder = 1 << 40
)

// Record is the record of one entry.
type Record struct {
	Name string `json:"-"`
	// Offset is where the record lies.
	Offset  int64  `json:"-"`
	Address string `json:"address"`
	// Start tells two starts of one entry apart.
	Start int64 `json:"start"`
	// First is one more than the offset of the first record of the start; 0 in that
	// record itself.
	First int64 `json:"first,omitempty"`
	// Small entries place requests only if all others are lost.
	Small bool `json:"small,omitempty"`
	// Left is set by an entry that stops.
	Left bool `json:"left,omitempty"`
}

// order is the entry's place in the order of all entries: a refresh keeps it, a new
// start comes last.
func (r Record) order() int64 {
	order := r.Offset
	if r.First > 0 {
		order = r.First - 1
	}
	if r.Small {
		order += smallOrder
	}
	return order
}

// Entry is another entry and its place in the order.
type Entry struct {
	Name, Address string
	Order         int64
}

// View is what one look at the records tells.
type View struct {
	// Registered is false if the record of this start is not there: it was not
	// written, was dropped, or a late write of an earlier start replaced it.
	Registered bool
	// Earlier is set if there is a record of an earlier start in its place.
	Earlier bool
	// Order is the entry's own place.
	Order int64
	// Count is the number of records, those of entries that left included.
	Count int
	// Before are the entries that come before this one.
	Before []Entry
	// Refresh is the record to write now; nil if it is not time.
	Refresh *Record
	// Drop are the names of the records to drop.
	Drop []string
}

// seen is a record as it was first seen.
type seen struct {
	offset int64
	at     time.Duration
}

// Roster follows the records for one entry.
type Roster struct {
	name  string
	start int64
	seen  map[string]seen
}

// New returns a roster for a start of the entry with that name.
func New(name string, start int64) *Roster {
	return &Roster{name: name, start: start, seen: map[string]seen{}}
}

// Look takes in the newest record of each entry at now, a time since any fixed start.
func (r *Roster) Look(now time.Duration, records []Record) View {
	r.remember(now, records)
	v := View{Count: len(records)}
	i := slices.IndexFunc(records, func(rec Record) bool { return rec.Name == r.name })
	if i < 0 {
		return v
	}
	own := records[i]
	v.Earlier = own.Start != r.start
	if v.Earlier || own.Left {
		return v
	}
	v.Registered = true
	v.Order = own.order()
	if now-r.seen[own.Name].at >= RefreshAfter {
		v.Refresh = refreshed(own)
	}
	v.Before = before(records, own)
	if r.oldest(now, records) == r.name {
		v.Drop = r.gone(now, records)
	}
	return v
}

func refreshed(own Record) *Record {
	if own.First == 0 {
		own.First = own.Offset + 1
	}
	return &own
}

func before(records []Record, own Record) []Entry {
	var all []Entry
	for _, rec := range records {
		if rec.Name != own.Name && !rec.Left && rec.order() < own.order() {
			all = append(all, Entry{Name: rec.Name, Address: rec.Address, Order: rec.order()})
		}
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Compare(a.Order, b.Order) })
	return all
}

// remember notes when each record was first seen.
func (r *Roster) remember(now time.Duration, records []Record) {
	next := make(map[string]seen, len(records))
	for _, rec := range records {
		s, ok := r.seen[rec.Name]
		if !ok || s.offset != rec.Offset {
			s = seen{offset: rec.Offset, at: now}
		}
		next[rec.Name] = s
	}
	r.seen = next
}

// isGone tells whether a record was not written again in time.
func (r *Roster) isGone(now time.Duration, rec Record) bool {
	return now-r.seen[rec.Name].at >= GoneAfter
}

// oldest returns the name of the first entry in order that is not gone. It alone drops
// records, so that they are not dropped by all at once.
func (r *Roster) oldest(now time.Duration, records []Record) string {
	name, least := "", int64(0)
	for _, rec := range records {
		if rec.Left || r.isGone(now, rec) {
			continue
		}
		if name == "" || rec.order() < least {
			name, least = rec.Name, rec.order()
		}
	}
	return name
}

func (r *Roster) gone(now time.Duration, records []Record) []string {
	var names []string
	for _, rec := range records {
		if r.isGone(now, rec) {
			names = append(names, rec.Name)
		}
	}
	return names
}
