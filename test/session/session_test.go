// Package session holds golden files of whole sessions over real processes: what
// a caller sent, what it was told, and what the servers executed.
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
	// patience bounds the whole test, so that a test that would hang fails.
	patience   = 2 * time.Minute
	schemaFile = "../failure/testdata/schema.toml"
)

// step is one request of a session, or a change of a stand-in's faults.
type step struct {
	call   string
	nonce  string
	entry  int
	stream bool
	// key names an idempotency key; steps with the same name use the same key.
	key string
	// control sets the switches of the stand-in named in server.
	server  string
	control map[string]any
}

var sessions = []struct {
	name  string
	steps []step
}{
	{"stream", []step{{call: "draft", nonce: "a-1", stream: true}}},
	{"one-answer", []step{{call: "draft", nonce: "a-1"}}},
	{"key-repeated", []step{
		{call: "file-only", nonce: "a-1", key: "k"},
		{call: "file-only", nonce: "a-1", key: "k", entry: 1},
		{call: "file-only", nonce: "a-2", key: "k"},
	}},
	{"service-fails", []step{
		{server: "services-1", control: map[string]any{"fail": true}},
		{call: "draft", nonce: "a-1", stream: true},
		{server: "services-1", control: map[string]any{"reset": true}},
		{call: "draft", nonce: "a-2", stream: true},
	}},
	{"log-down", []step{
		{server: spec.KindLog, control: map[string]any{"down": true}},
		{call: "file-only", nonce: "a-1", key: "k"},
		{call: "file-only", nonce: "a-2"},
		{server: spec.KindLog, control: map[string]any{"reset": true}},
		{call: "file-only", nonce: "a-1", key: "k"},
	}},
	{"unknown-call", []step{{call: "nothing", nonce: "a-1"}}},
}

func TestSessions(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	bin, err := harness.Build(ctx, t.TempDir())
	assert.NilError(t, err)
	file, err := filepath.Abs(schemaFile)
	assert.NilError(t, err)
	for _, s := range sessions {
		t.Run(s.name, func(t *testing.T) {
			d, err := harness.Start(ctx, harness.Config{
				Name: s.name, Binaries: bin, Dir: filepath.Join(t.TempDir(), "d"), SchemaFile: file, Entries: 2,
				Zones: []harness.Zone{{Name: "north-1", Region: "north"}},
				Servers: []harness.Server{
					{Name: "encoders-1", Pool: "encoders", Spec: spec.Service{Kind: "encoder"}},
					{Name: "engines-1", Pool: "engines", Spec: spec.Service{Kind: "engine"}},
					{Name: "services-1", Pool: "services", Spec: spec.Service{Kind: "service"}},
				},
			})
			assert.NilError(t, err)
			defer d.Stop()
			golden.Assert(t, play(ctx, t, d, s.steps), s.name+".golden")
		})
	}
}

// play runs the steps one after the other and returns the session as text.
func play(ctx context.Context, t *testing.T, d *harness.Deployment, steps []step) string {
	t.Helper()
	caller := load.NewCaller(d.CallerURLs())
	defer caller.Close()
	keys := map[string]string{}
	var b strings.Builder
	for _, st := range steps {
		if st.server != "" {
			assert.NilError(t, d.Control(st.server, st.control))
			switches, err := json.Marshal(st.control)
			assert.NilError(t, err)
			fmt.Fprintf(&b, "control %s %s\n", st.server, switches)
			continue
		}
		before := executed(t, d)
		out := caller.Do(ctx, st.request(keys), st.entry, time.Now())
		fmt.Fprintf(&b, "call %s nonce=%s entry=%d stream=%t key=%q\n", st.call, st.nonce, st.entry, st.stream, st.key)
		writeOutcome(&b, out)
		for _, line := range executed(t, d)[len(before):] {
			fmt.Fprintf(&b, "  executed %s\n", line)
		}
	}
	return b.String()
}

func (s step) request(keys map[string]string) load.Request {
	r := load.Request{
		Nonce: s.nonce, Call: s.call, Customer: "burj-consult", CustomerKey: "burj-consult-key", Stream: s.stream,
		Body: fmt.Appendf(nil, `{"nonce":%q,"tokens":3}`, s.nonce),
	}
	if s.key != "" {
		if keys[s.key] == "" {
			keys[s.key] = uuid.Must(uuid.NewV7()).String()
		}
		r.IdempotencyKey = keys[s.key]
	}
	return r
}

func writeOutcome(b *strings.Builder, out load.Outcome) {
	fmt.Fprintf(b, "  %s", out.Class)
	if out.Code != 0 {
		fmt.Fprintf(b, " code=%s ran=%s effects=%s retry_after=%t", out.Code, out.Ran, out.Effects, out.RetryAfter > 0)
	}
	if out.Wrong != "" {
		fmt.Fprintf(b, " wrong=%q", out.Wrong)
	}
	b.WriteByte('\n')
	for _, stage := range []string{"generate", "file"} {
		if text := out.Texts[stage]; text != "" {
			fmt.Fprintf(b, "  %s: %s\n", stage, text)
		}
	}
}

// executed returns the executions so far, without what differs between runs.
func executed(t *testing.T, d *harness.Deployment) []string {
	t.Helper()
	all, err := d.Executions()
	if os.IsNotExist(err) {
		return nil
	}
	assert.NilError(t, err)
	var lines []string
	for _, e := range all {
		lines = append(lines, fmt.Sprintf("%s %s nonce=%s %s tokens=%d", e.Server, e.Call, e.Nonce, e.Outcome, e.Tokens))
	}
	return lines
}
