package entry

import (
	"context"
	"net"
	"net/http"
	"net/http/pprof"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcmux"

	"github.com/magnoliawheel/magnoliawheel/core/schema"
	"github.com/magnoliawheel/magnoliawheel/internal/callerapi"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

// listeners is the number of listeners of a process.
const listeners = 3

// closeWait bounds the wait for connections when the process exits.
const closeWait = time.Second

// idleTimeout is how long an unused connection of a caller is kept.
const idleTimeout = 60 * time.Second

type listenerSet struct {
	callers, peers, admin net.Listener
	// servers holds that of the callers first.
	servers []*http.Server
}

func (p *Process) listen() (*listenerSet, error) {
	l := &listenerSet{}
	conf := p.opts.Settings.Listen
	for _, x := range []struct {
		addr string
		lis  *net.Listener
	}{{conf.Callers, &l.callers}, {conf.Peers, &l.peers}, {conf.Admin, &l.admin}} {
		lis, err := net.Listen("tcp", x.addr)
		if err != nil {
			l.close()
			return nil, errors.Wrapf(err, "listen on %s", x.addr)
		}
		*x.lis = lis
	}
	return l, nil
}

// finishCallers takes no more connections of callers and waits for the responses
// in progress, among them those relayed from other entries. Their deadlines and
// the write timeout bound the wait.
func (l *listenerSet) finishCallers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, schema.MaxDeadline)
	defer cancel()
	_ = l.servers[0].Shutdown(ctx)
}

func (l *listenerSet) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeWait)
	defer cancel()
	for _, s := range l.servers {
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

func (p *Process) serve(wg *sync.WaitGroup, l *listenerSet, failed chan<- error) {
	p.serveHTTP(wg, l, l.callers, p.callers(), failed)
	p.serveHTTP(wg, l, l.admin, p.adminMux(), failed)
	mux := drpcmux.New()
	if err := wire.DRPCRegisterEntry(mux, relayServer{p}); err != nil {
		failed <- err
	}
	if p.peers != nil {
		if err := wire.DRPCRegisterPeer(mux, p.peers); err != nil {
			failed <- err
		}
	}
	wg.Go(func() {
		if err := rpc.Serve(p.ctx, l.peers, p.tls, mux); err != nil {
			failed <- errors.Wrap(err, "serve peers")
		}
	})
}

func (p *Process) serveHTTP(wg *sync.WaitGroup, l *listenerSet, lis net.Listener, h http.Handler, failed chan<- error) {
	limits := p.opts.Settings.Limits
	srv := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: limits.ReadTimeout.AsDuration(),
		IdleTimeout:       idleTimeout,
		// The handler refuses headers over the limit with a result code; this bound
		// stands far enough above it for that.
		MaxHeaderBytes: 4 * limits.MaxHeaderBytes,
	}
	l.servers = append(l.servers, srv)
	wg.Go(func() {
		if err := srv.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
			failed <- errors.Wrap(err, "serve http")
		}
	})
}

func (p *Process) callers() http.Handler {
	limits := p.opts.Settings.Limits
	return callerapi.New(callerapi.Options{
		Backend: p, MaxHeaderBytes: limits.MaxHeaderBytes,
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
	if p.admin != nil {
		mux.Handle("/", p.admin)
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
