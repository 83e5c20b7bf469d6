package streamversion

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// BatchInterval is the time between two batches of streams that are stored.
	BatchInterval = 100 * time.Millisecond
	// batchSlots is the number of batches that the store keeps: those of the last 25 s if there
	// is one in each interval, which is longer than streams take.
	batchSlots = 256
	// maxBatchStreams bounds the streams of one batch, which must fit in a record of the store.
	maxBatchStreams = 2000
)

// Batch holds the versions of streams that began one after the other, while streams of several
// versions could be resumed. A process that starts later learns them from the store.
type Batch struct {
	// Sequence numbers the batches. A later one replaces what an earlier one says of a stream.
	Sequence int64
	// Era is that of the store when the batch was written; later batches may be missing in
	// another era.
	Era     int64
	Records []Record
}

// Slot returns the name under which the batch is stored, in place of the batch that was stored
// batchSlots before it.
func (b *Batch) Slot() string { return fmt.Sprintf("%03d", b.Sequence%batchSlots) }

// Merge returns the newest record of each stream in the batches of an era, and the sequence number
// after the newest batch of any era.
func Merge(batches []Batch, era int64) (newest map[string]Record, next int64) {
	newest = map[string]Record{}
	sorted := slices.Clone(batches)
	slices.SortFunc(sorted, func(a, b Batch) int { return cmp.Compare(a.Sequence, b.Sequence) })
	for _, b := range sorted {
		next = max(next, b.Sequence+1)
		if b.Era != era {
			continue
		}
		for _, r := range b.Records {
			newest[r.Stream] = r
		}
	}
	return newest, next
}

// Outgoing collects the records of streams to be stored. It is not safe for concurrent use.
type Outgoing struct {
	records []Record
}

// maxOutgoing bounds the collected records while the store takes none: the streams that begin in
// MaxAge at the target rate of one instance that places all requests.
const maxOutgoing = 400_000

// Add adds records, and drops the oldest if there are too many.
func (o *Outgoing) Add(records ...Record) {
	o.records = append(o.records, records...)
	if excess := len(o.records) - maxOutgoing; excess > 0 {
		o.records = slices.Delete(o.records, 0, excess)
	}
}

// Take returns the records of the next batch and removes them.
func (o *Outgoing) Take(now time.Duration) []Record {
	o.records = slices.DeleteFunc(o.records, func(r Record) bool { return r.Until <= now })
	n := min(len(o.records), maxBatchStreams)
	taken := slices.Clone(o.records[:n])
	o.records = slices.Delete(o.records, 0, n)
	return taken
}

// Return adds records again that could not be stored, before all others.
func (o *Outgoing) Return(records []Record) { o.records = slices.Concat(records, o.records) }
