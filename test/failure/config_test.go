package failure

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
	"github.com/magnoliawheel/magnoliawheel/core/schema"
	"github.com/magnoliawheel/magnoliawheel/internal/adminapi"
	"github.com/magnoliawheel/magnoliawheel/internal/load"
	"github.com/magnoliawheel/magnoliawheel/test/harness"
	"github.com/magnoliawheel/magnoliawheel/test/standin/spec"
)

// Exit codes of mwctl config, as in docs/OPERATIONS.md.
const (
	exitConfigUnavailable = 5
	exitConfigNotReached  = 7
)

// config runs mwctl config on the admin API of an entry and returns its exit code.
func (f *fleet) config(entry int, args ...string) (int, string) {
	f.t.Helper()
	args = append([]string{"config"}, args...)
	out, err := f.Mwctl(f.ctx, append(args, "--admin", f.Entries[entry].Admin, "--key", harness.AdminKey)...)
	var exited *exec.ExitError
	if errors.As(err, &exited) {
		return exited.ExitCode(), string(out)
	}
	assert.NilError(f.t, err)
	return 0, string(out)
}

// succeeds runs mwctl config and requires the exit code 0.
func (f *fleet) succeeds(entry int, args ...string) {
	f.t.Helper()
	code, out := f.config(entry, args...)
	assert.Equal(f.t, code, 0, out)
}

// variant writes the schema with a text replaced and returns its path.
func (f *fleet) variant(old, replacement string) (string, *schema.Schema) {
	f.t.Helper()
	text, err := os.ReadFile("testdata/schema.toml")
	assert.NilError(f.t, err)
	assert.Assert(f.t, strings.Contains(string(text), old))
	changed := strings.Replace(string(text), old, replacement, 1)
	s, err := schema.Parse([]byte(changed))
	assert.NilError(f.t, err)
	path := filepath.Join(f.t.TempDir(), "schema.toml")
	assert.NilError(f.t, os.WriteFile(path, []byte(changed), 0o600))
	return path, s
}

// TestSchemaChangesWhileRequestsRun adds a stage to a pipeline and takes it away
// again under traffic: no request is cut, and each has the stages of one version.
func TestSchemaChangesWhileRequestsRun(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nil)
	longer, newSchema := f.variant("[[pipeline.stage]]\nname = \"generate\"",
		"[[pipeline.stage]]\nname = \"encode-again\"\npool = \"encoders\"\ncall = \"encode-again\"\nidempotent = true\ntypical = \"10ms\"\n\n"+
			"[[pipeline.stage]]\nname = \"generate\"")
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			default:
				f.trafficStep()
			}
		}
	}()
	for range 3 {
		before := f.answeredBy(newSchema)
		f.succeeds(0, "apply", longer)
		f.succeeds(1, "wait")
		f.await("an answer by the longer pipeline", func() bool { return f.answeredBy(newSchema) > before })
		f.succeeds(1, "apply", "testdata/schema.toml")
		f.succeeds(0, "wait")
	}
	close(stop)
	<-stopped
	f.wg.Wait()
	executions, err := f.Executions()
	assert.NilError(t, err)
	old, longerOnes := f.split(newSchema)
	total := harness.Check(f.schema, old, executions)
	total.Add(harness.Check(newSchema, longerOnes, executions))
	t.Log(total)
	assert.NilError(t, total.Err())
	for _, s := range f.sent {
		assert.Assert(t, s.Outcome.Class == load.Complete || s.Outcome.Ran == "no", "%s: %+v", s.Request.Nonce, s.Outcome)
	}
	assert.Assert(t, len(longerOnes) > 0)
	assert.Assert(t, len(old) > 0)
}

// answeredBy returns how many requests were answered by the other schema so far.
func (f *fleet) answeredBy(other *schema.Schema) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, others := f.split(other)
	return len(others)
}

// split returns the requests sent, with those whose answer is that of the other
// schema apart.
func (f *fleet) split(other *schema.Schema) (own, others []harness.Sent) {
	for _, s := range f.sent {
		p := other.Pipeline(other.Call(s.Request.Call).Pipeline)
		before := f.schema.Pipeline(p.Name)
		if len(p.Stages) != len(before.Stages) && s.Outcome.Class == load.Complete &&
			sameTexts(s.Outcome.Texts, harness.Expected(p, s.Request.Body)) {
			others = append(others, s)
			continue
		}
		own = append(own, s)
	}
	return own, others
}

