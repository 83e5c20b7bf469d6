package configlog

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/magnoliawheel/magnoliawheel/core/gzipped"
)

// Limits of a change.
const (
	// ChangeWindow is the maximum distance in offsets between the base offset of a
	// change and its record, and the number of offsets for which outcomes and
	// tombstones are kept. A record that is appended later has no effect, so a
	// delayed write can't take effect after the outcome of its ID was discarded.
	ChangeWindow = 512
	// MaxEdits bounds the edits of one change.
	MaxEdits = 4096
	// MaxIDBytes bounds the ID, author, note and time of a change, each.
	MaxIDBytes = 128
)

// Edit replaces, creates or deletes one object.
type Edit struct {
	// Object is the name of the object, such as pool/engines or limits.
	Object string `json:"object"`
	// BaseVersion is the version of the object that the edit is based on; 0 if the
	// object does not exist.
	BaseVersion uint64 `json:"base"`
	// Body is the new content; it is empty for a deletion.
	Body json.RawMessage `json:"body,omitempty"`
	// Delete deletes the object.
	Delete bool `json:"delete,omitempty"`
}

// Change is an operator's change of one or more objects. It is applied atomically.
type Change struct {
	// ID identifies the change; a change takes effect at most once.
	ID     string `json:"id"`
	Author string `json:"author"`
	// Time is when the change was written, in RFC 3339. It is informational.
	Time string `json:"time,omitempty"`
	// Note is the reason for the change. It is informational.
	Note string `json:"note,omitempty"`
	// BaseOffset is the newest offset that the writer had applied.
	BaseOffset uint64 `json:"after"`
	Edits      []Edit `json:"edits,omitempty"`
	// Withdraw prevents a change with the same ID from taking effect if none was
	// applied yet. There are no edits then, and BaseOffset must not exceed that of
	// the withdrawn change.
	Withdraw bool `json:"withdraw,omitempty"`
}

// record is the content of a log record: either a change or a checkpoint.
type record struct {
	Change     *Change     `json:"change,omitempty"`
	Checkpoint *checkpoint `json:"checkpoint,omitempty"`
}

var errInvalidRecord = errors.New("configlog: a record must hold either a change or a checkpoint")

// EncodeChange returns the log record of a change.
func EncodeChange(c *Change) ([]byte, error) { return encodeRecord(record{Change: c}) }

const (
	// compressThreshold is the size in bytes above which a record is compressed.
	compressThreshold = 2 << 10
	// maxRecordBytes bounds a record after decompression.
	maxRecordBytes = 64 << 20
	// gzipMagic starts a compressed record (RFC 1952).
	gzipMagic = "\x1f\x8b"
)

func encodeRecord(r record) ([]byte, error) {
	encoded, err := json.Marshal(r)
	if err != nil || len(encoded) <= compressThreshold {
		return encoded, err
	}
	return gzipped.Compress(encoded)
}

func decodeRecord(data []byte) (record, error) {
	if bytes.HasPrefix(data, []byte(gzipMagic)) {
		decompressed, err := gzipped.Decompress(data, maxRecordBytes)
		if err != nil {
			return record{}, err
		}
		data = decompressed
	}
	var r record
	if err := decodeStrict(data, &r); err != nil {
		return record{}, err
	}
	if (r.Change == nil) == (r.Checkpoint == nil) {
		return record{}, errInvalidRecord
	}
	return r, nil
}

// decodeStrict decodes one JSON value; unknown keys and trailing data are errors.
func decodeStrict(data []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the end of the JSON value")
	}
	return nil
}
