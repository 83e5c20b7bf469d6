package inbound

import (
	"context"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"github.com/magnoliawheel/magnoliawheel/internal/telemetry"
)

// Limits of the servers for small requests: readiness, metrics, health.
const (
	smallHeaderTimeout  = 5 * time.Second
	smallRequestTimeout = 10 * time.Second
	smallIdleTimeout    = 60 * time.Second
	smallHeaderBytes    = 16 << 10
)

// NewSmallServer returns an HTTP server for requests without a body of interest, whose answers are
// made at once.
func NewSmallServer(h http.Handler, log logr.Logger) *http.Server {
	srv := &http.Server{
		Handler: h, ReadHeaderTimeout: smallHeaderTimeout, ReadTimeout: smallRequestTimeout, IdleTimeout: smallIdleTimeout, MaxHeaderBytes: smallHeaderBytes,
	}
	Attach(srv, log)
	return srv
}

// Attach makes a server report the states of its connections to their guard, and its own errors to
// the log.
func Attach(srv *http.Server, log logr.Logger) {
	srv.ErrorLog = ErrorLog(log)
	srv.ConnState = TrackState
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if wrapper, ok := c.(interface{ Unwrap() net.Conn }); ok {
			c = wrapper.Unwrap()
		}
		if conn, ok := c.(*Conn); ok {
			return withConn(ctx, conn)
		}
		return ctx
	}
}

// TrackState records the state that an HTTP server reports for a connection.
func TrackState(c net.Conn, state http.ConnState) {
	if conn, ok := c.(*Conn); ok {
		conn.trackState(state)
	}
}

// ErrorLog returns a logger for the errors that an HTTP server reports, which clients can cause as
// often as they like.
func ErrorLog(l logr.Logger) *log.Logger {
	return log.New(errorWriter{telemetry.NewRateLimitedLogger(l, logInterval)}, "", 0)
}

// errorWriter logs what is written to it.
type errorWriter struct{ log *telemetry.RateLimitedLogger }

// maxErrorBytes bounds the text of an error in a log line.
const maxErrorBytes = 4 << 10

// Write implements io.Writer.
func (w errorWriter) Write(p []byte) (int, error) {
	w.log.Info("HTTP server reported an error.", "error", string(p[:min(len(p), maxErrorBytes)]))
	return len(p), nil
}
