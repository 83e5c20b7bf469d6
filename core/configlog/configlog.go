// Package configlog folds the records of the configuration stream to versions of
// the configuration. The fold is deterministic: all processes at one offset hold
// the same state.
package configlog

import "github.com/magnoliawheel/magnoliawheel/core/schema"

// Snapshot is the configuration in force as of an offset. It is never changed
// after it was made, so a request stays pinned to one by holding the pointer.
type Snapshot struct {
	// Offset is that of the newest record folded; 0 before the first.
	Offset uint64
	// Schema is nil until a first schema was accepted.
	Schema *schema.Schema

	// objects is sorted by name and holds tombstones of deleted objects.
	objects []Object
	// outcomes is sorted by offset and holds those of the last Window offsets.
	outcomes []Outcome
	// digest covers objects.
	digest uint64
	// checkpoint is the offset of the newest record that is a checkpoint.
	checkpoint uint64
}

// Empty returns the snapshot before the first record.
func Empty() *Snapshot {
	s := &Snapshot{}
	s.digest = digestOf(s.objects)
	return s
}

// Digest identifies the content of the objects and their versions. Two
// processes at one offset have the same digest.
func (s *Snapshot) Digest() uint64 { return s.digest }

// CheckpointOffset returns the offset of the newest record that is a checkpoint;
// 0 if none was folded.
func (s *Snapshot) CheckpointOffset() uint64 { return s.checkpoint }

// Objects returns the objects that exist, sorted by name.
func (s *Snapshot) Objects() []Object { return Existing(s.objects) }

// AllObjects returns the objects with tombstones, sorted by name. The slice is
// shared and must not be changed.
func (s *Snapshot) AllObjects() []Object { return s.objects }

// Object returns the object of that name; a tombstone is returned too, as its
// version is the base of a change that creates the object again.
func (s *Snapshot) Object(name string) (Object, bool) {
	i, ok := search(s.objects, name)
	if !ok {
		return Object{}, false
	}
	return s.objects[i], true
}

// Outcome returns what became of the change with that id, if it was folded
// within the last Window offsets.
func (s *Snapshot) Outcome(id string) (Outcome, bool) {
	for i := len(s.outcomes) - 1; i >= 0; i-- {
		if s.outcomes[i].ID == id {
			return s.outcomes[i], true
		}
	}
	return Outcome{}, false
}

// Outcomes returns the outcomes of the last Window offsets, oldest first. The
// slice is shared and must not be changed.
func (s *Snapshot) Outcomes() []Outcome { return s.outcomes }
