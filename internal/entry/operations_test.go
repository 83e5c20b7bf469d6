package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/membership"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/routing"
	"github.com/magnoliawheel/magnoliawheel/internal/adminapi"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

// Order refuses orders of the kind "set_role" and accepts all others.
func (a *fakeAgent) Order(_ context.Context, req *wire.OrderRequest) (*wire.OrderReply, error) {
	if req.Kind == "set_role" {
		return &wire.OrderReply{Code: uint32(result.OrderRefused), Message: "not here"}, nil
	}
	return &wire.OrderReply{Fence: 7}, nil
}

// newAdminHandler returns the admin API of the entry, with one key for each role.
func newAdminHandler(t *testing.T, b *testBench) http.Handler {
	keys, err := adminapi.ParseKeys("read viewer read-key\nwrite operator write-key\n")
	assert.NilError(t, err)
	b.view.entries = append(b.view.entries, membership.Instance{ID: "engine-1", Role: membership.RoleAgent, Pool: "engines", Addr: b.engine.addr})
	api := adminapi.New(adminapi.Options{Keys: keys, Instances: b.view.Instances, Logger: logr.Discard()})
	b.p.registerAdminRoutes(api)
	return api
}

// serveAdmin sends a request with the key to the admin API and returns the response.
func serveAdmin(h http.Handler, method, path, key, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		adminapi.SetAuthorization(r, key)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

func TestOperationRoutes(t *testing.T) {
	b := startTestBench(t)
	b.call("draft").answer(t)
	h := newAdminHandler(t, b)
	const orders = "/admin/v1/servers/engine-1/orders"
	cases := []struct {
		name, method, path, key, body string
		status                        int
		code                          result.Code
	}{
		{"no key", "GET", "/admin/v1/servers", "", "", 401, result.AdminUnauthorized},
		{"unknown key", "GET", "/admin/v1/servers", "guess", "", 401, result.AdminUnauthorized},
		{"read key may read", "GET", "/admin/v1/servers", "read-key", "", 200, 0},
		{"read key may not send orders", "POST", orders, "read-key", `{"kind":"drain"}`, 403, result.AdminForbidden},
		{"order", "POST", orders, "write-key", `{"kind":"drain"}`, 200, 0},
		{"order refused", "POST", orders, "write-key", `{"kind":"set_role"}`, 409, result.OrderRefused},
		{"unknown server", "POST", "/admin/v1/servers/nobody/orders", "write-key", `{"kind":"drain"}`, 404, result.AdminNotFound},
		{"unknown field", "POST", orders, "write-key", `{"sort":"drain"}`, 400, result.AdminBadRequest},
		{"unknown route", "GET", "/admin/v1/nothing", "read-key", "", 404, result.AdminNotFound},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := serveAdmin(h, c.method, c.path, c.key, c.body)
			assert.Equal(t, w.Code, c.status, w.Body.String())
			var body adminapi.ErrorBody
			if c.code != 0 {
				assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &body))
			}
			assert.Equal(t, body.Code, c.code)
		})
	}
}

func TestOperationLists(t *testing.T) {
	b := startTestBench(t)
	b.call("draft").answer(t)
	h := newAdminHandler(t, b)
	var servers []ServerStatus
	assert.NilError(t, json.Unmarshal(serveAdmin(h, "GET", "/admin/v1/servers?pool=engines", "read-key", "").Body.Bytes(), &servers))
	assert.Equal(t, len(servers), 1)
	assert.Equal(t, servers[0].ID, "engine-1")
	assert.Equal(t, servers[0].State, routing.StateUsable)
	var pools []PoolStatus
	assert.NilError(t, json.Unmarshal(serveAdmin(h, "GET", "/admin/v1/pools", "read-key", "").Body.Bytes(), &pools))
	assert.Equal(t, len(pools), len(b.source.Current().Schema.Pools))
	assert.Equal(t, pools[0].Servers[routing.StateUsable], 1)
	var customers []CustomerStatus
	assert.NilError(t, json.Unmarshal(serveAdmin(h, "GET", "/admin/v1/customers", "read-key", "").Body.Bytes(), &customers))
	assert.Equal(t, len(customers), len(b.source.Current().Schema.Customers))
	var total float64
	for _, c := range customers {
		total += c.Share
	}
	assert.Assert(t, total > 0.99 && total < 1.01, "shares add up to %g", total)
	var requests RequestsReply
	assert.NilError(t, json.Unmarshal(serveAdmin(h, "GET", "/admin/v1/requests", "read-key", "").Body.Bytes(), &requests))
	assert.Equal(t, len(requests.Requests), 0)
}
