package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/eventstream"
	"github.com/magnoliawheel/magnoliawheel/core/readbuffer"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/upstream"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

const (
	// readSpaceBytes is the least space for one read from a server.
	readSpaceBytes = 4 << 10
	// maxEventPartBytes is the size from which an event is forwarded in parts, and
	// maxEventBytes bounds the sum of them.
	maxEventPartBytes = 256 << 10
	maxEventBytes     = maxResponseBytes
)

// errClientConnection marks errors of the connection to the client.
var errClientConnection = errors.New("client connection")

// Errors of a stream that a server did not complete although its response ended without an
// error.
var (
	errEndsWithinEvent = errors.New("response ended within an event")
	errNoEvent         = errors.New("response ended before the first event")
	errEventTooLarge   = errors.New("event without end")
	errNotEventStream  = errors.New("response does not continue the stream: it is no stream of events")
)

// errNoBody means that the connection of a success without a length ended right after the head, as it
// does if the server ends there.
var errNoBody = errors.New("response without a length ended before its body")

// relay copies a stream of events to the client. It forwards only complete events, so
// that an attempt which resumes the stream on another server begins at an event
// boundary. What it forwards waits in the outbox for the client; the relay itself only reads
// from servers.
type relay struct {
	w       http.ResponseWriter
	out     *outbox
	started bool
	// events is the number of forwarded events, lastID the ID of the last one that has one.
	events int
	lastID string
	// order checks the IDs of the events of attempts that continue the stream.
	order *eventstream.Order
	// eventDue is set if an earlier attempt broke off within an event, so that the stream
	// has at least one more.
	eventDue bool
	// lastForwardedAt is when the last whole event arrived; 0 before the first. longestPause
	// is the longest time between two events.
	lastForwardedAt, longestPause time.Duration
	// splitter splits the response of the current attempt.
	splitter *eventstream.Splitter
	// attemptEvents is the number of events of the current attempt that were counted.
	attemptEvents int
	// partBytes is the size of the forwarded parts of the current event, unfinishedHeld the
	// number of bytes of it that count as held for the client.
	partBytes, unfinishedHeld int
	// onBegin, if set, is called before anything of the current attempt is passed to the client.
	onBegin func()
	// paused is the time for which reading paused because the outbox was full.
	paused time.Duration
}

func newRelay(w http.ResponseWriter, out *outbox) *relay {
	return &relay{w: w, out: out, splitter: &eventstream.Splitter{}, order: &eventstream.Order{}}
}

// resumeAfter makes the relay check that the stream continues after an event that the client has
// from another response.
func (r *relay) resumeAfter(lastEventID string) { r.order.Record([]byte(lastEventID)) }

// continues reports whether the next attempt continues events that the client has.
func (r *relay) continues() bool { return r.started || r.order.HasID() }

// copy relays the response of one attempt. onFirstByte is called at its first byte, unless that
// is known not to continue the stream. A nil error means that the response was complete.
func (r *relay) copy(ctx context.Context, resp *upstream.Response, onFirstByte func()) error {
	brokeInEvent := r.splitter.InEvent() && r.splitter.Err() == nil
	r.eventDue = brokeInEvent || r.eventDue && r.splitter.Events() == 0
	r.splitter, r.partBytes, r.attemptEvents = eventstream.ResponseTo(r.order, r.continues()), 0, 0
	if r.continues() && !platform.IsEventStream(resp.Header) {
		return errNotEventStream
	}
	for {
		n, err := resp.Body.Read(r.splitter.Space(readSpaceBytes))
		if n > 0 {
			events := r.splitter.Added(n)
			if onFirstByte != nil && (len(events) > 0 || r.splitter.Err() == nil) {
				onFirstByte()
				onFirstByte = nil
			}
			if ferr := r.forward(ctx, resp, events); ferr != nil {
				return ferr
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

// forward forwards whole events that the splitter has returned.
func (r *relay) forward(ctx context.Context, resp *upstream.Response, events []byte) error {
	r.events += r.splitter.Events() - r.attemptEvents
	r.attemptEvents = r.splitter.Events()
	if id := r.splitter.LastID(); id != "" {
		r.lastID = id
	}
	if len(events) > 0 {
		r.recordPause(clock.Now())
		r.partBytes = 0
		if err := r.write(ctx, resp, events); err != nil {
			return err
		}
	}
	if err := r.splitter.Err(); err != nil {
		return err
	}
	if len(r.splitter.Unfinished()) < maxEventPartBytes {
		return r.holdUnfinished()
	}
	if err := r.splitter.CheckPart(); err != nil {
		return err
	}
	part := r.splitter.TakeUnfinished()
	if r.partBytes += len(part); r.partBytes > maxEventBytes {
		return errEventTooLarge
	}
	if err := r.holdUnfinished(); err != nil {
		return err
	}
	return r.write(ctx, resp, part)
}

// holdUnfinished counts the begun event as held for the client, unless it is small.
func (r *relay) holdUnfinished() error {
	n := len(r.splitter.Unfinished())
	if n < readSpaceBytes {
		n = 0
	}
	if n == r.unfinishedHeld {
		return nil
	}
	verdict := r.out.reader.resize(n - r.unfinishedHeld)
	r.unfinishedHeld = n
	if verdict == readbuffer.Ended {
		return errors.Mark(errSlowReader, errClientConnection)
	}
	return nil
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

// write adds p to what waits for the client. Time for which the outbox is full is not a pause
// of the server.
func (r *relay) write(ctx context.Context, resp *upstream.Response, p []byte) error {
	if r.onBegin != nil {
		r.onBegin()
		r.onBegin = nil
	}
	r.writeHeadOnce(resp)
	paused, err := r.out.append(ctx, p)
	r.paused += paused
	r.lastForwardedAt += paused
	return err
}

// readResponse reads the response to a request to its end. Its body counts in the budget
// until the request ends.
func (g *Gateway) readResponse(req *request, resp *upstream.Response) (*response, error) {
	body, release, err := g.Bodies.ReadSized(resp.Body, resp.ContentLength, maxResponseBytes)
	if err != nil {
		return nil, err
	}
	req.onEnd = append(req.onEnd, release)
	if len(body) == 0 && isSuccess(resp.StatusCode) && resp.Framing() == upstream.UntilClose && req.method != http.MethodHead {
		return nil, errNoBody
	}
	return &response{resp.StatusCode, resp.Header, body, release}, nil
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}
