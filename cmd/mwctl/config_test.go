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

// deployment is the admin API of an entry with a stand-in configuration log. It lists
// the entry itself and, if unreachable is set, an agent that does not answer.
type deployment struct {
	adminFlags
	configSync  *confsync.Sync
	logServer   *standin.Server
	unreachable bool
}

func newDeployment(t *testing.T) *deployment {
	log, err := platformlog.Start("127.0.0.1:0", platformlog.Config{})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = log.Close() })
	tlsConfig, err := rpc.TLSConfig([]byte("a secret of the test"))
	assert.NilError(t, err)
	keys, err := adminapi.ParseKeys("write test key")
	assert.NilError(t, err)
	const selfAddr = "127.0.0.1:1"
	d := &deployment{logServer: log}
	d.configSync = confsync.New(confsync.Options{
		Log: platform.NewHTTPLog("http://" + log.Addr()), Peers: func() []string { return nil }, Pool: rpc.NewPool(tlsConfig),
		InstanceID: "e1", Address: selfAddr, Logger: logr.Discard(),
	})
	api := adminapi.New(adminapi.Options{Keys: keys, Config: d.configSync, Logger: logr.Discard(), Instances: func() []membership.Instance {
		list := []membership.Instance{{ID: "e1", Role: membership.RoleEntry, Addr: selfAddr}}
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

// apply runs mwctl config apply with a schema file.
func (d *deployment) apply(file string) error {
	c := &configApply{adminFlags: d.adminFlags}
	c.Args.File = file
	return c.Execute(nil)
}

// exitCode returns the exit code of a command that returned err.
func exitCode(err error) int {
	if err == nil {
		return 0
	}
	var exitErr exitError
	if errors.As(err, &exitErr) {
		return exitErr.code
	}
	return exitFailed
}

const exampleSchema = "../../examples/qasr/schema.toml"

// editedSchema writes the example schema to a file with the first occurrence of a text
// replaced, and returns the path.
func editedSchema(t *testing.T, old, replacement string) string {
	text, err := os.ReadFile(exampleSchema)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(text), old))
	path := filepath.Join(t.TempDir(), "schema.toml")
	assert.NilError(t, os.WriteFile(path, []byte(strings.Replace(string(text), old, replacement, 1)), 0o600))
	return path
}

// weight returns the weight in force for the customer that the tests change.
func (d *deployment) weight() int {
	return d.configSync.Current().Schema.Customer("burj-consult").Weight
}

// TestConfigCommands runs apply, diff, get, history, rollback, status and withdraw
// without faults.
func TestConfigCommands(t *testing.T) {
	d := newDeployment(t)
	assert.Equal(t, exitCode(d.apply(editedSchema(t, "concurrency = 8", "concurrency = 0"))), exitInvalid)
	assert.NilError(t, d.apply(exampleSchema))
	assert.NilError(t, d.apply(exampleSchema))
	firstOffset := d.configSync.Current().Offset
	assert.Equal(t, firstOffset, uint64(1))

	changedFile := editedSchema(t, "weight = 4", "weight = 9")
	diff := &configDiff{adminFlags: d.adminFlags}
	diff.Args.File = changedFile
	assert.NilError(t, diff.Execute(nil))
	assert.NilError(t, d.apply(changedFile))
	assert.Equal(t, d.weight(), 9)

	get := &configGet{adminFlags: d.adminFlags, Offset: firstOffset}
	assert.NilError(t, get.Execute(nil))
	get.Args.Object = "customer/none"
	assert.Equal(t, exitCode(get.Execute(nil)), exitFailed)
	assert.NilError(t, (&configHistory{adminFlags: d.adminFlags}).Execute(nil))

	rollback := &configRollback{adminFlags: d.adminFlags, ID: "back"}
	rollback.Args.Offset = firstOffset
	assert.NilError(t, rollback.Execute(nil))
	assert.Equal(t, d.weight(), 4)
	assert.Equal(t, d.configSync.Current().Offset, firstOffset+2)

	status := &configStatus{adminFlags: d.adminFlags}
	status.Args.ID = "back"
	assert.NilError(t, status.Execute(nil))
	status.Args.ID = "none"
	assert.Equal(t, exitCode(status.Execute(nil)), exitFailed)
	withdraw := &configWithdraw{adminFlags: d.adminFlags, BaseOffset: firstOffset}
	withdraw.Args.ID = "back"
	assert.NilError(t, withdraw.Execute(nil))
	assert.Equal(t, d.weight(), 4)
}

// TestConfigExitCodesUnderFaults checks the exit codes for a conflict, faults of the
// configuration log, a wrong key, and an entry that cannot be reached.
func TestConfigExitCodesUnderFaults(t *testing.T) {
	d := newDeployment(t)
	assert.NilError(t, d.apply(exampleSchema))
	baseSnapshot := d.configSync.Current()
	assert.NilError(t, d.apply(editedSchema(t, "weight = 4", "weight = 9")))

	object, _ := baseSnapshot.Object("customer/burj-consult")
	err := d.submit(context.Background(), baseSnapshot.Offset, adminapi.ChangeRequest{Edits: []configlog.Edit{
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
		_, err := d.logServer.Switches.Apply([]byte(tc.fault))
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

// TestPrintedSchemaCanBeParsed checks that the output of mwctl config get parses
// as a schema with the same objects.
func TestPrintedSchemaCanBeParsed(t *testing.T) {
	d := newDeployment(t)
	assert.NilError(t, d.apply(exampleSchema))
	snap := d.configSync.Current()
	var out bytes.Buffer
	assert.NilError(t, writeSchema(&out, &adminapi.ObjectsReply{Offset: snap.Offset, Objects: snap.AllObjects()}))
	s, err := schema.Parse(out.Bytes())
	assert.NilError(t, err)
	objects, err := configlog.FromSchema(s)
	assert.NilError(t, err)
	assert.Equal(t, len(configlog.Diff(snap.AllObjects(), objects)), 0)
}
