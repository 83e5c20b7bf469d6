package eventstream

import (
	"bytes"
	"hash/maphash"
	"slices"

	"github.com/cockroachdb/errors"
)

// Errors of an event that does not continue a stream.
var (
	// ErrNoID means that the first event after a resumption has no ID.
	ErrNoID = errors.New("first event of a resumed stream has no ID")
	// ErrIDNotRising means that the numeric ID of an event is not above that of the event before.
	ErrIDNotRising = errors.New("event ID does not rise")
	// ErrIDRepeated means that an event has the ID of an earlier event.
	ErrIDRepeated = errors.New("event ID is repeated")
)

// maxRememberedIDs bounds the opaque IDs with which those of later events are compared.
const maxRememberedIDs = 256

// idSeed is the seed of the hashes of opaque IDs.
var idSeed = maphash.MakeSeed()

// Order records the IDs of the events of one stream, whichever responses bring them, and checks
// those of further events. IDs that are decimal numbers rise. Others are opaque and differ from
// the first and the newest ones. The zero Order is that of a stream without events.
type Order struct {
	// number is the last ID that is a number.
	number []byte
	// opaque are the hashes of the first opaque ID and of the newest other ones; next is the
	// index that is overwritten next once there are maxRememberedIDs.
	opaque []uint64
	next   int
}

// HasID reports whether an event with an ID was recorded.
func (o *Order) HasID() bool { return len(o.number) > 0 || len(o.opaque) > 0 }

// Check returns an error unless an event with the given ID may follow the recorded ones.
func (o *Order) Check(id []byte) error {
	if isNumber(id) {
		if len(o.number) > 0 && compareNumbers(id, o.number) <= 0 {
			return errors.Wrapf(ErrIDNotRising, "%q after %q", shortened(id), shortened(o.number))
		}
		return nil
	}
	if slices.Contains(o.opaque, maphash.Bytes(idSeed, id)) {
		return errors.Wrapf(ErrIDRepeated, "%q", shortened(id))
	}
	return nil
}

// Record records the ID of an event. An empty ID is none.
func (o *Order) Record(id []byte) {
	if len(id) == 0 {
		return
	}
	if isNumber(id) {
		o.number = append(o.number[:0], id...)
		return
	}
	hash := maphash.Bytes(idSeed, id)
	if len(o.opaque) < maxRememberedIDs {
		o.opaque = append(o.opaque, hash)
		return
	}
	// The first one stays, because a stream that begins anew begins with it.
	o.next = o.next%(maxRememberedIDs-1) + 1
	o.opaque[o.next] = hash
}

// isNumber reports whether an ID is a decimal number without a sign.
func isNumber(id []byte) bool {
	for _, c := range id {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(id) > 0
}

// compareNumbers compares two decimal numbers of any length.
func compareNumbers(a, b []byte) int {
	a, b = bytes.TrimLeft(a, "0"), bytes.TrimLeft(b, "0")
	if len(a) != len(b) {
		return len(a) - len(b)
	}
	return bytes.Compare(a, b)
}

// maxShownBytes bounds the part of an ID that an error shows.
const maxShownBytes = 40

func shortened(p []byte) []byte { return p[:min(len(p), maxShownBytes)] }
