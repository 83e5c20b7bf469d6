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

// runMwctlConfig runs mwctl config against the admin API of an entry and returns its exit
// code and output.
func (f *fleet) runMwctlConfig(entry int, args ...string) (int, string) {
	f.t.Helper()
	args = append([]string{"config"}, args...)
	out, err := f.Mwctl(f.ctx, append(args, "--admin", f.Entries[entry].AdminURL, "--key", harness.AdminKey)...)
	var exitErr *exec.ExitError
	if errors.As(err, &exitErr) {
		return exitErr.ExitCode(), string(out)
	}
	assert.NilError(f.t, err)
	return 0, string(out)
}

// mustRunConfig runs mwctl config and fails the test unless the exit code is 0.
func (f *fleet) mustRunConfig(entry int, args ...string) {
	f.t.Helper()
	code, out := f.runMwctlConfig(entry, args...)
	assert.Equal(f.t, code, 0, out)
}

// writeModifiedSchema writes a copy of the test schema with the first occurrence of a text
// replaced. It returns its path and the parsed schema.
func (f *fleet) writeModifiedSchema(old, replacement string) (string, *schema.Schema) {
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

// TestSchemaChangesWhileRequestsRun adds a stage to a pipeline and removes it again under
// traffic. Each request completes or is refused before anything has run, and each answer
// comes from the stages of a single schema version.
func TestSchemaChangesWhileRequestsRun(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nil)
	longerSchemaFile, newSchema := f.writeModifiedSchema("[[pipeline.stage]]\nname = \"generate\"",
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
				f.sendTrafficRequest()
			}
		}
	}()
	for range 3 {
		before := f.countAnsweredBy(newSchema)
		f.mustRunConfig(0, "apply", longerSchemaFile)
		f.mustRunConfig(1, "wait")
		f.await("an answer from the longer pipeline", func() bool { return f.countAnsweredBy(newSchema) > before })
		f.mustRunConfig(1, "apply", "testdata/schema.toml")
		f.mustRunConfig(0, "wait")
	}
	close(stop)
	<-stopped
	f.wg.Wait()
	executions, err := f.Executions()
	assert.NilError(t, err)
	answeredByOld, answeredByNew := f.splitBySchema(newSchema)
	total := harness.CheckOutcomes(f.schema, answeredByOld, executions)
	total.Add(harness.CheckOutcomes(newSchema, answeredByNew, executions))
	t.Log(total)
	assert.NilError(t, total.Err())
	for _, s := range f.sentRequests {
		assert.Assert(t, s.Outcome.Class == load.Complete || s.Outcome.Ran == "no", "%s: %+v", s.Request.Nonce, s.Outcome)
	}
	assert.Assert(t, len(answeredByNew) > 0)
	assert.Assert(t, len(answeredByOld) > 0)
}

// countAnsweredBy returns how many requests have been answered by the pipelines of another
// schema so far.
func (f *fleet) countAnsweredBy(other *schema.Schema) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, answered := f.splitBySchema(other)
	return len(answered)
}

