package configlog

import (
	"fmt"

	"github.com/magnoliawheel/magnoliawheel/core/schema"
)

// Status says what became of a record.
type Status string

// The statuses.
const (
	// Accepted changes are in force from their offset on.
	Accepted Status = "accepted"
	// Conflict means that an object had another version than the base.
	Conflict Status = "conflict"
	// Invalid means that the schema would have mistakes.
	Invalid Status = "invalid"
	// Expired means that the record landed more than Window offsets after the
	// offset its writer had seen.
	Expired Status = "expired"
	// Withdrawn means that the id was made void before a change of that id landed.
	Withdrawn Status = "withdrawn"
	// Duplicate means that the change id was folded before; the first outcome stands.
	Duplicate Status = "duplicate"
	// Checkpointed marks a checkpoint, which changes nothing.
	Checkpointed Status = "checkpoint"
	// Malformed marks a record that can't be read, which changes nothing.
	Malformed Status = "malformed"
)

// Outcome is what became of a change.
type Outcome struct {
	ID     string `json:"id"`
	Author string `json:"author"`
	Time   string `json:"time,omitempty"`
	Note   string `json:"note,omitempty"`
	// Offset is that of the record; it is the version of the objects it wrote.
	Offset uint64 `json:"offset"`
	Status Status `json:"status"`
	// Objects names the objects of the change.
	Objects []string `json:"objects,omitempty"`
	// ConflictObject and ConflictVersion name the version that won.
	ConflictObject  string `json:"conflict_object,omitempty"`
	ConflictVersion uint64 `json:"conflict_version,omitempty"`
	// Mistakes lists what is not valid.
	Mistakes []schema.ValidationError `json:"mistakes,omitempty"`
	// CheckpointOffset and CheckpointDigest are set for a checkpoint.
	CheckpointOffset uint64 `json:"-"`
	CheckpointDigest uint64 `json:"-"`
}

// maxMistakes bounds the mistakes kept in an outcome.
const maxMistakes = 16

// Fold takes in the record at the next offset and returns the new snapshot, with
// what became of the record. The receiver is not changed. Offsets must be folded
// in order without gaps; Fold panics otherwise, as that is a defect of the caller.
func (s *Snapshot) Fold(offset uint64, data []byte) (*Snapshot, Outcome) {
	if offset != s.Offset+1 {
		panic(fmt.Sprintf("configlog: offset %d folded after %d", offset, s.Offset))
	}
	next := *s
	next.Offset = offset
	next.forget()
	r, err := decodeRecord(data)
	if err != nil {
		return &next, Outcome{Offset: offset, Status: Malformed, Mistakes: mistake("record", err.Error())}
	}
	if r.Checkpoint != nil {
		next.checkpoint = offset
		return &next, Outcome{Offset: offset, Status: Checkpointed, CheckpointOffset: r.Checkpoint.Offset, CheckpointDigest: r.Checkpoint.Digest}
	}
	if _, ok := s.Outcome(r.Change.ID); ok {
		return &next, Outcome{ID: r.Change.ID, Offset: offset, Status: Duplicate}
	}
	outcome := next.apply(r.Change)
	next.outcomes = append(next.outcomes[:len(next.outcomes):len(next.outcomes)], outcome)
	return &next, outcome
}

// Try returns what became of a change, or what would become of it if it were the
// next record; decided tells which. The offset is 0 unless it is decided.
func (s *Snapshot) Try(c *Change) (o Outcome, decided bool) {
	if first, ok := s.Outcome(c.ID); ok {
		return first, true
	}
	next := *s
	next.Offset++
	o = next.apply(c)
	o.Offset = 0
	return o, false
}

// apply judges a change at s.Offset and puts it in force if it is accepted.
func (s *Snapshot) apply(c *Change) Outcome {
	o := Outcome{ID: c.ID, Author: c.Author, Time: c.Time, Note: c.Note, Offset: s.Offset}
	for i := range c.Edits {
		o.Objects = append(o.Objects, c.Edits[i].Object)
	}
	if m := checkChange(c, s.Offset); m != nil {
		o.Status, o.Mistakes, o.Objects = Invalid, m, nil
		return o
	}
	if s.Offset-c.After > Window {
		o.Status = Expired
		return o
	}
	if c.Withdraw {
		o.Status = Withdrawn
		return o
	}
	if object, version, ok := s.conflict(c.Edits); ok {
		o.Status, o.ConflictObject, o.ConflictVersion = Conflict, object, version
		return o
	}
	objects, mistakes := s.edited(c.Edits)
	if len(mistakes) == 0 {
		whole := assemble(objects)
		mistakes = whole.Validate()
		if len(mistakes) == 0 {
			s.objects, s.Schema, s.digest = objects, whole, digestOf(objects)
			o.Status = Accepted
			return o
		}
	}
	o.Status, o.Mistakes = Invalid, mistakes[:min(len(mistakes), maxMistakes)]
	return o
}

