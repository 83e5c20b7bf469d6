// Package adminapi implements the HTTP API for operators: the configuration routes, and
// routes that other packages register. Every route requires an administration key with
// a sufficient role.
package adminapi

import (
	"context"
	"net/http"

	"github.com/go-logr/logr"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
	"github.com/magnoliawheel/magnoliawheel/core/membership"
	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// MaxBodyBytes is the maximum size of a request body.
const MaxBodyBytes = 8 << 20

// Config gives the configuration routes access to the configuration log.
type Config interface {
	// Current returns the configuration in force at this instance.
	Current() *configlog.Snapshot
	// Submit appends a change to the log and returns its outcome.
	Submit(ctx context.Context, c *configlog.Change) (configlog.Outcome, error)
	// Find returns the outcome of a change.
	Find(ctx context.Context, id string) (configlog.Outcome, error)
	// At returns the configuration as of an offset.
	At(ctx context.Context, offset uint64) (*configlog.Snapshot, error)
	// OffsetOf queries the instance at an address for the offset of its configuration.
	OffsetOf(ctx context.Context, addr string) (uint64, error)
}

// Options configures an API.
type Options struct {
	Keys   *Keys
	Config Config
	// Instances returns the instances in the instance list, sorted by id.
	Instances func() []membership.Instance
	Logger    logr.Logger
}

// API is the http.Handler of the admin API. All routes must be registered before it
// serves requests.
type API struct {
	opts Options
	log  logr.Logger
	mux  *http.ServeMux
}

// New returns an API with the configuration routes.
func New(o Options) *API {
	a := &API{opts: o, log: o.Logger.WithName("admin"), mux: http.NewServeMux()}
	a.mux.HandleFunc("/admin/", func(w http.ResponseWriter, r *http.Request) {
		WriteError(w, result.New(result.AdminNotFound, "no route %s %s", r.Method, r.URL.Path))
	})
	a.registerConfigRoutes()
	return a
}

// Handle registers a route, such as "GET /admin/v1/servers", that requires a key with
// the role or a higher one.
func (a *API) Handle(pattern string, role Role, h http.HandlerFunc) {
	a.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		name, err := a.opts.Keys.authorize(r, role)
		if err != nil {
			WriteError(w, err)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
		h(w, r.WithContext(withOperator(r.Context(), name)))
	})
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }
