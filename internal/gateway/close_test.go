package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/routes"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

// noConfig is the state of an entry without a configuration.
type noConfig struct{}

func (noConfig) Table() *routes.Table { return nil }
func (noConfig) Age() time.Duration   { return 0 }

// TestNoRequestBeginsAfterClose guards against a request that arrives between the last check
// for requests in flight and the end of the process: it would reach a server, and its client
// would get no answer.
func TestNoRequestBeginsAfterClose(t *testing.T) {
	g := New(Options{Config: noConfig{}, Settings: &platform.Settings{}, Log: logr.Discard(), Scope: tally.NoopScope})
	send := func() *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		g.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", http.NoBody))
		return w
	}
	before := send()
	g.inFlight.Add(1)
	assert.Assert(t, !g.TryClose(), "closed with a request in flight")
	g.inFlight.Add(-1)
	assert.Assert(t, g.TryClose())
	for range 3 {
		w := send()
		assert.Equal(t, w.Code, http.StatusServiceUnavailable)
		assert.Equal(t, w.Header().Get("Connection"), "close")
		assert.Assert(t, w.Header().Get("Retry-After") != "")
		assert.Assert(t, w.Body.String() != before.Body.String())
		assert.Equal(t, g.InFlight(), int64(0))
	}
	assert.Assert(t, g.inFlight.Load() < 0)
}
