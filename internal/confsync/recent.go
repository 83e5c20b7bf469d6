package confsync

import "github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"

// Bounds of the records held in memory for peers.
const (
	maxRecentRecords = 256
	maxRecentBytes   = 1 << 20
)

// recentRecords holds the newest records, at consecutive offsets.
type recentRecords struct {
	list  []*wire.ConfigRecord
	bytes int
}

func (r *recentRecords) add(offset uint64, data []byte) {
	r.list = append(r.list, &wire.ConfigRecord{Offset: offset, Data: data})
	r.bytes += len(data)
	for len(r.list) > maxRecentRecords || (r.bytes > maxRecentBytes && len(r.list) > 1) {
		r.bytes -= len(r.list[0].Data)
		r.list[0] = nil
		r.list = r.list[1:]
	}
}

func (r *recentRecords) reset() { *r = recentRecords{} }

// after returns the records after an offset; ok is false if some of them are not held.
func (r *recentRecords) after(offset uint64) (list []*wire.ConfigRecord, ok bool) {
	if len(r.list) == 0 || r.list[0].Offset > offset+1 {
		return nil, false
	}
	skip := min(offset+1-r.list[0].Offset, uint64(len(r.list)))
	return append([]*wire.ConfigRecord(nil), r.list[skip:]...), true
}

// maxRecentDigests is the number of offsets whose digests are held.
const maxRecentDigests = 256

// digestRing holds the digests of the newest offsets.
type digestRing [maxRecentDigests]struct{ offset, digest uint64 }

func (r *digestRing) add(offset, digest uint64) {
	r[offset%maxRecentDigests].offset, r[offset%maxRecentDigests].digest = offset, digest
}

// at returns the digest at an offset; ok is false if it is not held.
func (r *digestRing) at(offset uint64) (digest uint64, ok bool) {
	e := &r[offset%maxRecentDigests]
	return e.digest, offset > 0 && e.offset == offset
}
