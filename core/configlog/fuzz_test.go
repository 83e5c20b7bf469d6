package configlog

import (
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzFold folds any bytes as a record: the offset advances, the schema in force
// stays valid, and only an accepted change alters the content.
func FuzzFold(f *testing.F) {
	s := filled(f)
	checkpoint, err := s.EncodeCheckpoint()
	assert.NilError(f, err)
	for _, data := range [][]byte{
		checkpoint, {}, []byte("{}"), []byte(gzipMagic),
		encode(f, &Change{ID: "a", After: 1, Edits: []Edit{weight(s, 2)}}),
		encode(f, &Change{ID: "a", Edits: []Edit{weight(s, 0)}}),
		encode(f, &Change{ID: "a", Edits: []Edit{remove(s, "customer/petra-build")}}),
		encode(f, &Change{ID: "a", Edits: []Edit{remove(s, "pool/encoders")}}),
		encode(f, &Change{ID: "a", Withdraw: true}),
		encode(f, &Change{ID: "a", Edits: []Edit{{Object: "region/x", Body: []byte(`{"name":"x","zones":["x-1"]}`)}}}),
	} {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		next, o := s.Fold(2, data)
		again, _ := s.Fold(2, data)
		assert.Equal(t, next.Offset, uint64(2))
		assert.Equal(t, next.Digest(), again.Digest())
		if o.Status != Accepted {
			assert.Equal(t, next.Digest(), s.Digest())
		}
		assert.Equal(t, len(next.Schema.Validate()), 0)
		record, err := next.EncodeCheckpoint()
		assert.NilError(t, err)
		back, err := DecodeCheckpoint(record)
		assert.NilError(t, err)
		assert.Equal(t, back.Digest(), next.Digest())
		third := encode(t, &Change{ID: "after", After: 2, Edits: []Edit{customer(next, 2)}})
		_, a := next.Fold(3, third)
		_, b := back.Fold(3, third)
		assert.DeepEqual(t, a, b)
	})
}

// FuzzCheckpoint reads any bytes as a state from a peer.
func FuzzCheckpoint(f *testing.F) {
	record, err := filled(f).EncodeCheckpoint()
	assert.NilError(f, err)
	text, err := decompress(record)
	assert.NilError(f, err)
	f.Add(record)
	f.Add(text)
	f.Add([]byte(`{"checkpoint":{"offset":0,"digest":14695981039346656037,"objects":null}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := DecodeCheckpoint(data)
		if err != nil {
			assert.ErrorIs(t, err, ErrCheckpoint)
			return
		}
		if s.Schema != nil {
			assert.Equal(t, len(s.Schema.Validate()), 0)
		}
		_, _ = s.Fold(s.Offset+1, data)
	})
}
