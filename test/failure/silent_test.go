package failure

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/internal/load"
	"github.com/magnoliawheel/magnoliawheel/test/harness"
)

// TestCallerConnectionsFallSilent silences the connections between callers and entries
// during streams. The callers re-attach over new connections and get complete answers.
func TestCallerConnectionsFallSilent(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nil)
	var relays []*harness.Relay
	var urls []string
	for _, e := range f.Entries {
		r, err := harness.StartRelay(e.CallerURL[len("http://"):])
		assert.NilError(t, err)
		defer r.Close()
		relays = append(relays, r)
		urls = append(urls, "http://"+r.Addr())
	}
	caller := load.NewCaller(urls)
	defer caller.Close()
	f.caller = caller
	// The engines are slow until the connections are silent, so that no stream ends before.
	engines := []string{"engines-1", "engines-2"}
	f.control(map[string]any{"slow": 10}, engines...)
	var streams []<-chan load.Outcome
	var requests []load.Request
	for i := range 6 {
		requests = append(requests, f.request("draft", withStream, withBodyFields(`"tokens":200`)))
		streams = append(streams, f.send(requests[i], i))
	}
	for _, r := range requests {
		f.awaitExecution(r, "generate")
	}
	for _, r := range relays {
		assert.Assert(t, r.Silence() > 0)
	}
	f.control(map[string]any{"slow": 1}, engines...)
	for _, s := range streams {
		out := <-s
		assert.Equal(t, out.Class, load.Complete, "%+v", out)
		assert.Assert(t, out.Reattachments > 0)
	}
	f.checkOutcomes()
}

// TestInternalConnectionsFallSilent silences the open connections between entries and
// agents, or between agents and servers, twice while a server executes a call. The answer
// arrives complete over new connections, and a call that files is executed only once.
// An idempotent call may also be executed by a second server meanwhile.
func TestInternalConnectionsFallSilent(t *testing.T) {
	for _, tc := range []struct {
		name, call, execution, body string
		option                      func(*load.Request)
		setup                       func(*harness.Server)
		silence                     func(*fleet)
	}{
		{"entry to agent, generation", "draft", "generate", `"tokens":200`, withStream, relayAgents, silenceAgents},
		{"entry to agent, filing", "file-only", "file", `"work_ms":2500`, withStream, relayAgents, silenceAgents},
		{"entry to agent, keyed filing", "file-only", "file", `"work_ms":2500`, withIdempotencyKey, relayAgents, silenceAgents},
		{"entry to agent, encoding", "read", "encode", `"work_ms":2500`, withStream, relayAgents, silenceAgents},
		{"agent to server, generation", "draft", "generate", `"tokens":200`, withStream, relayServers, silenceServers},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, tc.setup)
			r := f.request(tc.call, tc.option, withBodyFields(tc.body))
			done := f.send(r, 0)
			e := f.awaitExecution(r, tc.execution)
			a := f.agentOf(e)
			relay := a.AgentRelay
			if relay == nil {
				relay = a.ServerRelay
			}
			before := relay.Accepted()
			tc.silence(f)
			f.await("a new connection", func() bool { return relay.Accepted() > before })
			tc.silence(f)
			out := <-done
			assert.Equal(t, out.Class, load.Complete, "%+v", out)
			f.checkOutcomes()
			if tc.execution == "file" {
				assert.Equal(t, f.filingCount(r), 1)
			}
		})
	}
}