func sameTexts(a, b map[string]string) bool {
	for stage := range b {
		if a[stage] != b[stage] {
			return false
		}
	}
	return len(a) == len(b)
}

func TestConfigurationWhileLogIsDown(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nil)
	heavier, _ := f.variant("weight = 4", "weight = 5")
	f.control(map[string]any{"down": true}, spec.KindLog)
	for _, i := range []*harness.Instance{f.agent("encoders-1"), f.Entries[0]} {
		i.Kill()
		assert.NilError(t, f.Restart(i))
		assert.NilError(t, harness.WaitStatus(f.ctx, i.Admin+"/readyz", http.StatusOK))
	}
	f.complete("read", 0)
	code, out := f.config(0, "apply", heavier)
	assert.Equal(t, code, exitConfigUnavailable, out)
	f.control(map[string]any{"reset": true}, spec.KindLog)
	f.succeeds(0, "apply", heavier)
	f.succeeds(1, "wait", "--timeout", patience.String())
	f.check()
}

// post sends a change of one customer's weight and returns the status.
func (f *fleet) post(entry int, id string, base uint64, weight int) int {
	body, err := json.Marshal(adminapi.ChangeRequest{ID: id, Edits: []configlog.Edit{{
		Object: "customer/gulf-towers", BaseVersion: base,
		Body: fmt.Appendf(nil, `{"name":"gulf-towers","key_sha256":%q,"weight":%d}`, f.schema.Customer("gulf-towers").KeySHA256, weight),
	}}})
	if err != nil {
		return 0
	}
	req, err := http.NewRequestWithContext(f.ctx, http.MethodPost, f.Entries[entry].Admin+"/admin/v1/config/changes", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	adminapi.Authorize(req, harness.AdminKey)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

// version returns the version of the customer that post changes.
func (f *fleet) version(entry int) uint64 {
	f.t.Helper()
	var o configlog.Object
	assert.NilError(f.t, f.GetAdmin(f.ctx, f.Entries[entry], "/admin/v1/config/objects/customer/gulf-towers", &o))
	return o.Version
}

// TestOperatorsRace lets both entries take a change on the same version, while the
// log does what a case says: exactly one is accepted and the other is told so.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nil)
	for round, fault := range []map[string]any{
		{}, {"drop_answers": 1}, {"drop_answers": 2}, {"late_writes": 1, "late_write_ms": 500},
		{"late_writes": 2, "late_write_ms": 500}, {"delay_ms": 300},
	} {
		f.control(map[string]any{"reset": true}, spec.KindLog)
		f.succeeds(0, "wait")
		base := f.version(0)
		f.control(fault, spec.KindLog)
		statuses := make([]int, 2)
		var both sync.WaitGroup
		for entry := range statuses {
			both.Go(func() {
				statuses[entry] = f.post(entry, fmt.Sprintf("race-%d-%d", round, entry), base, 1+round*2+entry)
			})
		}
		both.Wait()
		count := map[int]int{}
		for _, s := range statuses {
			count[s]++
		}
		assert.DeepEqual(t, count, map[int]int{http.StatusOK: 1, http.StatusPreconditionFailed: 1})
		f.control(map[string]any{"reset": true}, spec.KindLog)
		f.succeeds(1, "wait")
		assert.Assert(t, f.version(0) > base)
		assert.Equal(t, f.version(0), f.version(1))
	}
}

func TestWaitNamesFrozenInstance(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nil)
	frozen := f.agent("engines-1")
	assert.NilError(t, frozen.Freeze())
	code, out := f.config(0, "wait", "--timeout", "3s")
	assert.Equal(t, code, exitConfigNotReached, out)
	for line := range strings.Lines(out) {
		assert.Equal(t, strings.Contains(line, "not reached"), strings.HasPrefix(line, "engines-1 "), line)
	}
	assert.NilError(t, frozen.Thaw())
	f.succeeds(0, "wait", "--timeout", patience.String())
}
