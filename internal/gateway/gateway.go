// Package gateway serves HTTP clients. It matches a request to a route, checks the
// customer's key, has the request placed on a server, forwards it, and relays the
// server's response unchanged.
package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"github.com/magnoliawheel/magnoliawheel/core/budget"
	"github.com/magnoliawheel/magnoliawheel/core/loadreport"
	"github.com/magnoliawheel/magnoliawheel/core/notice"
	"github.com/magnoliawheel/magnoliawheel/core/placement"
	"github.com/magnoliawheel/magnoliawheel/core/readbuffer"
	"github.com/magnoliawheel/magnoliawheel/core/routes"
	"github.com/magnoliawheel/magnoliawheel/core/secondattempt"
	"github.com/magnoliawheel/magnoliawheel/internal/bounded"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/inbound"
	"github.com/magnoliawheel/magnoliawheel/internal/peer"
	"github.com/magnoliawheel/magnoliawheel/internal/planner"
	"github.com/magnoliawheel/magnoliawheel/internal/upstream"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

const (
	// defaultTimeout applies to requests that set no timeout on routes that set none.
	defaultTimeout = 30 * time.Second
	// defaultMaxBodyBytes applies if the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// bodyReadTimeout bounds the time to read a request body.
	bodyReadTimeout = 5 * time.Second
	// If the configuration is older than staleConfigFraction of Settings.MaxConfigDelay,
	// an unknown route or key is answered with a retryable error, since a newer
	// configuration may have it.
	staleConfigFraction = 0.9
	// If the configuration is older than keyUseFraction of Settings.KeyValidity, keys
	// are rejected until the store confirms it again. The rest of the validity covers
	// the transfer to the server, and a read of the store that was delayed although newer
	// records existed.
	keyUseFraction = 0.75
	// If the configuration is older than readyFraction of Settings.KeyValidity, the
	// entry reports that it is not ready for new clients.
	readyFraction = 0.5
	// If the configuration is older than planningFraction of Settings.MaxConfigDelay,
	// the entry does not place requests for other entries, since an entry with a newer
	// configuration places them better.
	planningFraction = 1.0
	// notReadyRetryAfter is the Retry-After time of an entry that is not ready.
	notReadyRetryAfter = 400 * time.Millisecond
)

// Config provides the current configuration.
type Config interface {
	Table() *routes.Table
	// Age is the time since the store last confirmed the table.
	Age() time.Duration
}

// Servers provides the registered servers.
type Servers interface {
	// Usable returns the servers of a service that accept new requests.
	Usable(service string) []platform.Server
	// Takes reports whether a server accepts new requests, and its zone is not evacuated.
	Takes(id string) bool
	// Evacuated reports whether a zone is evacuated.
	Evacuated(zone string) bool
	// EvacuatedZones returns the number of evacuated zones.
	EvacuatedZones() int
	// Zone returns the availability zone of a server, or "" if it is not known.
	Zone(id string) string
	// ColdUntil returns the time until which a server is presumed to be cold, if its
	// service's servers are cold for coldStart after their start.
	ColdUntil(id string, coldStart time.Duration) time.Duration
	// Loaded reports whether the list of servers has been read.
	Loaded() bool
	// StartTime returns the start time of a server, or 0 if it is not known.
	StartTime(id string) int64
	// SoftwareVersion returns the version of a server's software, or "" if it is not known.
	SoftwareVersion(id string) string
	// MarkLeaving records that a server has said to be leaving, and reports whether that
	// is new.
	MarkLeaving(id string, startTime int64) bool
}

// NewBodyBudget returns the budget for the responses that an entry with the given memory limit
// holds as a whole at the same time.
func NewBodyBudget(memoryLimit int64) *bounded.Budget {
	return bounded.NewBudget(readbuffer.SharesOf(memoryLimit).Responses)
}

