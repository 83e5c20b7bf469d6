// Package claims folds the system's claim streams. A claim gives the right to
// run the work of an idempotency key; of all claims for a key at most one holds.
// Each is judged at its own offset, and the judgement is never revised, so all
// processes that folded a claim agree about it. It has no clock and no I/O.
package claims

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/ledger"
)

// Partitions is the number of claim streams. Each is the home of one agent of a
// pool at a time, so it must be of the order of the servers of the largest pool
// with keyed calls.
const Partitions = 256

// ID names a claim. It is the same in all copies of the claim's record.
type ID [16]byte

// MarshalText writes the id in hexadecimal.
func (id ID) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, id[:]), nil }

// UnmarshalText reads hexadecimal.
func (id *ID) UnmarshalText(b []byte) error { return decodeHex(id[:], b) }

// Record is one record of a claim stream: a claim, or its release.
type Record struct {
	ID  ID  `json:"id"`
	Key Key `json:"k"`
	// Minted is the time of the key in milliseconds of Unix time.
	Minted int64 `json:"m"`
	// Release voids the claim of that id, also one that comes later.
	Release bool   `json:"r,omitempty"`
	Digest  uint64 `json:"d,omitempty"`
	// Holder is the attempt that runs the work if the claim holds.
	Holder ledger.Holder `json:"h,omitzero"`
}

// MaxRecordBytes bounds an encoded record.
const MaxRecordBytes = 4 << 10

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
		return r, errors.New("claims: record too long")
	}
	err := json.Unmarshal(b, &r)
	return r, err
}

// Judgement is what was decided of a claim at its offset.
type Judgement uint8

// The judgements.
const (
	// Unjudged claims are not in the stream so far.
	Unjudged Judgement = iota
	// Held claims give the right to run.
	Held
	// Lost claims came after one that held; they are void for ever.
	Lost
	// Void claims were released, before or after they were judged.
	Void
)

// claim is what is kept of a claim.
type claim struct {
	record    Record
	judgement Judgement
	// by is the claim that held when this one lost.
	by ID
}

// Partition is the state of one claim stream.
type Partition struct {
	// next is the offset to fold next; 0 before the first fold.
	next   uint64
	claims map[ID]*claim
	held   map[Key]ID
	// order holds the ids in the order of their records, for Expire.
	order []ID
}

// New returns the state before the first record.
func New() *Partition {
	return &Partition{claims: map[ID]*claim{}, held: map[Key]ID{}}
}

// Next returns the offset to fold next, from 1.
func (p *Partition) Next() uint64 { return max(p.next, 1) }

// Len returns the number of claims that are kept.
func (p *Partition) Len() int { return len(p.claims) }

// Skip goes on at a later offset, when the records before it are no longer kept
// by the log. Keys whose claims are missed that way are older than the validity.
func (p *Partition) Skip(offset uint64) { p.next = max(p.Next(), offset) }

// Fold takes in the record at the next offset. Records that cannot be decoded
// change nothing.
func (p *Partition) Fold(offset uint64, data []byte) {
	if offset != p.Next() {
		return
	}
	p.next = offset + 1
	r, err := Decode(data)
	if err != nil {
		return
	}
	if r.Release {
		p.release(r)
		return
	}
	p.judge(r)
}

func (p *Partition) judge(r Record) {
	if p.claims[r.ID] != nil {
		return
	}
	c := &claim{record: r, judgement: Held}
	p.add(c)
	if by, taken := p.held[r.Key]; taken {
		c.judgement, c.by = Lost, by
		return
	}
	p.held[r.Key] = r.ID
}

func (p *Partition) release(r Record) {
	c := p.claims[r.ID]
	if c == nil {
		p.add(&claim{record: r, judgement: Void})
		return
	}
	if p.held[c.record.Key] == r.ID {
		delete(p.held, c.record.Key)
	}
	c.judgement = Void
}

func (p *Partition) add(c *claim) {
	p.claims[c.record.ID] = c
	p.order = append(p.order, c.record.ID)
}

// Judge returns what was decided of a claim. For a lost claim the record is that
// of the claim that held at its offset.
func (p *Partition) Judge(id ID) (Judgement, Record) {
	c := p.claims[id]
	if c == nil {
		return Unjudged, Record{}
	}
	if c.judgement == Lost {
		if by := p.claims[c.by]; by != nil {
			return Lost, by.record
		}
		return Lost, Record{}
	}
	return c.judgement, c.record
}

// Holder returns the record of the claim that holds the key now.
func (p *Partition) Holder(k Key) (Record, bool) {
	id, ok := p.held[k]
	if !ok {
		return Record{}, false
	}
	return p.claims[id].record, true
}

// Expire forgets the claims whose keys were minted before a time. Work for such
// keys must be refused by their age from then on.
func (p *Partition) Expire(before time.Time) {
	ms := before.UnixMilli()
	kept := p.order[:0]
	for _, id := range p.order {
		c := p.claims[id]
		if c.record.Minted >= ms {
			kept = append(kept, id)
			continue
		}
		if p.held[c.record.Key] == id {
			delete(p.held, c.record.Key)
		}
		delete(p.claims, id)
	}
	clear(p.order[len(kept):])
	p.order = kept
}