func checkChange(c *Change, offset uint64) []schema.ValidationError {
	switch {
	case c.ID == "" || len(c.ID) > MaxIDBytes:
		return mistake("id", fmt.Sprintf("an id has 1 to %d bytes", MaxIDBytes))
	case len(c.Author) > MaxIDBytes:
		return mistake("author", fmt.Sprintf("an author has up to %d bytes", MaxIDBytes))
	case len(c.Note) > MaxIDBytes || len(c.Time) > MaxIDBytes:
		return mistake("note", fmt.Sprintf("a note or time has up to %d bytes", MaxIDBytes))
	case c.Withdraw != (len(c.Edits) == 0) || len(c.Edits) > MaxEdits:
		return mistake("edits", fmt.Sprintf("a change has 1 to %d edits, or withdraw = true", MaxEdits))
	case c.After >= offset:
		return mistake("after", "the offset is in the future")
	}
	return checkEdits(c.Edits)
}

func checkEdits(edits []Edit) []schema.ValidationError {
	seen := make(map[string]bool, len(edits))
	for i := range edits {
		e := &edits[i]
		if seen[e.Object] {
			return mistake(e.Object, "the object is edited twice")
		}
		seen[e.Object] = true
		if e.Delete == (len(e.Body) > 0) {
			return mistake(e.Object, "an edit has either a body or delete = true")
		}
	}
	return nil
}

// conflict returns the first object whose version is not the base of its edit.
func (s *Snapshot) conflict(edits []Edit) (object string, version uint64, ok bool) {
	for i := range edits {
		current, _ := s.Object(edits[i].Object)
		if current.Version != edits[i].Base {
			return edits[i].Object, current.Version, true
		}
	}
	return "", 0, false
}

// edited returns a copy of the objects with the edits made.
func (s *Snapshot) edited(edits []Edit) ([]Object, schema.ValidationErrors) {
	objects := make([]Object, len(s.objects), len(s.objects)+len(edits))
	copy(objects, s.objects)
	var mistakes schema.ValidationErrors
	for i := range edits {
		e := &edits[i]
		object := Object{Name: e.Object, Version: s.Offset, Deleted: e.Delete}
		if !e.Delete {
			value, body, err := decodeBody(e.Object, e.Body)
			if err != nil {
				mistakes = append(mistakes, mistake(e.Object, err.Error())...)
				continue
			}
			object.value, object.Body = value, body
		} else if current, ok := s.Object(e.Object); !ok || current.Deleted {
			mistakes = append(mistakes, mistake(e.Object, "there is no such object to delete")...)
			continue
		}
		if at, ok := search(objects[:len(s.objects)], e.Object); ok {
			objects[at] = object
			continue
		}
		objects = append(objects, object)
	}
	sortObjects(objects)
	return objects, mistakes
}

// forget drops the outcomes and tombstones that no valid record can refer to.
func (s *Snapshot) forget() {
	for len(s.outcomes) > 0 && s.outcomes[0].Offset+Window < s.Offset {
		s.outcomes = s.outcomes[1:]
	}
	kept := -1
	for i := range s.objects {
		if s.objects[i].Deleted && s.objects[i].Version+Window < s.Offset {
			kept = i
			break
		}
	}
	if kept < 0 {
		return
	}
	objects := make([]Object, 0, len(s.objects))
	for i := range s.objects {
		if !s.objects[i].Deleted || s.objects[i].Version+Window >= s.Offset {
			objects = append(objects, s.objects[i])
		}
	}
	s.objects, s.digest = objects, digestOf(objects)
}

func mistake(place, reason string) []schema.ValidationError {
	return []schema.ValidationError{{Path: place, Reason: reason}}
}
