package gateway

import (
	"context"
	"io"
	"net/http"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/quarantine"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/planner"
	"github.com/magnoliawheel/magnoliawheel/internal/upstream"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

// handleSendError handles an attempt without a response.
func (s *streamRequest) handleSendError(ctx context.Context, p planner.Placement, progress progressFunc, err error) (bool, *refusal) {
	s.req.log.Info("No response from the server.", "server", p.Server, "cause", err.Error())
	s.avoid = append(s.avoid, p.Server)
	maybeSent := !errors.Is(err, upstream.ErrNotSent)
	if maybeSent {
		s.possibleRuns++
	}
	if ctx.Err() != nil {
		progress(planner.Progress{Phase: planner.Cancelled})
		return false, nil
	}
	if maybeSent && connectionEnded(err) {
		s.report(p, quarantine.InterruptedWaiting)
	}
	progress(planner.Progress{Phase: planner.Unreached})
	if !maybeSent {
		return false, s.retryNotRun("server unreachable")
	}
	return false, s.retryPossiblyRun("no response from the server")
}

// handleNotRun handles a response which says that the server did not run the request.
func (s *streamRequest) handleNotRun(p planner.Placement, progress progressFunc, status int) (bool, *refusal) {
	if status == http.StatusConflict {
		// An input no longer exists, so the stages have to run again.
		progress(planner.Progress{Phase: planner.Cancelled})
		return false, s.retryNotRun("input no longer exists")
	}
	s.avoid = append(s.avoid, p.Server)
	if status == http.StatusMisdirectedRequest {
		progress(planner.Progress{Phase: planner.Unreached})
		return false, s.retryNotRun(causeOtherServer)
	}
	progress(planner.Progress{Phase: planner.Failed})
	if s.req.attempts >= s.req.route.MaxAttempts {
		return false, s.refuseOrFail(result.QueueFull, causeServerFull, busyRetryAfter)
	}
	return false, s.retryNotRun(causeServerFull)
}

// retryNotSent returns nil if a request that was not sent to the server chosen for it may
// be placed again, and otherwise a refusal. Nothing reached a server, so the retry budget
// is not used.
func (s *streamRequest) retryNotSent(cause string) *refusal {
	if s.req.remaining() < minRetryTime || cause == causeKeysNotConfirmed || cause == causeKeyRevoked {
		return s.refuseOrFail(outcome{cause: cause}.code(), cause, busyRetryAfter)
	}
	return nil
}

// retryNotRun returns nil if a request that has not run may be placed again, which the
// remaining time and the retry budget limit, and otherwise a refusal.
func (s *streamRequest) retryNotRun(cause string) *refusal {
	if s.req.remaining() < minRetryTime || !s.gateway.tryRetry(s.req.service) {
		return s.refuseOrFail(outcome{cause: cause}.code(), cause, busyRetryAfter)
	}
	return nil
}

// retryPossiblyRun returns nil if a request that may have run may be placed again,
// which only idempotent requests may, and otherwise a refusal.
func (s *streamRequest) retryPossiblyRun(cause string) *refusal {
	if s.req.abandoned.Load() || !s.req.route.Idempotent() || s.possibleRuns >= s.req.route.MaxAttempts ||
		s.req.remaining() < minRetryTime || !s.gateway.tryRetry(s.req.service) {
		return serverFailure(cause)
	}
	return nil
}

// handleBrokenStream handles a stream that ended early.
func (s *streamRequest) handleBrokenStream(ctx context.Context, p planner.Placement, progress progressFunc, framing upstream.Framing, err error) (bool, *refusal) {
	if ctx.Err() != nil || errors.Is(err, errClientConnection) {
		progress(planner.Progress{Phase: planner.Cancelled})
		if ctx.Err() == nil {
			s.abort(err.Error())
		}
		return false, nil
	}
	if s.endedBeforeEvent(framing, err) {
		s.gateway.metrics.endedBeforeEvent.Inc(1)
		s.report(p, quarantine.InterruptedAnswering)
	}
	progress(planner.Progress{Phase: planner.Failed})
	s.avoid = append(s.avoid, p.Server)
	if !s.relay.canContinue() {
		return false, serverFailure("stream ended where no other server can continue it")
	}
	if r := s.retryPossiblyRun("stream ended early"); r != nil {
		return false, r
	}
	if s.relay.lastID != "" {
		s.req.LastEventID = s.relay.lastID
		s.gateway.metrics.resumedByEntry.Inc(1)
	}
	return false, nil
}

// endedBeforeEvent reports whether the server's connection ended after the head of its
// response and before the first event.
func (s *streamRequest) endedBeforeEvent(framing upstream.Framing, err error) bool {
	if s.relay.splitter.Events() > 0 {
		return false
	}
	endUnmarked := framing == upstream.UntilClose && errors.IsAny(err, errNoEvent, errEndsWithinEvent)
	return endUnmarked || connectionEnded(err)
}

// connectionEnded reports whether an error shows that the server's end of a connection was
// closed, which a timeout or a malformed response does not.
func connectionEnded(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE)
}

// relayNonStream relays a response that is not a stream.
func (s *streamRequest) relayNonStream(resp *upstream.Response, info platform.ServerResponse, progress progressFunc) (bool, *refusal) {
	progress(planner.Progress{Phase: planner.Failed})
	if !info.Signed || s.relay.started {
		return false, s.retryPossiblyRun("response without the server's signature")
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		if r := s.retryPossiblyRun("server failed"); r == nil {
			return false, nil
		}
	}
	a, err := s.gateway.readResponse(s.req, resp)
	if err != nil {
		return false, s.retryPossiblyRun("incomplete response")
	}
	s.gateway.relayResponse(s.w, s.req, a)
	return true, nil
}
