package gateway

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/internal/bounded"
	"github.com/magnoliawheel/magnoliawheel/internal/upstream"
)

const (
	relayBufferBytes = 8 << 10
	// maxEventBytes bounds one event; a longer one is forwarded in parts.
	maxEventBytes = 256 << 10
	// clientWriteTimeout bounds a write to the client.
	clientWriteTimeout = 10 * time.Second
)

// errClientConnection marks errors of the connection to the client.
var errClientConnection = errors.New("client connection")

// relay copies a stream of events to the client. It forwards only complete events, so
// that an attempt which resumes the stream on another server begins at an event
// boundary.
type relay struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	resumable  bool
	started    bool
	events     int
	// lastID is the ID of the last forwarded event.
	lastID []byte
	// pending holds bytes of an event that is not complete yet.
	pending []byte
	buf     []byte
}

func newRelay(w http.ResponseWriter, resumable bool) *relay {
	return &relay{w: w, controller: http.NewResponseController(w), resumable: resumable}
}

func (r *relay) lastEventID() string { return string(r.lastID) }

// copy relays the response of one attempt. onFirstByte is called at its first byte. A
// nil error means that the response was complete.
func (r *relay) copy(resp *upstream.Response, onFirstByte func()) error {
	if r.buf == nil {
		r.buf = make([]byte, relayBufferBytes)
	}
	r.pending = r.pending[:0]
	for {
		n, err := resp.Body.Read(r.buf)
		if n > 0 {
			if onFirstByte != nil {
				onFirstByte()
				onFirstByte = nil
			}
			r.writeHeadOnce(resp)
			if werr := r.forward(r.buf[:n]); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			r.writeHeadOnce(resp)
			return r.flushPending()
		}
		if err != nil {
			return err
		}
	}
}

// writeHeadOnce writes the head of the response of the first attempt.
func (r *relay) writeHeadOnce(resp *upstream.Response) {
	if r.started {
		return
	}
	r.started = true
	writeHead(r.w, resp.StatusCode, resp.Header)
}

// forward writes the complete events among the pending bytes and p.
func (r *relay) forward(p []byte) error {
	r.pending = append(r.pending, p...)
	end := bytes.LastIndex(r.pending, eventEnd)
	if end < 0 {
		if len(r.pending) < maxEventBytes {
			return nil
		}
		end = len(r.pending)
	} else {
		end += len(eventEnd)
	}
	r.recordEvents(r.pending[:end])
	err := r.write(r.pending[:end])
	r.pending = append(r.pending[:0], r.pending[end:]...)
	return err
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// recordEvents counts the events and stores the ID of the last one.
func (r *relay) recordEvents(events []byte) {
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
	r.lastID = append(r.lastID[:0], bytes.TrimSpace(line)...)
}

func (r *relay) write(p []byte) error {
	_ = r.controller.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	if _, err := r.w.Write(p); err != nil {
		return errors.Mark(err, errClientConnection)
	}
	if err := r.controller.Flush(); err != nil {
		return errors.Mark(err, errClientConnection)
	}
	return nil
}

// flushPending writes the bytes after the last complete event.
func (r *relay) flushPending() error {
	if len(r.pending) == 0 {
		return nil
	}
	return r.write(r.pending)
}

// readResponse reads a response to its end.
func readResponse(resp *upstream.Response) (*response, error) {
	body, err := bounded.ReadAll(resp.Body, maxResponseBytes)
	if err != nil {
		return nil, err
	}
	return &response{resp.StatusCode, resp.Header, body}, nil
}
