package membership

import (
	"slices"
	"sort"
	"time"
)

// removeAfterMissingLists is the number of consecutive newer lists that must lack
// an instance before it is removed.
const removeAfterMissingLists = 2

// maxPastIncarnations is the number of past incarnations stored per instance.
const maxPastIncarnations = 8

// maxObservations is the number of observations above which those of instances
// that are not listed are removed.
const maxObservations = 1 << 14

// Table is one process's view of the instances. It is not safe for concurrent use.
type Table struct {
	// asOf is the time of the newest accepted list.
	asOf         time.Time
	listed       []listedInstance
	observations map[string]observation
	version      uint64
}

// listedInstance is an instance of the newest list, or one that is missing from it and
// not yet removed.
type listedInstance struct {
	Instance
	// missingLists counts the consecutive newer lists that lack the instance.
	missingLists int
}

// observation is what the process observed of one instance itself.
type observation struct {
	// incarnation is the current incarnation; 0 if none was observed.
	incarnation uint64
	// leaving is set once the current incarnation reported that it is leaving.
	leaving bool
	// pastIncarnations holds the earlier incarnations, the newest last. A message
	// from one of them is outdated. The numbers can't be compared to find out which
	// incarnation is newer, since they come from clocks that differ.
	pastIncarnations []uint64
}

// withCurrent returns the observation with the given incarnation as the current
// one. ok is false if the incarnation is 0 or a past one.
func (o observation) withCurrent(incarnation uint64) (next observation, ok bool) {
	if incarnation == 0 || slices.Contains(o.pastIncarnations, incarnation) {
		return o, false
	}
	if incarnation == o.incarnation {
		return o, true
	}
	next.incarnation = incarnation
	if o.incarnation != 0 {
		next.pastIncarnations = append(slices.Clone(o.pastIncarnations), o.incarnation)
		next.pastIncarnations = next.pastIncarnations[max(0, len(next.pastIncarnations)-maxPastIncarnations):]
	}
	return next, true
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{observations: map[string]observation{}} }

// Version changes whenever the result of Instances may have changed.
func (t *Table) Version() uint64 { return t.version }

// AsOf returns the time of the newest accepted list, by the platform's clock.
func (t *Table) AsOf() time.Time { return t.asOf }

// SetList applies an instance list with its time by the platform's clock. A list
// that is not newer than the current one is ignored, and so is an empty list while
// any instance is listed. SetList reports whether the list was accepted.
func (t *Table) SetList(list []Instance, asOf time.Time) bool {
	if !asOf.After(t.asOf) || (len(list) == 0 && len(t.listed) > 0) {
		return false
	}
	t.asOf = asOf
	listed := make([]listedInstance, 0, len(list))
	for i := range list {
		listed = append(listed, listedInstance{Instance: list[i]})
	}
	listed = append(listed, t.retainMissing(list)...)
	sort.SliceStable(listed, func(i, j int) bool { return listed[i].ID < listed[j].ID })
	listed = slices.CompactFunc(listed, func(a, b listedInstance) bool { return a.ID == b.ID })
	if !slices.EqualFunc(listed, t.listed, func(a, b listedInstance) bool { return a.Instance == b.Instance }) {
		t.version++
	}
	t.listed = listed
	t.pruneObservations()
	return true
}

// retainMissing returns the instances that are missing from a new list and not yet
// removed. An instance whose address now belongs to another one is removed at once.
func (t *Table) retainMissing(list []Instance) []listedInstance {
	ids, addrs := make(map[string]bool, len(list)), make(map[string]bool, len(list))
	for i := range list {
		ids[list[i].ID], addrs[list[i].Addr] = true, true
	}
	var retained []listedInstance
	for _, r := range t.listed {
		if ids[r.ID] || addrs[r.Addr] || r.missingLists+1 >= removeAfterMissingLists {
			continue
		}
		r.missingLists++
		retained = append(retained, r)
	}
	return retained
}

// pruneObservations removes the observations of instances that are not listed
// once there are too many.
func (t *Table) pruneObservations() {
	if len(t.observations) <= maxObservations {
		return
	}
	pruned := make(map[string]observation, len(t.listed))
	for i := range t.listed {
		if o, ok := t.observations[t.listed[i].ID]; ok {
			pruned[t.listed[i].ID] = o
		}
	}
	t.observations = pruned
}

// RecordIncarnation records that an instance answered with an incarnation. It
// becomes the current one, unless it is known to be a past one.
func (t *Table) RecordIncarnation(id string, incarnation uint64) {
	o := t.observations[id]
	next, ok := o.withCurrent(incarnation)
	if !ok || next.incarnation == o.incarnation {
		return
	}
	if o.leaving {
		t.version++
	}
	t.observations[id] = next
}

// MarkLeaving records that an incarnation of an instance reported that it is
// leaving. Messages from past incarnations are ignored. The instance counts as
// leaving until a new incarnation is observed.
func (t *Table) MarkLeaving(id string, incarnation uint64) {
	o := t.observations[id]
	next, ok := o.withCurrent(incarnation)
	if !ok || (next.incarnation == o.incarnation && o.leaving) {
		return
	}
	next.leaving = true
	t.observations[id] = next
	t.version++
}

// Incarnation returns the current incarnation of an instance, or 0 if none was
// observed.
func (t *Table) Incarnation(id string) uint64 { return t.observations[id].incarnation }

// Instances returns the instances sorted by ID. An instance is marked as leaving if the
// list marks it so, or if MarkLeaving was called for its current incarnation. Leaving
// instances whose address also belongs to an instance that is not leaving are omitted.
func (t *Table) Instances() []Instance {
	list := make([]Instance, 0, len(t.listed))
	live := make(map[string]bool, len(t.listed))
	for i := range t.listed {
		in := t.listed[i].Instance
		in.Leaving = in.Leaving || t.observations[in.ID].leaving
		list = append(list, in)
		if !in.Leaving {
			live[in.Addr] = true
		}
	}
	return slices.DeleteFunc(list, func(in Instance) bool { return in.Leaving && live[in.Addr] })
}
