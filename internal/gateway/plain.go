package gateway

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/loadreport"
	"github.com/magnoliawheel/magnoliawheel/core/placement"
	"github.com/magnoliawheel/magnoliawheel/core/quarantine"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/routes"
	"github.com/magnoliawheel/magnoliawheel/core/worktime"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/telemetry"
	"github.com/magnoliawheel/magnoliawheel/internal/upstream"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

const (
	// maxResponseBytes bounds the body of a response that is not a stream.
	maxResponseBytes = 16 << 20
	// busyRetryAfter is the Retry-After time if no server can run the request now.
	busyRetryAfter = 250 * time.Millisecond
	// attemptTimeFraction is the fraction of the remaining time that one attempt of an
	// idempotent request may take if more attempts are allowed.
	attemptTimeFraction = 0.4
	// minAttemptTimeout is the shortest timeout of such an attempt.
	minAttemptTimeout = 400 * time.Millisecond
)

// outcome is the result of one attempt.
type outcome struct {
	// response is set if the server gave a complete response.
	response *response
	// framing is that of the response, "" if there was none.
	framing string
	// notRun is true if the server cannot have run the request.
	notRun bool
	cause  string
	// retryAfter is the Retry-After time of a request that has not run; 0 selects
	// busyRetryAfter.
	retryAfter time.Duration
	// ending says whether the attempt may have crashed its server.
	ending quarantine.Ending
	// load is what the server reported about its load; nil if it reported nothing.
	load *loadreport.Report
}

// code returns the result code of a request that has not run.
func (o outcome) code() result.Code {
	switch o.cause {
	case causeServerFull:
		return result.QueueFull
	case causeServerLeaving, causeZoneEvacuated:
		return result.ServerLeaving
	case causeOutsideResidency:
		return result.OutsideResidency
	case causeServerCoolingDown, causeLimitReached:
		return result.QueueFull
	case causeKeysNotConfirmed:
		return result.KeysNotConfirmed
	case causeKeyRevoked:
		return result.BadCustomer
	}
	return result.NoServer
}

// Causes of attempts in which the request was not sent or not run.
const (
	causeServerFull        = "server full"
	causeServerLeaving     = "server is leaving"
	causeZoneEvacuated     = "zone of the server is evacuated"
	causeOutsideResidency  = "no server in the allowed regions"
	causeGrantExpired      = "grant for a cold server expired"
	causeServerCoolingDown = "server wants no requests yet"
	causeLimitReached      = "limits of the servers reached"
	causeKeysNotConfirmed  = "keys not confirmed by the store"
	causeKeyRevoked        = "key revoked while the request waited"
	causeStopping          = "entry is stopping"
	causeTooLate           = "entry stops before the request would end"
	causeOtherServer       = "address belongs to another server"
	causeOtherVersion      = "server runs another software version"
)

// response is a complete response of a server.
type response struct {
	status int
	header http.Header
	body   []byte
	// release gives the memory of the body back.
	release func()
}

