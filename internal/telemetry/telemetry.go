// Package telemetry sets up structured logs and metrics.
package telemetry

import (
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the time between two reports of metrics to the exporter.
const reportInterval = time.Second

// Logger returns a logger that writes JSON lines to w at the level, which is
// debug, info, warn or error. Each part of the system adds its prefix by WithName.
func Logger(w io.Writer, level string) (logr.Logger, error) {
	var lv slog.Level
	if err := lv.UnmarshalText([]byte(level)); err != nil {
		return logr.Discard(), errors.Wrapf(err, "log level %q", level)
	}
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: lv})
	return logr.FromSlogHandler(handler), nil
}

// Metrics returns the root scope and the handler of the Prometheus endpoint.
func Metrics(role string) (tally.Scope, http.Handler, io.Closer) {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "magnoliawheel",
		Tags:           map[string]string{"role": role},
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
		// The names of tally's own metrics are not valid ones for the exporter.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return scope, reporter.HTTPHandler(), closer
}

// Cause returns the text of an error for a log line; "" for none.
func Cause(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
