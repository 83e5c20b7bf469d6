// Package lease folds the leases on the slots beside the backend servers. The
// holder of a slot's lease may give orders to the server; the offset at which it
// took the lease is its fencing number. It has no clock and no I/O.
package lease

import (
	"encoding/json"
	"errors"
	"time"
)

// Duration is how long a lease lasts from the time its record was sent.
const Duration = 10 * time.Second

// MaxRecordBytes bounds an encoded record.
const MaxRecordBytes = 1 << 10

// Holder is a process that takes leases.
type Holder struct {
	Instance    string `json:"i"`
	Incarnation uint64 `json:"n"`
}

// Record takes or renews the lease on a slot.
type Record struct {
	// Slot is the name of the slot, which is that of the instance in it.
	Slot   string `json:"s"`
	Holder Holder `json:"h"`
	// Fence is 0 to take the lease, or the fencing number of the lease to renew.
	Fence uint64 `json:"f,omitempty"`
}

// Encode returns the record as bytes.
func (r *Record) Encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // The types of the fields cannot fail to encode.
	}
	return b
}

// Decode is the inverse of Encode.
func Decode(b []byte) (Record, error) {
	var r Record
	if len(b) > MaxRecordBytes {
		return r, errors.New("lease: record too long")
	}
	if err := json.Unmarshal(b, &r); err != nil {
		return r, err
	}
	if r.Slot == "" {
		return r, errors.New("lease: record without a slot")
	}
	return r, nil
}

// Lease is the state of one slot. Its times are those of the log's clock.
type Lease struct {
	Holder Holder
	// Fence is the fencing number.
	Fence uint64
	// Until is when the lease has run out for certain.
	Until time.Time
	// Free is when all former leases have run out for certain. A server that
	// ignores fencing numbers must get no order of this holder before.
	Free time.Time
	// Taken is when the newest record of the lease was appended.
	Taken time.Time
}

// Table is the fold of the stream.
type Table struct {
	next  uint64
	slots map[string]Lease
}

// New returns the state before the first record.
func New() *Table { return &Table{slots: map[string]Lease{}} }

// Next returns the offset to fold next, from 1.
func (t *Table) Next() uint64 { return max(t.next, 1) }

// Skip goes on at a later offset, when the records before it are no longer kept
// by the log; their leases have run out.
func (t *Table) Skip(offset uint64) { t.next = max(t.Next(), offset) }

// Get returns the lease on a slot; ok is false if there never was one.
func (t *Table) Get(slot string) (l Lease, ok bool) {
	l, ok = t.slots[slot]
	return l, ok
}

// Fold takes in the record at the next offset, with the time at which the log
// took it. Records that cannot be decoded change nothing.
func (t *Table) Fold(offset uint64, at time.Time, data []byte) {
	if offset != t.Next() {
		return
	}
	t.next = offset + 1
	r, err := Decode(data)
	if err != nil {
		return
	}
	old, taken := t.slots[r.Slot]
	switch {
	case taken && r.Holder == old.Holder && (r.Fence == 0 || r.Fence == old.Fence):
		old.Until, old.Taken = at.Add(Duration), at
		t.slots[r.Slot] = old
	case r.Fence == 0:
		l := Lease{Holder: r.Holder, Fence: offset, Until: at.Add(Duration), Taken: at}
		if taken {
			l.Free = latest(old.Until, old.Free)
		}
		t.slots[r.Slot] = l
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