// Options configures a Gateway.
type Options struct {
	Config   Config
	Servers  Servers
	Planner  *planner.Planner
	Links    *peer.Links
	Upstream *upstream.Client
	// Bodies bounds the responses that are read before they are relayed.
	Bodies *bounded.Budget
	// PatternsTried reports whether the prompts that crash servers have been read, or could
	// not be.
	PatternsTried func() bool
	Settings      *platform.Settings
	Log           logr.Logger
	Scope         tally.Scope
	// Owner identifies this process start of the entry; it changes with each restart.
	Owner string
	// RegistryReadInterval is the longest time between two reads of the list of
	// registered entries.
	RegistryReadInterval time.Duration
	// ExpectedFirstEvent, if set, replaces the expected times to first events in placements.
	// Tests set it.
	ExpectedFirstEvent func(planner.Placement) time.Duration
}

// Gateway is the HTTP handler for client requests.
type Gateway struct {
	Options
	// inFlight is the number of unanswered requests; closedInFlight is added by TryClose.
	inFlight atomic.Int64
	// unanswered are the accepted requests without an answer.
	unanswered unansweredRequests
	// stoppingSince is the clock.Now time at which Stop was called, and endsAt that at which
	// the process ends at the latest; 0 before.
	stoppingSince, endsAt atomic.Int64

	metrics        *metrics
	secondAttempts secondAttempts
	cacheReader    cacheReader
	// streams are the clients of streams, responses those of responses held as a whole, and
	// requests the servers that read large requests.
	streams, responses, requests *readBuffers
	// uploads reads the bodies of all requests.
	uploads *inbound.Uploads
	// accepting ends when a stopping process accepts no more requests and sends no more of
	// those that wait. ending ends shortly before the process does; what is still without an
	// answer is answered then.
	accepting, ending  context.Context
	stopAccepting, end context.CancelFunc
	// stopping ends when a stop begins.
	stopping  context.Context
	beginStop context.CancelFunc
	// requestTimes are the times from accepting requests to their complete responses, and
	// serverTimes those from sending them to a server.
	requestTimes, serverTimes *workTimes
	// delivering ends after ending; until then complete answers are delivered to their clients.
	delivering     context.Context
	stopDelivering context.CancelFunc
	// configChanges wakes the requests that wait for a placement.
	configChanges configChanges

	// poolsMu serializes UpdatePools.
	poolsMu sync.Mutex
	// initialized is set once the planner has the servers of a loaded configuration.
	initialized atomic.Bool

	mu             sync.Mutex
	plainServers   *placement.Table
	retryBudgets   map[string]*budget.Budget
	allowanceShare budget.AllowanceShare
	// pauses and notices are what servers said about themselves. entryShare divides their
	// limits for the calls that are not placed by one entry for all.
	pauses     *notice.Pauses
	notices    *notice.Table
	entryShare notice.EntryShare
	// loads is what the servers of plain services reported about their queues.
	loads *loadreport.Table
}

// New returns a gateway.
func New(o Options) *Gateway {
	shares := readbuffer.SharesOf(o.Settings.MemoryLimitBytes)
	g := &Gateway{
		streams:   newReadBuffers("stream", shares.Streams, o.Scope),
		responses: newReadBuffers("response", unlimited, o.Scope),
		requests:  newReadBuffers("request", unlimited, o.Scope),
		Options:   o, metrics: newMetrics(o.Scope), plainServers: placement.New(o.Settings.Regions), retryBudgets: map[string]*budget.Budget{},
		pauses:         notice.NewPauses(),
		loads:          loadreport.NewTable(),
		secondAttempts: secondAttempts{trackers: map[string]*secondattempt.Tracker{}},
		allowanceShare: budget.AllowanceShare{Window: o.Settings.RetryBudget.Window, Interval: max(o.RegistryReadInterval, o.Settings.RetryBudget.Window)},
	}
	g.accepting, g.stopAccepting = context.WithCancel(context.Background())
	g.ending, g.end = context.WithCancel(context.Background())
	g.stopping, g.beginStop = context.WithCancel(context.Background())
	g.requestTimes, g.serverTimes = newWorkTimes(), newWorkTimes()
	g.delivering, g.stopDelivering = context.WithCancel(context.Background())
	g.uploads = inbound.NewUploads(shares.Requests, g.requests.endSlowest, o.Scope)
	if g.Bodies != nil {
		g.Bodies.SetReclaim(g.responses.endSlowest)
	}
	g.notices = notice.NewTable(func(s notice.Server, limit float64) float64 { return g.entryShare.Of(s, limit) })
	g.notices.SetColdShare(func(_ time.Duration, s notice.Server, holders int) float64 { return g.entryShare.OfCold(s, holders) })
	g.plainServers.SetNotices(g.notices)
	g.plainServers.SetLoads(g.loads)
	return g
}

