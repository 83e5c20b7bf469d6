package agent

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
	"github.com/magnoliawheel/magnoliawheel/test/harness"
	"github.com/magnoliawheel/magnoliawheel/test/standin"
	"github.com/magnoliawheel/magnoliawheel/test/standin/engine"
	"github.com/magnoliawheel/magnoliawheel/test/standin/platformlog"
	"github.com/magnoliawheel/magnoliawheel/test/standin/service"
)

// buildDir is the directory of the built binary; empty until a test needs it.
var buildDir string

// buildBinary builds the command once for all tests and returns its path.
var buildBinary = sync.OnceValues(func() (string, error) {
	var err error
	if buildDir, err = os.MkdirTemp("", "agent-test-"); err != nil {
		return "", err
	}
	b, err := harness.Build(context.Background(), buildDir)
	return b.Magnoliawheel, err
})

func TestMain(m *testing.M) {
	code := m.Run()
	if buildDir != "" {
		_ = os.RemoveAll(buildDir)
	}
	os.Exit(code)
}

// agentProcess is an agent that runs as a separate process.
type agentProcess struct {
	*fixture
	process *harness.Process
}

// startAgentProcess starts an agent process for a server and waits until it
// answers probes.
func startAgentProcess(t *testing.T, id, serverAddr, logAddr string) *agentProcess {
	path, err := buildBinary()
	assert.NilError(t, err)
	dir, peers := t.TempDir(), harness.FreeAddr()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "secret"), []byte(testSecret), 0o600))
	settingsText := fmt.Sprintf(`[instance]
id = %q
zone = "amman-1"
region = "amman"
[platform]
log_url = "http://%s"
list_url = "http://127.0.0.1:1"
[security]
peer_secret_file = "secret"
[listen]
peers = %q
admin = %q
[server]
pool = "engines"
url = "http://%s"
`, id, logAddr, peers, harness.FreeAddr(), serverAddr)
	settingsFile := filepath.Join(dir, "agent.toml")
	assert.NilError(t, os.WriteFile(settingsFile, []byte(settingsText), 0o600))
	p := &agentProcess{}
	p.process, err = harness.StartProcess(dir, id, nil, path, "agent", "-s", settingsFile)
	assert.NilError(t, err)
	tlsConfig, err := rpc.TLSConfig([]byte(testSecret))
	assert.NilError(t, err)
	p.fixture = &fixture{Process: &Process{}, address: peers, pool: rpc.NewPool(tlsConfig)}
	p.client = wire.NewDRPCAgentClient(p.pool.Conn(context.Background(), peers))
	t.Cleanup(func() {
		_ = p.process.Resume()
		p.process.Kill()
		_ = p.pool.Close()
		if t.Failed() {
			out, _ := os.ReadFile(p.process.LogFile)
			t.Logf("%s:\n%s", id, out)
		}
	})
	waitFor(t, func() bool {
		reply, err := p.client.Probe(context.Background(), &wire.ProbeRequest{})
		if err == nil {
			p.incarnation = reply.Load.Incarnation
		}
		return err == nil
	})
	return p
}

func startPlatformLog(t *testing.T) *standin.Server {
	srv, err := platformlog.Start("127.0.0.1:0", platformlog.Config{})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = srv.Close() })
	return srv
}

// TestPausedProcessStartsNoExpiredCalls checks that calls which were queued
// when the process was suspended are not sent to the server if their budgets
// are spent when it resumes.
func TestPausedProcessStartsNoExpiredCalls(t *testing.T) {
	// Calls take longer than their budgets, so that no queued call starts before
	// the process is suspended, however long the test takes to send the calls.
	const budget = 3 * time.Second
	srv := startService(t, service.Config{CallDuration: 3 * budget})
	p := startAgentProcess(t, "a", srv.Addr(), "127.0.0.1:1")
	var running, queued []*startedRun
	for i := range 2 * defaultConcurrency {
		req := p.runRequest(fmt.Sprint("e~", i))
		req.BudgetUs = uint64(budget.Microseconds())
		r := p.startRun(t, req)
		if i < defaultConcurrency {
			running = append(running, r)
		} else {
			queued = append(queued, r)
		}
	}
	waitFor(t, func() bool { return len(srv.Recorder.Executions()) == defaultConcurrency })
	assert.NilError(t, p.process.Freeze())
	time.Sleep(budget + 500*time.Millisecond)
	assert.NilError(t, p.process.Resume())
	for _, r := range queued {
		r.finish(t)
		assert.Assert(t, r.refused != nil, "%v", r.events)
		assert.Equal(t, result.Code(r.refused.Code), result.BudgetSpent)
		assert.Equal(t, r.refused.Ran, wire.Ran_RAN_NO)
	}
	for _, r := range running {
		r.finish(t)
	}
	assert.Equal(t, len(srv.Recorder.Executions()), defaultConcurrency)
}

