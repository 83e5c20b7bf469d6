package adminapi

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
	"github.com/magnoliawheel/magnoliawheel/core/membership"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/schema"
)

// fakeConfig applies changes immediately, or fails with err if it is set.
type fakeConfig struct {
	t         *testing.T
	snapshots []*configlog.Snapshot
	err       error
}

func (f *fakeConfig) Current() *configlog.Snapshot { return f.snapshots[len(f.snapshots)-1] }

func (f *fakeConfig) Submit(_ context.Context, c *configlog.Change) (configlog.Outcome, error) {
	if f.err != nil {
		return configlog.Outcome{}, f.err
	}
	snap := f.Current()
	c.Time = "2026-01-01T00:00:00Z"
	o, decided := snap.Preview(c)
	if decided || (o.Status != configlog.Accepted && o.Status != configlog.Withdrawn) {
		return o, nil
	}
	data, err := configlog.EncodeChange(c)
	assert.NilError(f.t, err)
	next, o := snap.Apply(snap.Offset+1, data)
	f.snapshots = append(f.snapshots, next)
	return o, nil
}

func (f *fakeConfig) Find(_ context.Context, id string) (configlog.Outcome, error) {
	if o, ok := f.Current().Outcome(id); ok {
		return o, nil
	}
	if f.err != nil {
		return configlog.Outcome{}, f.err
	}
	return configlog.Outcome{}, result.New(result.ConfigNoObject, "change %s is not in the log", id)
}

func (f *fakeConfig) At(_ context.Context, offset uint64) (*configlog.Snapshot, error) {
	if offset >= uint64(len(f.snapshots)) {
		return nil, result.New(result.ConfigNoObject, "no offset %d", offset)
	}
	return f.snapshots[offset], nil
}

func (f *fakeConfig) OffsetOf(_ context.Context, addr string) (uint64, error) {
	if addr == "10.0.0.3:1" {
		return 0, fmt.Errorf("exchange with %s: connection refused", addr)
	}
	return f.Current().Offset - 1, nil
}

const testKeyFile = "# role name key\nread  viewer  view-key\nwrite admin   admin-key\n"

func newAPI(t *testing.T) (*API, *fakeConfig) {
	keys, err := ParseKeys(testKeyFile)
	assert.NilError(t, err)
	config := &fakeConfig{t: t, snapshots: []*configlog.Snapshot{configlog.Empty()}}
	api := New(Options{Keys: keys, Config: config, Logger: logr.Discard(), Instances: func() []membership.Instance {
		return []membership.Instance{
			{ID: "a1", Role: membership.RoleAgent, Addr: "10.0.0.2:1"},
			{ID: "a2", Role: membership.RoleAgent, Addr: "10.0.0.3:1"},
		}
	}})
	return api, config
}

func applyExampleSchema(t *testing.T, config *fakeConfig) {
	text, err := os.ReadFile("../../examples/qasr/schema.toml")
	assert.NilError(t, err)
	s, err := schema.Parse(text)
	assert.NilError(t, err)
	objects, err := configlog.FromSchema(s)
	assert.NilError(t, err)
	o, err := config.Submit(context.Background(), &configlog.Change{ID: "first", Author: "test", Edits: configlog.Diff(nil, objects)})
	assert.NilError(t, err)
	assert.Equal(t, o.Status, configlog.Accepted)
}

const regionBody = `{"name":"madaba","zones":["madaba-1"]}`

