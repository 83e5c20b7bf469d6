// Package failure runs deployments of real processes under the faults that the system must
// survive, and compares what callers were told with what servers executed.
package failure

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/schema"
	"github.com/magnoliawheel/magnoliawheel/internal/load"
	"github.com/magnoliawheel/magnoliawheel/test/harness"
	"github.com/magnoliawheel/magnoliawheel/test/standin"
	"github.com/magnoliawheel/magnoliawheel/test/standin/spec"
)

// waitTimeout bounds each wait for an event, so that a test fails instead of hanging. It is
// not a requirement on the system.
const waitTimeout = 60 * time.Second

// pollInterval is the interval at which conditions are polled.
const pollInterval = 10 * time.Millisecond

// requestTimeout is the deadline of the requests.
const requestTimeout = 8 * time.Second

var binaries harness.Binaries

func TestMain(m *testing.M) { os.Exit(harness.Main(m, &binaries)) }

// fleet is a running deployment with the requests that a test has sent to it.
type fleet struct {
	*harness.Deployment
	t      *testing.T
	ctx    context.Context
	schema *schema.Schema
	caller *load.Caller
	// runID is the common prefix of the nonces of all requests.
	runID string

	mu           sync.Mutex
	sentRequests []harness.SentRequest
	requestCount int
	wg           sync.WaitGroup
}

// newServers returns two servers for each pool. If modify is not nil, it may change each of
// them.
func newServers(modify func(*harness.Server)) []harness.Server {
	var list []harness.Server
	for _, p := range []struct{ pool, kind string }{
		{"encoders", "encoder"}, {"engines", "engine"}, {"services", "service"},
	} {
		for i := range 2 {
			s := harness.Server{
				Name: fmt.Sprintf("%s-%d", p.pool, i+1), Pool: p.pool, Zone: i,
				Spec: spec.StandIn{Kind: p.kind, ProcessingTimeMS: 10},
			}
			if modify != nil {
				modify(&s)
			}
			list = append(list, s)
		}
	}
	return list
}

// newFleet starts two entries and the servers of newServers, and stops them when the test
// ends.
func newFleet(t *testing.T, modify func(*harness.Server)) *fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitTimeout)
	t.Cleanup(cancel)
	schemaFile, err := filepath.Abs("testdata/schema.toml")
	assert.NilError(t, err)
	text, err := os.ReadFile(schemaFile)
	assert.NilError(t, err)
	s, err := schema.Parse(text)
	assert.NilError(t, err)
	dir, err := os.MkdirTemp("", "magnoliawheel-case-")
	assert.NilError(t, err)
	t.Cleanup(func() { removeDirUnlessFailed(t, dir) })
	d, err := harness.Start(ctx, harness.Config{
		Name: t.Name(), Binaries: binaries, Dir: dir, SchemaFile: schemaFile, Entries: 2,
		Zones:   []harness.Zone{{Name: "north-1", Region: "north"}, {Name: "south-1", Region: "south"}},
		Servers: newServers(modify),
	})
	assert.NilError(t, err)
	f := &fleet{
		Deployment: d, t: t, ctx: ctx, schema: s, runID: "f" + uuid.NewString()[:8],
		caller: load.NewCaller(d.CallerURLs()),
	}
	t.Cleanup(func() {
		f.wg.Wait()
		f.caller.Close()
		d.Stop()
	})
	return f
}

// removeDirUnlessFailed keeps the logs and records of a failed test.
func removeDirUnlessFailed(t *testing.T, dir string) {
	if t.Failed() {
		t.Logf("logs and records are in %s", dir)
		return
	}
	_ = os.RemoveAll(dir)
}

// request returns a new request for a call, changed by the options.
func (f *fleet) request(call string, options ...func(*load.Request)) load.Request {
	f.mu.Lock()
	f.requestCount++
	nonce := fmt.Sprintf("%s-%05d", f.runID, f.requestCount)
	f.mu.Unlock()
	r := load.Request{
		Nonce: nonce, Call: call, Customer: "burj-consult", CustomerKey: "burj-consult-key",
		Timeout: requestTimeout,
		Body:    fmt.Appendf(nil, `{"nonce":%q,"tokens":20}`, nonce),
	}
	for _, option := range options {
		option(&r)
	}
	return r
}

