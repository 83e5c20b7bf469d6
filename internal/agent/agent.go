// Package agent implements the agent process, which is the only client of the
// backend server next to it. It queues and limits calls, executes each attempt
// at most once, and keeps results until they are acknowledged.
package agent

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
	"storj.io/drpc/drpcmux"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
	"github.com/magnoliawheel/magnoliawheel/core/connlimit"
	"github.com/magnoliawheel/magnoliawheel/core/routing"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/confsync"
	"github.com/magnoliawheel/magnoliawheel/internal/inbound"
	"github.com/magnoliawheel/magnoliawheel/internal/members"
	"github.com/magnoliawheel/magnoliawheel/internal/platform"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
	"github.com/magnoliawheel/magnoliawheel/internal/settings"
)

// Options configures a Process.
type Options struct {
	Settings *settings.Agent
	Log      logr.Logger
	Scope    tally.Scope
	// Metrics is the handler for /metrics on the admin listener; may be nil.
	Metrics http.Handler
}

// Timeouts of the shutdown.
const (
	// inFlightTimeout limits the wait for RPCs in flight after the agent has
	// drained.
	inFlightTimeout = 2 * time.Second
	// closeDelay gives peers time to read the last responses. Closing a connection
	// discards the data that its peer has not read yet.
	closeDelay = 100 * time.Millisecond
)

// Process is an agent process.
type Process struct {
	opts        Options
	settings    *settings.Agent
	log         logr.Logger
	incarnation uint64
	// address is the address on which entries and other agents reach the process.
	address   string
	tlsConfig *tls.Config
	config    confsync.Source
	// peerServer serves the exchange of configuration between peers; nil if there
	// is none.
	peerServer wire.DRPCPeerServer
	// backgroundLoops run until the process has drained.
	backgroundLoops []func(context.Context) error
	platformLog     platform.Log
	worker          *worker
	orderHandler    *orderHandler
	connPool        *rpc.Pool
	// poolServers returns the servers of a pool; nil if the membership is not
	// available.
	poolServers func(pool string) []routing.Server
	// listedAsLeaving is set while the instance list marks this instance as
	// leaving.
	listedAsLeaving atomic.Bool
	pauseGuard      *pauseGuard
	// peerGuard bounds the connections of entries and other agents, adminGuard those of
	// operators, readiness checks and metrics.
	peerGuard, adminGuard *inbound.Guard
	metrics               metrics
}

// New creates a process that is not running yet. Run starts it.
func New(o Options) (*Process, error) {
	p, err := newProcess(o, platform.NewHTTPLog(o.Settings.Platform.LogURL))
	if err != nil {
		return nil, err
	}
	instances := members.New(members.Options{
		List: platform.NewHTTPList(o.Settings.Platform.InstanceListURL), Logger: p.log, SelfID: o.Settings.Instance.ID,
		PollInterval: members.AgentPollInterval,
	})
	configSync := confsync.New(confsync.Options{
		Log: p.platformLog, Peers: instances.Peers, Pool: p.connPool, InstanceID: o.Settings.Instance.ID, Incarnation: p.incarnation,
		Address: o.Settings.Listen.Peers, Logger: p.log,
	})
	p.config, p.peerServer, p.poolServers = configSync, configSync, instances.Servers
	p.pauseGuard = newPauseGuard(p.log, func(ctx context.Context) {
		if err := instances.Refresh(ctx); err == nil {
			p.applyInstanceList(instances.Instances())
		}
	})
	p.backgroundLoops = []func(context.Context) error{instances.Run, configSync.Run, p.pauseGuard.run, func(ctx context.Context) error {
		p.watchInstanceList(ctx, instances.Instances)
		return nil
	}}
	return p, nil
}

// newProcess creates a process without configuration, membership and background
// loops.
func newProcess(o Options, platformLog platform.Log) (*Process, error) {
	secret, err := o.Settings.Security.PeerSecret()
	if err != nil {
		return nil, err
	}
	tlsConfig, err := rpc.TLSConfig(secret)
	if err != nil {
		return nil, err
	}
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	p := &Process{
		opts: o, settings: o.Settings, log: o.Log.WithValues("instance", o.Settings.Instance.ID), tlsConfig: tlsConfig,
		incarnation: incarnation, config: emptyConfig{}, platformLog: platformLog, connPool: rpc.NewPool(tlsConfig), metrics: newMetrics(o.Scope),
	}
	shares := connlimit.SharesOf(inbound.MaxDescriptors(0))
	connLog := p.log.WithName("connections")
	p.peerGuard = inbound.NewPeerGuard(shares.Clients, connLog, o.Scope)
	p.adminGuard = inbound.NewAdminGuard(shares.Metrics, connLog, o.Scope)
	p.worker = newWorker(p)
	p.orderHandler = newOrderHandler(p)
	return p, nil
}

