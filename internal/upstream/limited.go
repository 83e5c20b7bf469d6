package upstream

import (
	"net"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/responsescan"
)

var errTooManyBytes = errors.New("upstream: too many bytes")

// limitedReader reads from a connection. It fails after a number of bytes while a limit is set, and
// in place of bytes that are no response.
type limitedReader struct {
	net.Conn
	scanner responsescan.Scanner
	limited bool
	left    int
	// err is the first error since the limit was set, which a bufio.Reader may drop.
	err error
}

// start sets a limit for the next bytes, and stop ends it.
func (r *limitedReader) start(limit int) { r.limited, r.left, r.err = true, limit, nil }
func (r *limitedReader) stop()           { r.limited = false }

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.readScanned(p)
	}
	n, err := r.readLimited(p)
	if r.err == nil {
		r.err = err
	}
	return n, err
}

func (r *limitedReader) readLimited(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errTooManyBytes
	}
	n, err := r.readScanned(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

func (r *limitedReader) readScanned(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	if scanErr := r.scanner.Scan(p[:n]); scanErr != nil {
		return 0, scanErr
	}
	return n, err
}
