// Package eventstream splits a stream of server-sent events into whole events. It does no
// I/O.
package eventstream

import (
	"bytes"
	"slices"
)

// maxKeptBytes bounds the buffer that a splitter keeps after a large event.
const maxKeptBytes = 32 << 10

// Splitter splits the bytes of one response. A line ends with CR, LF or both, and an event
// with an empty line. The zero Splitter is ready for use.
type Splitter struct {
	// buf[:eventsEnd] are whole events, buf[:scanned] was examined, and the current line
	// starts at lineStart.
	buf                           []byte
	eventsEnd, scanned, lineStart int
	// lineBegun is set if the current line has bytes, lineTaken if TakeUnfinished returned
	// some of them. afterCR is set after a CR, which an LF may follow in the same line end.
	lineBegun, lineTaken, afterCR bool
	// inEvent is set between the first byte of an event and its end, hasField once the event
	// has a line that is no comment, hasID once it has an ID, which is eventID.
	inEvent, hasField, hasID bool
	// eventTaken is set if TakeUnfinished returned a part of the current event.
	eventTaken bool
	eventID    []byte
	// lastID is the ID of the last whole event that has one. lastHasID is set if that is the
	// last event.
	lastID    []byte
	lastHasID bool
	events    int
	// order, if set, records the IDs of whole events; they are checked if continues is set.
	order     *Order
	continues bool
	// err is why the bytes after the last whole event do not belong to the stream.
	err error
}

// Add adds bytes of the response and returns the whole events that were not returned
// before. They are valid until the next call.
func (s *Splitter) Add(p []byte) []byte {
	copy(s.Space(len(p)), p)
	return s.Added(len(p))
}

// Space returns space for at least n further bytes of the response, so that they need not be
// copied; Added adds them. It is valid until the next call.
func (s *Splitter) Space(n int) []byte {
	s.discardEvents()
	s.buf = slices.Grow(s.buf, n)
	return s.buf[len(s.buf):cap(s.buf)]
}

// Added adds the first n bytes of the space that Space returned, as Add does.
func (s *Splitter) Added(n int) []byte {
	s.buf = s.buf[:len(s.buf)+n]
	for ; s.scanned < len(s.buf) && s.err == nil; s.scanned++ {
		s.scan(s.buf[s.scanned])
	}
	return s.buf[:s.eventsEnd]
}

// Unfinished returns the bytes after the last whole event. They are valid until the next
// call.
func (s *Splitter) Unfinished() []byte { return s.buf[s.eventsEnd:] }

// TakeUnfinished returns the bytes after the last whole event, so that the next call of Add
// returns only the rest of that event.
func (s *Splitter) TakeUnfinished() []byte {
	unfinished := s.Unfinished()
	s.eventsEnd = len(s.buf)
	s.lineTaken, s.eventTaken = s.lineBegun, s.inEvent
	return unfinished
}

// PartTaken reports whether TakeUnfinished returned a part of an event whose end has not
// arrived.
func (s *Splitter) PartTaken() bool { return s.eventTaken }

// InEvent reports whether the bytes so far end within an event.
func (s *Splitter) InEvent() bool { return s.inEvent }

// Events returns the number of whole events. Comments are not counted.
func (s *Splitter) Events() int { return s.events }

// LastID returns the ID of the last whole event that has one, or "".
func (s *Splitter) LastID() string { return string(s.lastID) }

// LastHasID reports whether the last whole event has an ID that is not empty. It is false if there
// is no event.
func (s *Splitter) LastHasID() bool { return s.lastHasID }

// discardEvents removes the events that Add returned.
func (s *Splitter) discardEvents() {
	if s.eventsEnd == 0 {
		return
	}
	kept := s.buf[:0]
	if cap(s.buf) > maxKeptBytes {
		kept = nil
	}
	s.buf = append(kept, s.buf[s.eventsEnd:]...)
	s.scanned -= s.eventsEnd
	s.lineStart = max(0, s.lineStart-s.eventsEnd)
	s.eventsEnd = 0
}

// scan handles the byte c at the position scanned.
func (s *Splitter) scan(c byte) {
	secondOfLineEnd := s.afterCR && c == '\n'
	s.afterCR = c == '\r'
	switch {
	case secondOfLineEnd:
		if s.eventsEnd == s.scanned {
			s.eventsEnd++
		}
		s.lineStart = s.scanned + 1
	case c != '\n' && c != '\r':
		s.hasField = s.hasField || !s.lineBegun && c != ':'
		s.inEvent, s.lineBegun = true, true
	case s.lineBegun:
		s.endLine()
	default:
		s.endEvent()
	}
}

var idField = []byte("id:")

// endLine ends a line with bytes at the position scanned.
func (s *Splitter) endLine() {
	line := s.buf[s.lineStart:s.scanned]
	if s.err = s.checkLine(line); s.err != nil {
		return
	}
	if value, ok := bytes.CutPrefix(line, idField); ok && !s.lineTaken {
		s.eventID, s.hasID = append(s.eventID[:0], bytes.TrimSpace(value)...), true
	}
	s.lineStart = s.scanned + 1
	s.lineBegun, s.lineTaken = false, false
}

// endEvent ends the current event with the empty line at the position scanned.
func (s *Splitter) endEvent() {
	s.lineStart = s.scanned + 1
	if s.hasField {
		if s.err = s.checkEvent(); s.err != nil {
			return
		}
		s.events++
		s.lastHasID = s.hasID && len(s.eventID) > 0
	}
	if !s.continues || s.events > 0 {
		s.eventsEnd = s.scanned + 1
	}
	if s.hasID {
		s.lastID = append(s.lastID[:0], s.eventID...)
		s.recordID()
	}
	s.inEvent, s.hasField, s.hasID, s.eventTaken = false, false, false, false
}

func (s *Splitter) recordID() {
	if s.order != nil {
		s.order.Record(s.eventID)
	}
}
