// Package bounded reads data whose size is limited.
package bounded

import (
	"io"

	"github.com/cockroachdb/errors"
)

// ErrTooLarge means that there is more data than the limit allows.
var ErrTooLarge = errors.New("data exceeds the size limit")

// ReadAll reads r to its end. It returns ErrTooLarge if there are more than limit bytes,
// so that a part is never taken for the whole.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, errors.Wrapf(ErrTooLarge, "more than %d bytes", limit)
	}
	return data, nil
}
