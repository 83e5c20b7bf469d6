package upstream

import (
	"net"

	"github.com/cockroachdb/errors"
)

var errTooManyBytes = errors.New("upstream: too many bytes")

// limitedReader reads from a connection, and fails after a number of bytes while a limit is
// set.
type limitedReader struct {
	net.Conn
	limited bool
	left    int
}

// start sets a limit for the next bytes, and stop ends it.
func (r *limitedReader) start(limit int) { r.limited, r.left = true, limit }
func (r *limitedReader) stop()           { r.limited = false }

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.Conn.Read(p)
	}
	if r.left <= 0 {
		return 0, errTooManyBytes
	}
	n, err := r.Conn.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}
