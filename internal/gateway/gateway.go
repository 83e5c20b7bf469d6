// Package gateway is the HTTP front door for clients that name a host and a path:
// it finds the route, checks the customer's key, has the request placed, forwards
// it, and relays the server's answer byte for byte.
package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"github.com/magnoliawheel/magnoliawheel/core/budget"
	"github.com/magnoliawheel/magnoliawheel/core/placement"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/routes"
	"github.com/magnoliawheel/magnoliawheel/core/staging"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/peer"
	"github.com/magnoliawheel/magnoliawheel/internal/planner"
	"github.com/magnoliawheel/magnoliawheel/internal/upstream"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

const (
	// defaultWait bounds requests that name no deadline on routes without a timeout.
	defaultWait = 30 * time.Second
	// defaultBody bounds bodies where the configuration sets no limit.
	defaultBody = 4 << 20
	// bodyTimeout bounds the time in which a client must send its body.
	bodyTimeout = 5 * time.Second
	// staleShare is the part of the bound for a configuration, as its age, from which
	// the entry does not answer for good that a route or a key does not exist.
	staleShare = 0.9
	// keyShare is the part of a key's validity after which it is not honoured
	// without word from the store. The rest covers the way to the server and a read
	// that waited for records which the store had but did not tell at once.
	keyShare = 0.75
	// readyShare is the part of a key's validity from which the entry asks for no
	// new clients.
	readyShare = 0.5
	// planShare is the part of that bound, as the age of the configuration, from which
	// an entry that reached the store later places requests better.
	planShare = 1.0
	// unreadyRetry is when to come back to an entry that can't serve now.
	unreadyRetry = 400 * time.Millisecond
)

// Config is what the gateway needs of the watcher of the configuration.
type Config interface {
	Table() *routes.Table
	// Age is how long ago the store confirmed the table.
	Age() time.Duration
}

// Servers is what the gateway needs of the watcher of the servers.
type Servers interface {
	Usable(service string) []platform.Server
	Takes(id string) bool
	Loaded() bool
}

// Options set up a Gateway.
type Options struct {
	Config   Config
	Servers  Servers
	Planner  *planner.Planner
	Links    *peer.Links
	Upstream *upstream.Client
	Settings *platform.Settings
	Log      logr.Logger
	Scope    tally.Scope
	// Owner names the present start of the entry.
	Owner string
	// LookInterval is the longest time between two looks at the registered entries.
	LookInterval time.Duration
}

// Gateway serves clients' requests.
type Gateway struct {
	Options
	inFlight atomic.Int64
	// stopAt is the time, by clock.Now, at which the gateway began to stop; 0 before.
	stopAt atomic.Int64

	metrics *metrics

	poolsMu sync.Mutex
	// pooled is set once the planner has the servers.
	pooled atomic.Bool

	mu      sync.Mutex
	plain   *placement.Table
	budgets map[string]*budget.Budget
	share   budget.AllowanceShare
}

// New returns a gateway.
func New(o Options) *Gateway {
	return &Gateway{
		Options: o, metrics: newMetrics(o.Scope), plain: placement.New(o.Settings.Regions), budgets: map[string]*budget.Budget{},
		share: budget.AllowanceShare{Window: o.Settings.RetryBudget.Window, Interval: max(o.LookInterval, o.Settings.RetryBudget.Window)},
	}
}

// Restarted takes in that an earlier start of this entry was registered.
func (g *Gateway) Restarted() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.share.RecordRestart(clock.Now())
}

// Entries takes in the number of registered entries, this one among them.
func (g *Gateway) Entries(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.share.UpdateEntryCount(clock.Now(), n)
}

// request is a client's request on its way.
type request struct {
	platform.ClientRequest
	route    *routes.Route
	version  uint64
	limits   routes.Limits
	service  string
	customer string
	rank     int
	arrived  time.Duration
	// due is the end of the objective, deadline that of the client's patience or
	// the route's timeout.
	due, deadline time.Duration
	keyed         bool
	header        http.Header
	method        string
	target        string
	host          string
	body          []byte
	tries         int
	log           logr.Logger
}

func (r *request) remaining() time.Duration { return r.deadline - clock.Now() }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.Stopping() {
		w.Header().Set("Connection", "close")
	}
	req, refusal := g.accept(w, hr)
	if refusal != nil {
		g.refuse(w, req, refusal)
		return
	}
	ctx, cancel := context.WithTimeout(hr.Context(), req.remaining())
	defer cancel()
	g.count(req.service)
	if req.route.Kind == routes.Stream {
		g.serveStream(ctx, w, req)
		return
	}
	g.servePlain(ctx, w, req)
}

// accept reads the request whole and checks it.
func (g *Gateway) accept(w http.ResponseWriter, hr *http.Request) (*request, *refusal) {
	arrived := clock.Now()
	cr, err := platform.DecodeClientRequest(hr.Header)
	req := &request{
		ClientRequest: cr, arrived: arrived, header: hr.Header, method: hr.Method, target: hr.RequestURI, host: hr.Host,
		log: g.Log.WithValues("request", cr.ID),
	}
	if err != nil {
		return req, &refusal{code: result.BadHeader, cause: err.Error()}
	}
	if r := g.match(req); r != nil {
		return req, r
	}
	if r := g.readBody(w, hr, req); r != nil {
		return req, r
	}
	return req, nil
}

