package eventstream

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

var (
	// ErrNotAField means that a line of a response is not a field of an event.
	ErrNotAField = errors.New("line is not a field of an event")
	// ErrUncheckedPart means that a part of an event was to be taken before the ID of the event
	// was known.
	ErrUncheckedPart = errors.New("large event of a resumed stream has no ID in its first part")
)

// ResponseTo returns a splitter of a response that continues the stream after the events in
// order, and checks the IDs of its events, if continues is set. The IDs of whole events are
// recorded in order.
//
// The splitter of a continuation keeps comments until there is an event.
func ResponseTo(order *Order, continues bool) *Splitter {
	return &Splitter{order: order, continues: continues}
}

// Err returns why the bytes after the last whole event do not continue the stream, or nil. The
// splitter ignores all bytes after them.
func (s *Splitter) Err() error { return s.err }

// protocolName begins the head of a response.
var protocolName = []byte("HTTP/1.")

// checkLine checks a line of an event that ended at the position scanned. Fields with unknown
// names are part of a stream; the head of a response, which a server may send after a whole
// response or in place of the rest of one, is not.
func (s *Splitter) checkLine(line []byte) error {
	if s.lineTaken {
		return nil
	}
	name := line
	if colon := bytes.IndexByte(line, ':'); colon >= 0 {
		name = line[:colon]
	}
	if bytes.Contains(name, protocolName) || s.continues && !isFieldName(name) {
		return ErrNotAField
	}
	return nil
}

// isFieldName reports whether a name may be that of a field. A comment has the empty name. Texts,
// JSON and the heads of responses have bytes that no name of a field has.
func isFieldName(name []byte) bool {
	for _, c := range name {
		isLetter := 'a' <= c|0x20 && c|0x20 <= 'z'
		isDigit := '0' <= c && c <= '9'
		if !isLetter && !isDigit && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// checkEvent checks the ID of an event that has ended, or of which a part is to be taken.
func (s *Splitter) checkEvent() error {
	switch {
	case !s.continues:
		return nil
	case s.hasID && len(s.eventID) > 0:
		return s.order.Check(s.eventID)
	case s.events == 0 && s.order.HasID():
		return ErrNoID
	}
	return nil
}

// CheckPart returns an error if the bytes after the last whole event must not be taken: they are
// not part of an event that continues the stream, or it is not known yet whether they are.
func (s *Splitter) CheckPart() error {
	if s.err != nil || !s.continues || s.eventTaken {
		return s.err
	}
	if !s.hasID && s.order.HasID() {
		return ErrUncheckedPart
	}
	return s.checkEvent()
}
