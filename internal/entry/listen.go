package entry

import (
	"context"
	"net"
	"net/http"
	"net/http/pprof"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"storj.io/drpc/drpcmux"

	"github.com/magnoliawheel/magnoliawheel/core/connlimit"
	"github.com/magnoliawheel/magnoliawheel/core/schema"
	"github.com/magnoliawheel/magnoliawheel/internal/callerapi"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/inbound"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

// listenerCount is the number of listeners of a process.
const listenerCount = 3

// closeTimeout bounds the wait for open connections when the process exits.
const closeTimeout = time.Second

// Bounds of the wait for the calls of other processes when the process exits.
const (
	// peerTimeout bounds the wait for calls in progress. Each write to a peer that does not
	// read is bounded by the same time.
	peerTimeout = rpc.WriteTimeout
	// peerCloseDelay gives peers time to read the last responses. Closing a connection
	// discards the data that its peer has not read yet.
	peerCloseDelay = 100 * time.Millisecond
)

// idleTimeout is how long an idle connection is kept open.
const idleTimeout = 60 * time.Second

// listenerSet holds the listeners of a process and their HTTP servers.
type listenerSet struct {
	callers, peers, admin net.Listener
	// httpServers holds the callers' server at index 0.
	httpServers []*http.Server
	// peerCalls counts the calls of other processes in progress.
	peerCalls *rpc.CallTracker
}

// connBounds bound the connections that a process accepts.
type connBounds struct {
	callers, peers, admin *inbound.Guard
	uploads               *inbound.Uploads
}

func newConnBounds(o *Options, log logr.Logger) *connBounds {
	limits := o.Settings.Limits
	shares := connlimit.SharesOf(inbound.MaxDescriptors(0))
	return &connBounds{
		callers: inbound.NewGuard(inbound.Options{
			Name: "callers", Limits: connlimit.Limits{Connections: min(limits.MaxConnections, shares.Clients), Bytes: limits.ConnectionMemoryBytes},
			ReceiveBufferBytes: inbound.ReceiveBufferBytes, Log: log, Scope: o.Scope,
		}),
		peers:   inbound.NewPeerGuard(shares.Peers, log, o.Scope),
		admin:   inbound.NewAdminGuard(shares.Metrics, log, o.Scope),
		uploads: inbound.NewUploads(limits.BodyMemoryBytes, nil, o.Scope),
	}
}

func (p *Process) listen() (*listenerSet, error) {
	l := &listenerSet{}
	conf := p.opts.Settings.Listen
	for _, x := range []struct {
		addr  string
		guard *inbound.Guard
		lis   *net.Listener
	}{{conf.Callers, p.bounds.callers, &l.callers}, {conf.Peers, p.bounds.peers, &l.peers}, {conf.Admin, p.bounds.admin, &l.admin}} {
		lis, err := x.guard.Open(x.addr)
		if err != nil {
			l.close()
			return nil, errors.Wrapf(err, "listen on %s", x.addr)
		}
		*x.lis = lis
	}
	return l, nil
}

// drainCallers stops accepting callers' connections and waits for the responses in
// progress, including those relayed from other entries. The wait is bounded by their
// deadlines and the write timeout.
func (l *listenerSet) drainCallers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, schema.MaxDeadline)
	defer cancel()
	_ = l.httpServers[0].Shutdown(ctx)
}

// drainPeers waits for the calls of other processes in progress. They include those that
// relay the answers of this entry to the callers of other entries.
func (l *listenerSet) drainPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	l.peerCalls.Wait(ctx)
	clock.Sleep(ctx, peerCloseDelay)
}

func (l *listenerSet) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, s := range l.httpServers {
		if s.Shutdown(ctx) != nil {
			_ = s.Close()
		}
	}
	for _, lis := range []net.Listener{l.callers, l.peers, l.admin} {
		if lis != nil {
			_ = lis.Close()
		}
	}
}

func (p *Process) serve(wg *sync.WaitGroup, l *listenerSet, serveErrors chan<- error) {
	for _, guard := range []*inbound.Guard{p.bounds.callers, p.bounds.peers, p.bounds.admin} {
		wg.Go(func() { guard.Run(p.ctx) })
	}
	p.serveHTTP(wg, l, p.bounds.callers.Wrap(l.callers), p.callerServer(), serveErrors)
	p.serveHTTP(wg, l, p.bounds.admin.Wrap(l.admin), inbound.NewAdminServer(p.adminMux(), p.log), serveErrors)
	mux := drpcmux.New()
	if err := wire.DRPCRegisterEntry(mux, relayServer{p}); err != nil {
		serveErrors <- err
	}
	if p.peerServer != nil {
		if err := wire.DRPCRegisterPeer(mux, p.peerServer); err != nil {
			serveErrors <- err
		}
	}
	l.peerCalls = rpc.NewCallTracker(mux)
	wg.Go(func() {
		if err := rpc.Serve(p.ctx, p.bounds.peers.Wrap(l.peers), p.tlsConfig, l.peerCalls); err != nil {
			serveErrors <- errors.Wrap(err, "serve peers")
		}
	})
}

// callerServer returns the HTTP server for callers.
func (p *Process) callerServer() *http.Server {
	limits := p.opts.Settings.Limits
	srv := &http.Server{
		Handler:           p.callerHandler(),
		ReadHeaderTimeout: limits.ReadTimeout.AsDuration(),
		IdleTimeout:       idleTimeout,
		// The handler refuses headers over the limit with a result code. The
		// server's own limit must be well above it so that such requests reach the
		// handler.
		MaxHeaderBytes: 4 * limits.MaxHeaderBytes,
	}
	inbound.Attach(srv, p.log)
	return srv
}

func (p *Process) serveHTTP(wg *sync.WaitGroup, l *listenerSet, lis net.Listener, srv *http.Server, serveErrors chan<- error) {
	l.httpServers = append(l.httpServers, srv)
	wg.Go(func() {
		if err := srv.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
			serveErrors <- errors.Wrap(err, "serve http")
		}
	})
}

func (p *Process) callerHandler() http.Handler {
	limits := p.opts.Settings.Limits
	return callerapi.New(callerapi.Options{
		Backend: p, MaxHeaderBytes: limits.MaxHeaderBytes, Uploads: p.bounds.uploads, Log: p.log,
		ReadTimeout: limits.ReadTimeout.AsDuration(), WriteTimeout: limits.WriteTimeout.AsDuration(),
	})
}

func (p *Process) adminMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", p.readyz)
	if p.opts.Metrics != nil {
		mux.Handle("GET /metrics", p.opts.Metrics)
	}
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	if p.adminHandler != nil {
		mux.Handle("/", p.adminHandler)
	}
	return mux
}

func (p *Process) readyz(w http.ResponseWriter, _ *http.Request) {
	if !p.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}
