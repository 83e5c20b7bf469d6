package configlog

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// world is a log with writers and readers, driven by random steps.
type world struct {
	t       *rapid.T
	log     [][]byte
	first   uint64
	late    [][]byte
	writers []*Snapshot
	readers []*Snapshot
	// digests holds the digest seen at each offset, effects the offset at which
	// each change id took effect, and final the outcome first seen of each id.
	digests map[uint64]uint64
	effects map[string]uint64
	final   map[string]Status
	// after holds the newest offset that the writer of each id had seen.
	after map[string]uint64
	ids   int
}

func newWorld(t *rapid.T, start *Snapshot, record []byte) *world {
	w := &world{t: t, log: [][]byte{record}, first: 1, digests: map[uint64]uint64{}, effects: map[string]uint64{}, final: map[string]Status{}, after: map[string]uint64{}}
	for range 3 {
		w.writers = append(w.writers, start)
		w.readers = append(w.readers, start)
	}
	return w
}

func (w *world) next() uint64 { return w.first + uint64(len(w.log)) }

// write lets a writer base a change on what it knows, which may be old. The
// write may land, land twice, or land later.
func (w *world) write(t *rapid.T) {
	i := rapid.IntRange(0, len(w.writers)-1).Draw(t, "writer")
	s := w.writers[i]
	w.ids++
	c := &Change{ID: fmt.Sprintf("c%d", w.ids), After: s.Offset}
	switch rapid.IntRange(0, 4).Draw(t, "edit") {
	case 0:
		c.Edits = []Edit{weight(s, rapid.IntRange(0, 9).Draw(t, "weight"))}
	case 1:
		c.Edits = []Edit{customer(s, rapid.IntRange(1, 3).Draw(t, "customer"))}
	case 2:
		c.Edits = []Edit{remove(s, "customer/new")}
	case 3:
		c.Edits = []Edit{customer(s, 1), weight(s, rapid.IntRange(1, 9).Draw(t, "weight"))}
	case 4:
		c.ID = fmt.Sprintf("c%d", rapid.IntRange(1, w.ids).Draw(t, "withdrawn"))
		c.Withdraw = true
		if after, ok := w.after[c.ID]; ok {
			c.After = after
		}
	}
	w.after[c.ID] = c.After
	data := encode(t, c)
	for range rapid.IntRange(0, 2).Draw(t, "now") {
		w.log = append(w.log, data)
	}
	for range rapid.IntRange(0, 2).Draw(t, "late") {
		w.late = append(w.late, data)
	}
}

func customer(s *Snapshot, weight int) Edit {
	o, _ := s.Object("customer/new")
	body := fmt.Sprintf(`{"name":"new","key_sha256":"%064d","weight":%d,"calls":null}`, 0, weight)
	return Edit{Object: "customer/new", Base: o.Version, Body: []byte(body)}
}

// land lets a late write take effect.
func (w *world) land(t *rapid.T) {
	if len(w.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.late)-1).Draw(t, "which")
	w.log = append(w.log, w.late[i])
	w.late = append(w.late[:i], w.late[i+1:]...)
}

// fill appends records without effect, so that outcomes are forgotten.
func (w *world) fill(t *rapid.T) {
	for range rapid.IntRange(1, Window).Draw(t, "records") {
		w.log = append(w.log, []byte("{}"))
	}
}

// checkpoint appends the state of some reader, perhaps twice.
func (w *world) checkpoint(t *rapid.T) {
	s := w.readers[rapid.IntRange(0, len(w.readers)-1).Draw(t, "reader")]
	data, err := s.EncodeCheckpoint()
	assert.NilError(t, err)
	for range rapid.IntRange(1, 2).Draw(t, "copies") {
		w.log = append(w.log, data)
	}
}

// truncate drops records that a checkpoint in the kept part covers.
func (w *world) truncate(t *rapid.T) {
	cut := uint64(0)
	for i := range w.log {
		at, _, ok := CheckpointInfo(w.log[i])
		if ok && at >= w.first {
			cut = min(at+1, w.first+uint64(i))
		}
	}
	if cut > w.first {
		w.log = w.log[cut-w.first:]
		w.first = cut
	}
}

