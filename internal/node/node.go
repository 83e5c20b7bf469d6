// Package node runs the entry process: the HTTP server for clients, the readiness check,
// and the sessions with other entries.
package node

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"github.com/magnoliawheel/magnoliawheel/core/loadreport"
	"github.com/magnoliawheel/magnoliawheel/core/notice"
	"github.com/magnoliawheel/magnoliawheel/core/quarantine"
	"github.com/magnoliawheel/magnoliawheel/core/routes"
	"github.com/magnoliawheel/magnoliawheel/core/staging"
	"github.com/magnoliawheel/magnoliawheel/internal/gateway"
	"github.com/magnoliawheel/magnoliawheel/internal/inbound"
	"github.com/magnoliawheel/magnoliawheel/internal/peer"
	"github.com/magnoliawheel/magnoliawheel/internal/planner"
	"github.com/magnoliawheel/magnoliawheel/internal/upstream"
	"github.com/magnoliawheel/magnoliawheel/internal/watch"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

const (
	// defaultHeaderTimeout and defaultIdleTimeout apply if the configuration sets no
	// limits.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// maxHeaderBytes bounds the size of a request header.
	maxHeaderBytes = 64 << 10
	// LoadBalancerLag is the longest time for which the platform's load balancer sends
	// new requests after the entry reports that it is not ready: two readiness checks
	// and their responses.
	LoadBalancerLag   = 3200 * time.Millisecond
	drainPollInterval = 50 * time.Millisecond
)

// Options configures a Node.
type Options struct {
	Settings *platform.Settings
	Log      logr.Logger
	// Scope receives the metrics of the entry.
	Scope tally.Scope
	// Metrics is the handler of the metrics endpoint on MetricsPort; port 0 disables the
	// endpoint.
	Metrics     http.Handler
	MetricsPort int
	// LoadBalancerLag is how long new requests may arrive after the entry began to stop.
	LoadBalancerLag time.Duration
}

// Node is an entry: a process that receives the requests of clients and forwards them to
// servers.
type Node struct {
	opts       Options
	store      *platform.Store
	config     *watch.Config
	servers    *watch.Servers
	planner    *planner.Planner
	localEntry *peer.LocalEntry
	links      *peer.Links
	gateway    *gateway.Gateway
	registry   *registry
	// resultCleanup frees the results that servers still hold for earlier process starts
	// of this entry.
	resultCleanup *resultCleanup
	// quarantine follows the patterns of requests that crash servers, and quarantineWriter
	// writes those that this entry finds.
	quarantine       *watch.Quarantine
	quarantineWriter *quarantineWriter
	versions         *versionRecorder
	streams          *streamRecorder
	restoreGuard     *restoreGuard
	bounds           *connBounds
	// wrapClients wraps the listener for clients. Tests replace it.
	wrapClients func(net.Listener) net.Listener
}

