package engine

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

const (
	// maxLineBytes is the maximum length of a line of an event stream.
	maxLineBytes = 1 << 20
	// maxEventBytes is the maximum size of the data of an event.
	maxEventBytes = 4 << 20
)

// errEventTooLarge means that an event has no end, or one beyond maxEventBytes.
var errEventTooLarge = errors.Newf("event of more than %d bytes", maxEventBytes)

// event is a server-sent event.
type event struct {
	id        uint64
	eventType string
	data      []byte
}

// eventReader parses a stream of server-sent events.
type eventReader struct{ lines *bufio.Scanner }

func newEventReader(r io.Reader) *eventReader {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), maxLineBytes)
	return &eventReader{lines}
}

// next returns the next event that has an id. At the end of the stream the error is
// io.ErrUnexpectedEOF, since the reader of a complete stream stops at its last event.
func (e *eventReader) next() (event, error) {
	var ev event
	hasID := false
	for e.lines.Scan() {
		line := e.lines.Bytes()
		if len(line) == 0 {
			if hasID {
				return ev, nil
			}
			continue
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "id":
			id, err := strconv.ParseUint(string(value), 10, 64)
			if err != nil || id == 0 {
				return event{}, errors.Newf("event id %q is not a positive number", value)
			}
			ev.id, hasID = id, true
		case "event":
			ev.eventType = string(value)
		case "data":
			if len(ev.data) > 0 {
				ev.data = append(ev.data, '\n')
			}
			if len(ev.data)+len(value) > maxEventBytes {
				return event{}, errEventTooLarge
			}
			ev.data = append(ev.data, value...)
		}
	}
	if err := e.lines.Err(); err != nil {
		return event{}, err
	}
	return event{}, io.ErrUnexpectedEOF
}
