package engine

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxLineBytes bounds one line of an event stream.
const maxLineBytes = 1 << 20

// event is one server-sent event with an id.
type event struct {
	id   uint64
	kind string
	data []byte
}

// eventReader parses a stream of server-sent events.
type eventReader struct{ lines *bufio.Scanner }

func newEventReader(r io.Reader) *eventReader {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), maxLineBytes)
	return &eventReader{lines}
}

// next returns the next event. The error is io.ErrUnexpectedEOF when the stream
// ends, since the last event of a whole stream ends the reading before.
func (e *eventReader) next() (event, error) {
	var ev event
	seen := false
	for e.lines.Scan() {
		line := e.lines.Bytes()
		if len(line) == 0 {
			if seen {
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
				return event{}, errors.Newf("event id %q is not a number from 1", value)
			}
			ev.id, seen = id, true
		case "event":
			ev.kind = string(value)
		case "data":
			if len(ev.data) > 0 {
				ev.data = append(ev.data, '\n')
			}
			ev.data = append(ev.data, value...)
		}
	}
	if err := e.lines.Err(); err != nil {
		return event{}, err
	}
	return event{}, io.ErrUnexpectedEOF
}