// TestOperatorSession sends a sequence of requests and compares each request and its
// response with a golden file.
func TestOperatorSession(t *testing.T) {
	api, config := newAPI(t)
	applyExampleSchema(t, config)
	logUnavailable := result.New(result.ConfigUnavailable, "platform: log unavailable")
	logUnavailable.RetryAfter = 4500e6
	outcomeUnknown := &result.Error{Code: result.ConfigUnknown, Message: "ask again", RetryAfter: 5e9}
	var transcript bytes.Buffer
	for _, step := range []struct {
		name, method, path, key, body string
		header                        []string
		err                           error
	}{
		{name: "no key", method: "GET", path: "/admin/v1/config/history"},
		{name: "unknown key", method: "GET", path: "/admin/v1/config/history", key: "other"},
		{name: "read key writes", method: "POST", path: "/admin/v1/config/changes", key: "view-key", body: "{}"},
		{name: "no such route", method: "GET", path: "/admin/v1/nothing", key: "view-key"},
		{name: "body is not JSON", method: "POST", path: "/admin/v1/config/changes", key: "admin-key", body: "x"},
		{name: "unknown key in body", method: "POST", path: "/admin/v1/config/changes", key: "admin-key", body: `{"edit":[]}`},
		{name: "no edits", method: "POST", path: "/admin/v1/config/changes", key: "admin-key", body: `{"id":"c0","edits":[]}`},
		{name: "change", method: "POST", path: "/admin/v1/config/changes", key: "admin-key", body: `{"id":"c1","note":"new site","edits":[{"object":"region/madaba","base":0,"body":` + regionBody + `}]}`},
		{name: "the same change again", method: "POST", path: "/admin/v1/config/changes", key: "admin-key", body: `{"id":"c1","edits":[{"object":"region/madaba","base":0,"body":` + regionBody + `}]}`},
		{name: "conflict", method: "POST", path: "/admin/v1/config/changes", key: "admin-key", body: `{"id":"c2","edits":[{"object":"region/madaba","base":1,"body":` + regionBody + `}]}`},
		{name: "invalid", method: "POST", path: "/admin/v1/config/changes", key: "admin-key", body: `{"id":"c3","edits":[{"object":"pool/encoders","base":1,"delete":true}]}`},
		{name: "log down", method: "POST", path: "/admin/v1/config/changes", key: "admin-key", body: `{"id":"c4","edits":[{"object":"region/madaba","base":2,"delete":true}]}`, err: logUnavailable},
		{name: "answer lost", method: "POST", path: "/admin/v1/config/changes", key: "admin-key", body: `{"id":"c5","edits":[{"object":"region/madaba","base":2,"delete":true}]}`, err: outcomeUnknown},
		{name: "status", method: "GET", path: "/admin/v1/config/changes/c1", key: "view-key"},
		{name: "status of no change", method: "GET", path: "/admin/v1/config/changes/c5", key: "view-key"},
		{name: "status while the log is down", method: "GET", path: "/admin/v1/config/changes/c5", key: "view-key", err: outcomeUnknown},
		{name: "object", method: "GET", path: "/admin/v1/config/objects/region/madaba", key: "view-key"},
		{name: "object not modified", method: "GET", path: "/admin/v1/config/objects/region/madaba", key: "view-key", header: []string{"If-None-Match", `"2"`}},
		{name: "no such object", method: "GET", path: "/admin/v1/config/objects/region/none", key: "view-key"},
		{name: "object before it was made", method: "GET", path: "/admin/v1/config/objects/region/madaba?at=1", key: "view-key"},
		{name: "bad offset", method: "GET", path: "/admin/v1/config/objects?at=x", key: "view-key"},
		{name: "put without a version", method: "PUT", path: "/admin/v1/config/objects/region/madaba", key: "admin-key", body: regionBody},
		{name: "put with an old version", method: "PUT", path: "/admin/v1/config/objects/region/madaba", key: "admin-key", body: regionBody, header: []string{"If-Match", `"1"`, "Change-Id", "p1"}},
		{name: "put what exists as new", method: "PUT", path: "/admin/v1/config/objects/region/madaba", key: "admin-key", body: regionBody, header: []string{"If-None-Match", "*", "Change-Id", "p2"}},
		{name: "put", method: "PUT", path: "/admin/v1/config/objects/region/madaba", key: "admin-key", body: strings.Replace(regionBody, `-1"`, `-2"`, 1), header: []string{"If-Match", `"2"`, "Change-Id", "p3"}},
		{name: "delete", method: "DELETE", path: "/admin/v1/config/objects/region/madaba", key: "admin-key", header: []string{"If-Match", `"3"`, "Change-Id", "p4"}},
		{name: "put anew after deletion", method: "PUT", path: "/admin/v1/config/objects/region/madaba", key: "admin-key", body: regionBody, header: []string{"If-None-Match", "*", "Change-Id", "p5"}},
		{name: "withdraw without offset", method: "DELETE", path: "/admin/v1/config/changes/c9", key: "admin-key"},
		{name: "withdraw", method: "DELETE", path: "/admin/v1/config/changes/c9?after=2", key: "admin-key"},
		{name: "history of an object", method: "GET", path: "/admin/v1/config/history?object=region/madaba", key: "view-key"},
		{name: "instances", method: "GET", path: "/admin/v1/config/instances", key: "view-key"},
	} {
		config.err = step.err
		req := httptest.NewRequest(step.method, step.path, strings.NewReader(step.body))
		if step.key != "" {
			SetAuthorization(req, step.key)
		}
		for i := 0; i < len(step.header); i += 2 {
			req.Header.Set(step.header[i], step.header[i+1])
		}
		recorder := httptest.NewRecorder()
		api.ServeHTTP(recorder, req)
		fmt.Fprintf(&transcript, "# %s\n%s %s %s\n%d", step.name, step.method, step.path, step.body, recorder.Code)
		for _, name := range []string{"ETag", "Retry-After"} {
			if v := recorder.Header().Get(name); v != "" {
				fmt.Fprintf(&transcript, " %s: %s", name, v)
			}
		}
		fmt.Fprintf(&transcript, "\n%s\n", recorder.Body)
	}
	golden.Assert(t, transcript.String(), "session.golden")
}

func TestRegisteredRouteRequiresRole(t *testing.T) {
	api, _ := newAPI(t)
	api.Handle("POST /admin/v1/drain", RoleWrite, func(w http.ResponseWriter, r *http.Request) {
		WriteJSON(w, http.StatusOK, Operator(r.Context()))
	})
	for key, status := range map[string]int{"": 401, "view-key": 403, "admin-key": 200} {
		req := httptest.NewRequest("POST", "/admin/v1/drain", nil)
		if key != "" {
			SetAuthorization(req, key)
		}
		w := httptest.NewRecorder()
		api.ServeHTTP(w, req)
		assert.Equal(t, w.Code, status, key)
	}
}

func TestTooLargeBodyIsRejected(t *testing.T) {
	api, _ := newAPI(t)
	req := httptest.NewRequest("POST", "/admin/v1/config/changes", strings.NewReader(`{"id":"`+strings.Repeat("a", MaxBodyBytes)+`"}`))
	SetAuthorization(req, "admin-key")
	w := httptest.NewRecorder()
	api.ServeHTTP(w, req)
	assert.Equal(t, w.Code, http.StatusBadRequest)
}

func TestInvalidKeyFiles(t *testing.T) {
	for _, text := range []string{"admin name key", "write name", "write name key more"} {
		_, err := ParseKeys(text)
		assert.ErrorContains(t, err, "line 1")
	}
	_, err := LoadKeys("testdata/none")
	assert.ErrorContains(t, err, "read administration keys")
}
