package configlog

import (
	"fmt"

	"github.com/magnoliawheel/magnoliawheel/core/schema"
)

// Status is the result of applying a record.
type Status string

// Values of Status.
const (
	// Accepted changes are in force from their offset on.
	Accepted Status = "accepted"
	// Conflict means that the version of an object differs from the base version of
	// its edit.
	Conflict Status = "conflict"
	// Invalid means that the change, or the schema that it would produce, is not
	// valid.
	Invalid Status = "invalid"
	// Expired means that the record was appended more than ChangeWindow offsets
	// after the base offset of the change.
	Expired Status = "expired"
	// Withdrawn means that the ID was withdrawn before a change with that ID was
	// applied.
	Withdrawn Status = "withdrawn"
	// Duplicate means that a change with the ID was applied before. Its outcome
	// remains valid.
	Duplicate Status = "duplicate"
	// Checkpointed marks a checkpoint record, which has no effect.
	Checkpointed Status = "checkpoint"
	// Malformed marks a record that can't be decoded, which has no effect.
	Malformed Status = "malformed"
)

// Outcome is the result of applying a change.
type Outcome struct {
	ID     string `json:"id"`
	Author string `json:"author"`
	Time   string `json:"time,omitempty"`
	Note   string `json:"note,omitempty"`
	// Offset is the offset of the record, and the version of the objects it wrote.
	Offset uint64 `json:"offset"`
	Status Status `json:"status"`
	// Objects lists the names of the objects in the change.
	Objects []string `json:"objects,omitempty"`
	// ConflictObject and ConflictVersion are the first conflicting object and its
	// current version.
	ConflictObject  string `json:"conflict_object,omitempty"`
	ConflictVersion uint64 `json:"conflict_version,omitempty"`
	// ValidationErrors lists the reasons why the change is invalid.
	ValidationErrors []schema.ValidationError `json:"mistakes,omitempty"`
	// CheckpointOffset and CheckpointDigest are set for a checkpoint.
	CheckpointOffset uint64 `json:"-"`
	CheckpointDigest uint64 `json:"-"`
}

// maxValidationErrors bounds the validation errors kept in an outcome.
const maxValidationErrors = 16

// Apply applies the record at the next offset and returns the new snapshot and the
// outcome. The receiver is not modified. Offsets must be applied in order without
// gaps; Apply panics otherwise, as that is a bug in the caller.
func (s *Snapshot) Apply(offset uint64, data []byte) (*Snapshot, Outcome) {
	if offset != s.Offset+1 {
		panic(fmt.Sprintf("configlog: offset %d applied after %d", offset, s.Offset))
	}
	next := *s
	next.Offset = offset
	next.discardExpired()
	r, err := decodeRecord(data)
	if err != nil {
		return &next, Outcome{Offset: offset, Status: Malformed, ValidationErrors: newValidationErrors("record", err.Error())}
	}
	if r.Checkpoint != nil {
		next.lastCheckpoint = offset
		return &next, Outcome{Offset: offset, Status: Checkpointed, CheckpointOffset: r.Checkpoint.Offset, CheckpointDigest: r.Checkpoint.Digest}
	}
	if _, ok := s.Outcome(r.Change.ID); ok {
		return &next, Outcome{ID: r.Change.ID, Offset: offset, Status: Duplicate}
	}
	outcome := next.evaluate(r.Change)
	next.outcomes = append(next.outcomes[:len(next.outcomes):len(next.outcomes)], outcome)
	return &next, outcome
}

// Preview returns the outcome of a change that was applied already (decided is
// true), or the outcome it would have as the next record. In the second case the
// offset of the outcome is 0.
func (s *Snapshot) Preview(c *Change) (o Outcome, decided bool) {
	if first, ok := s.Outcome(c.ID); ok {
		return first, true
	}
	next := *s
	next.Offset++
	o = next.evaluate(c)
	o.Offset = 0
	return o, false
}

