package gateway

import (
	"context"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/delegation"
	"github.com/magnoliawheel/magnoliawheel/core/eventstream"
	"github.com/magnoliawheel/magnoliawheel/core/notice"
	"github.com/magnoliawheel/magnoliawheel/core/placement"
	"github.com/magnoliawheel/magnoliawheel/core/quarantine"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/staging"
	"github.com/magnoliawheel/magnoliawheel/core/streamversion"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/planner"
	"github.com/magnoliawheel/magnoliawheel/internal/upstream"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

const (
	// maxPlacements bounds the placements of one request.
	maxPlacements = 4
	// newStreamGrace is how long a stopping entry still accepts new streams.
	newStreamGrace = 3 * time.Second
	// stoppingRetryAfter is the Retry-After time of a stopping entry. It is short, since
	// the client is expected to reach another entry.
	stoppingRetryAfter = 50 * time.Millisecond
	// minRetryTime is the least remaining time with which a stream request is retried.
	minRetryTime = 500 * time.Millisecond
)

// streamRequest is a stream request and the state of its attempts.
type streamRequest struct {
	gateway *Gateway
	req     *request
	w       http.ResponseWriter
	// client ends when the client disconnects.
	client context.Context
	avoid  []string
	// possibleRuns counts the attempts in which a server may have run the request.
	possibleRuns int
	relay        *relay
	placements   int
	// sentAt is when the last attempt began, and placementTime how long its placement took.
	sentAt, placementTime time.Duration
	// secondMade is set once an attempt was given up because its first event was overdue, and
	// secondWon once the first event of a later one has arrived.
	secondMade, secondWon bool
	// logCompletion, if set, records the end of a stream whose client read its last bytes for
	// the given time after the server had completed it.
	logCompletion func(readAfter time.Duration)
}

// serveStream serves a request whose response is a stream of events. client ends when the
// client disconnects, ctx also at the deadline.
func (g *Gateway) serveStream(client, ctx context.Context, w http.ResponseWriter, req *request) {
	if g.stoppingFor() > newStreamGrace {
		g.refuse(w, req, refuseStopping())
		return
	}
	if req.LastEventID != "" {
		g.metrics.resumedByClients.Inc(1)
		req.log.Info("Client resumes a stream.", "stream", req.ResumedStream, "last_event", req.LastEventID, "version_known", g.Planner.StreamVersion(req.streamID()) != nil)
	}
	// The attempts end as soon as the client cannot get their events.
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	out := newOutbox(w, g.streams, req.log, cancel)
	defer out.close()
	s := &streamRequest{gateway: g, req: req, w: w, client: client, relay: newRelay(w, out)}
	if req.route.Resumable {
		s.relay.resumeAfter(req.LastEventID)
	}
	for {
		done, r := s.attempt(ctx)
		if done {
			s.deliver()
			return
		}
		if ctx.Err() != nil {
			s.handleContextEnd(ctx)
			return
		}
		if r == nil {
			continue
		}
		if s.relay.started {
			s.abort(r.cause)
		}
		g.refuse(w, req, r)
		return
	}
}

// handleContextEnd ends a request whose client cannot get the response, whose deadline passed, or
// whose process ends.
func (s *streamRequest) handleContextEnd(ctx context.Context) {
	err := s.relay.out.failure()
	if s.hasClientLeft(err) {
		s.logClientLeft()
	}
	if err != nil {
		s.abort(err.Error())
	}
	if errors.Is(context.Cause(ctx), errProcessEnds) {
		s.handleProcessEnd()
		return
	}
	if s.relay.started {
		s.abort("deadline exceeded")
	}
	if s.possibleRuns == 0 {
		s.gateway.refuse(s.w, s.req, newRefusal(result.Overloaded, "deadline exceeded before the request was sent", 0))
		return
	}
	s.gateway.refuse(s.w, s.req, deadlineFailure("deadline exceeded"))
}

// handleProcessEnd ends a request that is not complete when the process ends.
func (s *streamRequest) handleProcessEnd() {
	if s.relay.started {
		s.abort(errProcessEnds.Error())
	}
	s.gateway.refuse(s.w, s.req, s.refuseOrFailStopping())
}

// hasClientLeft reports whether the client has disconnected. Its context also ends if the entry
// itself has ended the connection, with which the outbox then has failed.
func (s *streamRequest) hasClientLeft(failure error) bool {
	return s.client.Err() != nil && !errors.IsAny(failure, errSlowReader, errProcessEnds, errDeliveryTimeout, os.ErrDeadlineExceeded)
}

// logClientLeft ends a request whose client has disconnected.
func (s *streamRequest) logClientLeft() {
	s.gateway.metrics.clientDisconnects.Inc(1)
	s.req.log.Info("Client disconnected.", "held", clock.Now()-s.req.arrivedAt, "tries", s.req.attempts, "events", s.relay.events)
	panic(http.ErrAbortHandler)
}

// abort closes the client's connection, so that the client cannot mistake the partial
// response for a complete one. The client gets what waits for it first.
func (s *streamRequest) abort(cause string) {
	lastDelivery, cancel := context.WithTimeout(s.client, lastDeliveryTimeout)
	defer cancel()
	_ = s.relay.out.finish(lastDelivery.Done(), errDeliveryTimeout)
	s.logAbort(cause)
}

func (s *streamRequest) logAbort(cause string) {
	s.gateway.metrics.streamsAborted.Inc(1)
	s.req.log.Info("Stream aborted.", "cause", cause, "events", s.relay.events, "held", clock.Now()-s.req.arrivedAt, "tries", s.req.attempts,
		"max_buffered", s.relay.out.maxHeld(), "reading_paused", s.relay.paused)
	panic(http.ErrAbortHandler)
}

// deliver waits until the client has a response that the server has completed, which may be
// after the deadline.
func (s *streamRequest) deliver() {
	waitStart := clock.Now()
	s.req.setPhase(phaseDelivery)
	// A client that reads slowly may take long; what only attempts need is freed.
	s.req.releaseBody()
	s.relay.splitter = &eventstream.Splitter{}
	stopWaiting := context.AfterFunc(s.client, func() { s.relay.out.fail(context.Cause(s.client)) })
	defer stopWaiting()
	err := s.relay.out.finish(s.gateway.delivering.Done(), errProcessEnds)
	switch {
	case s.hasClientLeft(err):
		s.logClientLeft()
	case err != nil:
		s.logAbort(err.Error())
	}
	if s.logCompletion != nil {
		s.logCompletion(clock.Now() - waitStart)
	}
}

// attempt places the request and sends it once. It returns true if the client got a
// complete response, a refusal if the request failed, or neither if it is to be placed
// again.
func (s *streamRequest) attempt(ctx context.Context) (bool, *refusal) {
	s.placements++
	if s.placements > maxPlacements {
		return false, s.refuseOrFail(result.NoServer, "too many placements", busyRetryAfter)
	}
	cooling, remaining := s.gateway.coolingDown(s.req.service)
	if remaining > 0 {
		return false, s.refuseOrFail(result.QueueFull, causeServerCoolingDown, cooldownRetryAfter(s.req.ID, remaining))
	}
	if s.gateway.accepting.Err() != nil || s.gateway.tooLateToSend(s.req, s.relay.events) {
		return false, s.refuseOrFailStopping()
	}
	placementBegan := clock.Now()
	s.req.setPhase(phasePlacement)
	p, progress, stopped := s.placeBeforeStop(ctx, slices.Concat(s.avoid, cooling))
	s.placementTime = clock.Now() - placementBegan
	if f := s.gateway.ExpectedFirstEvent; f != nil {
		p.ExpectedFirstEvent = f(p)
	}
	if ctx.Err() != nil {
		progress(planner.Progress{Phase: planner.Cancelled})
		return false, nil
	}
	if stopped {
		progress(planner.Progress{Phase: planner.Cancelled})
		return false, s.refuseOrFailStopping()
	}
	if p.RefusalReason != 0 {
		return false, s.refuseOrFail(reasonCode(p.RefusalReason), planner.ReasonText(p.RefusalReason), p.RetryAfter)
	}
	return s.send(ctx, p, progress)
}

// placeBeforeStop places the request as place does. stopped is true if the process stops so soon
// that the request is not sent any more.
func (s *streamRequest) placeBeforeStop(ctx context.Context, avoid []string) (p planner.Placement, progress progressFunc, stopped bool) {
	placing, cancel := s.gateway.untilTooLateToSend(ctx, s.req, s.relay.events)
	defer cancel()
	stopWatching := context.AfterFunc(s.gateway.accepting, cancel)
	defer stopWatching()
	p, progress = s.gateway.place(placing, s.req, avoid)
	return p, progress, placing.Err() != nil || s.gateway.tooLateToSend(s.req, s.relay.events)
}

// refuseOrFailStopping is refuseOrFail for a process that stops.
func (s *streamRequest) refuseOrFailStopping() *refusal {
	if s.possibleRuns > 0 {
		return serverFailure(causeStopping)
	}
	return s.gateway.refuseTooLate(s.req)
}

// refuseOrFail refuses a request that has not run, and fails one that may have.
func (s *streamRequest) refuseOrFail(code result.Code, cause string, retryAfter time.Duration) *refusal {
	if s.possibleRuns > 0 {
		return serverFailure(cause)
	}
	return newRefusal(code, cause, retryAfter)
}

func reasonCode(r staging.RefusalReason) result.Code {
	switch r {
	case planner.NoServer:
		return result.NoServer
	case planner.HeldBack:
		return result.PromptHeldBack
	case planner.LimitReached:
		return result.QueueFull
	case staging.OutsideResidency:
		return result.OutsideResidency
	case planner.VersionUnknown, planner.VersionGone:
		return result.StreamNotResumable
	}
	return result.Overloaded
}

// send sends the request to the chosen server and relays its response.
func (s *streamRequest) send(ctx context.Context, p planner.Placement, progress progressFunc) (bool, *refusal) {
	req := s.req
	srv := placement.Server{ID: p.Server, Address: p.Address, StartTime: s.gateway.Servers.StartTime(p.Server)}
	if r := s.blockingCause(srv, &p); r != "" {
		progress(planner.Progress{Phase: planner.Cancelled})
		s.avoid = append(s.avoid, p.Server)
		return false, s.retryNotSent(r)
	}
	req.attempts++
	req.setPhase(phaseServer)
	s.relay.onBegin = func() { s.recordVersion(p.SoftwareVersion) }
	start := clock.Now()
	s.sentAt = start
	watch, attemptCtx := s.watchAttempt(ctx, &p, srv.Start())
	defer watch.close()
	work := s.beginWork(attemptCtx)
	defer work.end()
	resp, err := s.gateway.sendTo(attemptCtx, req, srv, p.Inputs, modelPriority(req))
	if err != nil {
		if watch.end() {
			s.countRun(!errors.Is(err, upstream.ErrNotSent))
			return s.handleGivenUp(p, watch, progress)
		}
		return s.handleSendError(ctx, p, progress, err)
	}
	defer func() { _ = resp.Body.Close() }()
	info := platform.DecodeServerResponse(resp.StatusCode, resp.Header)
	s.gateway.handleNotices(req, srv, start, info)
	isStream := !info.NotExecuted && resp.StatusCode == http.StatusOK && info.Signed
	if !isStream && !watch.respond(false) {
		s.countRun(!info.NotExecuted)
		return s.handleGivenUp(p, watch, progress)
	}
	if info.NotExecuted {
		req.log.Info("Server did not run the request.", "server", p.Server, "status", resp.StatusCode, "took", clock.Now()-start)
		return s.handleNotRun(p, progress, resp.StatusCode)
	}
	s.possibleRuns++
	s.gateway.metrics.countFraming(resp.Framing())
	if !isStream {
		return s.relayNonStream(resp, info, progress)
	}
	resp.Body = watch.body(resp.Body)
	err = s.relay.copy(ctx, resp, func() {
		s.gateway.metrics.firstEventTime.RecordDuration(clock.Now() - req.arrivedAt)
		req.log.Info("First event relayed.", "identity", req.identity, "server", p.Server, "server_version", p.SoftwareVersion, "route", req.route.Name, "version", req.configVersion, "held", clock.Now()-req.arrivedAt, "took", clock.Now()-start)
		s.countFirstEvent()
		progress(planner.Progress{Phase: planner.Started, FirstEvent: clock.Now() - start})
	})
	if err == nil {
		work.complete()
		progress(planner.Progress{Phase: planner.Complete, LongestPause: s.relay.longestPause})
		s.report(p, quarantine.Completed)
		framing, unfinished := resp.Framing().String(), s.relay.unfinished()
		s.logCompletion = func(readAfter time.Duration) {
			s.gateway.metrics.answered.Inc(1)
			s.gateway.metrics.requestTime.RecordDuration(clock.Now() - req.arrivedAt)
			req.log.Info("Stream completed.", "server", p.Server, "framing", framing, "events", s.relay.events, "unfinished", unfinished, "longest_pause", s.relay.longestPause,
				"held", clock.Now()-req.arrivedAt, "tries", req.attempts, "max_buffered", s.relay.out.maxHeld(), "reading_paused", s.relay.paused, "read_after", readAfter)
		}
		return true, nil
	}
	if watch.end() {
		return s.handleGivenUp(p, watch, progress)
	}
	req.log.Info("Stream from the server ended early.", "identity", req.identity, "server", p.Server, "framing", resp.Framing().String(), "events", s.relay.events, "unfinished", s.relay.unfinished(),
		"took", clock.Now()-start, "cause", err.Error())
	return s.handleBrokenStream(ctx, p, progress, resp.Framing(), err)
}

// report reports how the last attempt ended, at the server that was chosen for it.
func (s *streamRequest) report(p planner.Placement, ending quarantine.Ending) {
	srv := notice.Server{ID: p.Server, StartTime: s.gateway.Servers.StartTime(p.Server)}
	s.gateway.reportAttempt(s.req, srv, s.sentAt, ending)
}

// blockingCause returns why the request must not be sent to the server of its placement, or
// "".
func (s *streamRequest) blockingCause(srv placement.Server, p *planner.Placement) string {
	if r := s.gateway.blockingCause(s.req, srv); r != "" {
		return r
	}
	if s.req.LastEventID != "" && s.gateway.Servers.SoftwareVersion(srv.ID) != p.SoftwareVersion {
		return causeOtherVersion
	}
	if p.Cold && clock.Now()-p.GrantedAt > delegation.GrantValidity {
		s.gateway.metrics.grantsExpired.Inc(1)
		return causeGrantExpired
	}
	return ""
}

// recordVersion records the version of the server that begins the stream, so that the stream
// is resumed only there. The record leaves before the first event can reach the client, but not
// before the server has sent it: an attempt without an event may be followed by one at another
// version.
func (s *streamRequest) recordVersion(version string) {
	if !s.req.route.Resumable {
		return
	}
	s.gateway.Links.StreamBegan(streamversion.Record{Stream: s.req.streamID(), Version: version, Until: s.req.resumableUntil})
}

// modelPriority maps the priority of a request to that of model servers, whose default
// is 5.
func modelPriority(req *request) int { return min(3+req.priority, 9) }