// match finds the route and checks the key.
func (g *Gateway) match(req *request) *refusal {
	t := g.Config.Table()
	if !g.known() {
		return refused(result.NotReady, "no configuration yet", unreadyRetry)
	}
	req.version, req.limits = t.Version, t.Limits
	path, _, _ := strings.Cut(req.target, "?")
	route := t.Match(req.host, path)
	if route == nil {
		return g.unknown(result.UnknownCall, "no such route")
	}
	req.route, req.rank = route, route.Priority
	req.keyed = t.KeyRequired() && !route.Public
	if req.keyed {
		if r := g.checkKey(t, req); r != nil {
			return r
		}
	}
	wait := defaultWait
	if req.Timeout > 0 {
		wait = req.Timeout
	}
	if route.Timeout > 0 {
		wait = min(wait, route.Timeout)
	}
	req.deadline = req.arrived + wait
	req.due = req.arrived + route.Objective
	req.service = route.PickService(staging.HashFraction(req.ID))
	return nil
}

func (g *Gateway) checkKey(t *routes.Table, req *request) *refusal {
	if !g.keysValid() {
		return &refusal{code: result.KeysNotConfirmed, after: unreadyRetry, cause: "keys not confirmed by the store", close: true}
	}
	c := t.Customer(req.APIKey)
	if c == nil {
		return g.unknown(result.BadCustomer, "unknown key")
	}
	req.customer = c.Name
	if c.Priority != nil {
		req.rank = *c.Priority
	}
	return nil
}

// keysValid tells whether the keys known are recent enough to be honoured.
func (g *Gateway) keysValid() bool {
	return g.fresh(keyShare, g.Settings.KeyValidity)
}

// fresh tells whether the store confirmed the configuration within a share of the
// limit; 0 is no limit.
func (g *Gateway) fresh(share float64, limit time.Duration) bool {
	return limit == 0 || g.Config.Age() < time.Duration(share*float64(limit))
}

// unknown answers for what the configuration does not have. An entry that may lack
// a newer version does not say so for good.
func (g *Gateway) unknown(code result.Code, cause string) *refusal {
	if !g.fresh(staleShare, g.Settings.MaxConfigDelay) {
		return refused(result.ConfigMayBeOld, cause, unreadyRetry)
	}
	return &refusal{code: code, cause: cause}
}

func (g *Gateway) readBody(w http.ResponseWriter, hr *http.Request, req *request) *refusal {
	if limit := req.limits.HeaderBytes; limit > 0 && headerBytes(hr) > limit {
		return &refusal{code: result.HeaderTooLarge, cause: "header too large"}
	}
	limit := req.limits.BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, hr.Body, limit))
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &refusal{code: result.BodyTooLarge, cause: "body too large"}
	}
	if err != nil {
		return &refusal{code: result.SlowCaller, cause: "body not received: " + err.Error(), close: true}
	}
	req.body = body
	return nil
}

// headerBytes is the size of the request line and the headers.
func headerBytes(hr *http.Request) int {
	n := len(hr.Method) + len(hr.RequestURI) + len(hr.Host)
	for name, values := range hr.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// Ready tells whether the entry asks for new clients.
func (g *Gateway) Ready() bool {
	return g.known() && !g.Stopping() && g.fresh(readyShare, g.Settings.KeyValidity)
}

// CanPlan tells whether the entry can place requests for others.
func (g *Gateway) CanPlan() bool {
	return g.known() && !g.Stopping() && g.fresh(planShare, g.Settings.MaxConfigDelay)
}

// known tells whether there is a configuration and a list of servers, and the planner
// has them.
func (g *Gateway) known() bool { return g.pooled.Load() }

// count counts a first call for the retry budget.
func (g *Gateway) count(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(service).CountRequest(clock.Now())
}

// mayRepeat takes one repeat out of the budget of a service.
func (g *Gateway) mayRepeat(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	ok := g.budget(service).TryRetry(now, g.share.Fraction(now))
	if ok {
		g.metrics.repeats.Inc(1)
	}
	return ok
}

func (g *Gateway) budget(service string) *budget.Budget {
	b := g.budgets[service]
	if b == nil {
		b = budget.New(budget.Options(g.Settings.RetryBudget))
		g.budgets[service] = b
	}
	return b
}

// stoppingFor is the time since the gateway began to stop; 0 if it did not.
func (g *Gateway) stoppingFor() time.Duration {
	at := g.stopAt.Load()
	if at == 0 {
		return 0
	}
	return clock.Now() - time.Duration(at)
}

// Stopping tells whether the gateway takes its last requests.
func (g *Gateway) Stopping() bool { return g.stopAt.Load() != 0 }

// Stop makes the gateway take its last requests.
func (g *Gateway) Stop() {
	g.stopAt.CompareAndSwap(0, int64(clock.Now()))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.share.Stop()
}

// InFlight returns the number of requests that are not answered.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }
