// Package claims computes the state of the claim streams. A claim gives the right to
// run the work of an idempotency key; at most one claim per key is held at a time.
// Whether a claim is held or lost is determined by the records before it and never
// revised, so all processes that applied its record agree. The package has no clock and
// no I/O.
package claims

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/ledger"
)

// NumPartitions is the number of claim streams. Each is served by one agent of a pool
// at a time, so the number must be of the order of the number of servers in the
// largest pool with calls that use idempotency keys.
const NumPartitions = 256

// ID identifies a claim. All copies of the record of a claim have the same ID.
type ID [16]byte

// MarshalText implements encoding.TextMarshaler in hexadecimal.
func (id ID) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, id[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (id *ID) UnmarshalText(b []byte) error { return decodeHex(id[:], b) }

// Record is a record of a claim stream: a claim or its release.
type Record struct {
	ID  ID  `json:"id"`
	Key Key `json:"k"`
	// KeyTime is the time in the idempotency key, in milliseconds of Unix time.
	KeyTime int64 `json:"m"`
	// Release releases the claim with the same ID, even if the record of the claim follows
	// later.
	Release bool `json:"r,omitempty"`
	// Digest is the digest of the request; it differs if a key is reused for another
	// request.
	Digest uint64 `json:"d,omitempty"`
	// Holder is the attempt that runs the work if the claim is held.
	Holder ledger.Holder `json:"h,omitzero"`
}

// MaxRecordBytes bounds an encoded record.
const MaxRecordBytes = 4 << 10

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
		return r, errors.New("claims: record too long")
	}
	err := json.Unmarshal(b, &r)
	return r, err
}

// Status is the state of a claim.
type Status uint8

// Values of Status.
const (
	// Pending means that the record of the claim was not applied yet.
	Pending Status = iota
	// Held claims give the right to run the work.
	Held
	// Lost claims were applied while another claim held the key. They never become held.
	Lost
	// Released claims were released, before or after their own record.
	Released
)

// claim is the state of a claim.
type claim struct {
	record Record
	status Status
	// holderID is the claim that held the key when this one was lost.
	holderID ID
}

// Partition is the state of one claim stream.
type Partition struct {
	// next is the offset to apply next; 0 before the first record.
	next   uint64
	claims map[ID]*claim
	// holders maps each key to the claim that holds it.
	holders map[Key]ID
	// order holds the IDs in the order of their first records, for Expire.
	order []ID
}

// New returns the state before the first record.
func New() *Partition {
	return &Partition{claims: map[ID]*claim{}, holders: map[Key]ID{}}
}

// Next returns the offset of the record to apply next; the first is 1.
func (p *Partition) Next() uint64 { return max(p.next, 1) }

// Len returns the number of claims in the state.
func (p *Partition) Len() int { return len(p.claims) }

// Skip moves on to a later offset after the log dropped the records before it. The
// keys of claims that are skipped this way are older than the validity of keys.
func (p *Partition) Skip(offset uint64) { p.next = max(p.Next(), offset) }

// Apply applies the record at the next offset; records at other offsets are ignored.
// Records that can't be decoded have no effect.
func (p *Partition) Apply(offset uint64, data []byte) {
	if offset != p.Next() {
		return
	}
	p.next = offset + 1
	r, err := Decode(data)
	if err != nil {
		return
	}
	if r.Release {
		p.applyRelease(r)
		return
	}
	p.applyClaim(r)
}

func (p *Partition) applyClaim(r Record) {
	if p.claims[r.ID] != nil {
		return
	}
	c := &claim{record: r, status: Held}
	p.add(c)
	if holderID, held := p.holders[r.Key]; held {
		c.status, c.holderID = Lost, holderID
		return
	}
	p.holders[r.Key] = r.ID
}

func (p *Partition) applyRelease(r Record) {
	c := p.claims[r.ID]
	if c == nil {
		p.add(&claim{record: r, status: Released})
		return
	}
	if p.holders[c.record.Key] == r.ID {
		delete(p.holders, c.record.Key)
	}
	c.status = Released
}

func (p *Partition) add(c *claim) {
	p.claims[c.record.ID] = c
	p.order = append(p.order, c.record.ID)
}

// Status returns the status of a claim and its record. For a lost claim it returns
// the record of the claim that held the key instead.
func (p *Partition) Status(id ID) (Status, Record) {
	c := p.claims[id]
	if c == nil {
		return Pending, Record{}
	}
	if c.status == Lost {
		if holder := p.claims[c.holderID]; holder != nil {
			return Lost, holder.record
		}
		return Lost, Record{}
	}
	return c.status, c.record
}

// Holder returns the record of the claim that holds the key.
func (p *Partition) Holder(k Key) (Record, bool) {
	id, ok := p.holders[k]
	if !ok {
		return Record{}, false
	}
	return p.claims[id].record, true
}

// Expire removes the claims whose keys are from before a time. From then on, work for
// such keys must be refused because of the age of the key.
func (p *Partition) Expire(before time.Time) {
	cutoff := before.UnixMilli()
	remaining := p.order[:0]
	for _, id := range p.order {
		c := p.claims[id]
		if c.record.KeyTime >= cutoff {
			remaining = append(remaining, id)
			continue
		}
		if p.holders[c.record.Key] == id {
			delete(p.holders, c.record.Key)
		}
		delete(p.claims, id)
	}
	clear(p.order[len(remaining):])
	p.order = remaining
}
