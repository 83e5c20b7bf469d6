package configlog

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// logModel is a log with writers and readers, driven by random steps.
type logModel struct {
	t           *rapid.T
	log         [][]byte
	firstOffset uint64
	delayed     [][]byte
	writers     []*Snapshot
	readers     []*Snapshot
	// digests holds the digest of each offset, acceptedAt the offset at which each
	// change ID was accepted, and firstStatus the first status seen of each ID.
	digests     map[uint64]uint64
	acceptedAt  map[string]uint64
	firstStatus map[string]Status
	// baseOffsets holds the base offset of the newest change of each ID.
	baseOffsets map[string]uint64
	lastID      int
}

func newLogModel(t *rapid.T, start *Snapshot, record []byte) *logModel {
	w := &logModel{t: t, log: [][]byte{record}, firstOffset: 1, digests: map[uint64]uint64{}, acceptedAt: map[string]uint64{}, firstStatus: map[string]Status{}, baseOffsets: map[string]uint64{}}
	for range 3 {
		w.writers = append(w.writers, start)
		w.readers = append(w.readers, start)
	}
	return w
}

func (w *logModel) nextOffset() uint64 { return w.firstOffset + uint64(len(w.log)) }

// writeChange lets a writer submit a change based on its snapshot, which may be
// outdated. The record may be appended once, repeatedly, later or never.
func (w *logModel) writeChange(t *rapid.T) {
	i := rapid.IntRange(0, len(w.writers)-1).Draw(t, "writer")
	s := w.writers[i]
	w.lastID++
	c := &Change{ID: fmt.Sprintf("c%d", w.lastID), BaseOffset: s.Offset}
	switch rapid.IntRange(0, 4).Draw(t, "edit") {
	case 0:
		c.Edits = []Edit{weightEdit(s, rapid.IntRange(0, 9).Draw(t, "weight"))}
	case 1:
		c.Edits = []Edit{customerEdit(s, rapid.IntRange(1, 3).Draw(t, "customer"))}
	case 2:
		c.Edits = []Edit{deleteEdit(s, "customer/new")}
	case 3:
		c.Edits = []Edit{customerEdit(s, 1), weightEdit(s, rapid.IntRange(1, 9).Draw(t, "weight"))}
	case 4:
		c.ID = fmt.Sprintf("c%d", rapid.IntRange(1, w.lastID).Draw(t, "withdrawn"))
		c.Withdraw = true
		if baseOffset, ok := w.baseOffsets[c.ID]; ok {
			c.BaseOffset = baseOffset
		}
	}
	w.baseOffsets[c.ID] = c.BaseOffset
	data := mustEncode(t, c)
	for range rapid.IntRange(0, 2).Draw(t, "immediate copies") {
		w.log = append(w.log, data)
	}
	for range rapid.IntRange(0, 2).Draw(t, "delayed copies") {
		w.delayed = append(w.delayed, data)
	}
}

// customerEdit returns an edit that creates or updates the customer new.
func customerEdit(s *Snapshot, weight int) Edit {
	o, _ := s.Object("customer/new")
	body := fmt.Sprintf(`{"name":"new","key_sha256":"%064d","weight":%d,"calls":null}`, 0, weight)
	return Edit{Object: "customer/new", BaseVersion: o.Version, Body: []byte(body)}
}

// deliverDelayed appends a record that was delayed.
func (w *logModel) deliverDelayed(t *rapid.T) {
	if len(w.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.delayed)-1).Draw(t, "record")
	w.log = append(w.log, w.delayed[i])
	w.delayed = append(w.delayed[:i], w.delayed[i+1:]...)
}

// appendMalformed appends records without effect, so that outcomes are discarded.
func (w *logModel) appendMalformed(t *rapid.T) {
	for range rapid.IntRange(1, ChangeWindow).Draw(t, "records") {
		w.log = append(w.log, []byte("{}"))
	}
}

// writeCheckpoint appends the state of some reader once or twice.
func (w *logModel) writeCheckpoint(t *rapid.T) {
	s := w.readers[rapid.IntRange(0, len(w.readers)-1).Draw(t, "reader")]
	data, err := s.EncodeCheckpoint()
	assert.NilError(t, err)
	for range rapid.IntRange(1, 2).Draw(t, "copies") {
		w.log = append(w.log, data)
	}
}

// truncate removes the records that are covered by a checkpoint in the rest of the
// log.
func (w *logModel) truncate(t *rapid.T) {
	newFirst := uint64(0)
	for i := range w.log {
		at, _, ok := CheckpointInfo(w.log[i])
		if ok && at >= w.firstOffset {
			newFirst = min(at+1, w.firstOffset+uint64(i))
		}
	}
	if newFirst > w.firstOffset {
		w.log = w.log[newFirst-w.firstOffset:]
		w.firstOffset = newFirst
	}
}

