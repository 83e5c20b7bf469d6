package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/placement"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/routes"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/telemetry"
	"github.com/magnoliawheel/magnoliawheel/internal/upstream"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

const (
	// maxAnswer bounds the answer of a plain service.
	maxAnswer = 16 << 20
	// busyRetry is when to come back after all servers were full.
	busyRetry = 250 * time.Millisecond
	// attemptShare is the part of the time left that one try at an idempotent
	// request may take while there are tries left.
	attemptShare = 0.4
	// shortestAttempt is the least time of such a try.
	shortestAttempt = 400 * time.Millisecond
)

// outcome is what came of sending a request to a server.
type outcome struct {
	// answer is set if the server gave a whole answer.
	answer *answer
	// notRun is true if the server can't have run the request.
	notRun bool
	cause  string
}

// code is the result for a request that has not run.
func (o outcome) code() result.Code {
	switch o.cause {
	case causeFull:
		return result.QueueFull
	case causeLeaves:
		return result.ServerLeaving
	case causeKeys:
		return result.KeysNotConfirmed
	}
	return result.NoServer
}

// Causes of outcomes where the request was not sent or not run.
const (
	causeFull   = "server full"
	causeLeaves = "server leaves"
	causeKeys   = "keys not confirmed by the store"
	causeOther  = "another server has the address"
)

// answer is a whole answer of a server.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// servePlain serves a request that is answered at once.
func (g *Gateway) servePlain(ctx context.Context, w http.ResponseWriter, req *request) {
	var avoid []string
	var last outcome
	sent := false
	for {
		srv, ok := g.choosePlain(req, avoid)
		if !ok {
			if !sent {
				last = outcome{notRun: true, cause: "no server"}
			}
			break
		}
		req.tries++
		last = g.tryPlain(ctx, req, srv)
		sent = sent || !last.notRun
		if last.answer != nil && (last.answer.status < http.StatusInternalServerError || !req.route.Idempotent()) {
			break
		}
		avoid = append(avoid, srv.ID)
		if ctx.Err() != nil || !g.again(req, last) {
			break
		}
	}
	if ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled) {
		g.metrics.left.Inc(1)
		req.log.Info("Client left.", "held", clock.Now()-req.arrived, "tries", req.tries)
		return
	}
	g.finishPlain(w, req, last, sent)
}

// again tells whether another server may be tried.
func (g *Gateway) again(req *request, last outcome) bool {
	if !last.notRun && !req.route.Idempotent() {
		return false
	}
	return req.tries < req.route.MaxAttempts && req.remaining() > 0 && g.mayRepeat(req.service)
}

func (g *Gateway) finishPlain(w http.ResponseWriter, req *request, last outcome, sent bool) {
	switch {
	case last.answer != nil:
		g.relayWhole(w, req, last.answer)
	case !sent:
		g.refuse(w, req, refused(last.code(), last.cause, busyRetry))
	case req.remaining() <= 0:
		g.refuse(w, req, timedOut(last.cause))
	default:
		g.refuse(w, req, failed(last.cause))
	}
}

func (g *Gateway) choosePlain(req *request, avoid []string) (placement.Server, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.plain.SetServers(req.service, placementServers(g.Servers.Usable(req.service)))
	return g.plain.Choose(clock.Now(), placement.Request{ID: req.ID, Pool: req.service, Zone: g.Settings.Zone, Avoid: avoid})
}

func (g *Gateway) finishChoice(id string, end placement.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.plain.Finish(clock.Now(), id, end)
}

// tryPlain sends the request to one server and reads its whole answer.
func (g *Gateway) tryPlain(ctx context.Context, req *request, srv placement.Server) outcome {
	if limit := attemptLimit(req); limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	start := clock.Now()
	o := g.exchangePlain(ctx, req, srv)
	g.finishChoice(req.ID, o.end(ctx))
	status := 0
	if o.answer != nil {
		status = o.answer.status
	}
	req.log.Info("Request tried.", "server", srv.ID, "route", req.route.Name, "version", req.version,
		"took", clock.Now()-start, "status", status, "not_run", o.notRun, "cause", o.cause)
	return o
}