// evaluate returns the outcome of a change at s.Offset and updates s if the change
// is accepted.
func (s *Snapshot) evaluate(c *Change) Outcome {
	o := Outcome{ID: c.ID, Author: c.Author, Time: c.Time, Note: c.Note, Offset: s.Offset}
	for i := range c.Edits {
		o.Objects = append(o.Objects, c.Edits[i].Object)
	}
	if validationErrs := validateChange(c, s.Offset); validationErrs != nil {
		o.Status, o.ValidationErrors, o.Objects = Invalid, validationErrs, nil
		return o
	}
	if s.Offset-c.BaseOffset > ChangeWindow {
		o.Status = Expired
		return o
	}
	if c.Withdraw {
		o.Status = Withdrawn
		return o
	}
	if object, version, ok := s.findConflict(c.Edits); ok {
		o.Status, o.ConflictObject, o.ConflictVersion = Conflict, object, version
		return o
	}
	objects, errs := s.applyEdits(c.Edits)
	if len(errs) == 0 {
		assembled := assemble(objects)
		errs = assembled.Validate()
		if len(errs) == 0 {
			s.objects, s.Schema, s.digest = objects, assembled, computeDigest(objects)
			o.Status = Accepted
			return o
		}
	}
	o.Status, o.ValidationErrors = Invalid, errs[:min(len(errs), maxValidationErrors)]
	return o
}

func validateChange(c *Change, offset uint64) []schema.ValidationError {
	switch {
	case c.ID == "" || len(c.ID) > MaxIDBytes:
		return newValidationErrors("id", fmt.Sprintf("an id has 1 to %d bytes", MaxIDBytes))
	case len(c.Author) > MaxIDBytes:
		return newValidationErrors("author", fmt.Sprintf("an author has up to %d bytes", MaxIDBytes))
	case len(c.Note) > MaxIDBytes || len(c.Time) > MaxIDBytes:
		return newValidationErrors("note", fmt.Sprintf("a note or time has up to %d bytes", MaxIDBytes))
	case c.Withdraw != (len(c.Edits) == 0) || len(c.Edits) > MaxEdits:
		return newValidationErrors("edits", fmt.Sprintf("a change has 1 to %d edits, or withdraw = true", MaxEdits))
	case c.BaseOffset >= offset:
		return newValidationErrors("after", "the offset is in the future")
	}
	return validateEdits(c.Edits)
}

func validateEdits(edits []Edit) []schema.ValidationError {
	seen := make(map[string]bool, len(edits))
	for i := range edits {
		e := &edits[i]
		if seen[e.Object] {
			return newValidationErrors(e.Object, "the object is edited twice")
		}
		seen[e.Object] = true
		if e.Delete == (len(e.Body) > 0) {
			return newValidationErrors(e.Object, "an edit has either a body or delete = true")
		}
	}
	return nil
}

// findConflict returns the first object whose version differs from the base
// version of its edit, and its current version.
func (s *Snapshot) findConflict(edits []Edit) (object string, version uint64, ok bool) {
	for i := range edits {
		current, _ := s.Object(edits[i].Object)
		if current.Version != edits[i].BaseVersion {
			return edits[i].Object, current.Version, true
		}
	}
	return "", 0, false
}

// applyEdits returns a copy of the objects with the edits applied.
func (s *Snapshot) applyEdits(edits []Edit) ([]Object, schema.ValidationErrors) {
	objects := make([]Object, len(s.objects), len(s.objects)+len(edits))
	copy(objects, s.objects)
	var errs schema.ValidationErrors
	for i := range edits {
		e := &edits[i]
		object := Object{Name: e.Object, Version: s.Offset, Deleted: e.Delete}
		if !e.Delete {
			value, body, err := decodeBody(e.Object, e.Body)
			if err != nil {
				errs = append(errs, newValidationErrors(e.Object, err.Error())...)
				continue
			}
			object.value, object.Body = value, body
		} else if current, ok := s.Object(e.Object); !ok || current.Deleted {
			errs = append(errs, newValidationErrors(e.Object, "there is no such object to delete")...)
			continue
		}
		if index, ok := search(objects[:len(s.objects)], e.Object); ok {
			objects[index] = object
			continue
		}
		objects = append(objects, object)
	}
	sortObjects(objects)
	return objects, errs
}

// discardExpired removes the outcomes and tombstones that no unexpired record can refer
// to.
func (s *Snapshot) discardExpired() {
	for len(s.outcomes) > 0 && s.outcomes[0].Offset+ChangeWindow < s.Offset {
		s.outcomes = s.outcomes[1:]
	}
	firstExpired := -1
	for i := range s.objects {
		if s.objects[i].Deleted && s.objects[i].Version+ChangeWindow < s.Offset {
			firstExpired = i
			break
		}
	}
	if firstExpired < 0 {
		return
	}
	objects := make([]Object, 0, len(s.objects))
	for i := range s.objects {
		if !s.objects[i].Deleted || s.objects[i].Version+ChangeWindow >= s.Offset {
			objects = append(objects, s.objects[i])
		}
	}
	s.objects, s.digest = objects, computeDigest(objects)
}

func newValidationErrors(path, reason string) []schema.ValidationError {
	return []schema.ValidationError{{Path: path, Reason: reason}}
}
