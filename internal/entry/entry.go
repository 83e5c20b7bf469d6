// Package entry implements the entry process. It accepts callers' requests, runs
// each one through the stages of its pipeline, and keeps the answers for a limited
// time.
package entry

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"github.com/magnoliawheel/magnoliawheel/internal/confsync"
	"github.com/magnoliawheel/magnoliawheel/internal/members"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
	"github.com/magnoliawheel/magnoliawheel/internal/settings"
	"github.com/magnoliawheel/magnoliawheel/internal/telemetry"
)

// Options configures a Process.
type Options struct {
	Settings *settings.Entry
	Log      logr.Logger
	Scope    tally.Scope
	// Metrics serves /metrics on the admin listener.
	Metrics http.Handler
	// Observers are notified of every request that ended or was refused.
	Observers []Observer
}

// logInterval is the minimum interval between two log lines with the same message.
const logInterval = time.Second

// Process is one entry process.
type Process struct {
	opts Options
	log  logr.Logger
	// rateLimitedLog is for messages that a fault may repeat with every request.
	rateLimitedLog *telemetry.RateLimitedLogger
	tlsConfig      *tls.Config
	pool           *rpc.Pool
	decider        *decider
	agents         *agentTracker
	table          *requestTable
	acks           *acker
	metrics        metrics
	burn           burnObserver
	bounds         *connBounds

	// source and view are set before any listener opens.
	source confsync.Source
	view   members.View
	// background holds the tasks that run until ctx ends.
	background   []func(ctx context.Context)
	peerServer   wire.DRPCPeerServer
	adminHandler http.Handler

	ready    atomic.Bool
	draining atomic.Bool
	// drainRequested is closed when an operator requests a drain.
	drainRequested chan struct{}
	drainOnce      sync.Once
	// ctx ends when the process has drained; it bounds the work done for requests.
	ctx  context.Context
	stop context.CancelFunc
}

// New returns a process that has not started.
func New(o Options) (*Process, error) {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	secret, err := o.Settings.Security.PeerSecret()
	if err != nil {
		return nil, err
	}
	tlsConfig, err := rpc.TLSConfig(secret)
	if err != nil {
		return nil, err
	}
	p := &Process{opts: o, log: o.Log, rateLimitedLog: telemetry.NewRateLimitedLogger(o.Log, logInterval), tlsConfig: tlsConfig, pool: rpc.NewPool(tlsConfig), drainRequested: make(chan struct{})}
	p.ctx, p.stop = context.WithCancel(context.Background())
	p.metrics = newMetrics(o.Scope)
	p.bounds = newConnBounds(&o, p.log.WithName("connections"))
	p.burn = newBurnObserver(o.Settings.Instance.ID, o.Settings.Instance.Region, o.Scope)
	p.opts.Observers = append(slices.Clone(o.Observers), p.burn)
	p.agents = newAgentTracker(p)
	p.table = newRequestTable(p, o.Settings.Limits)
	p.decider = newDecider(p)
	p.acks = newAcker(p)
	return p, nil
}

// Run serves until ctx ends or a drain is requested, then drains and returns nil. It
// returns an error if a listener fails.
func (p *Process) Run(ctx context.Context) error {
	defer p.stop()
	defer func() { _ = p.pool.Close() }()
	if err := p.initPlatform(); err != nil {
		return err
	}
	lis, err := p.listen()
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	serveErrors := make(chan error, listenerCount)
	p.serve(&wg, lis, serveErrors)
	for _, f := range append(p.background, p.acks.run, p.probeLoop, p.awaitReady) {
		wg.Go(func() { f(p.ctx) })
	}
	select {
	case <-ctx.Done():
	case <-p.drainRequested:
	case err = <-serveErrors:
	}
	if err == nil {
		p.drain()
		lis.drainCallers(p.ctx)
		lis.drainPeers(p.ctx)
	}
	p.stop()
	lis.close()
	wg.Wait()
	return err
}

// awaitReady marks the process ready once a schema is in force.
func (p *Process) awaitReady(ctx context.Context) {
	if err := p.source.WaitReady(ctx); err != nil {
		return
	}
	if !p.draining.Load() {
		p.ready.Store(true)
		p.log.Info("Ready.", "offset", p.source.Current().Offset)
	}
}

// Ready reports whether the process accepts requests.
func (p *Process) Ready() bool { return p.ready.Load() && !p.draining.Load() }

// Drain starts the shutdown, as does the end of the context passed to Run.
func (p *Process) Drain() { p.drainOnce.Do(func() { close(p.drainRequested) }) }

// drain reports not ready at once, keeps serving for the configured drain lag so
// that load balancers notice, then refuses new requests and waits for those in
// flight.
func (p *Process) drain() {
	p.draining.Store(true)
	p.log.Info("Draining.", "requests", p.table.activeCount())
	time.Sleep(p.opts.Settings.Limits.DrainDelay.AsDuration())
	p.table.refuseNew()
	p.table.waitIdle(p.ctx)
	p.acks.flush(p.ctx)
	p.log.Info("Drained.")
}

// WriteCut writes one line for each request that would be interrupted if the process
// exited now.
func (p *Process) WriteCut(w io.Writer) {
	for _, f := range p.InFlight() {
		_, _ = io.WriteString(w, "cut request "+f.ID+" of customer "+f.Customer+" in stage "+f.Stage+"\n")
	}
}
