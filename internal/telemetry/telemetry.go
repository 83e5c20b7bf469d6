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

// Logger returns a logger that writes JSON lines to w. level is debug, info, warn or
// error. Each component adds its name by WithName.
func Logger(w io.Writer, level string) (logr.Logger, error) {
	var lv slog.Level
	if err := lv.UnmarshalText([]byte(level)); err != nil {
		return logr.Discard(), errors.Wrapf(err, "log level %q", level)
	}
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: lv})
	return logr.FromSlogHandler(handler), nil
}

// Metrics returns the root scope, the handler of the Prometheus endpoint, and a closer
// that reports the last values.
func Metrics(role string) (tally.Scope, http.Handler, io.Closer) {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "magnoliawheel",
		Tags:           map[string]string{"role": role},
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
		// The exporter rejects the names of tally's internal metrics.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return scope, reporter.HTTPHandler(), closer
}

// ErrorText returns the text of an error for a log line, or "" for nil.
func ErrorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
