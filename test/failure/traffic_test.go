package failure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/internal/load"
	"github.com/magnoliawheel/magnoliawheel/test/harness"
	"github.com/magnoliawheel/magnoliawheel/test/standin"
	"github.com/magnoliawheel/magnoliawheel/test/standin/spec"
)

const (
	// trafficRequests is the number of requests sent from the start of a fault on.
	trafficRequests = 80
	// trafficInterval is the pause after each request.
	trafficInterval = 40 * time.Millisecond
	// executionsBeforeFault is the number of executions after which the fault begins.
	executionsBeforeFault = 30
	// requestsDuringFault is the number of requests sent while the fault lasts.
	requestsDuringFault = 40
)

// faultCase is a fault that is injected under traffic. Afterwards, all calls must complete
// through both entries, and the outcomes of all requests must agree with the executions.
type faultCase struct {
	name string
	// setup changes the servers before they start; it may be nil.
	setup func(*harness.Server)
	begin func(f *fleet)
	// end ends the fault. It is nil if the fault lasts or ends by itself.
	end func(f *fleet)
}

func killAgent(id string) func(*fleet) { return func(f *fleet) { f.agent(id).Kill() } }

func freezeAgent(id string) func(*fleet) {
	return func(f *fleet) { assert.NilError(f.t, f.agent(id).Freeze()) }
}

func resumeAgent(id string) func(*fleet) {
	return func(f *fleet) { assert.NilError(f.t, f.agent(id).Resume()) }
}

func restartAgent(id string) func(*fleet) {
	return func(f *fleet) { assert.NilError(f.t, f.Restart(f.agent(id))) }
}

// setFaults returns a function that sets fault switches of a stand-in.
func setFaults(name string, switches map[string]any) func(*fleet) {
	return func(f *fleet) { f.control(switches, name) }
}

func resetFaults(name string) func(*fleet) { return setFaults(name, map[string]any{"reset": true}) }

// inSequence returns a function that runs the steps one after another.
func inSequence(steps ...func(*fleet)) func(*fleet) {
	return func(f *fleet) {
		for _, step := range steps {
			step(f)
		}
	}
}

// inSeparateProcess returns a setup that runs the named server in its own process.
func inSeparateProcess(name string) func(*harness.Server) {
	return func(s *harness.Server) { s.SeparateProcess = s.SeparateProcess || s.Name == name }
}

// serverProcess returns the process of a server that runs in its own.
func serverProcess(f *fleet, server string) *harness.Process { return f.Standin("server-" + server) }

func killServer(name string) func(*fleet) { return func(f *fleet) { serverProcess(f, name).Kill() } }

func relayServers(s *harness.Server) { s.RelayServer = true }

func relayAgents(s *harness.Server) { s.RelayAgent = true }

func silenceServers(f *fleet) {
	for _, a := range f.Agents {
		a.ServerRelay.Silence()
	}
}

func silenceAgents(f *fleet) {
	for _, a := range f.Agents {
		a.AgentRelay.Silence()
	}
}

