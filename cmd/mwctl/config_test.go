package main

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
	"github.com/magnoliawheel/magnoliawheel/core/membership"
	"github.com/magnoliawheel/magnoliawheel/core/schema"
	"github.com/magnoliawheel/magnoliawheel/internal/adminapi"
	"github.com/magnoliawheel/magnoliawheel/internal/confsync"
	"github.com/magnoliawheel/magnoliawheel/internal/platform"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc"
	"github.com/magnoliawheel/magnoliawheel/test/standin"
	"github.com/magnoliawheel/magnoliawheel/test/standin/platformlog"
)

// deployment is an entry's admin API over a log, with one instance that answers
// and, if unreachable is set, one that does not.
type deployment struct {
	adminFlags
	sync        *confsync.Sync
	log         *standin.Server
	unreachable bool
}

func newDeployment(t *testing.T) *deployment {
	log, err := platformlog.Start("127.0.0.1:0", platformlog.Config{})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = log.Close() })
	conf, err := rpc.TLSConfig([]byte("a secret of the test"))
	assert.NilError(t, err)
	keys, err := adminapi.ParseKeys("write test key")
	assert.NilError(t, err)
	const own = "127.0.0.1:1"
	d := &deployment{log: log}
	d.sync = confsync.New(confsync.Options{
		Log: platform.NewHTTPLog("http://" + log.Addr()), Peers: func() []string { return nil }, Pool: rpc.NewPool(conf),
		InstanceID: "e1", Address: own, Logger: logr.Discard(),
	})
	api := adminapi.New(adminapi.Options{Keys: keys, Config: d.sync, Logger: logr.Discard(), Instances: func() []membership.Instance {
		list := []membership.Instance{{ID: "e1", Role: membership.RoleEntry, Addr: own}}
		if d.unreachable {
			list = append(list, membership.Instance{ID: "a1", Role: membership.RoleAgent, Addr: "127.0.0.1:2"})
		}
		return list
	}})
	srv := httptest.NewServer(api)
	t.Cleanup(srv.Close)
	d.adminFlags = adminFlags{Admin: srv.URL, Key: "key"}
	return d
}

// apply applies a file.
func (d *deployment) apply(file string) error {
	c := &configApply{adminFlags: d.adminFlags}
	c.Args.File = file
	return c.Execute(nil)
}

func exitCode(err error) int {
	if err == nil {
		return 0
	}
	var coded exitError
	if errors.As(err, &coded) {
		return coded.code
	}
	return exitFailed
}

const exampleSchema = "../../examples/qasr/schema.toml"

// edited returns a file with the example schema with a text replaced.
func edited(t *testing.T, old, replacement string) string {
	text, err := os.ReadFile(exampleSchema)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(text), old))
	path := filepath.Join(t.TempDir(), "schema.toml")
	assert.NilError(t, os.WriteFile(path, []byte(strings.Replace(string(text), old, replacement, 1)), 0o600))
	return path
}

func (d *deployment) weight() int { return d.sync.Current().Schema.Customer("burj-consult").Weight }

func TestConfigCommands(t *testing.T) {
	d := newDeployment(t)
	assert.Equal(t, exitCode(d.apply(edited(t, "concurrency = 8", "concurrency = 0"))), exitInvalid)
	assert.NilError(t, d.apply(exampleSchema))
	assert.NilError(t, d.apply(exampleSchema))
	first := d.sync.Current().Offset
	assert.Equal(t, first, uint64(1))

	heavier := edited(t, "weight = 4", "weight = 9")
	diff := &configDiff{adminFlags: d.adminFlags}
	diff.Args.File = heavier
	assert.NilError(t, diff.Execute(nil))
	assert.NilError(t, d.apply(heavier))
	assert.Equal(t, d.weight(), 9)

	get := &configGet{adminFlags: d.adminFlags, At: first}
	assert.NilError(t, get.Execute(nil))
	get.Args.Object = "customer/none"
	assert.Equal(t, exitCode(get.Execute(nil)), exitFailed)
	assert.NilError(t, (&configHistory{adminFlags: d.adminFlags}).Execute(nil))

	back := &configRollback{adminFlags: d.adminFlags, ID: "back"}
	back.Args.Offset = first
	assert.NilError(t, back.Execute(nil))
	assert.Equal(t, d.weight(), 4)
	assert.Equal(t, d.sync.Current().Offset, first+2)

	status := &configStatus{adminFlags: d.adminFlags}
	status.Args.ID = "back"
	assert.NilError(t, status.Execute(nil))
	status.Args.ID = "none"
	assert.Equal(t, exitCode(status.Execute(nil)), exitFailed)
	withdraw := &configWithdraw{adminFlags: d.adminFlags, After: first}
	withdraw.Args.ID = "back"
	assert.NilError(t, withdraw.Execute(nil))
	assert.Equal(t, d.weight(), 4)
}