// advanceReader lets a reader apply some records.
func (w *logModel) advanceReader(t *rapid.T) {
	i := rapid.IntRange(0, len(w.readers)-1).Draw(t, "reader")
	w.readers[i] = w.advance(w.readers[i], rapid.IntRange(1, 30).Draw(t, "records"))
}

// catchUpWriter lets a writer apply all records.
func (w *logModel) catchUpWriter(t *rapid.T) {
	i := rapid.IntRange(0, len(w.writers)-1).Draw(t, "writer")
	w.writers[i] = w.advance(w.writers[i], len(w.log))
}

// restartReader restarts a reader from an empty snapshot, or from the newest checkpoint
// if the log was truncated.
func (w *logModel) restartReader(t *rapid.T) {
	i := rapid.IntRange(0, len(w.readers)-1).Draw(t, "reader")
	if w.firstOffset == 1 {
		w.readers[i] = Empty()
		return
	}
	for j := len(w.log) - 1; j >= 0; j-- {
		if at, _, ok := CheckpointInfo(w.log[j]); ok && at+1 >= w.firstOffset {
			s, err := DecodeCheckpoint(w.log[j])
			assert.NilError(t, err)
			w.readers[i] = s
			return
		}
	}
}

// advance applies up to n records and checks their outcomes.
func (w *logModel) advance(s *Snapshot, n int) *Snapshot {
	for ; n > 0 && s.Offset+1 < w.nextOffset(); n-- {
		if s.Offset+1 < w.firstOffset {
			return w.peerSnapshot(s)
		}
		next, o := s.Apply(s.Offset+1, w.log[s.Offset+1-w.firstOffset])
		w.checkOutcome(next, &o)
		s = next
	}
	return s
}

// peerSnapshot returns the snapshot of a reader from which the log can be followed.
// It models a process that gets the state from a peer because its next records were
// truncated.
func (w *logModel) peerSnapshot(s *Snapshot) *Snapshot {
	for _, r := range w.readers {
		if r.Offset+1 >= w.firstOffset && r.Offset > s.Offset {
			return r
		}
	}
	return s
}

// checkOutcome compares the digest and the outcome at an offset with those seen
// before.
func (w *logModel) checkOutcome(s *Snapshot, o *Outcome) {
	if seen, ok := w.digests[s.Offset]; ok {
		assert.Equal(w.t, seen, s.Digest(), "state at offset %d", s.Offset)
	}
	w.digests[s.Offset] = s.Digest()
	if o.ID != "" && o.Status != Duplicate && o.Status != Expired {
		first, ok := w.firstStatus[o.ID]
		assert.Assert(w.t, !ok || first == o.Status, "outcome of %s changed from %s to %s", o.ID, first, o.Status)
		w.firstStatus[o.ID] = o.Status
	}
	if o.Status != Accepted {
		return
	}
	at, ok := w.acceptedAt[o.ID]
	assert.Assert(w.t, !ok || at == o.Offset, "change %s was accepted at offsets %d and %d", o.ID, at, o.Offset)
	w.acceptedAt[o.ID] = o.Offset
}

// TestApplyProperties interleaves writers with outdated snapshots, repeated and
// delayed appends, checkpoints, truncation and restarts. It checks that all
// processes at one offset hold the same state, that a change ID takes effect at most
// once, and that an outcome is never reversed.
func TestApplyProperties(t *testing.T) {
	start := exampleSnapshot(t)
	record := mustEncode(t, &Change{ID: "first", Author: "test", Edits: Diff(nil, exampleObjects(t))})
	rapid.Check(t, func(t *rapid.T) {
		w := newLogModel(t, start, record)
		steps := map[string]func(*rapid.T){
			"writeChange": w.writeChange, "deliverDelayed": w.deliverDelayed, "appendMalformed": w.appendMalformed, "writeCheckpoint": w.writeCheckpoint, "truncate": w.truncate,
			"advanceReader": w.advanceReader, "catchUpWriter": w.catchUpWriter, "restartReader": w.restartReader,
		}
		t.Repeat(steps)
		for i := range w.readers {
			w.readers[i] = w.advance(w.readers[i], len(w.log))
		}
	})
}

// TestOneOfConcurrentChangesIsAccepted checks that of several changes with the same
// base version exactly one is accepted, and that the others report its version.
func TestOneOfConcurrentChangesIsAccepted(t *testing.T) {
	start := exampleSnapshot(t)
	rapid.Check(t, func(t *rapid.T) {
		s := start
		accepted := uint64(0)
		for i := range rapid.IntRange(2, 8).Draw(t, "changes") {
			c := &Change{ID: fmt.Sprintf("r%d", i), BaseOffset: 1, Edits: []Edit{weightEdit(start, rapid.IntRange(1, 9).Draw(t, "weight"))}}
			next, o := s.Apply(s.Offset+1, mustEncode(t, c))
			if accepted == 0 {
				assert.Equal(t, o.Status, Accepted)
				accepted = o.Offset
			} else {
				assert.Equal(t, o.Status, Conflict)
				assert.Equal(t, o.ConflictVersion, accepted)
			}
			s = next
		}
	})
}
