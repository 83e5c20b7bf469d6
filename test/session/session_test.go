// Package session compares whole sessions against golden files. The sessions run on
// real processes. The golden files hold each request, its response, and the executions
// on the backend servers.
package session

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/magnoliawheel/magnoliawheel/internal/load"
	"github.com/magnoliawheel/magnoliawheel/test/harness"
	"github.com/magnoliawheel/magnoliawheel/test/standin/spec"

	"github.com/google/uuid"
)

const (
	// testTimeout fails the test if it hangs.
	testTimeout = 2 * time.Minute
	schemaFile  = "../failure/testdata/schema.toml"
)

// step is one request of a session, or a change of the faults of a stand-in.
type step struct {
	callName   string
	nonce      string
	entryIndex int
	stream     bool
	// keyName selects an idempotency key: steps with the same name use the same key.
	keyName string
	// standIn is the stand-in whose faults change, and switches are the faults to set.
	standIn  string
	switches map[string]any
}

var sessions = []struct {
	name  string
	steps []step
}{
	{"stream", []step{{callName: "draft", nonce: "a-1", stream: true}}},
	{"one-answer", []step{{callName: "draft", nonce: "a-1"}}},
	{"key-repeated", []step{
		{callName: "file-only", nonce: "a-1", keyName: "k"},
		{callName: "file-only", nonce: "a-1", keyName: "k", entryIndex: 1},
		{callName: "file-only", nonce: "a-2", keyName: "k"},
	}},
	{"service-fails", []step{
		{standIn: "services-1", switches: map[string]any{"fail": true}},
		{callName: "draft", nonce: "a-1", stream: true},
		{standIn: "services-1", switches: map[string]any{"reset": true}},
		{callName: "draft", nonce: "a-2", stream: true},
	}},
	{"log-down", []step{
		{standIn: spec.KindPlatformLog, switches: map[string]any{"down": true}},
		{callName: "file-only", nonce: "a-1", keyName: "k"},
		{callName: "file-only", nonce: "a-2"},
		{standIn: spec.KindPlatformLog, switches: map[string]any{"reset": true}},
		{callName: "file-only", nonce: "a-1", keyName: "k"},
	}},
	{"unknown-call", []step{{callName: "nothing", nonce: "a-1"}}},
}

func TestSessions(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	bin, err := harness.Build(ctx, t.TempDir())
	assert.NilError(t, err)
	schemaPath, err := filepath.Abs(schemaFile)
	assert.NilError(t, err)
	for _, s := range sessions {
		t.Run(s.name, func(t *testing.T) {
			d, err := harness.Start(ctx, harness.Config{
				Name: s.name, Binaries: bin, Dir: filepath.Join(t.TempDir(), "d"), SchemaFile: schemaPath, Entries: 2,
				Zones: []harness.Zone{{Name: "north-1", Region: "north"}},
				Servers: []harness.Server{
					{Name: "encoders-1", Pool: "encoders", Spec: spec.StandIn{Kind: "encoder"}},
					{Name: "engines-1", Pool: "engines", Spec: spec.StandIn{Kind: "engine"}},
					{Name: "services-1", Pool: "services", Spec: spec.StandIn{Kind: "service"}},
				},
			})
			assert.NilError(t, err)
			defer d.Stop()
			golden.Assert(t, runSteps(ctx, t, d, s.steps), s.name+".golden")
		})
	}
}

// runSteps executes the steps one after the other and returns the session as text.
func runSteps(ctx context.Context, t *testing.T, d *harness.Deployment, steps []step) string {
	t.Helper()
	caller := load.NewCaller(d.CallerURLs())
	defer caller.Close()
	keys := map[string]string{}
	var b strings.Builder
	for _, st := range steps {
		if st.standIn != "" {
			assert.NilError(t, d.Control(st.standIn, st.switches))
			switches, err := json.Marshal(st.switches)
			assert.NilError(t, err)
			fmt.Fprintf(&b, "control %s %s\n", st.standIn, switches)
			continue
		}
		executedBefore := executionLines(t, d)
		outcome := caller.Do(ctx, st.request(keys), st.entryIndex, time.Now())
		fmt.Fprintf(&b, "call %s nonce=%s entry=%d stream=%t key=%q\n", st.callName, st.nonce, st.entryIndex, st.stream, st.keyName)
		writeOutcome(&b, outcome)
		for _, line := range executionLines(t, d)[len(executedBefore):] {
			fmt.Fprintf(&b, "  executed %s\n", line)
		}
	}
	return b.String()
}

// request returns the request of a step. It creates idempotency keys on first use.
func (s step) request(keys map[string]string) load.Request {
	req := load.Request{
		Nonce: s.nonce, Call: s.callName, Customer: "burj-consult", CustomerKey: "burj-consult-key", Stream: s.stream,
		Body: fmt.Appendf(nil, `{"nonce":%q,"tokens":3}`, s.nonce),
	}
	if s.keyName != "" {
		if keys[s.keyName] == "" {
			keys[s.keyName] = uuid.Must(uuid.NewV7()).String()
		}
		req.IdempotencyKey = keys[s.keyName]
	}
	return req
}

// writeOutcome writes the response as text, without the values that differ between
// runs.
func writeOutcome(b *strings.Builder, outcome load.Outcome) {
	fmt.Fprintf(b, "  %s", outcome.Class)
	if outcome.Code != 0 {
		fmt.Fprintf(b, " code=%s ran=%s effects=%s retry_after=%t", outcome.Code, outcome.Ran, outcome.Effects, outcome.RetryAfter > 0)
	}
	if outcome.Defect != "" {
		fmt.Fprintf(b, " wrong=%q", outcome.Defect)
	}
	b.WriteByte('\n')
	for _, stage := range []string{"generate", "file"} {
		if text := outcome.Texts[stage]; text != "" {
			fmt.Fprintf(b, "  %s: %s\n", stage, text)
		}
	}
}

// executionLines returns all executions so far as text, without the values that differ
// between runs.
func executionLines(t *testing.T, d *harness.Deployment) []string {
	t.Helper()
	executions, err := d.Executions()
	if os.IsNotExist(err) {
		return nil
	}
	assert.NilError(t, err)
	var lines []string
	for _, e := range executions {
		lines = append(lines, fmt.Sprintf("%s %s nonce=%s %s tokens=%d", e.Server, e.Call, e.Nonce, e.Outcome, e.Tokens))
	}
	return lines
}
