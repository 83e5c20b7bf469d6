package configlog

import (
	"errors"
	"fmt"

	"github.com/magnoliawheel/magnoliawheel/core/schema"
)

// checkpoint is the state as of an offset.
type checkpoint struct {
	Offset uint64 `json:"offset"`
	Digest uint64 `json:"digest"`
	// Last is the offset of the checkpoint record before this one.
	Last     uint64    `json:"last,omitempty"`
	Objects  []Object  `json:"objects"`
	Outcomes []Outcome `json:"outcomes,omitempty"`
}

// ErrCheckpoint means that a checkpoint does not agree with its own digest or
// can't be read.
var ErrCheckpoint = errors.New("configlog: bad checkpoint")

// EncodeCheckpoint returns the log record that holds the whole state.
func (s *Snapshot) EncodeCheckpoint() ([]byte, error) {
	return encodeRecord(record{Checkpoint: &checkpoint{
		Offset: s.Offset, Digest: s.digest, Last: s.checkpoint, Objects: s.objects, Outcomes: s.outcomes,
	}})
}

// CheckpointInfo returns the offset and digest of a checkpoint record; ok is
// false for other records.
func CheckpointInfo(data []byte) (offset, digest uint64, ok bool) {
	r, err := decodeRecord(data)
	if err != nil || r.Checkpoint == nil {
		return 0, 0, false
	}
	return r.Checkpoint.Offset, r.Checkpoint.Digest, true
}

// DecodeCheckpoint returns the snapshot held in a checkpoint record. The error
// wraps ErrCheckpoint.
func DecodeCheckpoint(data []byte) (*Snapshot, error) {
	r, err := decodeRecord(data)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCheckpoint, err)
	}
	c := r.Checkpoint
	if c == nil {
		return nil, ErrCheckpoint
	}
	s := &Snapshot{Offset: c.Offset, checkpoint: c.Last, objects: c.Objects, outcomes: c.Outcomes}
	if err := s.decodeObjects(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCheckpoint, err)
	}
	s.digest = digestOf(s.objects)
	if s.digest != c.Digest {
		return nil, fmt.Errorf("%w: digest %x, content %x", ErrCheckpoint, c.Digest, s.digest)
	}
	return s, nil
}

// decodeObjects checks the order of the objects, decodes them and assembles the
// schema.
func (s *Snapshot) decodeObjects() error {
	if len(s.objects) == 0 {
		return nil
	}
	for i := range s.objects {
		o := &s.objects[i]
		if i > 0 && s.objects[i-1].Name >= o.Name {
			return fmt.Errorf("object %s is out of order", o.Name)
		}
		if o.Version > s.Offset {
			return fmt.Errorf("object %s has version %d after offset %d", o.Name, o.Version, s.Offset)
		}
		if o.Deleted {
			continue
		}
		value, body, err := decodeBody(o.Name, o.Body)
		if err != nil {
			return fmt.Errorf("object %s: %w", o.Name, err)
		}
		o.value, o.Body = value, body
	}
	whole := assemble(s.objects)
	if m := whole.Validate(); len(m) > 0 {
		return schema.ValidationErrors(m)
	}
	s.Schema = whole
	return nil
}