// New returns an entry that is not yet running.
func New(o Options) *Node {
	n := &Node{opts: o, store: platform.NewStore(o.Settings.StoreAddress), wrapClients: func(l net.Listener) net.Listener { return l }}
	n.bounds = newConnBounds(o.Settings, o.Log.WithName("connections"), o.Scope)
	upstreamClient := upstream.New()
	n.servers = watch.NewServers(n.store, o.Settings.MaxDrainDelay, o.Log.WithName("servers"), n.serversChanged)
	n.config = watch.NewConfig(n.store, o.Settings.MaxConfigDelay, o.Log.WithName("config"), func(*routes.Table) { n.updatePools() })
	n.config.OnEvacuation(n.servers.SetEvacuated)
	bodies := gateway.NewBodyBudget(o.Settings.MemoryLimitBytes)
	stages := &gateway.StageClient{Client: upstreamClient, Bodies: bodies, AcceptsRequests: n.servers.Takes, Evacuated: func(id string) bool { return n.servers.Evacuated(n.servers.Zone(id)) }, OnNotice: func(sentAt time.Duration, word notice.Notice, mayEndLimit bool) {
		n.gateway.ObserveNotice(sentAt, word, mayEndLimit)
	}, OnLoad: func(server staging.Server, load loadreport.Report) { n.planner.LearnLoad(server, load) }, Scope: o.Scope}
	n.planner = planner.New(stages, o.Settings.Regions, o.Log.WithName("planner"))
	n.planner.SetScope(o.Scope)
	n.quarantine = watch.NewQuarantine(n.store, o.Log.WithName("quarantine"), n.planner, n.updatePools)
	n.quarantineWriter = newQuarantineWriter(n.store, o.Log.WithName("quarantine"))
	n.planner.OnQuarantine(func(changes []quarantine.Change) {
		n.quarantineWriter.add(changes)
		n.links.TellPatterns(changes)
	}, func(attempts ...quarantine.Attempt) { n.links.ReportAttempts(attempts...) })
	n.versions = newVersionRecorder(n.store, n.planner, o.Log.WithName("versions"))
	n.versions.isFirstStart, n.versions.onUsable = o.Settings.FirstStart, n.updatePools
	n.versions.places = func() bool { return n.links.PlanningPeer() == nil }
	n.planner.OnVersionsDue(n.versions.notify)
	n.streams = &streamRecorder{store: n.store, planner: n.planner, log: o.Log.WithName("streams"), places: n.versions.places, versionsKnown: n.versions.known.Load}
	n.versions.serversLoaded, n.versions.serversOverdue = n.servers.Loaded, n.servers.IsOverdue
	n.servers.OnMissed(n.versions.serversMissed)
	n.servers.OnVersions(n.planner.VersionsSeen)
	n.planner.SetView(n.servers)
	startID := time.Now().UnixNano()
	owner := ownerName(o.Settings.Node, startID)
	n.localEntry = &peer.LocalEntry{
		Ready: n.canPlan, Stopping: func() bool { return n.gateway.Stopping() }, Owner: owner,
		Topics:        []peer.Topic{n.config.Topic(), n.servers.Topic()},
		ConfigVersion: n.configVersion, OnConfigVersion: n.learnConfigVersion,
		Notices:   func() []notice.Notice { return n.gateway.Notices() },
		OnNotices: func(from *peer.Peer, notices []notice.Notice) { n.gateway.LearnNotices(from, notices) },
	}
	n.resultCleanup = &resultCleanup{
		store: n.store, planner: n.planner, stages: stages, log: o.Log.WithName("leftovers"), entryName: o.Settings.Node, owner: owner,
	}
	n.links = peer.NewLinks(n.localEntry, n.planner, o.Log.WithName("peer"))
	n.gateway = gateway.New(gateway.Options{
		Config: n.config, Servers: n.servers, Planner: n.planner, Links: n.links, Upstream: upstreamClient, Bodies: bodies, PatternsTried: n.quarantine.Tried,
		Settings: o.Settings, Log: o.Log.WithName("gateway"), Scope: o.Scope, Owner: owner,
		RegistryReadInterval: maxRegistryReadGap,
	})
	n.planner.OnTakeover(func() { go n.gateway.ReadCaches(context.Background()) })
	n.planner.SetColdShare(n.links.ColdShare)
	n.restoreGuard = &restoreGuard{
		store: n.store, config: n.config, log: o.Log.WithName("config"), rewriteTime: operatorRewriteTime,
		isFirst: func() bool { return n.links.PlanningPeer() == nil },
	}
	n.registry = &registry{
		store: n.store, links: n.links, localEntry: n.localEntry, log: o.Log.WithName("registry"),
		name: o.Settings.Node, address: n.peerAddress(), startID: startID, isSmall: o.Settings.Cores > 0 && o.Settings.Cores < smallEntryCores,
		rejected:     watch.NewRejections(o.Log.WithName("registry"), "Entry record rejected."),
		readInterval: registryReadInterval, onRestart: n.gateway.RecordRestart, onEntries: n.updateEntries,
	}
	return n
}

// canPlan reports whether the entry may place requests. While it cannot reach the store,
// it continues to do so only if it already has requests and its configuration is recent
// enough. Otherwise it would take over from an entry whose configuration is only slightly
// older.
func (n *Node) canPlan() bool {
	return n.gateway.CanPlan() && (n.config.StoreReachable() || n.planner.JobCount() > 0)
}

// configVersion returns the newest known version of the configuration, or 0, and whether
// the entry goes by it.
func (n *Node) configVersion() (version uint64, checked bool) {
	table := n.config.Table()
	if table == nil {
		return 0, false
	}
	return table.Version, !n.config.Unchecked()
}

// learnConfigVersion handles the version of the configuration that another entry knows.
func (n *Node) learnConfigVersion(version uint64, checked bool) {
	n.config.RequireVersion(version)
	if checked {
		n.config.Attest()
	}
}

// serversChanged handles new records of servers.
func (n *Node) serversChanged() {
	n.updatePools()
	if !n.versions.known.Load() {
		n.versions.notify()
	}
}

func (n *Node) updatePools() { n.gateway.UpdatePools() }

