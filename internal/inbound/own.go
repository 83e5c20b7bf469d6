package inbound

import (
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"github.com/magnoliawheel/magnoliawheel/core/connlimit"
)

// Limits of the listeners of the own interface, whose settings have no limit for the memory of the
// whole process.
const (
	// ReceiveBufferBytes is the size of the kernel's buffer for what a connection has received.
	ReceiveBufferBytes = 128 << 10
	// peerBytes is the memory for the connections of entries and agents that are not established,
	// adminBytes that for the connections of operators, readiness checks and metrics.
	peerBytes  = 32 << 20
	adminBytes = 4 << 20

	adminHeaderTimeout = 5 * time.Second
	adminIdleTimeout   = 60 * time.Second
	adminHeaderBytes   = 64 << 10
	// adminBodyTimeout is the time for the body of a request, or the rest of one that is refused.
	adminBodyTimeout = 30 * time.Second
)

// NewPeerGuard returns a guard for the connections of entries and agents to each other.
func NewPeerGuard(connections int, log logr.Logger, scope tally.Scope) *Guard {
	return NewGuard(Options{Name: "peers", Limits: connlimit.Limits{Connections: connections, Bytes: peerBytes}, ReceiveBufferBytes: ReceiveBufferBytes, Backlog: connections, Log: log, Scope: scope})
}

// NewAdminGuard returns a guard for the connections of operators, readiness checks and metrics.
func NewAdminGuard(connections int, log logr.Logger, scope tally.Scope) *Guard {
	return NewGuard(Options{Name: "admin", Limits: connlimit.Limits{Connections: connections, Bytes: adminBytes}, ReceiveBufferBytes: ReceiveBufferBytes, Log: log, Scope: scope})
}

// NewAdminServer returns an HTTP server for operators, readiness checks and metrics.
func NewAdminServer(h http.Handler, log logr.Logger) *http.Server {
	srv := &http.Server{
		Handler: limitBodyTime(h), ReadHeaderTimeout: adminHeaderTimeout, IdleTimeout: adminIdleTimeout, MaxHeaderBytes: adminHeaderBytes,
	}
	Attach(srv, log)
	return srv
}

// limitBodyTime bounds the time for the bodies of requests. Those without a body may take longer to
// be answered.
func limitBodyTime(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(adminBodyTimeout))
		}
		h.ServeHTTP(w, r)
	})
}
