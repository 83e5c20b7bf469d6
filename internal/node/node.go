// Package node runs the process that stands between clients and servers on the
// platform: the HTTP front door, its readiness, and the sessions with other entries.
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

	"github.com/magnoliawheel/magnoliawheel/core/routes"
	"github.com/magnoliawheel/magnoliawheel/internal/gateway"
	"github.com/magnoliawheel/magnoliawheel/internal/peer"
	"github.com/magnoliawheel/magnoliawheel/internal/planner"
	"github.com/magnoliawheel/magnoliawheel/internal/upstream"
	"github.com/magnoliawheel/magnoliawheel/internal/watch"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

const (
	// listenRetry is the time between two tries to listen; a process that was
	// killed may hold its address for a moment.
	listenRetry = 100 * time.Millisecond
	listenTries = 30
	// headerTimeout and idleTimeout apply where the configuration has no limits.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeaderBytes bounds the head of a request.
	maxHeaderBytes = 64 << 10
	// BalancerLag is how long the platform's balancer may send new clients after the
	// entry said that it is not ready: two of its questions, and their answers.
	BalancerLag = 3200 * time.Millisecond
	// stopReserve is left of the grace when the process ends at the latest.
	stopReserve = 700 * time.Millisecond
	stopPoll    = 50 * time.Millisecond
)

// Options set up a Node.
type Options struct {
	Settings *platform.Settings
	Log      logr.Logger
	Scope    tally.Scope
	// Metrics serves the metrics on MetricsPort; 0 serves none.
	Metrics     http.Handler
	MetricsPort int
	// BalancerLag is how long new clients may come after the entry began to stop.
	BalancerLag time.Duration
}

// Node is one entry.
type Node struct {
	opts     Options
	store    *platform.Store
	config   *watch.Config
	servers  *watch.Servers
	planner  *planner.Planner
	self     *peer.Self
	links    *peer.Links
	gateway  *gateway.Gateway
	registry *registry
	// leftovers gives up what an earlier start left at the servers.
	leftovers *leftovers
}

// New returns an entry that does not run yet.
func New(o Options) *Node {
	n := &Node{opts: o, store: platform.NewStore(o.Settings.StoreAddress)}
	client := upstream.New()
	n.servers = watch.NewServers(n.store, o.Settings.MaxDrainDelay, o.Log.WithName("servers"), n.poolsChanged)
	n.config = watch.NewConfig(n.store, o.Settings.MaxConfigDelay, o.Log.WithName("config"), func(*routes.Table) { n.poolsChanged() })
	stages := &gateway.StageClient{Client: client, AcceptsRequests: n.servers.Takes}
	n.planner = planner.New(stages, o.Settings.Regions, o.Log.WithName("planner"))
	start := time.Now().UnixNano()
	owner := ownerName(o.Settings.Node, start)
	n.self = &peer.Self{
		Ready: n.mayPlan, Stopping: func() bool { return n.gateway.Stopping() }, Owner: owner,
	}
	n.leftovers = &leftovers{
		store: n.store, planner: n.planner, stages: stages, log: o.Log.WithName("leftovers"), node: o.Settings.Node, owner: owner,
	}
	n.links = peer.NewLinks(n.self, n.planner, o.Log.WithName("peer"))
	n.gateway = gateway.New(gateway.Options{
		Config: n.config, Servers: n.servers, Planner: n.planner, Links: n.links, Upstream: client,
		Settings: o.Settings, Log: o.Log.WithName("gateway"), Scope: o.Scope, Owner: owner,
		RegistryReadInterval: lookInterval,
	})
	n.registry = &registry{
		store: n.store, links: n.links, self: n.self, log: o.Log.WithName("registry"),
		name: o.Settings.Node, address: n.peerAddress(), start: start, small: o.Settings.Cores > 0 && o.Settings.Cores < smallCores,
		pause: registryPause, restarted: n.gateway.RecordRestart, entries: n.gateway.UpdateEntryCount,
	}
	return n
}

// mayPlan tells whether the entry is to place requests. Without the store it goes on
// with those that it has while its state is new enough, but does not take them over
// from an entry whose state is a little older.
func (n *Node) mayPlan() bool {
	return n.gateway.CanPlan() && (n.config.Reached() || n.planner.JobCount() > 0)
}

func (n *Node) poolsChanged() { n.gateway.UpdatePools() }

func (n *Node) peerAddress() string {
	return net.JoinHostPort(n.opts.Settings.IP, strconv.Itoa(n.opts.Settings.FirstPort))
}

// Run serves until stop is closed and the last request is answered, or the grace
// is over.
func (n *Node) Run(stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	peers, err := listen(n.peerAddress())
	if err != nil {
		return err
	}
	clients, err := listen(n.opts.Settings.ClientAddress)
	if err != nil {
		return err
	}
	ready, err := listen(n.opts.Settings.ReadinessAddress)
	if err != nil {
		return err
	}
	go n.config.Run(ctx)
	go n.servers.Run(ctx)
	go n.planner.Run(ctx)
	go n.links.Run(ctx, n.planner.HandOver)
	go n.registry.run(ctx)
	go n.leftovers.run(ctx)
	go func() { _ = n.links.Serve(ctx, peers) }()
	go func() { _ = http.Serve(ready, n.readiness()) }()
	n.serveMetrics()
	srv := n.clientServer()
	go func() { _ = srv.Serve(&clientListener{Listener: clients, limits: n.clientLimits}) }()
	n.opts.Log.Info("Entry started.", "node", n.opts.Settings.Node, "zone", n.opts.Settings.Zone, "clients", n.opts.Settings.ClientAddress)
	<-stop
	n.drain(srv)
	return nil
}

func (n *Node) clientServer() *http.Server {
	return &http.Server{
		Handler: n.gateway, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: clientState,
	}
}

// clientLimits returns the limits in force; none before there is a configuration.
func (n *Node) clientLimits() routes.Limits {
	table := n.config.Table()
	if table == nil {
		return routes.Limits{}
	}
	return table.Limits
}

func (n *Node) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !n.gateway.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (n *Node) serveMetrics() {
	if n.opts.MetricsPort == 0 {
		return
	}
	lis, err := listen(net.JoinHostPort(n.opts.Settings.IP, strconv.Itoa(n.opts.MetricsPort)))
	if err != nil {
		n.opts.Log.Error(err, "Metrics not served.")
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", n.opts.Metrics)
	go func() { _ = http.Serve(lis, mux) }()
}

// drain answers what the entry has, and what still comes while the balancer learns
// that it stops.
func (n *Node) drain(srv *http.Server) {
	n.gateway.Stop()
	n.planner.Stop()
	go n.registry.leave()
	begin := time.Now()
	n.opts.Log.Info("Entry stops.", "requests", n.gateway.InFlight())
	latest := n.opts.Settings.ShutdownGrace - stopReserve
	for time.Since(begin) < latest {
		if time.Since(begin) >= n.opts.BalancerLag && n.gateway.InFlight() == 0 && n.planner.JobCount() == 0 {
			break
		}
		time.Sleep(stopPoll)
	}
	srv.SetKeepAlivesEnabled(false)
	n.opts.Log.Info("Entry stopped.", "requests", n.gateway.InFlight(), "after", time.Since(begin))
}

// listen listens on an address that may be held for a moment.
func listen(address string) (net.Listener, error) {
	var err error
	for range listenTries {
		var lis net.Listener
		if lis, err = net.Listen("tcp", address); err == nil {
			return lis, nil
		}
		time.Sleep(listenRetry)
	}
	return nil, errors.Wrapf(err, "listen on %s", address)
}