// updateEntries handles the number of registered entries and of those before this one.
func (n *Node) updateEntries(count, before int) {
	n.gateway.UpdateEntries(count, before)
	n.links.SetEntryCount(count)
}

func (n *Node) peerAddress() string {
	return net.JoinHostPort(n.opts.Settings.IP, strconv.Itoa(n.opts.Settings.FirstPort))
}

// Run serves requests until stop is closed and the last request is answered, or the
// shutdown grace period is over.
func (n *Node) Run(stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	lis, err := n.listen(stop)
	if errors.Is(err, errStopped) {
		n.opts.Log.Info("Entry was stopped before it listened.", "cause", err.Error())
		return nil
	}
	if err != nil {
		return err
	}
	go n.config.Run(ctx)
	go n.servers.Run(ctx)
	go n.quarantine.Run(ctx, func() bool { return n.links.PlanningPeer() == nil })
	go n.quarantineWriter.run(ctx)
	go n.versions.run(ctx)
	go n.streams.run(ctx)
	go n.planner.Run(ctx)
	go n.links.Run(ctx, n.planner.HandOverToPredecessor)
	go n.registry.run(ctx)
	go func() {
		n.links.WaitSettled(ctx)
		n.restoreGuard.run(ctx)
	}()
	go n.resultCleanup.run(ctx)
	for _, guard := range []*inbound.Guard{n.bounds.clients, n.bounds.readiness, n.bounds.metrics, n.bounds.peers} {
		go guard.Run(ctx)
	}
	go func() { _ = n.links.Serve(ctx, n.bounds.peers.Wrap(lis.peers)) }()
	go func() { _ = n.newProbeServer(n.readinessHandler()).Serve(n.bounds.readiness.Wrap(lis.readiness)) }()
	n.serveMetrics(stop)
	srv := n.newClientServer()
	clients := &clientListener{Listener: n.bounds.clients.Wrap(n.wrapClients(lis.clients)), limits: n.clientLimits}
	go func() { _ = srv.Serve(clients) }()
	n.opts.Log.Info("Entry started.", "node", n.opts.Settings.Node, "zone", n.opts.Settings.Zone, "clients", n.opts.Settings.ClientAddress)
	<-stop
	n.drain(clients)
	return nil
}

// newClientServer returns the HTTP server for clients.
func (n *Node) newClientServer() *http.Server {
	srv := &http.Server{
		Handler: n.gateway, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	inbound.Attach(srv, n.opts.Log.WithName("clients"))
	srv.ConnState = trackConnState
	return srv
}

// newProbeServer returns the HTTP server for readiness checks or for metrics.
func (n *Node) newProbeServer(h http.Handler) *http.Server {
	return inbound.NewSmallServer(h, n.opts.Log.WithName("probes"))
}

// clientLimits returns the limits in force; none before a configuration is known.
func (n *Node) clientLimits() routes.Limits {
	table := n.config.Table()
	if table == nil {
		return routes.Limits{}
	}
	return table.Limits
}

func (n *Node) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !n.gateway.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (n *Node) serveMetrics(stop <-chan struct{}) {
	if n.opts.MetricsPort == 0 {
		return
	}
	lis, err := listen(net.JoinHostPort(n.opts.Settings.IP, strconv.Itoa(n.opts.MetricsPort)), n.bounds.metrics, stop)
	if err != nil {
		n.opts.Log.Error(err, "Metrics endpoint not started.")
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", n.opts.Metrics)
	go func() { _ = n.newProbeServer(mux).Serve(n.bounds.metrics.Wrap(lis)) }()
}

// drain waits for the requests in flight, and for those that still arrive until the load
// balancer has noticed that the entry is stopping. It returns once their answers have been
// written, so that the process can end.
func (n *Node) drain(clients *clientListener) {
	limits := stopLimitsOf(n.opts.Settings.ShutdownGrace)
	n.gateway.Stop(limits.answer, limits.deliver)
	n.planner.Stop()
	go n.registry.markStopped()
	startTime := time.Now()
	n.opts.Log.Info("Entry is stopping.", "requests", n.gateway.InFlight())
	for time.Since(startTime) < limits.answer {
		if time.Since(startTime) >= n.opts.LoadBalancerLag && n.planner.JobCount() == 0 && n.gateway.TryClose() {
			break
		}
		time.Sleep(drainPollInterval)
	}
	clients.awaitAnswers(limits.write - time.Since(startTime))
	n.gateway.LogUnanswered()
	n.opts.Log.Info("Entry stopped.", "requests", n.gateway.InFlight(), "active_connections", clients.unwritten(), "after", time.Since(startTime))
}
