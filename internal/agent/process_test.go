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

// buildDir holds the binary once a test needed it.
var buildDir string

var build = sync.OnceValues(func() (string, error) {
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

// child is an agent in a process of its own.
type child struct {
	*fixture
	process *harness.Process
}

// startChild starts an agent process before a server and waits until it answers.
func startChild(t *testing.T, id, serverAddr, logAddr string) *child {
	path, err := build()
	assert.NilError(t, err)
	dir, peers := t.TempDir(), harness.FreeAddr()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "secret"), []byte(testSecret), 0o600))
	text := fmt.Sprintf(`[instance]
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
	conf := filepath.Join(dir, "agent.toml")
	assert.NilError(t, os.WriteFile(conf, []byte(text), 0o600))
	c := &child{}
	c.process, err = harness.StartProcess(dir, id, nil, path, "agent", "-s", conf)
	assert.NilError(t, err)
	tls, err := rpc.TLSConfig([]byte(testSecret))
	assert.NilError(t, err)
	c.fixture = &fixture{Process: &Process{}, addr: peers, pool: rpc.NewPool(tls)}
	c.client = wire.NewDRPCAgentClient(c.pool.Conn(context.Background(), peers))
	t.Cleanup(func() {
		_ = c.process.Resume()
		c.process.Kill()
		_ = c.pool.Close()
		if t.Failed() {
			out, _ := os.ReadFile(c.process.LogFile)
			t.Logf("%s:\n%s", id, out)
		}
	})
	eventually(t, func() bool {
		reply, err := c.client.Probe(context.Background(), &wire.ProbeRequest{})
		if err == nil {
			c.incarnation = reply.Load.Incarnation
		}
		return err == nil
	})
	return c
}

func startLog(t *testing.T) *standin.Server {
	srv, err := platformlog.Start("127.0.0.1:0", platformlog.Config{})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = srv.Close() })
	return srv
}

// TestStoppedProcessStartsNothingLate checks that calls which a process held when
// it was stopped are not sent to the server once their budgets are spent.
func TestStoppedProcessStartsNothingLate(t *testing.T) {
	// Calls outlast their budgets, so that none that waits is begun before the stop,
	// however long the test takes to start them.
	const budget = 3 * time.Second
	srv := startService(t, service.Config{CallDuration: 3 * budget})
	c := startChild(t, "a", srv.Addr(), "127.0.0.1:1")
	var running, queued []*inFlight
	for i := range 2 * defaultConcurrency {
		req := c.runRequest(fmt.Sprint("e~", i))
		req.BudgetUs = uint64(budget.Microseconds())
		r := c.startRun(t, req)
		if i < defaultConcurrency {
			running = append(running, r)
		} else {
			queued = append(queued, r)
		}
	}
	eventually(t, func() bool { return len(srv.Recorder.Executions()) == defaultConcurrency })
	assert.NilError(t, c.process.Freeze())
	time.Sleep(budget + 500*time.Millisecond)
	assert.NilError(t, c.process.Resume())
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

// TestStoppedClaimerLeavesTheKeyToOthers checks that a process that was stopped
// while it claimed a key does not run the work when it goes on, and that the key
// is run once all the same.
func TestStoppedClaimerLeavesTheKeyToOthers(t *testing.T) {
	log := startLog(t)
	srv := startService(t, service.Config{})
	a, b := startChild(t, "a", srv.Addr(), log.Addr()), startChild(t, "b", srv.Addr(), log.Addr())
	_, err := log.Switches.Apply([]byte(`{"delay_ms":300}`))
	assert.NilError(t, err)
	key := newKey(t)
	stream, err := a.client.Run(context.Background(), a.filing("e~1", key))
	assert.NilError(t, err)
	time.Sleep(100 * time.Millisecond)
	assert.NilError(t, a.process.Freeze())
	time.Sleep(settleTimeout + 500*time.Millisecond)
	assert.NilError(t, a.process.Resume())
	first := &answer{}
	first.receive(t, stream, nil)
	assert.Assert(t, first.refused != nil, "%v", first.events)
	assert.Equal(t, result.Code(first.refused.Code), result.ClaimUnavailable)
	assert.Equal(t, first.refused.Ran, wire.Ran_RAN_NO)
	for i := 0; len(srv.Recorder.Executions()) == 0; i++ {
		again := b.run(t, b.filing(fmt.Sprint("e~1", i), key))
		if again.refused != nil {
			assert.Equal(t, again.refused.Ran, wire.Ran_RAN_NO)
			time.Sleep(50 * time.Millisecond)
		}
	}
	last := a.run(t, a.filing("e~last", key))
	assert.Equal(t, result.Code(last.refused.Code), result.ClaimLost)
	assert.Equal(t, len(srv.Recorder.Executions()), 1)
}

// TestKilledProcess checks that a process in the place of one that was killed
// takes up its generation, and that a filing of the killed one is not run again.
func TestKilledProcess(t *testing.T) {
	t.Run("generation", func(t *testing.T) {
		model := startEngine(t, engine.Config{PrefillTime: time.Millisecond})
		former := startChild(t, "a", model.Addr(), "127.0.0.1:1")
		run := former.startRun(t, former.generateRequest("e~1", 100))
		run.receive(t, run.stream, func(a *answer) bool { return a.next > 3 })
		former.process.Kill()
		next := startChild(t, "a", model.Addr(), "127.0.0.1:1")
		whole := next.run(t, next.generateRequest("e~1", 100))
		assert.Equal(t, whole.done.Count, uint64(100))
		assert.Assert(t, strings.HasPrefix(whole.text, run.text))
		assert.Equal(t, len(model.Recorder.Executions()), 1)
	})
	t.Run("filing", func(t *testing.T) {
		log := startLog(t)
		srv := startService(t, service.Config{CallDuration: 500 * time.Millisecond})
		former := startChild(t, "a", srv.Addr(), log.Addr())
		key := newKey(t)
		former.startRun(t, former.filing("e~1", key))
		eventually(t, func() bool { return len(srv.Recorder.Executions()) == 1 })
		former.process.Kill()
		next := startChild(t, "a", srv.Addr(), log.Addr())
		assert.Assert(t, next.incarnation > former.incarnation)
		gone := next.run(t, next.filing("e~2", key))
		assert.Equal(t, result.Code(gone.refused.Code), result.HolderGone)
		assert.Equal(t, gone.refused.Ran, wire.Ran_RAN_UNKNOWN)
		assert.Equal(t, len(srv.Recorder.Executions()), 1)
	})
}

// TestSignals checks the exit of a process after one signal and after two.
func TestSignals(t *testing.T) {
	srv := startService(t, service.Config{CallDuration: 500 * time.Millisecond})
	t.Run("one", func(t *testing.T) {
		c := startChild(t, "a", srv.Addr(), "127.0.0.1:1")
		req := c.runRequest("e~one")
		r := c.startRun(t, req)
		assert.NilError(t, c.process.Terminate())
		assert.DeepEqual(t, r.finish(t), []string{"accepted attached=false", "done 1"})
		c.ack(t, req)
		assert.Equal(t, c.process.ExitCode(), 0)
	})
	t.Run("two", func(t *testing.T) {
		c := startChild(t, "a", srv.Addr(), "127.0.0.1:1")
		c.startRun(t, c.runRequest("e~two"))
		assert.NilError(t, c.process.Terminate())
		eventually(t, func() bool {
			reply, err := c.client.Probe(context.Background(), &wire.ProbeRequest{})
			return err == nil && reply.Load.Leaving
		})
		assert.NilError(t, c.process.Terminate())
		assert.Equal(t, c.process.ExitCode(), 4)
		out, err := os.ReadFile(c.process.LogFile)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(string(out), "cut: running e~two/0/1"), string(out))
	})
}
