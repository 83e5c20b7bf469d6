package configlog

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"io"
)

// Limits of a change.
const (
	// Window is the number of offsets within which a change may land after the
	// newest offset its writer had seen, and for which outcomes and tombstones are
	// kept. A record that lands later is void, so a late write can never follow an
	// outcome that was forgotten.
	Window = 512
	// MaxEdits bounds the objects of one change.
	MaxEdits = 4096
	// MaxIDBytes bounds the id of a change and the name of its author.
	MaxIDBytes = 128
)

// Edit replaces, creates or deletes one object.
type Edit struct {
	// Object names the object, such as pool/engines or limits.
	Object string `json:"object"`
	// Base is the version of the object that the edit was made from; 0 if the
	// object does not exist.
	Base uint64 `json:"base"`
	// Body is the new content; it is absent if the object is deleted.
	Body json.RawMessage `json:"body,omitempty"`
	// Delete removes the object.
	Delete bool `json:"delete,omitempty"`
}

// Change is an operator's change of one or more objects. It takes effect as a
// whole or not at all.
type Change struct {
	// ID names the change; it takes effect at most once.
	ID     string `json:"id"`
	Author string `json:"author"`
	// Time is when the change was written, in RFC 3339, for people only.
	Time string `json:"time,omitempty"`
	// Note says why, for people only.
	Note string `json:"note,omitempty"`
	// After is the newest offset that the writer had folded.
	After uint64 `json:"after"`
	Edits []Edit `json:"edits,omitempty"`
	// Withdraw makes the id void if no change of that id was folded yet; there are
	// no edits then, and After is at most that of the change.
	Withdraw bool `json:"withdraw,omitempty"`
}

// record is the content of one log record: a change or a checkpoint.
type record struct {
	Change     *Change     `json:"change,omitempty"`
	Checkpoint *checkpoint `json:"checkpoint,omitempty"`
}

var errRecord = errors.New("configlog: a record holds either a change or a checkpoint")

// EncodeChange returns the log record of a change.
func EncodeChange(c *Change) ([]byte, error) { return encodeRecord(record{Change: c}) }

const (
	// compressOver is the size in bytes over which a record is compressed.
	compressOver = 2 << 10
	// maxRecordBytes bounds a record after decompression.
	maxRecordBytes = 64 << 20
	// gzipMagic starts a compressed record (RFC 1952).
	gzipMagic = "\x1f\x8b"
)

func encodeRecord(r record) ([]byte, error) {
	text, err := json.Marshal(r)
	if err != nil || len(text) <= compressOver {
		return text, err
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(text); err != nil {
		return nil, err
	}
	err = w.Close()
	return b.Bytes(), err
}

func decodeRecord(data []byte) (record, error) {
	if bytes.HasPrefix(data, []byte(gzipMagic)) {
		text, err := decompress(data)
		if err != nil {
			return record{}, err
		}
		data = text
	}
	var r record
	if err := decodeStrict(data, &r); err != nil {
		return record{}, err
	}
	if (r.Change == nil) == (r.Checkpoint == nil) {
		return record{}, errRecord
	}
	return r, nil
}

func decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	text, err := io.ReadAll(io.LimitReader(r, maxRecordBytes+1))
	if err == nil && len(text) > maxRecordBytes {
		err = errors.New("configlog: the record is too large")
	}
	return text, err
}

// decodeStrict reads one JSON value; unknown keys and trailing data are errors.
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
