// Package feed lets instances that follow the same topic of a log learn its changes from
// one that reads the log, in place of reading it themselves. The reader keeps the recent
// changes in a Feed and sends each follower those that it lacks. The package has no clock
// and does no I/O.
//
// Invariant: a follower at position p that applied all changes in [from, to) with
// from <= p knows everything up to to. Positions of different eras are never compared.
package feed

import (
	"slices"

	"github.com/magnoliawheel/magnoliawheel/core/gzipped"
)

// Position is an offset of a topic. After the log was restored from a copy it assigns
// offsets again, so an offset is comparable only with others of the same era.
type Position struct {
	Era, Offset int64
}

// Change is a record that changes the state of a topic. Records that repeat what is known
// are no changes.
type Change struct {
	Offset  int64
	Key     string
	Value   []byte
	Deleted bool
	// Compressed is set if Value is compressed, see Compress.
	Compressed bool
}

const (
	// compressThreshold is the size in bytes from which a value is compressed. Records of
	// servers are smaller, configurations larger.
	compressThreshold = 1 << 10
	// maxValueBytes bounds a value after decompression.
	maxValueBytes = 16 << 20
)

// Compress returns the change with a large value compressed, since it is sent to every
// follower.
func (c Change) Compress() Change {
	if c.Compressed || len(c.Value) < compressThreshold {
		return c
	}
	compressed, err := gzipped.Compress(c.Value)
	if err != nil || len(compressed) >= len(c.Value) {
		return c
	}
	c.Value, c.Compressed = compressed, true
	return c
}

// Original returns the value before compression.
func (c Change) Original() ([]byte, error) {
	if !c.Compressed {
		return c.Value, nil
	}
	return gzipped.Decompress(c.Value, maxValueBytes)
}

const (
	// maxChanges and maxBytes bound the changes of a feed. A follower that lacks older ones
	// reads the log itself.
	maxChanges = 1024
	maxBytes   = 1 << 20
)

// Feed holds the changes of a topic in [start, end). It is not safe for concurrent use.
type Feed struct {
	start, end Position
	changes    []Change
	bytes      int
}

// Reset empties the feed: what happened before the position is not known.
func (f *Feed) Reset(at Position) { *f = Feed{start: at, end: at} }

// End returns the position up to which the feed reaches.
func (f *Feed) End() Position { return f.end }

// Append adds the changes of the records from the end of the feed up to the given
// position.
func (f *Feed) Append(changes []Change, end Position) {
	if end.Era != f.end.Era || end.Offset < f.end.Offset {
		f.Reset(end)
		return
	}
	f.changes = append(f.changes, changes...)
	for _, c := range changes {
		f.bytes += c.size()
	}
	f.end = end
	for len(f.changes) > maxChanges || f.bytes > maxBytes {
		f.bytes -= f.changes[0].size()
		f.start.Offset = f.changes[0].Offset + 1
		f.changes = slices.Delete(f.changes, 0, 1)
	}
}

func (c *Change) size() int { return len(c.Key) + len(c.Value) }

// covers reports whether the feed has all changes from the position on.
func (f *Feed) covers(p Position) bool {
	return p.Era == f.end.Era && p.Offset >= f.start.Offset && p.Offset <= f.end.Offset
}

// from returns the changes from the offset on.
func (f *Feed) from(offset int64) []Change {
	i, _ := slices.BinarySearchFunc(f.changes, offset, func(c Change, o int64) int { return int(c.Offset - o) })
	return slices.Clone(f.changes[i:])
}

// Cursor is what one follower was sent of a feed. The zero value was sent nothing.
type Cursor struct {
	// The follower was sent all changes in [from, to), if active is set.
	from, to Position
	active   bool
}

// Next returns the changes that a follower lacks. remote is the position that it reported.
// The returned position is the beginning of everything that it was sent without a gap; ok
// is false if there is nothing that it could join to its own state.
func (c *Cursor) Next(f *Feed, remote Position) (changes []Change, from Position, ok bool) {
	if c.active && !f.covers(c.to) {
		c.active = false
	}
	if !c.active && f.covers(remote) {
		c.from, c.to, c.active = remote, remote, true
	}
	if !c.active {
		return nil, Position{}, false
	}
	changes = f.from(c.to.Offset)
	c.to = f.end
	return changes, c.from, true
}