func TestConfigExitCodesUnderFaults(t *testing.T) {
	d := newDeployment(t)
	assert.NilError(t, d.apply(exampleSchema))
	old := d.sync.Current()
	assert.NilError(t, d.apply(edited(t, "weight = 4", "weight = 9")))

	object, _ := old.Object("customer/burj-consult")
	err := d.submit(context.Background(), old.Offset, adminapi.ChangeRequest{Edits: []configlog.Edit{
		{Object: object.Name, BaseVersion: object.Version, Delete: true},
	}})
	assert.Equal(t, exitCode(err), exitConflict)

	for _, tc := range []struct {
		name, fault string
		code        int
	}{
		{"log down", `{"down":true}`, exitUnavailable},
		{"answer lost", `{"down":false,"drop_answers":1}`, 0},
	} {
		_, err := d.log.Switches.Apply([]byte(tc.fault))
		assert.NilError(t, err)
		assert.Equal(t, exitCode(d.apply(exampleSchema)), tc.code, tc.name)
	}
	assert.Equal(t, d.weight(), 4)

	bad := d.adminFlags
	bad.Key = "other"
	assert.Equal(t, exitCode((&configHistory{adminFlags: bad}).Execute(nil)), exitFailed)
	bad = d.adminFlags
	bad.Admin = "http://127.0.0.1:1"
	assert.Equal(t, exitCode((&configHistory{adminFlags: bad}).Execute(nil)), exitUnavailable)
}

func TestConfigWaitNamesInstancesThatCannotBeReached(t *testing.T) {
	d := newDeployment(t)
	assert.NilError(t, d.apply(exampleSchema))
	wait := &configWait{adminFlags: d.adminFlags, Timeout: 10 * time.Second}
	assert.NilError(t, wait.Execute(nil))
	d.unreachable = true
	wait.Timeout = time.Second
	err := wait.Execute(nil)
	assert.Equal(t, exitCode(err), exitNotReached)
	assert.ErrorContains(t, err, "1 of 2 instances")
	var out strings.Builder
	assert.NilError(t, writeInstances(&out, &adminapi.InstancesReply{Offset: 3, Instances: []adminapi.InstanceOffset{
		{ID: "e1", Role: membership.RoleEntry, Addr: "10.0.0.1:1", Offset: 3},
		{ID: "a1", Role: membership.RoleAgent, Addr: "10.0.0.2:1", Offset: 2},
		{ID: "a2", Role: membership.RoleAgent, Addr: "10.0.0.3:1", Error: "connection refused"},
	}}, 3))
	assert.Equal(t, out.String(), `INSTANCE  ROLE   ADDRESS     OFFSET  STATE
e1        entry  10.0.0.1:1  3       in force
a1        agent  10.0.0.2:1  2       behind
a2        agent  10.0.0.3:1  0       not reached: connection refused
`)
}

func TestPrintedSchemaIsASchemaFile(t *testing.T) {
	d := newDeployment(t)
	assert.NilError(t, d.apply(exampleSchema))
	snap := d.sync.Current()
	var out bytes.Buffer
	assert.NilError(t, writeSchema(&out, &adminapi.ObjectsReply{Offset: snap.Offset, Objects: snap.AllObjects()}))
	s, err := schema.Parse(out.Bytes())
	assert.NilError(t, err)
	objects, err := configlog.FromSchema(s)
	assert.NilError(t, err)
	assert.Equal(t, len(configlog.Diff(snap.AllObjects(), objects)), 0)
}