// splitBySchema splits the requests into those whose answer comes from a pipeline of
// another schema, with a different number of stages, and all the rest.
func (f *fleet) splitBySchema(other *schema.Schema) (own, others []harness.SentRequest) {
	for _, s := range f.sentRequests {
		otherPipeline := other.Pipeline(other.Call(s.Request.Call).Pipeline)
		ownPipeline := f.schema.Pipeline(otherPipeline.Name)
		if len(otherPipeline.Stages) != len(ownPipeline.Stages) && s.Outcome.Class == load.Complete &&
			sameTexts(s.Outcome.Texts, harness.ExpectedAnswer(otherPipeline, s.Request.Body)) {
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

// TestConfigurationWhileLogIsDown restarts an agent and an entry while the log is down.
// They become ready and serve requests. A change of the configuration is refused until the
// log is back.
func TestConfigurationWhileLogIsDown(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nil)
	changedFile, _ := f.writeModifiedSchema("weight = 4", "weight = 5")
	f.control(map[string]any{"down": true}, spec.KindPlatformLog)
	for _, i := range []*harness.Instance{f.agent("encoders-1"), f.Entries[0]} {
		i.Kill()
		assert.NilError(t, f.Restart(i))
		assert.NilError(t, harness.WaitForStatus(f.ctx, i.AdminURL+"/readyz", http.StatusOK))
	}
	f.sendUntilComplete("read", 0)
	code, out := f.runMwctlConfig(0, "apply", changedFile)
	assert.Equal(t, code, exitConfigUnavailable, out)
	f.control(map[string]any{"reset": true}, spec.KindPlatformLog)
	f.mustRunConfig(0, "apply", changedFile)
	f.mustRunConfig(1, "wait", "--timeout", waitTimeout.String())
	f.checkOutcomes()
}

// postWeightChange sends a change of one customer's weight, based on version base of the
// customer. It returns the HTTP status, 0 if there was none.
func (f *fleet) postWeightChange(entry int, id string, base uint64, weight int) int {
	body, err := json.Marshal(adminapi.ChangeRequest{ID: id, Edits: []configlog.Edit{{
		Object: "customer/gulf-towers", BaseVersion: base,
		Body: fmt.Appendf(nil, `{"name":"gulf-towers","key_sha256":%q,"weight":%d}`, f.schema.Customer("gulf-towers").KeySHA256, weight),
	}}})
	if err != nil {
		return 0
	}
	req, err := http.NewRequestWithContext(f.ctx, http.MethodPost, f.Entries[entry].AdminURL+"/admin/v1/config/changes", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	adminapi.SetAuthorization(req, harness.AdminKey)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

// customerVersion returns the version, at an entry, of the customer that postWeightChange
// changes.
func (f *fleet) customerVersion(entry int) uint64 {
	f.t.Helper()
	var o configlog.Object
	assert.NilError(f.t, f.GetAdmin(f.ctx, f.Entries[entry], "/admin/v1/config/objects/customer/gulf-towers", &o))
	return o.Version
}

// TestConcurrentWeightChanges sends a change based on the same version to each of the two
// entries, while the log has the fault of the round. Exactly one is accepted, and the other
// one is refused because of a failed precondition.
func TestConcurrentWeightChanges(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nil)
	for round, fault := range []map[string]any{
		{}, {"drop_answers": 1}, {"drop_answers": 2}, {"late_writes": 1, "late_write_ms": 500},
		{"late_writes": 2, "late_write_ms": 500}, {"delay_ms": 300},
	} {
		f.control(map[string]any{"reset": true}, spec.KindPlatformLog)
		f.mustRunConfig(0, "wait")
		base := f.customerVersion(0)
		f.control(fault, spec.KindPlatformLog)
		statuses := make([]int, 2)
		var writers sync.WaitGroup
		for entry := range statuses {
			writers.Go(func() {
				statuses[entry] = f.postWeightChange(entry, fmt.Sprintf("race-%d-%d", round, entry), base, 1+round*2+entry)
			})
		}
		writers.Wait()
		count := map[int]int{}
		for _, s := range statuses {
			count[s]++
		}
		assert.DeepEqual(t, count, map[int]int{http.StatusOK: 1, http.StatusPreconditionFailed: 1})
		f.control(map[string]any{"reset": true}, spec.KindPlatformLog)
		f.mustRunConfig(1, "wait")
		assert.Assert(t, f.customerVersion(0) > base)
		assert.Equal(t, f.customerVersion(0), f.customerVersion(1))
	}
}

// TestWaitNamesFrozenInstance checks that mwctl config wait reports exactly the frozen
// instance as not having reached the configuration.
func TestWaitNamesFrozenInstance(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nil)
	frozen := f.agent("engines-1")
	assert.NilError(t, frozen.Freeze())
	code, out := f.runMwctlConfig(0, "wait", "--timeout", "3s")
	assert.Equal(t, code, exitConfigNotReached, out)
	for line := range strings.Lines(out) {
		assert.Equal(t, strings.Contains(line, "not reached"), strings.HasPrefix(line, "engines-1 "), line)
	}
	assert.NilError(t, frozen.Resume())
	f.mustRunConfig(0, "wait", "--timeout", waitTimeout.String())
}
