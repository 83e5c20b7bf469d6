package configlog

import (
	"errors"
	"fmt"

	"github.com/magnoliawheel/magnoliawheel/core/schema"
)

// checkpoint is the stored form of a Snapshot.
type checkpoint struct {
	Offset uint64 `json:"offset"`
	Digest uint64 `json:"digest"`
	// LastCheckpoint is the offset of the previous checkpoint record.
	LastCheckpoint uint64    `json:"last,omitempty"`
	Objects        []Object  `json:"objects"`
	Outcomes       []Outcome `json:"outcomes,omitempty"`
}

// ErrInvalidCheckpoint means that a checkpoint can't be decoded or that its
// content does not match its digest.
var ErrInvalidCheckpoint = errors.New("configlog: invalid checkpoint")

// EncodeCheckpoint returns a checkpoint record of the snapshot.
func (s *Snapshot) EncodeCheckpoint() ([]byte, error) {
	return encodeRecord(record{Checkpoint: &checkpoint{
		Offset: s.Offset, Digest: s.digest, LastCheckpoint: s.lastCheckpoint, Objects: s.objects, Outcomes: s.outcomes,
	}})
}

// CheckpointInfo returns the offset and digest in a checkpoint record; ok is
// false for other records.
func CheckpointInfo(data []byte) (offset, digest uint64, ok bool) {
	r, err := decodeRecord(data)
	if err != nil || r.Checkpoint == nil {
		return 0, 0, false
	}
	return r.Checkpoint.Offset, r.Checkpoint.Digest, true
}

// DecodeCheckpoint returns the snapshot in a checkpoint record. The error wraps
// ErrInvalidCheckpoint.
func DecodeCheckpoint(data []byte) (*Snapshot, error) {
	r, err := decodeRecord(data)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidCheckpoint, err)
	}
	c := r.Checkpoint
	if c == nil {
		return nil, ErrInvalidCheckpoint
	}
	s := &Snapshot{Offset: c.Offset, lastCheckpoint: c.LastCheckpoint, objects: c.Objects, outcomes: c.Outcomes}
	if err := s.decodeObjects(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidCheckpoint, err)
	}
	s.digest = computeDigest(s.objects)
	if s.digest != c.Digest {
		return nil, fmt.Errorf("%w: recorded digest %x, computed digest %x", ErrInvalidCheckpoint, c.Digest, s.digest)
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
			return fmt.Errorf("object %s has version %d, which is newer than offset %d", o.Name, o.Version, s.Offset)
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
	assembled := assemble(s.objects)
	if errs := assembled.Validate(); len(errs) > 0 {
		return schema.ValidationErrors(errs)
	}
	s.Schema = assembled
	return nil
}
