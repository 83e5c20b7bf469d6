// Package adminapi is the HTTP interface for operators: configuration, and routes
// that other parts of a process register. Every route needs a key with a role.
package adminapi

import (
	"context"
	"net/http"

	"github.com/go-logr/logr"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
	"github.com/magnoliawheel/magnoliawheel/core/membership"
	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// MaxBodyBytes bounds the body of a request.
const MaxBodyBytes = 8 << 20

// Config is what the configuration routes need.
type Config interface {
	Current() *configlog.Snapshot
	Submit(ctx context.Context, c *configlog.Change) (configlog.Outcome, error)
	// Find returns what became of a change.
	Find(ctx context.Context, id string) (configlog.Outcome, error)
	// At returns the configuration as of an offset.
	At(ctx context.Context, offset uint64) (*configlog.Snapshot, error)
	// OffsetOf asks the instance at an address for its offset in force.
	OffsetOf(ctx context.Context, addr string) (uint64, error)
}

// Options sets up an API.
type Options struct {
	Keys   *Keys
	Config Config
	// Instances returns the listed instances, sorted by id.
	Instances func() []membership.Instance
	Logger    logr.Logger
}

// API is an http.Handler. Routes are registered before it serves.
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
	a.configRoutes()
	return a
}

// Handle registers a route, such as "GET /admin/v1/servers", that needs a key
// with at least the role.
func (a *API) Handle(pattern string, role Role, h http.HandlerFunc) {
	a.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		name, err := a.opts.Keys.check(r, role)
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
