package gateway

import (
	"cmp"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/magnoliawheel/magnoliawheel/core/jitter"
	"github.com/magnoliawheel/magnoliawheel/core/placement"
	"github.com/magnoliawheel/magnoliawheel/core/residency"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/routes"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/inbound"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

// request is a client request with its route and its limits.
type request struct {
	platform.ClientRequest
	route         *routes.Route
	configVersion uint64
	limits        routes.Limits
	service       string
	customer      string
	priority      int
	arrivedAt     time.Duration
	// objectiveDeadline is the arrival time plus the objective of the route. deadline is
	// the arrival time plus the timeout of the client or of the route, whichever is
	// shorter.
	objectiveDeadline, deadline time.Duration
	// ownDeadline is deadline, which a stopping process shortens.
	ownDeadline time.Duration
	// endWork records that the response is complete, or how the work on the request ended
	// without one; see workTimes. Only its first call counts.
	endWork func(counts bool)
	// resumableUntil is the arrival time plus the timeout of the client.
	resumableUntil time.Duration
	keyRequired    bool
	// residency permits the regions that may hold the request by the configuration under
	// which it was accepted.
	residency residency.Policy
	header    http.Header
	method    string
	target    string
	host      string
	body      []byte
	// release gives the memory of body back; nil if there is none. abandoned is set if that
	// happened while the body was sent.
	release   func()
	abandoned atomic.Bool
	// promptParts are those of PromptParts. identity is the same for all requests of clients
	// that repeat this one, and elements are what it may have in common with others that
	// crash servers; see package quarantine.
	promptParts []placement.PromptPart
	identity    string
	elements    []string
	attempts    int
	// phase is the requestPhase that the request is in.
	phase atomic.Uint32
	// onEnd are called when the request has ended.
	onEnd []func()
	log   logr.Logger
}

// end releases what the request held.
func (r *request) end() {
	for _, f := range r.onEnd {
		f()
	}
}

// streamID returns the ID of the request that brought the first event of the stream that
// this request belongs to: its own unless the client resumes a stream.
func (r *request) streamID() string { return cmp.Or(r.ResumedStream, r.ID) }

func (r *request) remaining() time.Duration { return r.deadline - clock.Now() }

// accept checks the request, matches its route and reads its body.
func (g *Gateway) accept(w http.ResponseWriter, hr *http.Request) (*request, *refusal) {
	arrived := clock.Now()
	cr, err := platform.DecodeClientRequest(hr.Header)
	req := &request{
		ClientRequest: cr, arrivedAt: arrived, header: hr.Header, method: hr.Method, target: hr.RequestURI, host: hr.Host,
		log: g.Log.WithValues("request", cr.ID),
	}
	if err != nil {
		return req, &refusal{code: result.BadHeader, cause: err.Error()}
	}
	if req.LastEventID == "" {
		// Without an event there is nothing to resume.
		req.ResumedStream = ""
	}
	if r := g.matchRoute(req); r != nil {
		return req, r
	}
	if req.route.Kind == routes.Stream && !hr.ProtoAtLeast(1, 1) {
		return req, &refusal{code: result.OldHTTPVersion, cause: "stream over " + hr.Proto}
	}
	if r := g.readBody(w, hr, req); r != nil {
		return req, r
	}
	inbound.RequestReceived(hr.Context())
	req.setElements()
	return req, nil
}

// matchRoute finds the route, checks the key, and sets the deadlines.
func (g *Gateway) matchRoute(req *request) *refusal {
	t := g.Config.Table()
	if !g.hasServers() {
		return newRefusal(result.NotReady, "no configuration yet", notReadyRetryAfter)
	}
	req.configVersion, req.limits = t.Version, t.Limits
	path, _, _ := strings.Cut(req.target, "?")
	route := t.Match(req.host, path)
	if route == nil {
		return g.refuseUnknown(result.UnknownCall, "no such route")
	}
	req.route, req.priority = route, route.Priority
	req.keyRequired = t.KeyRequired() && !route.Public
	if req.keyRequired {
		if r := g.checkKey(t, req); r != nil {
			return r
		}
	}
	req.residency = route.ResidencyFor(t.Customer(req.APIKey))
	if r := refuseConflict(req.residency); r != nil {
		return r
	}
	timeout := defaultTimeout
	if req.Timeout > 0 {
		timeout = req.Timeout
	}
	req.resumableUntil = req.arrivedAt + timeout
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	req.deadline = req.arrivedAt + timeout
	req.ownDeadline = req.deadline
	req.objectiveDeadline = req.arrivedAt + route.Objective
	req.service = route.PickService(jitter.Fraction(req.streamID()))
	return nil
}

func (g *Gateway) checkKey(t *routes.Table, req *request) *refusal {
	if !g.keysValid() {
		return &refusal{code: result.KeysNotConfirmed, retryAfter: notReadyRetryAfter, cause: "keys not confirmed by the store", closeConnection: true}
	}
	c := t.Customer(req.APIKey)
	if c == nil {
		return g.refuseUnknown(result.BadCustomer, "unknown key")
	}
	req.customer = c.Name
	if c.Priority != nil {
		req.priority = *c.Priority
	}
	return nil
}

// refuseUnknown returns the refusal for a route or key that is not in the
// configuration. If a newer configuration may have it, the error is retryable.
func (g *Gateway) refuseUnknown(code result.Code, cause string) *refusal {
	if !g.configFresh(staleConfigFraction, g.Settings.MaxConfigDelay) {
		return newRefusal(result.ConfigMayBeOld, cause, notReadyRetryAfter)
	}
	return &refusal{code: code, cause: cause}
}

func (g *Gateway) readBody(w http.ResponseWriter, hr *http.Request, req *request) *refusal {
	if limit := req.limits.HeaderBytes; limit > 0 && headerBytes(hr) > limit {
		return &refusal{code: result.HeaderTooLarge, cause: "header too large"}
	}
	limit := req.limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	err := g.readRequestBody(w, hr, req, limit)
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &refusal{code: result.BodyTooLarge, cause: "body too large"}
	}
	if isBudgetSpent(err) {
		return refuseForMemory()
	}
	if err != nil {
		return &refusal{code: result.SlowCaller, cause: "body not received: " + err.Error(), closeConnection: true}
	}
	return nil
}

// headerBytes returns the size of the request line and the headers.
func headerBytes(hr *http.Request) int {
	n := len(hr.Method) + len(hr.RequestURI) + len(hr.Host)
	for name, values := range hr.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}
