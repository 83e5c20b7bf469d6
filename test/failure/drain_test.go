package failure

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/internal/load"
	"github.com/magnoliawheel/magnoliawheel/test/harness"
	"github.com/magnoliawheel/magnoliawheel/test/standin"
	"github.com/magnoliawheel/magnoliawheel/test/standin/spec"
)

// maxLeavingDelay is the time within which new work may still start on a server after it
// was marked as leaving.
const maxLeavingDelay = 3 * time.Second

// TestDrainCompletesRequestsInFlight terminates a process that has requests in flight. The
// requests complete and the process exits with 0.
func TestDrainCompletesRequestsInFlight(t *testing.T) {
	for _, tc := range []struct {
		name, call, execution, body string
		process                     func(f *fleet, e standin.Execution) *harness.Instance
		// setup and fault, if not nil, add a fault that begins with the drain.
		setup func(*harness.Server)
		fault func(*fleet)
	}{
		{name: "agent of an encoder", call: "draft", execution: "encode", body: `"tokens":5,` + longWork, process: (*fleet).agentOf},
		{name: "agent of an engine", call: "draft", execution: "generate", body: `"tokens":200`, process: (*fleet).agentOf},
		{name: "agent of a service", call: "file-only", execution: "file", body: longWork, process: (*fleet).agentOf},
		{name: "entry", call: "draft", execution: "generate", body: `"tokens":200`, process: firstEntry},
		{name: "agent while its connections fall silent", call: "file-only", execution: "file", body: longWork,
			process: (*fleet).agentOf, setup: relayAgents, fault: silenceAgents},
		{name: "agent and entry together", call: "file-only", execution: "file", body: longWork,
			process: (*fleet).agentOf, fault: func(f *fleet) { assert.NilError(f.t, f.Entries[0].Terminate()) }},
		{name: "agent while the platform is down", call: "file-only", execution: "file", body: longWork,
			process: (*fleet).agentOf, fault: takePlatformDown},
		{name: "entry while the platform is down", call: "draft", execution: "generate", body: `"tokens":200`,
			process: firstEntry, fault: takePlatformDown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, tc.setup)
			var pending []<-chan load.Outcome
			r := f.request(tc.call, withStream, withBodyFields(tc.body))
			pending = append(pending, f.send(r, 0))
			plain := f.request(tc.call, withBodyFields(tc.body))
			pending = append(pending, f.send(plain, 0))
			p := tc.process(f, f.awaitExecution(r, tc.execution))
			f.awaitExecution(plain, tc.execution)
			assert.NilError(t, p.Terminate())
			if tc.fault != nil {
				tc.fault(f)
			}
			for _, done := range pending {
				out := <-done
				assert.Equal(t, out.Class, load.Complete, "%+v", out)
				assert.Equal(t, out.Reattachments, 0)
			}
			assert.Equal(t, p.ExitCode(), 0)
			f.sendUntilComplete(tc.call, 1, withStream)
			f.checkOutcomes()
		})
	}
}

func firstEntry(f *fleet, _ standin.Execution) *harness.Instance { return f.Entries[0] }

// takePlatformDown makes the log and the instance list unavailable.
func takePlatformDown(f *fleet) {
	f.control(map[string]any{"down": true}, spec.KindPlatformLog, spec.KindInstanceList)
}

// TestLeavingServerGetsNoNewWork marks a server as leaving in the instance list under
// traffic. No execution may start there more than maxLeavingDelay later, and no request may
// end with an unknown outcome.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	for _, id := range []string{"engines-1", "services-1"} {
		t.Run(id, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, nil)
			f.await("work at "+id, func() bool {
				f.sendTrafficRequest()
				return len(f.matchingExecutions(onServer(id))) > 0
			})
			assert.NilError(t, f.SetLeaving(id, true))
			allowedUntil := time.Now().Add(maxLeavingDelay)
			for time.Now().Before(allowedUntil.Add(maxLeavingDelay)) {
				f.sendTrafficRequest()
			}
			f.wg.Wait()
			late := f.matchingExecutions(func(e standin.Execution) bool { return e.Server == id && e.Start.After(allowedUntil) })
			assert.Equal(t, len(late), 0, "%+v", late)
			ledger := f.checkOutcomes()
			assert.Equal(t, ledger.Unknown, 0)
		})
	}
}