// withStream makes the request ask for a stream.
func withStream(r *load.Request) { r.Stream = true }

// withIdempotencyKey gives the request a new idempotency key.
func withIdempotencyKey(r *load.Request) { r.IdempotencyKey = uuid.Must(uuid.NewV7()).String() }

// withBodyFields replaces all fields of the JSON body except the nonce.
func withBodyFields(fields string) func(*load.Request) {
	return func(r *load.Request) { r.Body = fmt.Appendf(nil, `{"nonce":%q,%s}`, r.Nonce, fields) }
}

// send sends a request through the entry with the given index. The outcome is sent on the
// returned channel and recorded for checkOutcomes.
func (f *fleet) send(r load.Request, entry int) <-chan load.Outcome {
	done := make(chan load.Outcome, 1)
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		out := f.caller.Do(f.ctx, r, entry, time.Now())
		f.mu.Lock()
		f.sentRequests = append(f.sentRequests, harness.SentRequest{Request: r, Outcome: out})
		f.mu.Unlock()
		done <- out
	}()
	return done
}

// sendUntilComplete sends new requests for a call until one completes.
func (f *fleet) sendUntilComplete(call string, entry int, options ...func(*load.Request)) {
	f.t.Helper()
	for f.ctx.Err() == nil {
		out := <-f.send(f.request(call, options...), entry)
		if out.Class == load.Complete {
			return
		}
		time.Sleep(max(out.RetryAfter, 5*pollInterval))
	}
	f.t.Fatalf("no request for call %s through entry %d completed", call, entry)
}

// await polls until the condition holds, and fails the test if it does not in time.
func (f *fleet) await(description string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out waiting for %s", description)
		}
		time.Sleep(pollInterval)
	}
}

// matchingExecutions returns the recorded executions for which match returns true.
func (f *fleet) matchingExecutions(match func(standin.Execution) bool) []standin.Execution {
	f.t.Helper()
	all, err := f.Executions()
	assert.NilError(f.t, err)
	var list []standin.Execution
	for _, e := range all {
		if match(e) {
			list = append(list, e)
		}
	}
	return list
}

// awaitExecution waits for an execution of a server call for a request and returns the
// first one.
func (f *fleet) awaitExecution(r load.Request, call string) standin.Execution {
	f.t.Helper()
	var found []standin.Execution
	f.await("execution of "+call+" for "+r.Nonce, func() bool {
		found = f.matchingExecutions(func(e standin.Execution) bool { return e.Nonce == r.Nonce && e.Call == call })
		return len(found) > 0
	})
	return found[0]
}

// checkOutcomes waits for all requests, compares their outcomes with the recorded
// executions, and fails the test on a contradiction.
func (f *fleet) checkOutcomes() harness.Ledger {
	f.t.Helper()
	f.wg.Wait()
	executions, err := f.Executions()
	assert.NilError(f.t, err)
	f.mu.Lock()
	sent := f.sentRequests
	f.mu.Unlock()
	ledger := harness.CheckOutcomes(f.schema, sent, executions)
	f.t.Log(ledger)
	assert.NilError(f.t, ledger.Err())
	return ledger
}

// control sets fault switches of stand-ins.
func (f *fleet) control(switches map[string]any, names ...string) {
	f.t.Helper()
	for _, name := range names {
		assert.NilError(f.t, f.Control(name, switches))
	}
}

// agent returns the agent with the given id, which is also the name of its server.
func (f *fleet) agent(id string) *harness.Instance {
	f.t.Helper()
	a := f.Agent(id)
	assert.Assert(f.t, a != nil, id)
	return a
}

// splitExecutionID splits the id of an execution into request, stage and attempt.
func splitExecutionID(id string) (request, stage, attempt string) {
	rest, attempt, _ := cutAtLastSlash(id)
	request, stage, _ = cutAtLastSlash(rest)
	return request, stage, attempt
}

func cutAtLastSlash(s string) (before, after string, found bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}
