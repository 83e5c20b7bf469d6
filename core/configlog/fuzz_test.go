package configlog

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/gzipped"
)

// FuzzFold applies arbitrary bytes as a record: the offset advances, the schema in
// force stays valid, only an accepted change modifies the content, and a snapshot
// restored from a checkpoint continues with the same outcomes.
func FuzzFold(f *testing.F) {
	s := exampleSnapshot(f)
	checkpoint, err := s.EncodeCheckpoint()
	assert.NilError(f, err)
	for _, data := range [][]byte{
		checkpoint, {}, []byte("{}"), []byte(gzipMagic),
		mustEncode(f, &Change{ID: "a", BaseOffset: 1, Edits: []Edit{weightEdit(s, 2)}}),
		mustEncode(f, &Change{ID: "a", Edits: []Edit{weightEdit(s, 0)}}),
		mustEncode(f, &Change{ID: "a", Edits: []Edit{deleteEdit(s, "customer/petra-build")}}),
		mustEncode(f, &Change{ID: "a", Edits: []Edit{deleteEdit(s, "pool/encoders")}}),
		mustEncode(f, &Change{ID: "a", Withdraw: true}),
		mustEncode(f, &Change{ID: "a", Edits: []Edit{{Object: "region/x", Body: []byte(`{"name":"x","zones":["x-1"]}`)}}}),
	} {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		next, o := s.Apply(2, data)
		repeated, _ := s.Apply(2, data)
		assert.Equal(t, next.Offset, uint64(2))
		assert.Equal(t, next.Digest(), repeated.Digest())
		if o.Status != Accepted {
			assert.Equal(t, next.Digest(), s.Digest())
		}
		assert.Equal(t, len(next.Schema.Validate()), 0)
		record, err := next.EncodeCheckpoint()
		assert.NilError(t, err)
		restored, err := DecodeCheckpoint(record)
		assert.NilError(t, err)
		assert.Equal(t, restored.Digest(), next.Digest())
		followUp := mustEncode(t, &Change{ID: "after", BaseOffset: 2, Edits: []Edit{customerEdit(next, 2)}})
		_, a := next.Apply(3, followUp)
		_, b := restored.Apply(3, followUp)
		assert.DeepEqual(t, a, b)
	})
}

// FuzzCheckpoint decodes arbitrary bytes as a checkpoint: it is either rejected, or
// its schema is valid and further records can be applied.
func FuzzCheckpoint(f *testing.F) {
	record, err := exampleSnapshot(f).EncodeCheckpoint()
	assert.NilError(f, err)
	text, err := gzipped.Decompress(record, maxRecordBytes)
	assert.NilError(f, err)
	f.Add(record)
	f.Add(text)
	f.Add([]byte(`{"checkpoint":{"offset":0,"digest":14695981039346656037,"objects":null}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := DecodeCheckpoint(data)
		if err != nil {
			assert.ErrorIs(t, err, ErrInvalidCheckpoint)
			return
		}
		if s.Schema != nil {
			assert.Equal(t, len(s.Schema.Validate()), 0)
		}
		_, _ = s.Apply(s.Offset+1, data)
	})
}