// TestServerLeavesWhileAgentFrozen marks a server as leaving while its agent is frozen and
// requests have been sent to it. No execution may start there after the agent resumes.
func TestServerLeavesWhileAgentFrozen(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nil)
	const id = "services-1"
	f.await("work at "+id, func() bool {
		f.sendTrafficRequest()
		return len(f.matchingExecutions(onServer(id))) > 0
	})
	assert.NilError(t, f.agent(id).Freeze())
	f.sendTraffic(10)
	assert.NilError(t, f.SetLeaving(id, true))
	allowedUntil := time.Now().Add(maxLeavingDelay)
	for time.Now().Before(allowedUntil) {
		f.sendTrafficRequest()
	}
	assert.NilError(t, f.agent(id).Resume())
	f.sendTraffic(trafficRequests)
	f.wg.Wait()
	late := f.matchingExecutions(func(e standin.Execution) bool { return e.Server == id && e.Start.After(allowedUntil) })
	assert.Equal(t, len(late), 0, "%+v", late)
	f.checkOutcomes()
}

// TestAgentTerminatedUnderStaleList terminates an agent while the instance list is stale.
// The entries learn from the agent's refusals that it is leaving, and no request ends with
// an unknown outcome.
func TestAgentTerminatedUnderStaleList(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nil)
	f.sendUntilComplete("draft", 0, withStream)
	f.control(map[string]any{"stale": true}, spec.KindInstanceList)
	a := f.agent("services-1")
	assert.NilError(t, a.Terminate())
	f.sendTraffic(trafficRequests)
	f.wg.Wait()
	assert.Equal(t, a.ExitCode(), 0)
	assert.Equal(t, f.checkOutcomes().Unknown, 0)
}

// withoutDeadline removes the request's own deadline. The deadline of the call then
// applies, which is longer than the generations of these tests, so that only a cancellation
// can end them early.
func withoutDeadline(r *load.Request) { r.Timeout = 0 }

// TestCallerDeletesRequest cancels a request with DELETE, through the entry that serves it
// and through the other one. The engine must stop generating.
func TestCallerDeletesRequest(t *testing.T) {
	t.Parallel()
	f := newFleet(t, func(s *harness.Server) { s.Spec.StreamTokensPerSecond = 5 })
	for _, route := range []string{"delete", "delete through the other entry"} {
		r := f.request("draft-long", withStream, withoutDeadline, withBodyFields(`"tokens":200`))
		done := f.send(r, 0)
		e := f.awaitExecution(r, "generate")
		f.deleteRequest(r, e, route)
		out := <-done
		assert.Assert(t, out.Class != load.Complete, "%+v", out)
		f.await("cancel at the engine after "+route, func() bool {
			return len(f.matchingExecutions(func(x standin.Execution) bool {
				return x.Nonce == r.Nonce && x.Call == "generate" && x.Outcome == standin.Cancelled
			})) > 0
		})
	}
	f.checkOutcomes()
}

// deleteRequest cancels request r with DELETE, through the entry that route selects. It
// derives the id of the request from that of the execution.
func (f *fleet) deleteRequest(r load.Request, execution standin.Execution, route string) {
	f.t.Helper()
	base := f.Entries[0].CallerURL
	if route != "delete" {
		base = f.Entries[1].CallerURL
	}
	id, _, _ := splitExecutionID(execution.ID)
	req, err := http.NewRequestWithContext(f.ctx, http.MethodDelete, base+"/v1/requests/"+id, nil)
	assert.NilError(f.t, err)
	req.Header.Set("Customer", r.Customer)
	req.Header.Set("Customer-Key", r.CustomerKey)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(f.t, err)
	assert.NilError(f.t, resp.Body.Close())
}

// TestCallerDisconnects closes the caller's connection and does not reconnect. The engine
// must stop generating.
func TestCallerDisconnects(t *testing.T) {
	for _, option := range []func(*load.Request){withStream, func(*load.Request) {}} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, func(s *harness.Server) { s.Spec.StreamTokensPerSecond = 5 })
			r := f.request("draft-long", option, withoutDeadline, withBodyFields(`"tokens":200`))
			ctx, disconnect := context.WithCancel(f.ctx)
			ended := make(chan struct{})
			go func() {
				f.caller.Do(ctx, r, 0, time.Now())
				close(ended)
			}()
			f.awaitExecution(r, "generate")
			disconnect()
			<-ended
			f.await("cancel at the engine", func() bool {
				return len(f.matchingExecutions(func(x standin.Execution) bool {
					return x.Nonce == r.Nonce && x.Call == "generate" && x.Outcome == standin.Cancelled
				})) > 0
			})
			f.checkOutcomes()
		})
	}
}
