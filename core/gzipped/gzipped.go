// Package gzipped compresses records (RFC 1952). It does no I/O.
package gzipped

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
)

// ErrTooLarge means that the data is larger than the limit after decompression.
var ErrTooLarge = errors.New("gzipped: data exceeds the size limit")

// Compress returns the compressed data.
func Compress(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	err := w.Close()
	return b.Bytes(), err
}

// Decompress returns the original of compressed data. It returns ErrTooLarge if that has
// more than limit bytes.
func Decompress(data []byte, limit int64) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	original, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(original)) > limit {
		return nil, fmt.Errorf("%w: more than %d bytes", ErrTooLarge, limit)
	}
	return original, nil
}
