// Package lease computes the state of the lease stream. Each backend server has one slot
// for an instance, and the holder of the lease on the slot may give orders to the server.
// The offset at which a lease was acquired is its fencing number. The package has no clock
// and does no I/O.
package lease

import (
	"encoding/json"
	"errors"
	"time"
)

// Duration is how long a lease lasts. Its holder counts from the time at which it sent
// the newest record, all others from the later time at which the log appended it.
const Duration = 10 * time.Second

// MaxRecordBytes bounds an encoded record.
const MaxRecordBytes = 1 << 10

// Holder identifies a process that acquires leases.
type Holder struct {
	Instance    string `json:"i"`
	Incarnation uint64 `json:"n"`
}

// Record acquires or renews the lease on a slot.
type Record struct {
	// Slot is the name of the slot, which is also the ID of the instance in it.
	Slot   string `json:"s"`
	Holder Holder `json:"h"`
	// Fence is 0 to acquire the lease, or the fencing number of the lease to renew.
	Fence uint64 `json:"f,omitempty"`
}

// Encode returns the record in its stored form.
func (r *Record) Encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // The types of the fields can always be encoded.
	}
	return b
}

// Decode decodes a record of at most MaxRecordBytes.
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

// Lease is the state of the lease on one slot. Its times are by the clock of the log.
type Lease struct {
	Holder Holder
	// Fence is the fencing number.
	Fence uint64
	// ExpiresAt is the time from which the lease has certainly expired.
	ExpiresAt time.Time
	// PriorExpiresAt is the time from which all earlier leases have certainly expired.
	// Before it, the holder must not give orders to a server that ignores fencing
	// numbers. It is zero if there was no earlier lease.
	PriorExpiresAt time.Time
	// RenewedAt is when the log appended the newest record of the lease.
	RenewedAt time.Time
}

// Table holds the leases on all slots.
type Table struct {
	// next is the offset to apply next; 0 before the first record.
	next   uint64
	leases map[string]Lease
}

// New returns the state before the first record.
func New() *Table { return &Table{leases: map[string]Lease{}} }

// Next returns the offset of the record to apply next; the first is 1.
func (t *Table) Next() uint64 { return max(t.next, 1) }

// Skip moves on to a later offset after the log dropped the records before it. The
// leases in the skipped records have expired.
func (t *Table) Skip(offset uint64) { t.next = max(t.Next(), offset) }

// Get returns the newest lease on a slot; ok is false if there never was one.
func (t *Table) Get(slot string) (l Lease, ok bool) {
	l, ok = t.leases[slot]
	return l, ok
}

// Apply applies the record at the next offset, which the log appended at appendTime;
// records at other offsets are ignored. Records that can't be decoded have no effect.
func (t *Table) Apply(offset uint64, appendTime time.Time, data []byte) {
	if offset != t.Next() {
		return
	}
	t.next = offset + 1
	r, err := Decode(data)
	if err != nil {
		return
	}
	current, exists := t.leases[r.Slot]
	switch {
	case exists && r.Holder == current.Holder && (r.Fence == 0 || r.Fence == current.Fence):
		current.ExpiresAt, current.RenewedAt = appendTime.Add(Duration), appendTime
		t.leases[r.Slot] = current
	case r.Fence == 0:
		l := Lease{Holder: r.Holder, Fence: offset, ExpiresAt: appendTime.Add(Duration), RenewedAt: appendTime}
		if exists {
			l.PriorExpiresAt = laterOf(current.ExpiresAt, current.PriorExpiresAt)
		}
		t.leases[r.Slot] = l
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