// TestProcessPausedWhileClaiming checks that a process which was suspended
// while it claimed a key does not run the call when it resumes, and that
// another agent can run it, once.
func TestProcessPausedWhileClaiming(t *testing.T) {
	log := startPlatformLog(t)
	srv := startService(t, service.Config{})
	a, b := startAgentProcess(t, "a", srv.Addr(), log.Addr()), startAgentProcess(t, "b", srv.Addr(), log.Addr())
	_, err := log.Switches.Apply([]byte(`{"delay_ms":300}`))
	assert.NilError(t, err)
	key := newKey(t)
	stream, err := a.client.Run(context.Background(), a.keyedRequest("e~1", key))
	assert.NilError(t, err)
	time.Sleep(100 * time.Millisecond)
	assert.NilError(t, a.process.Freeze())
	time.Sleep(claimTimeout + 500*time.Millisecond)
	assert.NilError(t, a.process.Resume())
	first := &runResponse{}
	first.receive(t, stream, nil)
	assert.Assert(t, first.refused != nil, "%v", first.events)
	assert.Equal(t, result.Code(first.refused.Code), result.ClaimUnavailable)
	assert.Equal(t, first.refused.Ran, wire.Ran_RAN_NO)
	for i := 0; len(srv.Recorder.Executions()) == 0; i++ {
		again := b.run(t, b.keyedRequest(fmt.Sprint("e~1", i), key))
		if again.refused != nil {
			assert.Equal(t, again.refused.Ran, wire.Ran_RAN_NO)
			time.Sleep(50 * time.Millisecond)
		}
	}
	last := a.run(t, a.keyedRequest("e~last", key))
	assert.Equal(t, result.Code(last.refused.Code), result.ClaimLost)
	assert.Equal(t, len(srv.Recorder.Executions()), 1)
}

// TestReplacementOfKilledProcess checks that the process which replaces a
// killed one resumes a generation that is still running, and does not repeat a
// call with a key that the killed process held.
func TestReplacementOfKilledProcess(t *testing.T) {
	t.Run("generation", func(t *testing.T) {
		model := startEngine(t, engine.Config{PrefillTime: time.Millisecond})
		killed := startAgentProcess(t, "a", model.Addr(), "127.0.0.1:1")
		run := killed.startRun(t, killed.generateRequest("e~1", 100))
		run.receive(t, run.stream, func(a *runResponse) bool { return a.nextSeq > 3 })
		killed.process.Kill()
		next := startAgentProcess(t, "a", model.Addr(), "127.0.0.1:1")
		resumed := next.run(t, next.generateRequest("e~1", 100))
		assert.Equal(t, resumed.done.Count, uint64(100))
		assert.Assert(t, strings.HasPrefix(resumed.text, run.text))
		assert.Equal(t, len(model.Recorder.Executions()), 1)
	})
	t.Run("call with a key", func(t *testing.T) {
		log := startPlatformLog(t)
		srv := startService(t, service.Config{CallDuration: 500 * time.Millisecond})
		killed := startAgentProcess(t, "a", srv.Addr(), log.Addr())
		key := newKey(t)
		killed.startRun(t, killed.keyedRequest("e~1", key))
		waitFor(t, func() bool { return len(srv.Recorder.Executions()) == 1 })
		killed.process.Kill()
		next := startAgentProcess(t, "a", srv.Addr(), log.Addr())
		assert.Assert(t, next.incarnation > killed.incarnation)
		refusal := next.run(t, next.keyedRequest("e~2", key))
		assert.Equal(t, result.Code(refusal.refused.Code), result.HolderGone)
		assert.Equal(t, refusal.refused.Ran, wire.Ran_RAN_UNKNOWN)
		assert.Equal(t, len(srv.Recorder.Executions()), 1)
	})
}

// TestSignals checks the exit of a process after one signal, which makes it
// drain, and after a second one, which makes it exit at once. SIGHUP interrupts
// no call.
func TestSignals(t *testing.T) {
	srv := startService(t, service.Config{CallDuration: 500 * time.Millisecond})
	t.Run("one", func(t *testing.T) {
		p := startAgentProcess(t, "a", srv.Addr(), "127.0.0.1:1")
		req := p.runRequest("e~one")
		r := p.startRun(t, req)
		assert.NilError(t, p.process.Terminate())
		assert.DeepEqual(t, r.finish(t), []string{"accepted attached=false", "done 1"})
		p.ack(t, req)
		assert.Equal(t, p.process.ExitCode(), 0)
	})
	t.Run("hangup", func(t *testing.T) {
		// A SIGHUP once ended the process, and with it the call in progress.
		p := startAgentProcess(t, "a", srv.Addr(), "127.0.0.1:1")
		req := p.runRequest("e~hangup")
		r := p.startRun(t, req)
		assert.NilError(t, p.process.Reload())
		assert.DeepEqual(t, r.finish(t), []string{"accepted attached=false", "done 1"})
		p.ack(t, req)
		assert.NilError(t, p.process.Terminate())
		assert.Equal(t, p.process.ExitCode(), 0)
	})
	t.Run("two", func(t *testing.T) {
		p := startAgentProcess(t, "a", srv.Addr(), "127.0.0.1:1")
		p.startRun(t, p.runRequest("e~two"))
		assert.NilError(t, p.process.Terminate())
		waitFor(t, func() bool {
			reply, err := p.client.Probe(context.Background(), &wire.ProbeRequest{})
			return err == nil && reply.Load.Leaving
		})
		assert.NilError(t, p.process.Terminate())
		assert.Equal(t, p.process.ExitCode(), 4)
		out, err := os.ReadFile(p.process.LogFile)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(string(out), "cut: running e~two/0/1"), string(out))
	})
}
