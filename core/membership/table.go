package membership

import (
	"slices"
	"sort"
	"time"
)

// Table is the view of the instances of one process. It is not safe for
// concurrent use.
type Table struct {
	asOf      time.Time
	instances []Instance
	seen      map[string]observation
	version   uint64
}

// observation is what the process saw itself of one instance.
type observation struct {
	// incarnation is the newest one heard of.
	incarnation uint64
	// leaving is set once that incarnation said that it is leaving.
	leaving bool
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{seen: map[string]observation{}} }

// Version changes whenever the answer of Instances may have changed.
func (t *Table) Version() uint64 { return t.version }

// SetList takes in a list as of a time by the platform's clock. A list older
// than the one held is ignored; the result tells whether the list was taken.
func (t *Table) SetList(list []Instance, asOf time.Time) bool {
	if asOf.Before(t.asOf) {
		return false
	}
	t.asOf = asOf
	sorted := slices.Clone(list)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].ID < sorted[j].ID })
	sorted = slices.CompactFunc(sorted, func(a, b Instance) bool { return a.ID == b.ID })
	if !slices.Equal(sorted, t.instances) {
		t.instances = sorted
		t.version++
	}
	return true
}

// Seen records that an instance answered under an incarnation. Incarnations of
// one id grow; older ones are ignored.
func (t *Table) Seen(id string, incarnation uint64) {
	if o, ok := t.seen[id]; ok && incarnation <= o.incarnation {
		return
	}
	if t.seen[id].leaving {
		t.version++
	}
	t.seen[id] = observation{incarnation: incarnation}
}

// Leaving records that an incarnation of an instance said that it is leaving.
// The mark holds for as long as no newer incarnation is seen.
func (t *Table) Leaving(id string, incarnation uint64) {
	o := t.seen[id]
	if incarnation < o.incarnation || (incarnation == o.incarnation && o.leaving) {
		return
	}
	t.seen[id] = observation{incarnation: incarnation, leaving: true}
	t.version++
}

// Instances returns the instances sorted by id, with the leaving marks of the
// list and of the process itself.
func (t *Table) Instances() []Instance {
	list := slices.Clone(t.instances)
	for i := range list {
		list[i].Leaving = list[i].Leaving || t.seen[list[i].ID].leaving
	}
	return list
}