// attemptLimit bounds a try at an idempotent request that may be tried again.
func attemptLimit(req *request) time.Duration {
	if req.route.Kind != routes.Safe || req.tries >= req.route.MaxAttempts {
		return 0
	}
	return max(time.Duration(attemptShare*float64(req.remaining())), shortestAttempt)
}

func (o outcome) end(ctx context.Context) placement.Outcome {
	switch {
	case o.answer != nil && o.answer.status < http.StatusInternalServerError:
		return placement.Complete
	case errors.Is(ctx.Err(), context.Canceled):
		return placement.Cancelled
	case o.notRun && o.answer == nil && o.cause != causeFull:
		return placement.Unreached
	}
	return placement.Failed
}

func (g *Gateway) exchangePlain(ctx context.Context, req *request, srv placement.Server) outcome {
	if r := g.stillAllowed(req, srv.ID); r != "" {
		return outcome{notRun: true, cause: r}
	}
	resp, err := g.Upstream.Do(ctx, g.encode(req, srv, nil, -1))
	if err != nil {
		return outcome{notRun: errors.Is(err, upstream.ErrNotSent), cause: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	info := platform.DecodeServerResponse(resp.StatusCode, resp.Header)
	if info.NotExecuted {
		cause := causeFull
		if resp.StatusCode == http.StatusMisdirectedRequest {
			cause = causeOther
		}
		return outcome{notRun: true, cause: cause}
	}
	a, err := readWhole(resp)
	if err != nil {
		return outcome{cause: "answer broken off: " + err.Error()}
	}
	if !info.Signed {
		return outcome{cause: "answer without the server's seal"}
	}
	return outcome{answer: a}
}

// stillAllowed checks again what may have changed since the request was accepted;
// "" means that it may be sent.
func (g *Gateway) stillAllowed(req *request, server string) string {
	if req.keyed && !g.keysValid() {
		return causeKeys
	}
	if !g.Servers.Takes(server) {
		return causeLeaves
	}
	return ""
}

// encode returns the request for a server.
func (g *Gateway) encode(req *request, srv placement.Server, inputs []string, priority int) *upstream.Request {
	return &upstream.Request{
		Address: srv.Address, Method: req.method, Target: req.target, Host: req.host, Body: req.body,
		Header: platform.EncodeServerRequest(req.header, platform.ServerRequest{
			RemainingTime: req.remaining(), ServerID: srv.ID, Customer: req.customer,
			Inputs: inputs, ModelPriority: priority, LastEventID: req.LastEventID,
		}),
		Matches: func(h http.Header) bool { return platform.IsResponseTo(h, req.ID) },
	}
}

// relayWhole gives the client a server's whole answer.
func (g *Gateway) relayWhole(w http.ResponseWriter, req *request, a *answer) {
	writeHead(w, a.status, a.header)
	_, err := w.Write(a.body)
	g.metrics.answered.Inc(1)
	g.metrics.held.RecordDuration(clock.Now() - req.arrived)
	req.log.Info("Request answered.", "status", a.status, "bytes", len(a.body), "held", clock.Now()-req.arrived, "tries", req.tries, "cause", telemetry.Cause(err))
}

// writeHead writes the status and headers of a server's answer. An entry that stops
// keeps its word that the connection ends.
func writeHead(w http.ResponseWriter, status int, header http.Header) {
	closing := w.Header().Get("Connection")
	platform.CopyResponseHeader(w.Header(), header)
	if closing != "" {
		w.Header().Set("Connection", closing)
	}
	w.WriteHeader(status)
}

func placementServers(list []platform.Server) []placement.Server {
	all := make([]placement.Server, len(list))
	for i, s := range list {
		all[i] = placement.Server{ID: s.ID, Address: s.Address, Zone: s.Zone, StartTime: s.StartTime, Slots: s.Slots}
	}
	return all
}
