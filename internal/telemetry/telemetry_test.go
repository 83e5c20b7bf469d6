package telemetry

import (
	"bytes"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLoggerWritesNameAndValues(t *testing.T) {
	var out bytes.Buffer
	log, err := Logger(&out, "info")
	assert.NilError(t, err)
	log.WithName("entry").Info("Request finished.", "request", "e~1.2")
	log.V(4).Info("Not written.")
	assert.Assert(t, strings.Contains(out.String(), `"logger":"entry"`), out.String())
	assert.Assert(t, strings.Contains(out.String(), `"request":"e~1.2"`))
	assert.Assert(t, !strings.Contains(out.String(), "Not written."))
}

func TestLoggerRejectsUnknownLevel(t *testing.T) {
	_, err := Logger(&bytes.Buffer{}, "loud")
	assert.ErrorContains(t, err, `log level "loud"`)
}

func TestMetricsAreServed(t *testing.T) {
	scope, handler, closer := Metrics("entry")
	scope.Counter("requests_complete").Inc(2)
	assert.NilError(t, closer.Close())
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	assert.Assert(t, strings.Contains(w.Body.String(), `magnoliawheel_requests_complete{role="entry"} 2`), w.Body.String())
}

func TestRateLimitedCountsSuppressedLines(t *testing.T) {
	var out bytes.Buffer
	log, err := Logger(&out, "info")
	assert.NilError(t, err)
	l := NewRateLimitedLogger(log, time.Second)
	now := time.Unix(100, 0)
	l.now = func() time.Time { return now }
	for range 5 {
		l.Error(errors.New("down"), "Log unavailable.")
	}
	assert.Equal(t, strings.Count(out.String(), "Log unavailable."), 1)
	now = now.Add(time.Second)
	l.Error(errors.New("down"), "Log unavailable.")
	assert.Assert(t, strings.Contains(out.String(), `"suppressed":4`), out.String())
}