// servePlain serves a request whose response is not a stream. client ends when the client
// disconnects, ctx also when the request has to be answered.
func (g *Gateway) servePlain(client, ctx context.Context, w http.ResponseWriter, req *request) {
	var avoid []string
	var last outcome
	mayHaveRun := false
	for {
		if r := g.checkHeldBack(ctx, req); r != nil {
			if !mayHaveRun {
				g.refuse(w, req, r)
				return
			}
			break
		}
		if g.tooLateToSend(req, 0) {
			if !mayHaveRun {
				g.refuse(w, req, g.refuseTooLate(req))
				return
			}
			break
		}
		cooling, remaining := g.coolingDown(req.service)
		if remaining > 0 {
			if !mayHaveRun {
				last = outcome{notRun: true, cause: causeServerCoolingDown, retryAfter: cooldownRetryAfter(req.ID, remaining)}
			}
			break
		}
		srv, ok := g.choosePlainServer(req, slices.Concat(avoid, cooling))
		if !ok {
			if !mayHaveRun {
				last = g.noServerOutcome(req, avoid)
			}
			break
		}
		req.attempts++
		req.setPhase(phaseServer)
		last = g.attemptPlain(ctx, req, srv)
		mayHaveRun = mayHaveRun || !last.notRun
		if last.response != nil && (last.response.status < http.StatusInternalServerError || !req.route.Idempotent()) {
			break
		}
		avoid = append(avoid, srv.ID)
		if ctx.Err() != nil || !g.mayRetryPlain(req, last) {
			break
		}
	}
	if client.Err() != nil {
		g.metrics.clientDisconnects.Inc(1)
		req.log.Info("Client disconnected.", "held", clock.Now()-req.arrivedAt, "tries", req.attempts)
		// Otherwise the HTTP server would answer with an empty success, which a client that has
		// closed only its sending direction gets.
		panic(http.ErrAbortHandler)
	}
	if errors.Is(context.Cause(ctx), errProcessEnds) {
		last.cause = causeStopping
	}
	g.respondPlain(w, req, last, mayHaveRun)
}

// noServerOutcome returns the outcome of a request for which there is no server, or none
// that takes one more now.
func (g *Gateway) noServerOutcome(req *request, avoid []string) outcome {
	if o, outside := g.residencyOutcome(req); outside {
		return o
	}
	if wait := g.limitWait(req, avoid); wait > 0 {
		return outcome{notRun: true, cause: causeLimitReached, retryAfter: cooldownRetryAfter(req.ID, wait)}
	}
	return outcome{notRun: true, cause: "no server available"}
}

// mayRetryPlain reports whether another server may be tried.
func (g *Gateway) mayRetryPlain(req *request, last outcome) bool {
	if !last.notRun && !req.route.Idempotent() || req.abandoned.Load() {
		return false
	}
	return req.attempts < req.route.MaxAttempts && req.remaining() > 0 && g.tryRetry(req.service)
}

func (g *Gateway) respondPlain(w http.ResponseWriter, req *request, last outcome, mayHaveRun bool) {
	switch {
	case last.response != nil:
		g.relayResponse(w, req, last.response)
	case !mayHaveRun:
		g.refuse(w, req, newRefusal(last.code(), last.cause, cmp.Or(last.retryAfter, busyRetryAfter)))
	case req.remaining() <= 0:
		g.refuse(w, req, deadlineFailure(last.cause))
	default:
		g.refuse(w, req, serverFailure(last.cause))
	}
}

func (g *Gateway) choosePlainServer(req *request, avoid []string) (placement.Server, bool) {
	allowed := g.residency(req)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.plainServers.SetServers(req.service, placementServers(g.Servers.Usable(req.service)))
	chosen, ok := g.plainServers.Choose(clock.Now(), placement.Request{ID: req.ID, Pool: req.service, Zone: g.Settings.Zone, Avoid: avoid, Residency: allowed})
	return chosen.Server, ok
}

func (g *Gateway) recordPlainOutcome(id string, requestOutcome placement.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.plainServers.Finish(clock.Now(), id, requestOutcome)
}

// attemptPlain sends the request to one server and reads the complete response.
func (g *Gateway) attemptPlain(ctx context.Context, req *request, srv placement.Server) outcome {
	if timeout := g.attemptTimeout(req); timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = g.limitAttempt(ctx, req, timeout)
		defer cancel()
	}
	start := clock.Now()
	rounds, trust := g.reportedQueue(srv)
	endWork := g.serverTimes.begin(req.work(0))
	o := g.sendPlain(ctx, req, srv)
	endWork(o.isSuccess() || !o.notRun && wasGivenUp(ctx))
	if o.response != nil {
		req.endWork(o.isSuccess())
	}
	if o.ending != quarantine.Other {
		g.reportAttempt(req, srv.Start(), start, o.ending)
	}
	g.recordPlainOutcome(req.ID, o.placementOutcome(ctx))
	status := 0
	if o.response != nil {
		status = o.response.status
	}
	req.log.Info("Attempt finished.", "server", srv.ID, "route", req.route.Name, "version", req.configVersion, "residency", req.residency.String(), "identity", req.identity,
		"took", clock.Now()-start, "status", status, "framing", o.framing, "not_run", o.notRun, "cause", o.cause,
		"reported_queue", rounds, "report_trust", trust, "load", o.load)
	return o
}

