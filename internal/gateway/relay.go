package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/eventstream"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/upstream"
)

const (
	relayBufferBytes = 8 << 10
	// maxEventPartBytes is the size from which an event is forwarded in parts, and
	// maxEventBytes bounds the sum of them.
	maxEventPartBytes = 256 << 10
	maxEventBytes     = maxResponseBytes
	// clientWriteTimeout bounds a write to the client.
	clientWriteTimeout = 10 * time.Second
)

// errClientConnection marks errors of the connection to the client.
var errClientConnection = errors.New("client connection")

// Errors of a stream that a server did not complete although its response ended without an
// error.
var (
	errEndsWithinEvent = errors.New("response ended within an event")
	errNoEvent         = errors.New("response ended before the first event")
	errEventTooLarge   = errors.New("event without end")
)

// relay copies a stream of events to the client. It forwards only complete events, so
// that an attempt which resumes the stream on another server begins at an event
// boundary.
type relay struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	started    bool
	// events is the number of forwarded events, lastID the ID of the last one that has one.
	events int
	lastID string
	// eventDue is set if an earlier attempt broke off within an event, so that the stream
	// has at least one more.
	eventDue bool
	// lastForwardedAt is when the last whole event arrived; 0 before the first. longestPause
	// is the longest time between two events.
	lastForwardedAt, longestPause time.Duration
	// splitter splits the response of the current attempt.
	splitter *eventstream.Splitter
	// partBytes is the size of the forwarded parts of the current event.
	partBytes int
	buf       []byte
}

func newRelay(w http.ResponseWriter) *relay {
	return &relay{w: w, controller: http.NewResponseController(w), splitter: &eventstream.Splitter{}}
}

// copy relays the response of one attempt. onFirstByte is called at its first byte. A
// nil error means that the response was complete.
func (r *relay) copy(resp *upstream.Response, onFirstByte func()) error {
	if r.buf == nil {
		r.buf = make([]byte, relayBufferBytes)
	}
	r.eventDue = r.splitter.InEvent() || r.eventDue && r.splitter.Events() == 0
	r.splitter, r.partBytes = &eventstream.Splitter{}, 0
	for {
		n, err := resp.Body.Read(r.buf)
		if n > 0 {
			if onFirstByte != nil {
				onFirstByte()
				onFirstByte = nil
			}
			if werr := r.forward(resp, r.buf[:n]); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			return r.finish(resp)
		}
		if err != nil {
			return err
		}
	}
}

// forward writes the events that p completes.
func (r *relay) forward(resp *upstream.Response, p []byte) error {
	before := r.splitter.Events()
	events := r.splitter.Add(p)
	r.events += r.splitter.Events() - before
	if id := r.splitter.LastID(); id != "" {
		r.lastID = id
	}
	if len(events) > 0 {
		r.recordPause(clock.Now())
		r.partBytes = 0
		if err := r.write(resp, events); err != nil {
			return err
		}
	}
	if len(r.splitter.Unfinished()) < maxEventPartBytes {
		return nil
	}
	part := r.splitter.TakeUnfinished()
	if r.partBytes += len(part); r.partBytes > maxEventBytes {
		return errEventTooLarge
	}
	return r.write(resp, part)
}

// recordPause records the arrival of an event.
func (r *relay) recordPause(now time.Duration) {
	if r.lastForwardedAt > 0 {
		r.longestPause = max(r.longestPause, now-r.lastForwardedAt)
	}
	r.lastForwardedAt = now
}

// finish handles the end of a response. The end of the connection may be that of the
// server's process, so only a whole last event shows that the stream is complete.
func (r *relay) finish(resp *upstream.Response) error {
	if r.splitter.InEvent() {
		return errEndsWithinEvent
	}
	endUnmarked := resp.Framing() == upstream.UntilClose
	if r.splitter.Events() == 0 && (r.eventDue || endUnmarked) {
		return errNoEvent
	}
	r.writeHeadOnce(resp)
	return nil
}

// unfinished returns the number of bytes after the last whole event of the current attempt.
func (r *relay) unfinished() int { return len(r.splitter.Unfinished()) }

// canContinue reports whether another server can continue the stream after what was
// forwarded: whole events, of which the last one has an ID.
func (r *relay) canContinue() bool {
	if r.partForwarded() {
		return false
	}
	return r.splitter.Events() == 0 || r.splitter.LastHasID()
}

// partForwarded reports whether a part of an event was forwarded whose end has not
// arrived. Another server cannot continue such an event.
func (r *relay) partForwarded() bool { return r.splitter.PartTaken() }

// writeHeadOnce writes the head of the response of the first attempt.
func (r *relay) writeHeadOnce(resp *upstream.Response) {
	if r.started {
		return
	}
	r.started = true
	writeHead(r.w, resp.StatusCode, resp.Header)
}

func (r *relay) write(resp *upstream.Response, p []byte) error {
	r.writeHeadOnce(resp)
	_ = r.controller.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	if _, err := r.w.Write(p); err != nil {
		return errors.Mark(err, errClientConnection)
	}
	if err := r.controller.Flush(); err != nil {
		return errors.Mark(err, errClientConnection)
	}
	return nil
}

// readResponse reads the response to a request to its end. Its body counts in the budget
// until the request ends.
func (g *Gateway) readResponse(req *request, resp *upstream.Response) (*response, error) {
	body, release, err := g.Bodies.ReadAll(resp.Body, maxResponseBytes)
	if err != nil {
		return nil, err
	}
	req.onEnd = append(req.onEnd, release)
	return &response{resp.StatusCode, resp.Header, body}, nil
}
