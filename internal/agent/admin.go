package agent

import (
	"fmt"
	"net/http"
	"net/http/pprof"
)

// adminMux returns the handler of the admin listener.
func (p *Process) adminMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", p.ready)
	if p.opts.Metrics != nil {
		mux.Handle("GET /metrics", p.opts.Metrics)
	}
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	return mux
}

// ready answers 200 if the agent is not leaving and has a schema.
func (p *Process) ready(w http.ResponseWriter, _ *http.Request) {
	if p.worker.isLeaving() {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	if p.config.Current().Schema == nil {
		http.Error(w, "no schema yet", http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, "ok")
}
