package membership

import (
	"slices"
	"sort"
	"time"
)

// goneAfter is the number of newer lists in a row that an instance must be
// missing from before it is taken off.
const goneAfter = 2

// maxPast is the number of past incarnations remembered of an instance.
const maxPast = 8

// maxObservations bounds the observations kept of instances that are not listed.
const maxObservations = 1 << 14

// Table is the view of the instances of one process. It is not safe for
// concurrent use.
type Table struct {
	asOf    time.Time
	rows    []row
	seen    map[string]observation
	version uint64
}

// row is one instance of the list.
type row struct {
	Instance
	// missing counts the newer lists in a row without the instance.
	missing int
}

// observation is what the process saw itself of one instance.
type observation struct {
	// incarnation is the current one; 0 if none was heard of.
	incarnation uint64
	// leaving is set once that incarnation said that it is leaving.
	leaving bool
	// past holds the incarnations before it, the newest last. A message of one of
	// them is late. Incarnations are not ordered, as clocks of instances differ.
	past []uint64
}

// current returns the observation with the incarnation as the current one; ok is
// false if the incarnation is a past one.
func (o observation) current(incarnation uint64) (next observation, ok bool) {
	if incarnation == 0 || slices.Contains(o.past, incarnation) {
		return o, false
	}
	if incarnation == o.incarnation {
		return o, true
	}
	next.incarnation = incarnation
	if o.incarnation != 0 {
		next.past = append(slices.Clone(o.past), o.incarnation)
		next.past = next.past[max(0, len(next.past)-maxPast):]
	}
	return next, true
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{seen: map[string]observation{}} }

// Version changes whenever the answer of Instances may have changed.
func (t *Table) Version() uint64 { return t.version }

// AsOf returns the time of the newest list taken, by the platform's clock.
func (t *Table) AsOf() time.Time { return t.asOf }

// SetList takes in a list as of a time by the platform's clock. A list that is
// not newer than the one held is ignored, as is an empty one while instances are
// known. The result tells whether the list was taken.
func (t *Table) SetList(list []Instance, asOf time.Time) bool {
	if !asOf.After(t.asOf) || (len(list) == 0 && len(t.rows) > 0) {
		return false
	}
	t.asOf = asOf
	rows := make([]row, 0, len(list))
	for i := range list {
		rows = append(rows, row{Instance: list[i]})
	}
	rows = append(rows, t.missingFrom(list)...)
	sort.SliceStable(rows, func(i, j int) bool { return rows[i].ID < rows[j].ID })
	rows = slices.CompactFunc(rows, func(a, b row) bool { return a.ID == b.ID })
	if !slices.EqualFunc(rows, t.rows, func(a, b row) bool { return a.Instance == b.Instance }) {
		t.version++
	}
	t.rows = rows
	t.forget()
	return true
}

// missingFrom returns the rows that a list lacks and that stay for now. A row
// whose address was given to another instance does not stay.
func (t *Table) missingFrom(list []Instance) []row {
	ids, addrs := make(map[string]bool, len(list)), make(map[string]bool, len(list))
	for i := range list {
		ids[list[i].ID], addrs[list[i].Addr] = true, true
	}
	var rows []row
	for _, r := range t.rows {
		if ids[r.ID] || addrs[r.Addr] || r.missing+1 >= goneAfter {
			continue
		}
		r.missing++
		rows = append(rows, r)
	}
	return rows
}

// forget bounds the observations. Marks of listed instances are kept.
func (t *Table) forget() {
	if len(t.seen) <= maxObservations {
		return
	}
	kept := make(map[string]observation, len(t.rows))
	for i := range t.rows {
		if o, ok := t.seen[t.rows[i].ID]; ok {
			kept[t.rows[i].ID] = o
		}
	}
	t.seen = kept
}

// Seen records that an instance answered under an incarnation, which becomes the
// current one unless it was current before and another followed.
func (t *Table) Seen(id string, incarnation uint64) {
	o := t.seen[id]
	next, ok := o.current(incarnation)
	if !ok || next.incarnation == o.incarnation {
		return
	}
	if o.leaving {
		t.version++
	}
	t.seen[id] = next
}

// Leaving records that an incarnation of an instance said that it is leaving.
// The mark holds until another incarnation follows.
func (t *Table) Leaving(id string, incarnation uint64) {
	o := t.seen[id]
	next, ok := o.current(incarnation)
	if !ok || (next.incarnation == o.incarnation && o.leaving) {
		return
	}
	next.leaving = true
	t.seen[id] = next
	t.version++
}

// Incarnation returns the current incarnation of an instance; 0 if none was heard of.
func (t *Table) Incarnation(id string) uint64 { return t.seen[id].incarnation }

// Instances returns the instances sorted by id, with the leaving marks of the
// list and of the process itself. Of two instances listed at one address, the
// one that is leaving is left out.
func (t *Table) Instances() []Instance {
	list := make([]Instance, 0, len(t.rows))
	live := make(map[string]bool, len(t.rows))
	for i := range t.rows {
		in := t.rows[i].Instance
		in.Leaving = in.Leaving || t.seen[in.ID].leaving
		list = append(list, in)
		if !in.Leaving {
			live[in.Addr] = true
		}
	}
	return slices.DeleteFunc(list, func(in Instance) bool { return in.Leaving && live[in.Addr] })
}