// incarnationRandomBits is the number of random bits in an incarnation. The
// bits above them hold the time in milliseconds, so that the incarnations of an
// instance increase.
const incarnationRandomBits = 22

// newIncarnation returns a number that identifies this run of the process.
func newIncarnation() (uint64, error) {
	var b [4]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, errors.Wrap(err, "choose incarnation")
	}
	random := uint64(binary.BigEndian.Uint32(b[:])) >> (32 - incarnationRandomBits)
	return uint64(time.Now().UnixMilli())<<incarnationRandomBits | random, nil
}

// Run serves until ctx ends, then drains and returns nil. It returns an error
// if a listener cannot be opened.
func (p *Process) Run(ctx context.Context) error {
	peers, err := p.peerGuard.Open(p.settings.Listen.Peers)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	admin, err := p.adminGuard.Open(p.settings.Listen.Admin)
	if err != nil {
		_ = peers.Close()
		return errors.Wrap(err, "listen for administration")
	}
	return p.serve(ctx, peers, admin)
}

// mux returns the RPC services for other processes.
func (p *Process) mux() (*drpcmux.Mux, error) {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterAgent(mux, &rpcServer{process: p}); err != nil {
		return nil, errors.Wrap(err, "register agent service")
	}
	if p.peerServer == nil {
		return mux, nil
	}
	return mux, errors.Wrap(wire.DRPCRegisterPeer(mux, p.peerServer), "register peer service")
}

// serve runs the process on the given listeners until ctx ends, then drains it
// and waits for its goroutines.
func (p *Process) serve(ctx context.Context, peers, admin net.Listener) error {
	mux, err := p.mux()
	if err != nil {
		return err
	}
	p.address = peers.Addr().String()
	serveCtx, cancelServe := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	wg.Go(func() { p.worker.expireLoop(serveCtx) })
	wg.Go(func() { p.worker.claimer.run(serveCtx, p.worker.isHomeOf, p.worker.keyValidity) })
	inFlight := rpc.NewCallTracker(mux)
	for _, guard := range []*inbound.Guard{p.peerGuard, p.adminGuard} {
		wg.Go(func() { guard.Run(serveCtx) })
	}
	wg.Go(func() {
		if err := rpc.Serve(serveCtx, p.peerGuard.Wrap(peers), p.tlsConfig, inFlight); err != nil {
			p.log.Error(err, "Serving peers failed.")
		}
	})
	for _, loop := range p.backgroundLoops {
		wg.Go(func() { _ = loop(serveCtx) })
	}
	adminServer := inbound.NewAdminServer(p.adminMux(), p.log)
	wg.Go(func() { _ = adminServer.Serve(p.adminGuard.Wrap(admin)) })
	p.log.Info("Agent started.", "incarnation", p.incarnation, "peers", peers.Addr().String(), "pool", p.settings.Server.Pool)
	<-ctx.Done()
	p.drain()
	closeCtx, cancelClose := context.WithTimeout(serveCtx, inFlightTimeout)
	inFlight.Wait(closeCtx)
	clock.Sleep(closeCtx, closeDelay)
	cancelClose()
	cancelServe()
	_ = adminServer.Close()
	p.worker.stop()
	wg.Wait()
	if err := p.connPool.Close(); err != nil {
		// Peers may have closed their connections first. No call needs a connection any
		// more.
		p.log.V(1).Info("Closing connections failed.", "error", err.Error())
	}
	return nil
}

// drain refuses new calls, waits until the accepted ones have ended, and keeps
// their results until they are acknowledged or the grace period ends.
func (p *Process) drain() {
	p.worker.setLeaving(leavingSignal, true)
	p.log.Info("Draining started.")
	p.worker.waitIdle()
	graceTimer := time.NewTimer(p.settings.Limits.DrainGracePeriod.AsDuration())
	defer graceTimer.Stop()
	unacknowledged := p.worker.waitAcknowledged(graceTimer.C)
	p.log.Info("Draining ended.", "results_not_taken", unacknowledged)
}

// WriteCut lists the attempts that would be lost if the process exited now.
func (p *Process) WriteCut(w io.Writer) { p.worker.writeCut(w) }

// emptyConfig is a configuration source without a schema.
type emptyConfig struct{}

func (emptyConfig) Current() *configlog.Snapshot        { return &configlog.Snapshot{} }
func (emptyConfig) ObserveOffset(string, uint64)        {}
func (emptyConfig) WaitReady(ctx context.Context) error { return nil }
