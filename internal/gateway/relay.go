package gateway

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/internal/upstream"
)

const (
	relayBuffer = 8 << 10
	// maxEvent bounds one event; a longer one is forwarded in parts.
	maxEvent = 256 << 10
	// clientWrite bounds a write to the client.
	clientWrite = 10 * time.Second
)

// errClient marks errors of the connection to the client.
var errClient = errors.New("client connection")

// relay copies a stream of events to the client, whole events at a time, so that a
// run that goes on elsewhere begins at an event.
type relay struct {
	w         http.ResponseWriter
	control   *http.ResponseController
	resumable bool
	started   bool
	events    int
	// last is the id of the last event forwarded.
	last []byte
	rest []byte
	buf  []byte
}

func newRelay(w http.ResponseWriter, resumable bool) *relay {
	return &relay{w: w, control: http.NewResponseController(w), resumable: resumable}
}

func (r *relay) lastEvent() string { return string(r.last) }

// copy relays one run's answer. first is called at its first byte. A nil error means
// that the answer was complete.
func (r *relay) copy(resp *upstream.Response, first func()) error {
	if r.buf == nil {
		r.buf = make([]byte, relayBuffer)
	}
	r.rest = r.rest[:0]
	for {
		n, err := resp.Body.Read(r.buf)
		if n > 0 {
			if first != nil {
				first()
				first = nil
			}
			r.start(resp)
			if werr := r.forward(r.buf[:n]); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			r.start(resp)
			return r.finish()
		}
		if err != nil {
			return err
		}
	}
}

// start writes the head of the first run's answer.
func (r *relay) start(resp *upstream.Response) {
	if r.started {
		return
	}
	r.started = true
	writeHead(r.w, resp.StatusCode, resp.Header)
}

// forward writes the whole events among what was gathered and p.
func (r *relay) forward(p []byte) error {
	r.rest = append(r.rest, p...)
	end := bytes.LastIndex(r.rest, eventEnd)
	if end < 0 {
		if len(r.rest) < maxEvent {
			return nil
		}
		end = len(r.rest)
	} else {
		end += len(eventEnd)
	}
	r.note(r.rest[:end])
	err := r.write(r.rest[:end])
	r.rest = append(r.rest[:0], r.rest[end:]...)
	return err
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// note counts the events and keeps the id of the last one.
func (r *relay) note(events []byte) {
	r.events += bytes.Count(events, eventEnd)
	if !r.resumable {
		return
	}
	at := bytes.LastIndex(events, idField)
	for at > 0 && events[at-1] != '\n' {
		at = bytes.LastIndex(events[:at], idField)
	}
	if at < 0 {
		return
	}
	line, _, _ := bytes.Cut(events[at+len(idField):], []byte("\n"))
	r.last = append(r.last[:0], bytes.TrimSpace(line)...)
}

func (r *relay) write(p []byte) error {
	_ = r.control.SetWriteDeadline(time.Now().Add(clientWrite))
	if _, err := r.w.Write(p); err != nil {
		return errors.Mark(err, errClient)
	}
	if err := r.control.Flush(); err != nil {
		return errors.Mark(err, errClient)
	}
	return nil
}

// finish writes what is left after the last event.
func (r *relay) finish() error {
	if len(r.rest) == 0 {
		return nil
	}
	return r.write(r.rest)
}

// readWhole reads an answer to its end.
func readWhole(resp *upstream.Response) (*answer, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return nil, err
	}
	return &answer{resp.StatusCode, resp.Header, body}, nil
}
