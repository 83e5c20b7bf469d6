package failure

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/load"
	"github.com/magnoliawheel/magnoliawheel/test/harness"
	"github.com/magnoliawheel/magnoliawheel/test/standin"
)

// longWork is a body field that makes a server call take long enough for a fault to be
// injected meanwhile.
const longWork = `"work_ms":1500`

// agentOf returns the agent of the server that runs execution e.
func (f *fleet) agentOf(e standin.Execution) *harness.Instance { return f.agent(e.Server) }

// TestFrozenAfterAcceptance freezes the agent of each kind of server while the server
// executes a call, and resumes it once another request has completed.
func TestFrozenAfterAcceptance(t *testing.T) {
	for _, tc := range []struct {
		name, call, execution, body string
		option                      func(*load.Request)
	}{
		{"encoder", "draft", "encode", `"tokens":5,` + longWork, withStream},
		{"engine", "draft", "generate", `"tokens":150`, withStream},
		{"service", "file-only", "file", longWork, withStream},
		{"service, keyed", "file-only", "file", longWork, withIdempotencyKey},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, nil)
			r := f.request(tc.call, tc.option, withBodyFields(tc.body))
			done := f.send(r, 0)
			a := f.agentOf(f.awaitExecution(r, tc.execution))
			assert.NilError(t, a.Freeze())
			f.sendUntilComplete("draft", 1)
			assert.NilError(t, a.Resume())
			out := <-done
			t.Logf("%s: %s %s", r.Nonce, out.Class, out.Code)
			f.checkOutcomes()
		})
	}
}

// TestFrozenBeforeAcceptance sends filings while one agent of the pool is frozen. Each gets
// an outcome, and none is executed late when the agent resumes.
func TestFrozenBeforeAcceptance(t *testing.T) {
	for _, tc := range []struct {
		name    string
		options []func(*load.Request)
	}{
		{"without key", nil},
		{"with key", []func(*load.Request){withIdempotencyKey}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, nil)
			f.sendUntilComplete("file-only", 0, tc.options...)
			a := f.agent("services-1")
			assert.NilError(t, a.Freeze())
			var pending []<-chan load.Outcome
			for i := range 12 {
				pending = append(pending, f.send(f.request("file-only", tc.options...), i))
			}
			for _, p := range pending {
				<-p
			}
			assert.NilError(t, a.Resume())
			f.awaitNewExecution("services-1", tc.options...)
			f.checkOutcomes()
		})
	}
}

// awaitNewExecution sends filings until the named server executes one.
func (f *fleet) awaitNewExecution(name string, options ...func(*load.Request)) {
	f.t.Helper()
	before := len(f.matchingExecutions(onServer(name)))
	f.await("new work at "+name, func() bool {
		<-f.send(f.request("file-only", options...), f.requestCount)
		return len(f.matchingExecutions(onServer(name))) > before
	})
}

// onServer returns a match function for the executions on a server.
func onServer(server string) func(standin.Execution) bool {
	return func(e standin.Execution) bool { return e.Server == server }
}

// TestAgentKilledAfterAcceptance kills the agent while its server executes a filing. The
// caller is told that the outcome is unknown, and the filing is not executed again.
func TestAgentKilledAfterAcceptance(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nil)
	for _, option := range []func(*load.Request){withStream, withIdempotencyKey} {
		r := f.request("file-only", option, withBodyFields(longWork))
		done := f.send(r, 0)
		a := f.agentOf(f.awaitExecution(r, "file"))
		a.Kill()
		out := <-done
		assert.Equal(t, out.Class, load.Unknown, "%+v", out)
		assert.Equal(t, out.Effects, "unknown")
		assert.NilError(t, f.Restart(a))
		assert.NilError(t, f.WaitReady(f.ctx))
	}
	f.checkOutcomes()
}

// TestEngineAgentKilledWhileGenerating kills an engine's agent during a generation. A call
// with a single answer completes, since another engine generates it again. A stream of
// which the caller has received a part cannot continue with a different generation: it
// fails with "agent lost", and nothing is filed.
func TestEngineAgentKilledWhileGenerating(t *testing.T) {
	for _, tc := range []struct {
		name   string
		option func(*load.Request)
	}{
		{"one answer", func(*load.Request) {}},
		{"stream", withStream},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, nil)
			r := f.request("draft", tc.option, withBodyFields(`"tokens":120`))
			done := f.send(r, 0)
			f.agentOf(f.awaitExecution(r, "generate")).Kill()
			out := <-done
			f.checkOutcomes()
			if out.Class == load.Complete {
				return
			}
			assert.Assert(t, r.Stream && out.Texts["generate"] != "", "%+v", out)
			assert.Equal(t, out.Code, result.AgentLost, "%+v", out)
			assert.Equal(t, out.Effects, "no")
			assert.Equal(t, f.filingCount(r), 0)
		})
	}
}

// TestEntryKilled kills the entry that owns a stream. The caller re-attaches through the
// other entry, which continues work without effects. It does not start a filing, because
// the killed entry may already have sent it, and reports an unknown outcome.
func TestEntryKilled(t *testing.T) {
	for _, tc := range []struct {
		name, call, execution, body string
		class                       load.Class
	}{
		{"without effects", "read", "encode", longWork, load.Complete},
		{"before a filing", "draft", "generate", `"tokens":120`, load.Unknown},
		{"while filing", "file-only", "file", longWork, load.Complete},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, nil)
			r := f.request(tc.call, withStream, withBodyFields(tc.body))
			done := f.send(r, 0)
			f.awaitExecution(r, tc.execution)
			f.Entries[0].Kill()
			out := <-done
			assert.Equal(t, out.Class, tc.class, "%+v", out)
			f.checkOutcomes()
		})
	}
}

// TestPayloadHolderKilled kills the agent that holds a large intermediate result when the
// next stage is about to start or has just started. The request completes.
func TestPayloadHolderKilled(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nil)
	r := f.request("draft", withStream, withBodyFields(`"tokens":40,"size":20000`))
	done := f.send(r, 0)
	e := f.awaitExecution(r, "encode")
	f.await("the result of encode", func() bool {
		return len(f.matchingExecutions(func(x standin.Execution) bool {
			return x.RunID == e.RunID && x.Seq == e.Seq && x.Outcome == standin.Completed
		})) > 0
	})
	f.agentOf(e).Kill()
	out := <-done
	assert.Equal(t, out.Class, load.Complete, "%+v", out)
	f.checkOutcomes()
}
