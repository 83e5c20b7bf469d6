package failure

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/load"
	"github.com/magnoliawheel/magnoliawheel/test/harness"
	"github.com/magnoliawheel/magnoliawheel/test/standin"
)

// longWork keeps a plain call running until a fault has been made.
const longWork = `"work_ms":1500`

// agentOf returns the agent beside the server that executes e.
func (f *fleet) agentOf(e standin.Execution) *harness.Instance { return f.agent(e.Server) }

// TestFrozenAfterAcceptance freezes the agent of each stage while its server
// executes, and lets it go on once another request was answered.
func TestFrozenAfterAcceptance(t *testing.T) {
	for _, tc := range []struct {
		name, call, execution, body string
		change                      func(*load.Request)
	}{
		{"encoder", "draft", "encode", `"tokens":5,` + longWork, withStream},
		{"engine", "draft", "generate", `"tokens":150`, withStream},
		{"service", "file-only", "file", longWork, withStream},
		{"service, keyed", "file-only", "file", longWork, withIdempotencyKey},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, nil)
			r := f.request(tc.call, tc.change, withBodyFields(tc.body))
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

// TestFrozenBeforeAcceptance sends filings while one agent of the pool is frozen:
// each is answered, and none runs late when the agent goes on.
func TestFrozenBeforeAcceptance(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change []func(*load.Request)
	}{
		{"without key", nil},
		{"with key", []func(*load.Request){withIdempotencyKey}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, nil)
			f.sendUntilComplete("file-only", 0, tc.change...)
			a := f.agent("services-1")
			assert.NilError(t, a.Freeze())
			var pending []<-chan load.Outcome
			for i := range 12 {
				pending = append(pending, f.send(f.request("file-only", tc.change...), i))
			}
			for _, p := range pending {
				<-p
			}
			assert.NilError(t, a.Resume())
			f.awaitServer("services-1", tc.change...)
			f.checkOutcomes()
		})
	}
}

// awaitServer sends filings until the server executes one.
func (f *fleet) awaitServer(name string, change ...func(*load.Request)) {
	f.t.Helper()
	before := len(f.matchingExecutions(at(name)))
	f.await("new work at "+name, func() bool {
		<-f.send(f.request("file-only", change...), f.requestCount)
		return len(f.matchingExecutions(at(name))) > before
	})
}

func at(server string) func(standin.Execution) bool {
	return func(e standin.Execution) bool { return e.Server == server }
}

// TestAgentKilledAfterAcceptance kills the agent of a filing that its server
// executes: the caller is told "unknown" and nothing runs twice.
func TestAgentKilledAfterAcceptance(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nil)
	for _, change := range []func(*load.Request){withStream, withIdempotencyKey} {
		r := f.request("file-only", change, withBodyFields(longWork))
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

// TestEngineAgentKilledWhileGenerating kills the agent of a generation. One answer is
// whole, since another engine generates it again. A stream of which the caller has a
// part already cannot go on with another generation, and is refused at once with
// nothing filed.
func TestEngineAgentKilledWhileGenerating(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(*load.Request)
	}{
		{"one answer", func(*load.Request) {}},
		{"stream", withStream},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, nil)
			r := f.request("draft", tc.change, withBodyFields(`"tokens":120`))
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
			assert.Equal(t, f.filings(r), 0)
		})
	}
}

// TestEntryKilled kills the entry that owns a stream: the caller re-attaches through
// the other one. That one goes on with work without effects. It does not begin a
// filing, which the dead entry may have sent already, and says so.
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

// TestPayloadHolderKilled kills the agent that keeps a large result, once the next
// stage runs or is about to.
func TestPayloadHolderKilled(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nil)
	r := f.request("draft", withStream, withBodyFields(`"tokens":40,"size":20000`))
	done := f.send(r, 0)
	e := f.awaitExecution(r, "encode")
	f.await("the result of encode", func() bool {
		return len(f.matchingExecutions(func(x standin.Execution) bool {
			return x.Run == e.Run && x.Seq == e.Seq && x.Outcome == standin.Completed
		})) > 0
	})
	f.agentOf(e).Kill()
	out := <-done
	assert.Equal(t, out.Class, load.Complete, "%+v", out)
	f.checkOutcomes()
}
