package bounded

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// minBufferBytes is the size of the first buffer of a read.
const minBufferBytes = 4 << 10

// maxExpectedBytes bounds the first buffer of a read of known size. A sender that announces more
// than it sends does not hold more.
const maxExpectedBytes = 256 << 10

// ErrBudgetSpent means that other readers hold so much data that there is no space for more.
var ErrBudgetSpent = errors.New("budget for data is spent")

// Budget bounds the data that several readers hold at the same time. It is safe for
// concurrent use.
type Budget struct {
	// reclaim, if set, is called when the budget does not suffice. It reports whether it made
	// others give back data, after which the attempt is repeated.
	reclaim func() bool

	mu   sync.Mutex
	left int64
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(bytes int64) *Budget { return &Budget{left: bytes} }

// SetReclaim sets a function that is called when the budget does not suffice; see Budget. It
// must be set before the budget is used.
func (b *Budget) SetReclaim(f func() bool) { b.reclaim = f }

// take takes n bytes out of the budget, if need be out of what others give back for it.
func (b *Budget) take(n int64) bool {
	for !b.tryTake(n) {
		if b.reclaim == nil || !b.reclaim() {
			return false
		}
	}
	return true
}

func (b *Budget) tryTake(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.left {
		return false
	}
	b.left -= n
	return true
}

func (b *Budget) giveBack(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left += n
}

// Hold is the part of a budget that the data of one reader takes. It is safe for concurrent use.
type Hold struct {
	budget *Budget

	mu       sync.Mutex
	bytes    int64
	released bool
}

// NewHold returns a hold of nothing. It must be released.
func (b *Budget) NewHold() *Hold { return &Hold{budget: b} }

// Release gives everything back. From then on the hold takes nothing more: a read into it fails
// with ErrBudgetSpent.
func (h *Hold) Release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budget.giveBack(h.bytes)
	h.bytes, h.released = 0, true
}

// take takes n bytes, and reports whether the budget has them.
func (h *Hold) take(n int64) bool {
	if !h.budget.take(n) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released {
		h.budget.giveBack(n)
		return false
	}
	h.bytes += n
	return true
}

// giveBack gives n bytes back, unless all were released.
func (h *Hold) giveBack(n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.released {
		h.bytes -= n
		h.budget.giveBack(n)
	}
}

// Spent reports whether the hold was released.
func (h *Hold) Spent() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.released
}

// ReadAll reads r to its end, as the function ReadAll does. It returns ErrBudgetSpent if
// the budget does not suffice. The data counts until release is called.
func (b *Budget) ReadAll(r io.Reader, limit int64) (data []byte, release func(), err error) {
	return b.ReadSized(r, 0, limit)
}

// ReadSized reads r as ReadAll does. If the expected size, negative if unknown, is right, the data
// needs no more memory than that.
func (b *Budget) ReadSized(r io.Reader, expected, limit int64) (data []byte, release func(), err error) {
	h := b.NewHold()
	if data, err = h.ReadSized(r, expected, limit); err != nil {
		return nil, func() {}, err
	}
	return data, h.Release, nil
}

// ReadSized reads r as Budget.ReadSized does. The data counts until the hold is released, which
// happens here if there is an error.
func (h *Hold) ReadSized(r io.Reader, expected, limit int64) ([]byte, error) {
	var buf []byte
	fail := func(err error) ([]byte, error) {
		if h.Spent() {
			err = ErrBudgetSpent
		}
		h.Release()
		return nil, err
	}
	for {
		if len(buf) == cap(buf) {
			size := min(nextSize(int64(cap(buf)), expected), limit+1)
			if !h.take(size) {
				return fail(ErrBudgetSpent)
			}
			larger := append(make([]byte, 0, size), buf...)
			h.giveBack(int64(cap(buf)))
			buf = larger
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case err != nil && err != io.EOF:
			return fail(err)
		case int64(len(buf)) > limit:
			return fail(errors.Wrapf(ErrTooLarge, "more than %d bytes", limit))
		case err == io.EOF:
			return buf, nil
		}
	}
}

// nextSize returns the size of the buffer after a full one of the given size: twice as much, or
// what the expected data needs, and a byte to see its end, if that is between a half and the
// double of it.
func nextSize(size, expected int64) int64 {
	if size == 0 {
		return max(minBufferBytes, min(expected, maxExpectedBytes)+1)
	}
	next := 2 * size
	if exact := expected + 1; exact > size && exact <= 2*next {
		return exact
	}
	return next
}