// attemptTimeout bounds an attempt of an idempotent request that may be retried; 0
// means no bound but the deadline.
func (g *Gateway) attemptTimeout(req *request) time.Duration {
	if req.route.Kind != routes.Safe || req.attempts >= req.route.MaxAttempts {
		return 0
	}
	timeout := max(time.Duration(attemptTimeFraction*float64(req.remaining())), minAttemptTimeout)
	if g.Stopping() {
		// The deadline is that of the process; the attempt may take as long as usual.
		timeout = max(timeout, worktime.AttemptTime(g.serverTimes.expect(req.work(0))))
	}
	return timeout
}

// limitAttempt returns a context that ends with context.DeadlineExceeded as its cause after the
// given time, unless the process stops so soon that no other attempt would follow.
func (g *Gateway) limitAttempt(ctx context.Context, req *request, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(timeout, func() {
		if !g.tooLateToSend(req, 0) {
			cancel(context.DeadlineExceeded)
		}
	})
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// isSuccess reports whether the server gave a complete response and no error of its own.
func (o outcome) isSuccess() bool {
	return o.response != nil && o.response.status < http.StatusInternalServerError
}

// placementOutcome returns the outcome to record in the placement table.
func (o outcome) placementOutcome(ctx context.Context) placement.Outcome {
	switch {
	case o.isSuccess():
		return placement.Complete
	case ctx.Err() != nil && !isTimedOut(ctx):
		return placement.Cancelled
	case o.notRun && o.response == nil && o.cause != causeServerFull:
		return placement.Unreached
	}
	return placement.Failed
}

func (g *Gateway) sendPlain(ctx context.Context, req *request, srv placement.Server) outcome {
	if r := g.blockingCause(req, srv); r != "" {
		return outcome{notRun: true, cause: r}
	}
	sentAt := clock.Now()
	resp, err := g.sendTo(ctx, req, srv, nil, -1)
	if err != nil {
		o := outcome{notRun: errors.Is(err, upstream.ErrNotSent), cause: err.Error()}
		if !o.notRun {
			o.ending = interruption(ctx, err, quarantine.InterruptedWaiting)
			if isTimedOut(ctx) {
				g.checkLoad(req, srv, clock.Now()-sentAt, nil)
			}
		}
		return o
	}
	defer func() { _ = resp.Body.Close() }()
	info := platform.DecodeServerResponse(resp.StatusCode, resp.Header)
	g.handleNotices(req, srv, sentAt, info)
	g.handleLoad(req, srv, clock.Now()-sentAt, resp.StatusCode, info)
	if info.NotExecuted {
		cause := causeServerFull
		if resp.StatusCode == http.StatusMisdirectedRequest {
			cause = causeOtherServer
		}
		return outcome{notRun: true, cause: cause, load: info.Load}
	}
	framing := resp.Framing()
	g.metrics.countFraming(framing)
	if !info.Signed {
		return outcome{framing: framing.String(), cause: "response without the server's signature"}
	}
	a, err := g.readResponse(req, resp)
	if err != nil {
		return outcome{framing: framing.String(), cause: "incomplete response: " + err.Error(), ending: interruption(ctx, err, quarantine.InterruptedAnswering)}
	}
	return outcome{framing: framing.String(), response: a, ending: quarantine.Completed, load: info.Load}
}

// isTimedOut reports whether the time of an attempt or of its request is over.
func isTimedOut(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}

// interruption returns the given ending if the server ended the connection of an attempt.
func interruption(ctx context.Context, err error, ending quarantine.Ending) quarantine.Ending {
	if ctx.Err() == nil && connectionEnded(err) {
		return ending
	}
	return quarantine.Other
}

// blockingCause repeats, before each attempt, the checks whose result may have changed
// since the request was accepted. It returns why the request must not be sent, or "".
func (g *Gateway) blockingCause(req *request, srv placement.Server) string {
	switch {
	case req.keyRequired && !g.keysValid():
		return causeKeysNotConfirmed
	case req.keyRequired && g.Config.Table().Customer(req.APIKey) == nil:
		return causeKeyRevoked
	case g.Servers.Evacuated(g.Servers.Zone(srv.ID)):
		return causeZoneEvacuated
	case !g.Servers.Takes(srv.ID):
		return causeServerLeaving
	case !g.allows(req, srv.ID):
		return causeOutsideResidency
	case g.isCoolingDown(srv):
		return causeServerCoolingDown
	}
	return ""
}

// encodeRequest returns the request to send to a server.
func (g *Gateway) encodeRequest(req *request, srv placement.Server, inputs []string, priority int) *upstream.Request {
	return &upstream.Request{
		Address: srv.Address, Method: req.method, Target: req.target, Host: req.host, Body: req.body,
		Header: platform.EncodeServerRequest(req.header, platform.ServerRequest{
			RemainingTime: req.remaining(), ServerID: srv.ID, Customer: req.customer,
			Inputs: inputs, ModelPriority: priority, LastEventID: req.LastEventID,
		}),
		Matches: func(h http.Header) bool { return platform.IsResponseTo(h, req.ID) },
	}
}

// relayResponse relays a complete response to the client. While its client reads it, it may be
// ended for the sake of other responses; its length shows the client that it is incomplete.
func (g *Gateway) relayResponse(w http.ResponseWriter, req *request, a *response) {
	if len(a.body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	req.releaseBody()
	req.setPhase(phaseDelivery)
	writeHead(w, a.status, a.header)
	err := g.deliverBody(w, req, a)
	if errors.IsAny(err, errSlowReader, errProcessEnds) {
		g.metrics.streamsAborted.Inc(1)
	} else {
		g.metrics.answered.Inc(1)
	}
	g.metrics.requestTime.RecordDuration(clock.Now() - req.arrivedAt)
	req.log.Info("Request answered.", "status", a.status, "bytes", len(a.body), "held", clock.Now()-req.arrivedAt, "tries", req.attempts, "cause", telemetry.ErrorText(err))
}

// deliverBody writes the body of a response to the client.
func (g *Gateway) deliverBody(w http.ResponseWriter, req *request, a *response) error {
	d := newDelivery(w)
	defer d.close()
	stopWaiting := context.AfterFunc(g.delivering, func() { d.fail(errProcessEnds) })
	defer stopWaiting()
	reader := g.responses.join(req.log, a.release, d.fail)
	defer reader.leave()
	reader.resize(len(a.body))
	return d.write(a.body, func(n int) { reader.written(n, n) })
}

// writeHead writes the status and headers of a server's response. It keeps a Connection
// header that the entry has set, so that a stopping entry still closes the connection.
func writeHead(w http.ResponseWriter, status int, header http.Header) {
	closing := w.Header().Get("Connection")
	platform.CopyResponseHeader(w.Header(), header)
	if closing != "" {
		w.Header().Set("Connection", closing)
	}
	w.WriteHeader(status)
}

func placementServers(servers []platform.Server) []placement.Server {
	all := make([]placement.Server, len(servers))
	for i, s := range servers {
		all[i] = placement.Server{ID: s.ID, Address: s.Address, Zone: s.Zone, StartTime: s.StartTime, SoftwareVersion: s.SoftwareVersion, Slots: s.Slots}
	}
	return all
}
