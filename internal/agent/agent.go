// Package agent is the agent process: the only way to the backend server beside
// it. It queues and limits calls, runs each attempt at most once, and keeps
// results until they are acknowledged.
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
	"github.com/magnoliawheel/magnoliawheel/core/routing"
	"github.com/magnoliawheel/magnoliawheel/internal/confsync"
	"github.com/magnoliawheel/magnoliawheel/internal/members"
	"github.com/magnoliawheel/magnoliawheel/internal/platform"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
	"github.com/magnoliawheel/magnoliawheel/internal/settings"
)

// Options sets up a Process.
type Options struct {
	Settings *settings.Agent
	Log      logr.Logger
	Scope    tally.Scope
	// Metrics is served under /metrics on the admin listener.
	Metrics http.Handler
}

// Bounds of the end of a process.
const (
	// lastAnswersTimeout bounds the wait for calls in flight after the drain.
	lastAnswersTimeout = 2 * time.Second
	// linger is the time for peers to read the last answers before connections are
	// closed, since closing one discards what its peer has not read.
	linger = 100 * time.Millisecond
)

// Process is one agent.
type Process struct {
	opts        Options
	settings    *settings.Agent
	log         logr.Logger
	incarnation uint64
	// address is where entries and other agents reach the process.
	address string
	conf    *tls.Config
	config  confsync.Source
	// peer answers the exchange of configuration; nil without one.
	peer wire.DRPCPeerServer
	// loops run until the process has drained.
	loops  []func(context.Context) error
	plog   platform.Log
	work   *work
	orders *orders
	pool   *rpc.Pool
	// servers lists the servers of a pool; nil if the membership is not known.
	servers func(pool string) []routing.Server
	// listed is set while the instance list says that this instance leaves.
	listed  atomic.Bool
	pause   *pauseGuard
	metrics metrics
}

// New returns a process that has not started.
func New(o Options) (*Process, error) {
	p, err := newProcess(o, platform.NewHTTPLog(o.Settings.Platform.LogURL))
	if err != nil {
		return nil, err
	}
	instances := members.New(members.Options{
		List: platform.NewHTTPList(o.Settings.Platform.InstanceListURL), Logger: p.log, SelfID: o.Settings.Instance.ID,
		PollInterval: members.AgentPollInterval,
	})
	sync := confsync.New(confsync.Options{
		Log: p.plog, Peers: instances.Peers, Pool: p.pool, InstanceID: o.Settings.Instance.ID, Incarnation: p.incarnation,
		Address: o.Settings.Listen.Peers, Logger: p.log,
	})
	p.config, p.peer, p.servers = sync, sync, instances.Servers
	p.pause = newPauseGuard(p.log, func(ctx context.Context) {
		if err := instances.Refresh(ctx); err == nil {
			p.applyList(instances.Instances())
		}
	})
	p.loops = []func(context.Context) error{instances.Run, sync.Run, p.pause.run, func(ctx context.Context) error {
		p.watchList(ctx, instances.Instances)
		return nil
	}}
	return p, nil
}

// newProcess returns a process without a configuration.
func newProcess(o Options, plog platform.Log) (*Process, error) {
	secret, err := o.Settings.Security.PeerSecret()
	if err != nil {
		return nil, err
	}
	conf, err := rpc.TLSConfig(secret)
	if err != nil {
		return nil, err
	}
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	p := &Process{
		opts: o, settings: o.Settings, log: o.Log.WithValues("instance", o.Settings.Instance.ID), conf: conf,
		incarnation: incarnation, config: noConfig{}, plog: plog, pool: rpc.NewPool(conf), metrics: newMetrics(o.Scope),
	}
	p.work = newWork(p)
	p.orders = newOrders(p)
	return p, nil
}

// randomBits is the number of random bits of an incarnation; the bits above are
// the time in milliseconds, so that the incarnations of one instance grow.
const randomBits = 22

func newIncarnation() (uint64, error) {
	var b [4]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, errors.Wrap(err, "choose incarnation")
	}
	random := uint64(binary.BigEndian.Uint32(b[:])) >> (32 - randomBits)
	return uint64(time.Now().UnixMilli())<<randomBits | random, nil
}

// Run serves until ctx ends, then drains and returns nil.
func (p *Process) Run(ctx context.Context) error {
	peers, err := net.Listen("tcp", p.settings.Listen.Peers)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	admin, err := net.Listen("tcp", p.settings.Listen.Admin)
	if err != nil {
		_ = peers.Close()
		return errors.Wrap(err, "listen for administration")
	}
	return p.serve(ctx, peers, admin)
}

// mux returns the services for other processes.
func (p *Process) mux() (*drpcmux.Mux, error) {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterAgent(mux, &rpcServer{p: p}); err != nil {
		return nil, errors.Wrap(err, "register agent service")
	}
	if p.peer == nil {
		return mux, nil
	}
	return mux, errors.Wrap(wire.DRPCRegisterPeer(mux, p.peer), "register peer service")
}

func (p *Process) serve(ctx context.Context, peers, admin net.Listener) error {
	mux, err := p.mux()
	if err != nil {
		return err
	}
	p.address = peers.Addr().String()
	live, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	wg.Go(func() { p.work.expireLoop(live) })
	wg.Go(func() { p.work.claims.run(live, p.work.homeOf, p.work.validity) })
	calls := rpc.NewCallTracker(mux)
	wg.Go(func() {
		if err := rpc.Serve(live, peers, p.conf, calls); err != nil {
			p.log.Error(err, "Serving peers ended.")
		}
	})
	for _, loop := range p.loops {
		wg.Go(func() { _ = loop(live) })
	}
	srv := &http.Server{Handler: p.adminMux(), ReadHeaderTimeout: adminReadTimeout}
	wg.Go(func() { _ = srv.Serve(admin) })
	p.log.Info("Agent started.", "incarnation", p.incarnation, "peers", peers.Addr().String(), "pool", p.settings.Server.Pool)
	<-ctx.Done()
	p.drain()
	last, done := context.WithTimeout(live, lastAnswersTimeout)
	calls.Wait(last)
	wait(last, linger)
	done()
	stop()
	_ = srv.Close()
	p.work.stop()
	wg.Wait()
	if err := p.pool.Close(); err != nil {
		// Peers may have gone first; nothing of theirs is open here any more.
		p.log.V(1).Info("Closing connections failed.", "error", err.Error())
	}
	return nil
}

// drain refuses new work, waits for the work in hand, and keeps results until
// they are acknowledged or the grace is over.
func (p *Process) drain() {
	p.work.setLeaving(leavingSignal, true)
	p.log.Info("Draining started.")
	p.work.waitIdle()
	grace := time.NewTimer(p.settings.Limits.DrainGracePeriod.AsDuration())
	defer grace.Stop()
	kept := p.work.waitAcknowledged(grace.C)
	p.log.Info("Draining ended.", "results_not_taken", kept)
}

// WriteCut writes what would be cut if the process exited now.
func (p *Process) WriteCut(w io.Writer) { p.work.writeCut(w) }

// noConfig is a configuration without a schema.
type noConfig struct{}

func (noConfig) Current() *configlog.Snapshot        { return &configlog.Snapshot{} }
func (noConfig) ObserveOffset(string, uint64)        {}
func (noConfig) WaitReady(ctx context.Context) error { return nil }