// RecordRestart records that an earlier process start of this entry was registered.
func (g *Gateway) RecordRestart() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.allowanceShare.RecordRestart(clock.Now())
}

// UpdateEntries sets the number of registered entries, including this one, and the number
// of those before it.
func (g *Gateway) UpdateEntries(count, before int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.allowanceShare.UpdateEntryCount(clock.Now(), count)
	g.entryShare = notice.EntryShare{Entries: count, Rank: before}
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	defer g.inFlight.Add(-1)
	if g.inFlight.Add(1) < 0 {
		g.refuseClosed(w, hr)
		return
	}
	if g.Stopping() {
		w.Header().Set("Connection", "close")
	}
	req, refusal := g.accept(w, hr)
	defer req.end()
	if refusal == nil {
		refusal = g.refuseAtEnd(req)
	}
	if refusal != nil {
		limitUnreadBody(w)
		g.refuse(w, req, refusal)
		return
	}
	g.unanswered.add(req)
	defer g.unanswered.remove(req)
	ctx, cancel := g.requestContext(hr.Context(), req)
	defer cancel()
	req.endWork = g.requestTimes.begin(req.work(0))
	defer func() { req.endWork(ctx.Err() != nil && hr.Context().Err() == nil) }()
	g.countRequest(req.service)
	if req.route.Kind == routes.Stream {
		g.serveStream(hr.Context(), ctx, w, req)
		return
	}
	g.servePlain(hr.Context(), ctx, w, req)
}

// keysValid reports whether the configuration is recent enough to accept its keys.
func (g *Gateway) keysValid() bool {
	return g.configFresh(keyUseFraction, g.Settings.KeyValidity)
}

// configFresh reports whether the store confirmed the configuration within the given
// fraction of limit. A limit of 0 means no limit.
func (g *Gateway) configFresh(fraction float64, limit time.Duration) bool {
	return limit == 0 || g.Config.Age() < time.Duration(fraction*float64(limit))
}

// Ready reports whether new clients should be sent to the entry.
func (g *Gateway) Ready() bool {
	return g.hasServers() && !g.Stopping() && g.configFresh(readyFraction, g.Settings.KeyValidity)
}

// CanPlan reports whether the entry can place requests for other entries.
func (g *Gateway) CanPlan() bool {
	return g.hasServers() && !g.Stopping() && g.configFresh(planningFraction, g.Settings.MaxConfigDelay)
}

// hasServers reports whether the planner has the servers of a loaded configuration.
func (g *Gateway) hasServers() bool { return g.initialized.Load() }

// countRequest counts a new request in the retry budget of its service.
func (g *Gateway) countRequest(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryBudget(service).CountRequest(clock.Now())
}

// tryRetry deducts one retry from the budget of a service. It returns false if the budget
// is exhausted.
func (g *Gateway) tryRetry(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	ok := g.retryBudget(service).TryRetry(now, g.allowanceShare.Fraction(now))
	if ok {
		g.metrics.retries.Inc(1)
	}
	return ok
}

func (g *Gateway) retryBudget(service string) *budget.Budget {
	b := g.retryBudgets[service]
	if b == nil {
		b = budget.New(budget.Options(g.Settings.RetryBudget))
		g.retryBudgets[service] = b
	}
	return b
}
