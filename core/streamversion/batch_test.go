package streamversion

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestMerge guards against an older record of a stream that began anew at another version, and
// against batches of before a restore of the store, which may lack a newer one.
func TestMerge(t *testing.T) {
	record := func(stream, version string) Record { return Record{stream, version, time.Second} }
	newest, next := Merge([]Batch{
		{Sequence: 9, Era: 1, Records: []Record{record("a", "v2")}},
		{Sequence: 7, Era: 1, Records: []Record{record("a", "v1"), record("b", "v1")}},
		{Sequence: 12, Era: 0, Records: []Record{record("b", "v2"), record("c", "v1")}},
	}, 1)
	assert.DeepEqual(t, newest, map[string]Record{"a": record("a", "v2"), "b": record("b", "v1")})
	assert.Equal(t, next, int64(13))
}

// TestOutgoing guards against records that pile up while the store takes none, and against batches
// that are too large for it.
func TestOutgoing(t *testing.T) {
	var o Outgoing
	for i := range maxOutgoing + 5 {
		o.Add(Record{fmt.Sprint(i), "v1", time.Minute})
	}
	batch := o.Take(0)
	assert.Equal(t, len(batch), maxBatchStreams)
	assert.Equal(t, batch[0].Stream, "5", "the oldest are dropped")
	o.Return(batch)
	assert.Equal(t, o.Take(0)[0].Stream, "5")
	assert.Equal(t, len(o.Take(time.Minute)), 0, "nobody resumes them any more")
}

// TestSlotsCoverTheTimeOfAStream guards against batches that are replaced while their streams may
// be resumed: streams of the sheets take 20 s at most.
func TestSlotsCoverTheTimeOfAStream(t *testing.T) {
	slots := map[string]bool{}
	for i := range int64(20 * time.Second / BatchInterval) {
		b := Batch{Sequence: 1<<40 + i}
		assert.Assert(t, !slots[b.Slot()])
		slots[b.Slot()] = true
	}
}
