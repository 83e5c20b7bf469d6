// Package entry is the entry process: it takes callers' requests, runs each
// through the stages of its pipeline and keeps the answers for a while.
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

// Options sets up a Process.
type Options struct {
	Settings *settings.Entry
	Log      logr.Logger
	Scope    tally.Scope
	// Metrics is served under /metrics on the admin listener.
	Metrics http.Handler
	// Observers are told of each request that ended.
	Observers []Observer
}

// logInterval is the least time between two lines of one message that faults repeat.
const logInterval = time.Second

// Process is one entry.
type Process struct {
	opts Options
	log  logr.Logger
	// limited is for lines that a fault repeats with each request.
	limited *telemetry.Limited
	tls     *tls.Config
	pool    *rpc.Pool
	decider *decider
	agents  *agents
	table   *table
	acks    *acker
	metrics metrics
	burn    burnObserver

	// source and view are set before any listener opens.
	source confsync.Source
	view   members.View
	// background runs the parts beside the listeners until ctx ends.
	background []func(ctx context.Context)
	peers      wire.DRPCPeerServer
	admin      http.Handler

	ready    atomic.Bool
	draining atomic.Bool
	// drainAsked is closed when an operator asks for a drain.
	drainAsked chan struct{}
	drainOnce  sync.Once
	// ctx ends when the process has drained; it bounds the work for requests.
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
	conf, err := rpc.TLSConfig(secret)
	if err != nil {
		return nil, err
	}
	p := &Process{opts: o, log: o.Log, limited: telemetry.NewLimited(o.Log, logInterval), tls: conf, pool: rpc.NewPool(conf), drainAsked: make(chan struct{})}
	p.ctx, p.stop = context.WithCancel(context.Background())
	p.metrics = newMetrics(o.Scope)
	p.burn = newBurnObserver(o.Settings.Instance.ID, o.Settings.Instance.Region, o.Scope)
	p.opts.Observers = append(slices.Clone(o.Observers), p.burn)
	p.agents = newAgents(p)
	p.table = newTable(p, o.Settings.Limits)
	p.decider = newDecider(p)
	p.acks = newAcker(p)
	return p, nil
}

// Run serves until ctx ends, then drains and returns nil.
func (p *Process) Run(ctx context.Context) error {
	defer p.stop()
	defer func() { _ = p.pool.Close() }()
	if err := p.connect(); err != nil {
		return err
	}
	lis, err := p.listen()
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	failed := make(chan error, listeners)
	p.serve(&wg, lis, failed)
	for _, f := range append(p.background, p.acks.run, p.probe, p.becomeReady) {
		wg.Go(func() { f(p.ctx) })
	}
	select {
	case <-ctx.Done():
	case <-p.drainAsked:
	case err = <-failed:
	}
	if err == nil {
		p.drain()
		lis.finishCallers(p.ctx)
	}
	p.stop()
	lis.close()
	wg.Wait()
	return err
}

// becomeReady reports ready once a schema is in force.
func (p *Process) becomeReady(ctx context.Context) {
	if err := p.source.WaitReady(ctx); err != nil {
		return
	}
	if !p.draining.Load() {
		p.ready.Store(true)
		p.log.Info("Ready.", "offset", p.source.Current().Offset)
	}
}

// Ready tells whether the process should be sent requests.
func (p *Process) Ready() bool { return p.ready.Load() && !p.draining.Load() }

// Drain begins the shutdown, as the end of Run's context does.
func (p *Process) Drain() { p.drainOnce.Do(func() { close(p.drainAsked) }) }

// drain is not ready at once, serves on through the balancer's lag, refuses new
// requests and waits for those in flight.
func (p *Process) drain() {
	p.draining.Store(true)
	p.log.Info("Draining.", "requests", p.table.running())
	time.Sleep(p.opts.Settings.Limits.DrainDelay.AsDuration())
	p.table.refuseNew()
	p.table.waitIdle(p.ctx)
	p.acks.flush(p.ctx)
	p.log.Info("Drained.")
}

// WriteCut writes what would be cut if the process exited now.
func (p *Process) WriteCut(w io.Writer) {
	for _, f := range p.InFlight() {
		_, _ = io.WriteString(w, "cut request "+f.ID+" of customer "+f.Customer+" in stage "+f.Stage+"\n")
	}
}