// read lets a reader fold some records.
func (w *world) read(t *rapid.T) {
	i := rapid.IntRange(0, len(w.readers)-1).Draw(t, "reader")
	w.readers[i] = w.advance(w.readers[i], rapid.IntRange(1, 30).Draw(t, "records"))
}

// learn lets a writer catch up.
func (w *world) learn(t *rapid.T) {
	i := rapid.IntRange(0, len(w.writers)-1).Draw(t, "writer")
	w.writers[i] = w.advance(w.writers[i], len(w.log))
}

// restart starts a reader anew from the newest checkpoint or a peer.
func (w *world) restart(t *rapid.T) {
	i := rapid.IntRange(0, len(w.readers)-1).Draw(t, "reader")
	if w.first == 1 {
		w.readers[i] = Empty()
		return
	}
	for j := len(w.log) - 1; j >= 0; j-- {
		if at, _, ok := CheckpointInfo(w.log[j]); ok && at+1 >= w.first {
			s, err := DecodeCheckpoint(w.log[j])
			assert.NilError(t, err)
			w.readers[i] = s
			return
		}
	}
}

// advance folds up to n records and checks what became of them.
func (w *world) advance(s *Snapshot, n int) *Snapshot {
	for ; n > 0 && s.Offset+1 < w.next(); n-- {
		if s.Offset+1 < w.first {
			return w.fromPeer(s)
		}
		next, o := s.Fold(s.Offset+1, w.log[s.Offset+1-w.first])
		w.check(next, &o)
		s = next
	}
	return s
}

// fromPeer stands for a process that finds the log truncated.
func (w *world) fromPeer(s *Snapshot) *Snapshot {
	for _, r := range w.readers {
		if r.Offset+1 >= w.first && r.Offset > s.Offset {
			return r
		}
	}
	return s
}

func (w *world) check(s *Snapshot, o *Outcome) {
	if seen, ok := w.digests[s.Offset]; ok {
		assert.Equal(w.t, seen, s.Digest(), "state at offset %d", s.Offset)
	}
	w.digests[s.Offset] = s.Digest()
	if o.ID != "" && o.Status != Duplicate && o.Status != Expired {
		first, ok := w.final[o.ID]
		assert.Assert(w.t, !ok || first == o.Status, "outcome of %s went from %s to %s", o.ID, first, o.Status)
		w.final[o.ID] = o.Status
	}
	if o.Status != Accepted {
		return
	}
	at, ok := w.effects[o.ID]
	assert.Assert(w.t, !ok || at == o.Offset, "change %s took effect at %d and %d", o.ID, at, o.Offset)
	w.effects[o.ID] = o.Offset
}

// TestFoldProperties checks, over any interleaving of writers with old views,
// copies, late writes, checkpoints, truncation and restarts, that all processes
// at one offset hold one state, that a change id takes effect once, and that an
// outcome once seen is not reversed.
func TestFoldProperties(t *testing.T) {
	start := filled(t)
	record := encode(t, &Change{ID: "first", Author: "test", Edits: Diff(nil, exampleObjects(t))})
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, start, record)
		steps := map[string]func(*rapid.T){
			"write": w.write, "land": w.land, "fill": w.fill, "checkpoint": w.checkpoint, "truncate": w.truncate,
			"read": w.read, "learn": w.learn, "restart": w.restart,
		}
		t.Repeat(steps)
		for i := range w.readers {
			w.readers[i] = w.advance(w.readers[i], len(w.log))
		}
	})
}

// TestOneOfRacingChangesWins checks that of changes on one base exactly one is
// accepted, and that the others name its version.
func TestOneOfRacingChangesWins(t *testing.T) {
	start := filled(t)
	rapid.Check(t, func(t *rapid.T) {
		s := start
		accepted := uint64(0)
		for i := range rapid.IntRange(2, 8).Draw(t, "racers") {
			c := &Change{ID: fmt.Sprintf("r%d", i), After: 1, Edits: []Edit{weight(start, rapid.IntRange(1, 9).Draw(t, "weight"))}}
			next, o := s.Fold(s.Offset+1, encode(t, c))
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
