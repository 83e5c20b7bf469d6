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

// randomBits is the number of random bits of an incarnation; the bits above are
// the time in milliseconds, so that the incarnations of one instance grow.
const randomBits = 16

func newIncarnation() uint64 {
	return uint64(time.Now().UnixMilli())<<randomBits | rand.Uint64N(1<<randomBits)
}

// connect builds the parts that keep the process in touch with the platform and
// with its peers.
func (p *Process) connect() error {
	if p.source != nil && p.view != nil {
		return nil
	}
	s := p.opts.Settings
	keys, err := adminapi.LoadKeys(s.Security.AdminKeysFile)
	if err != nil {
		return err
	}
	view := members.New(members.Options{List: platform.NewHTTPList(s.Platform.InstanceListURL), Logger: p.log, Self: s.Instance.ID})
	source := confsync.New(confsync.Options{
		Log: platform.NewHTTPLog(s.Platform.LogURL), Peers: view.Peers, Pool: p.pool,
		InstanceID: s.Instance.ID, Incarnation: newIncarnation(), Address: s.Listen.Peers, Logger: p.log,
	})
	p.view, p.source, p.peers = view, source, source
	p.background = append(p.background,
		func(ctx context.Context) { _ = view.Run(ctx) },
		func(ctx context.Context) { _ = source.Run(ctx) },
	)
	api := adminapi.New(adminapi.Options{Keys: keys, Config: source, Instances: view.Instances, Logger: p.log})
	p.adminRoutes(api)
	p.admin = api
	return nil
}

// adminRoutes registers the routes that only an entry has.
func (p *Process) adminRoutes(api *adminapi.API) {
	p.operationRoutes(api)
	api.Handle("GET "+report.Path, adminapi.RoleRead, p.burn.recorder.ServeHTTP)
	api.Handle("GET /admin/v1/requests", adminapi.RoleRead, p.getRequests)
	api.Handle("POST /admin/v1/drain", adminapi.RoleWrite, p.postDrain)
}

// RequestsReply is the body of GET /admin/v1/requests.
type RequestsReply struct {
	Entry    string     `json:"entry"`
	Draining bool       `json:"draining"`
	Requests []InFlight `json:"requests"`
}

func (p *Process) getRequests(w http.ResponseWriter, _ *http.Request) {
	list := p.InFlight()
	if list == nil {
		list = []InFlight{}
	}
	adminapi.WriteJSON(w, http.StatusOK, RequestsReply{
		Entry: p.opts.Settings.Instance.ID, Draining: p.draining.Load(), Requests: list,
	})
}

// postDrain begins the shutdown of this entry.
func (p *Process) postDrain(w http.ResponseWriter, r *http.Request) {
	p.log.Info("An operator asked for a drain.", "operator", adminapi.Operator(r.Context()))
	p.Drain()
	w.WriteHeader(http.StatusAccepted)
}
