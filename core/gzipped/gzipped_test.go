package gzipped

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestDecompress(t *testing.T) {
	original := strings.Repeat("abc", 1000)
	compressed, err := Compress([]byte(original))
	assert.NilError(t, err)
	got, err := Decompress(compressed, int64(len(original)))
	assert.NilError(t, err)
	assert.Equal(t, string(got), original)

	_, err = Decompress(compressed, int64(len(original))-1)
	assert.Assert(t, errors.Is(err, ErrTooLarge), "%v", err)
	for _, invalid := range [][]byte{nil, []byte("abc"), compressed[:len(compressed)-1]} {
		_, err = Decompress(invalid, 1<<20)
		assert.Assert(t, err != nil, "%d bytes", len(invalid))
	}
}
