package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/magnoliawheel/magnoliawheel/internal/adminapi"
	"github.com/magnoliawheel/magnoliawheel/internal/confsync"
	"github.com/magnoliawheel/magnoliawheel/internal/members"
	"github.com/magnoliawheel/magnoliawheel/internal/platform"
	"github.com/magnoliawheel/magnoliawheel/internal/report"
)

// incarnationRandomBits is the number of random low-order bits of an incarnation.
// The bits above hold the time in milliseconds, so that each incarnation of an
// instance is greater than the last.
const incarnationRandomBits = 16

func newIncarnation() uint64 {
	return uint64(time.Now().UnixMilli())<<incarnationRandomBits | rand.Uint64N(1<<incarnationRandomBits)
}

// initPlatform creates the membership view, the configuration source and the admin
// API. It does nothing if a source and a view are already set.
func (p *Process) initPlatform() error {
	if p.source != nil && p.view != nil {
		return nil
	}
	s := p.opts.Settings
	keys, err := adminapi.LoadKeys(s.Security.AdminKeysFile)
	if err != nil {
		return err
	}
	view := members.New(members.Options{List: platform.NewHTTPList(s.Platform.InstanceListURL), Logger: p.log, SelfID: s.Instance.ID})
	source := confsync.New(confsync.Options{
		Log: platform.NewHTTPLog(s.Platform.LogURL), Peers: view.Peers, Pool: p.pool,
		InstanceID: s.Instance.ID, Incarnation: newIncarnation(), Address: s.Listen.Peers, Logger: p.log,
	})
	p.view, p.source, p.peerServer = view, source, source
	p.background = append(p.background,
		func(ctx context.Context) { _ = view.Run(ctx) },
		func(ctx context.Context) { _ = source.Run(ctx) },
	)
	api := adminapi.New(adminapi.Options{Keys: keys, Config: source, Instances: view.Instances, Logger: p.log})
	p.registerAdminRoutes(api)
	p.adminHandler = api
	return nil
}

// registerAdminRoutes registers the admin routes that are specific to an entry.
func (p *Process) registerAdminRoutes(api *adminapi.API) {
	p.registerOperationRoutes(api)
	api.Handle("GET "+report.Path, adminapi.RoleRead, p.burn.recorder.ServeHTTP)
	api.Handle("GET /admin/v1/requests", adminapi.RoleRead, p.getRequests)
	api.Handle("POST /admin/v1/drain", adminapi.RoleWrite, p.postDrain)
}

// RequestsReply is the body of GET /admin/v1/requests.
type RequestsReply struct {
	Entry    string            `json:"entry"`
	Draining bool              `json:"draining"`
	Requests []InFlightRequest `json:"requests"`
}

func (p *Process) getRequests(w http.ResponseWriter, _ *http.Request) {
	list := p.InFlight()
	if list == nil {
		list = []InFlightRequest{}
	}
	adminapi.WriteJSON(w, http.StatusOK, RequestsReply{
		Entry: p.opts.Settings.Instance.ID, Draining: p.draining.Load(), Requests: list,
	})
}

// postDrain starts the shutdown of this entry.
func (p *Process) postDrain(w http.ResponseWriter, r *http.Request) {
	p.log.Info("An operator requested a drain.", "operator", adminapi.Operator(r.Context()))
	p.Drain()
	w.WriteHeader(http.StatusAccepted)
}
