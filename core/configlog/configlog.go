// Package configlog computes the configuration from the records of the
// configuration stream. Applying records is deterministic: all processes at one
// offset hold the same state.
package configlog

import "github.com/magnoliawheel/magnoliawheel/core/schema"

// Snapshot is the configuration in force as of an offset. It is immutable, so a
// request stays on one version of the configuration by holding the pointer.
type Snapshot struct {
	// Offset is the offset of the newest record applied; 0 before the first.
	Offset uint64
	// Schema is nil until a first schema was accepted.
	Schema *schema.Schema

	// objects is sorted by name and includes tombstones of deleted objects.
	objects []Object
	// outcomes is sorted by offset and covers the last ChangeWindow offsets.
	outcomes []Outcome
	// digest is the digest of objects.
	digest uint64
	// lastCheckpoint is the offset of the newest checkpoint record.
	lastCheckpoint uint64
}

// Empty returns the snapshot before the first record.
func Empty() *Snapshot {
	s := &Snapshot{}
	s.digest = computeDigest(s.objects)
	return s
}

// Digest returns a hash of the objects and their versions. Two processes at one
// offset have the same digest.
func (s *Snapshot) Digest() uint64 { return s.digest }

// CheckpointOffset returns the offset of the newest checkpoint record, or 0 if
// none was applied.
func (s *Snapshot) CheckpointOffset() uint64 { return s.lastCheckpoint }

// Objects returns the objects without tombstones, sorted by name.
func (s *Snapshot) Objects() []Object { return LiveObjects(s.objects) }

// AllObjects returns the objects including tombstones, sorted by name. The slice
// is shared and must not be modified.
func (s *Snapshot) AllObjects() []Object { return s.objects }

// Object returns the object with the given name. Tombstones are returned too: a
// change that creates the object again needs the version of the tombstone.
func (s *Snapshot) Object(name string) (Object, bool) {
	i, ok := search(s.objects, name)
	if !ok {
		return Object{}, false
	}
	return s.objects[i], true
}

// Outcome returns the outcome of the change with the given ID, if its record is
// within the last ChangeWindow offsets.
func (s *Snapshot) Outcome(id string) (Outcome, bool) {
	for i := len(s.outcomes) - 1; i >= 0; i-- {
		if s.outcomes[i].ID == id {
			return s.outcomes[i], true
		}
	}
	return Outcome{}, false
}

// Outcomes returns the outcomes of the last ChangeWindow offsets, oldest first.
// The slice is shared and must not be modified.
func (s *Snapshot) Outcomes() []Outcome { return s.outcomes }