var faultCases = []faultCase{
	{name: "encoder agent killed", begin: killAgent("encoders-1")},
	{name: "engine agent killed", begin: killAgent("engines-1")},
	{name: "service agent killed", begin: killAgent("services-1")},
	{name: "service agent killed twice",
		begin: inSequence(killAgent("services-1"), restartAgent("services-1")),
		end:   inSequence(killAgent("services-1"), restartAgent("services-1"))},
	{name: "encoder agent frozen", begin: freezeAgent("encoders-1"), end: resumeAgent("encoders-1")},
	{name: "engine agent frozen", begin: freezeAgent("engines-1"), end: resumeAgent("engines-1")},
	{name: "service agent frozen", begin: freezeAgent("services-1"), end: resumeAgent("services-1")},
	{name: "engine killed", setup: inSeparateProcess("engines-1"), begin: killServer("engines-1")},
	{name: "service killed", setup: inSeparateProcess("services-1"), begin: killServer("services-1")},
	{name: "engine frozen", setup: inSeparateProcess("engines-1"),
		begin: func(f *fleet) { assert.NilError(f.t, serverProcess(f, "engines-1").Freeze()) },
		end:   func(f *fleet) { assert.NilError(f.t, serverProcess(f, "engines-1").Resume()) }},
	{name: "service frozen", setup: inSeparateProcess("services-1"),
		begin: func(f *fleet) { assert.NilError(f.t, serverProcess(f, "services-1").Freeze()) },
		end:   func(f *fleet) { assert.NilError(f.t, serverProcess(f, "services-1").Resume()) }},
	{name: "entry killed", begin: func(f *fleet) { f.Entries[0].Kill() },
		end: func(f *fleet) { assert.NilError(f.t, f.Restart(f.Entries[0])) }},
	{name: "entry frozen", begin: func(f *fleet) { assert.NilError(f.t, f.Entries[0].Freeze()) },
		end: func(f *fleet) { assert.NilError(f.t, f.Entries[0].Resume()) }},
	{name: "connections between entries and agents silent", setup: relayAgents, begin: silenceAgents, end: silenceAgents},
	{name: "connections between agents and servers silent", setup: relayServers, begin: silenceServers},
	{name: "engine slow", begin: setFaults("engines-1", map[string]any{"slow": 10}), end: resetFaults("engines-1")},
	{name: "engine fails every call", begin: setFaults("engines-1", map[string]any{"fail": true}), end: resetFaults("engines-1")},
	{name: "service fails every call", begin: setFaults("services-1", map[string]any{"fail": true}), end: resetFaults("services-1")},
	{name: "service refuses calls without running them", begin: setFaults("services-1", map[string]any{"not_run": true}), end: resetFaults("services-1")},
	{name: "answers of a service lost", begin: setFaults("services-1", map[string]any{"drop_answers": 3})},
	{name: "answers of a service delayed", begin: setFaults("services-1", map[string]any{"delay_ms": 1500}), end: resetFaults("services-1")},
	{name: "log down", begin: setFaults(spec.KindPlatformLog, map[string]any{"down": true}), end: resetFaults(spec.KindPlatformLog)},
	{name: "log does not answer", begin: setFaults(spec.KindPlatformLog, map[string]any{"hang": true}), end: resetFaults(spec.KindPlatformLog)},
	{name: "log slow", begin: setFaults(spec.KindPlatformLog, map[string]any{"delay_ms": 700}), end: resetFaults(spec.KindPlatformLog)},
	{name: "log drops answers", begin: setFaults(spec.KindPlatformLog, map[string]any{"drop_answers": 10})},
	{name: "log applies writes late", begin: setFaults(spec.KindPlatformLog, map[string]any{"late_writes": 5, "late_write_ms": 800})},
	{name: "log's open connections silent", begin: setFaults(spec.KindPlatformLog, map[string]any{"silence": true})},
	{name: "list down", begin: setFaults(spec.KindInstanceList, map[string]any{"down": true}), end: resetFaults(spec.KindInstanceList)},
	{name: "list stale while an agent is killed",
		begin: inSequence(setFaults(spec.KindInstanceList, map[string]any{"stale": true}), killAgent("engines-1")), end: resetFaults(spec.KindInstanceList)},
	{name: "all agents of a region frozen",
		begin: inSequence(freezeAgent("encoders-2"), freezeAgent("engines-2"), freezeAgent("services-2")),
		end:   inSequence(resumeAgent("encoders-2"), resumeAgent("engines-2"), resumeAgent("services-2"))},
	{name: "all instances of a region killed",
		begin: inSequence(func(f *fleet) { f.Entries[1].Kill() }, killAgent("encoders-2"), killAgent("engines-2"), killAgent("services-2")),
		end:   func(f *fleet) { assert.NilError(f.t, f.Restart(f.Entries[1])) }},
	{name: "service agent killed while the log is down",
		begin: inSequence(setFaults(spec.KindPlatformLog, map[string]any{"down": true}), killAgent("services-1")), end: resetFaults(spec.KindPlatformLog)},
	{name: "entry and service agent killed",
		begin: inSequence(func(f *fleet) { f.Entries[0].Kill() }, killAgent("services-1")),
		end:   func(f *fleet) { assert.NilError(f.t, f.Restart(f.Entries[0])) }},
	{name: "service agent frozen while the log applies writes late",
		begin: inSequence(freezeAgent("services-1"), setFaults(spec.KindPlatformLog, map[string]any{"late_writes": 5, "late_write_ms": 800})),
		end:   resumeAgent("services-1")},
}

// TestFaultsUnderTraffic injects each of the faultCases under traffic.
func TestFaultsUnderTraffic(t *testing.T) {
	for _, tc := range faultCases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, tc.setup)
			f.await("traffic before the fault", func() bool { f.sendTrafficRequest(); return f.executionCount() >= executionsBeforeFault })
			tc.begin(f)
			f.sendTraffic(requestsDuringFault)
			if tc.end != nil {
				tc.end(f)
			}
			f.sendTraffic(trafficRequests - requestsDuringFault)
			f.wg.Wait()
			for entry := range f.Entries {
				f.sendUntilComplete("draft", entry, withStream)
				f.sendUntilComplete("file-only", entry, withIdempotencyKey)
				f.sendUntilComplete("file-only", entry)
			}
			f.checkOutcomes()
		})
	}
}

// trafficMix lists the requests that the traffic consists of, sent in turn.
var trafficMix = []struct {
	call    string
	options []func(*load.Request)
}{
	{"draft", []func(*load.Request){withStream, withIdempotencyKey}},
	{"file-only", []func(*load.Request){withIdempotencyKey, withBodyFields(`"work_ms":200`)}},
	{"draft", []func(*load.Request){withBodyFields(`"tokens":20,"work_ms":50`)}},
	{"file-only", []func(*load.Request){withBodyFields(`"work_ms":200`)}},
	{"draft", []func(*load.Request){withStream, withBodyFields(`"tokens":40,"size":8000`)}},
}

// sendTrafficRequest sends the next request of trafficMix and waits for trafficInterval.
func (f *fleet) sendTrafficRequest() {
	f.mu.Lock()
	n := f.requestCount
	f.mu.Unlock()
	m := trafficMix[n%len(trafficMix)]
	f.send(f.request(m.call, m.options...), n)
	time.Sleep(trafficInterval)
}

func (f *fleet) sendTraffic(n int) {
	for range n {
		f.sendTrafficRequest()
	}
}

// executionCount returns the number of executions recorded so far.
func (f *fleet) executionCount() int {
	return len(f.matchingExecutions(func(standin.Execution) bool { return true }))
}
