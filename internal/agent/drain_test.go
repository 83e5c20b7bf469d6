package agent

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/membership"
	"github.com/magnoliawheel/magnoliawheel/core/schema"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
	"github.com/magnoliawheel/magnoliawheel/test/standin/service"
)

// TestDrainCompletesAcceptedCalls checks that a draining process refuses new
// calls at once, completes the accepted ones, and keeps their results until
// they are acknowledged.
func TestDrainCompletesAcceptedCalls(t *testing.T) {
	before := runtime.NumGoroutine()
	t.Cleanup(func() { waitForGoroutines(t, before) })
	// The first call must still run when the cut is written, also on a busy machine.
	srv := startService(t, service.Config{CallDuration: time.Second})
	f := startAgent(t, testSettings(t, "a", "http://"+srv.Addr()))
	f.worker.limiter.SetMax(1)
	running, queued := f.startRun(t, f.runRequest("e~1")), f.startRun(t, f.runRequest("e~2"))
	f.stop()
	waitFor(t, f.worker.isLeaving)
	assert.DeepEqual(t, f.run(t, f.runRequest("e~3")).events, []string{"refused 2005 RAN_NO"})
	var cut bytes.Buffer
	f.WriteCut(&cut)
	assert.Equal(t, cut.String(), "cut: queued e~2/0/1\ncut: running e~1/0/1\n")

	assert.DeepEqual(t, running.finish(t), []string{"accepted attached=false", "done 1"})
	assert.DeepEqual(t, queued.finish(t), []string{"accepted attached=false", "done 1"})
	// A caller whose stream was disconnected can still attach to its result.
	assert.Assert(t, f.attach(t, f.runRequest("e~2").Attempt, 1).done != nil)
	f.ack(t, f.runRequest("e~1"))
	select {
	case <-f.serveResult:
		t.Fatal("the process ended before all results were acknowledged")
	default:
	}
	f.ack(t, f.runRequest("e~2"))
	assert.NilError(t, <-f.serveResult)
	f.serveResult <- nil
	assert.Equal(t, len(srv.Recorder.Executions()), 2)
}

func TestDrainGraceLimitsTheWaitForAcks(t *testing.T) {
	srv := startService(t, service.Config{})
	conf := testSettings(t, "a", "http://"+srv.Addr())
	conf.Limits.DrainGracePeriod = schema.Duration(time.Millisecond)
	f := startAgent(t, conf)
	assert.Assert(t, f.run(t, f.runRequest("e~1")).done != nil)
	f.stop()
	assert.NilError(t, <-f.serveResult)
	f.serveResult <- nil
}

func TestLeavingByInstanceList(t *testing.T) {
	list := []membership.Instance{{ID: "a", Leaving: true}, {ID: "b"}}
	assert.Assert(t, isListedAsLeaving(list, "a"))
	assert.Assert(t, !isListedAsLeaving(list, "b"))
	assert.Assert(t, !isListedAsLeaving(list, "c"))
	assert.Assert(t, !isListedAsLeaving(nil, "a"))

	srv := startService(t, service.Config{})
	f := startAgent(t, testSettings(t, "a", "http://"+srv.Addr()))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.watchInstanceList(ctx, func() []membership.Instance { return list })
	waitFor(t, f.worker.isLeaving)
	assert.DeepEqual(t, f.run(t, f.runRequest("e~1")).events, []string{"refused 2005 RAN_NO"})
}

// TestRunWithoutPlatform runs a whole process while the platform is
// unavailable. It must serve calls, report that it is not ready, and leave no
// goroutine behind.
func TestRunWithoutPlatform(t *testing.T) {
	before := runtime.NumGoroutine()
	srv, err := service.Start("127.0.0.1:0", service.Config{})
	assert.NilError(t, err)
	conf := testSettings(t, "a", "http://"+srv.Addr())
	conf.Listen.Peers, conf.Listen.Admin = freeAddr(t), freeAddr(t)
	conf.Platform.LogURL, conf.Platform.InstanceListURL = "http://127.0.0.1:1", "http://127.0.0.1:1"
	p, err := New(Options{Settings: conf, Log: logr.Discard()})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()

	status := func(path string) int {
		resp, err := http.Get("http://" + conf.Listen.Admin + path)
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	waitFor(t, func() bool { return status("/healthz") == http.StatusOK })
	assert.Equal(t, status("/readyz"), http.StatusServiceUnavailable)
	assert.Equal(t, status("/debug/pprof/cmdline"), http.StatusOK)

	tlsConfig, err := rpc.TLSConfig([]byte(testSecret))
	assert.NilError(t, err)
	pool := rpc.NewPool(tlsConfig)
	f := &fixture{Process: p, address: conf.Listen.Peers, pool: pool}
	f.client = wire.NewDRPCAgentClient(pool.Conn(ctx, f.address))
	req := f.runRequest("e~1")
	assert.Assert(t, f.run(t, req).done != nil)
	f.ack(t, req)
	cancel()
	assert.NilError(t, <-done)
	_ = pool.Close() // May fail because the agent has already closed its connections.
	assert.NilError(t, srv.Close())
	http.DefaultClient.CloseIdleConnections()
	waitForGoroutines(t, before)
}

// waitForGoroutines waits until no more goroutines run than before the test,
// and fails the test after 10 s.
func waitForGoroutines(t testing.TB, before int) {
	for deadline := time.Now().Add(10 * time.Second); runtime.NumGoroutine() > before; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			stacks := make([]byte, 1<<16)
			t.Fatalf("%d goroutines, %d before:\n%s", runtime.NumGoroutine(), before, stacks[:runtime.Stack(stacks, true)])
		}
	}
}

// freeAddr returns a local address that was free a moment ago.
func freeAddr(t testing.TB) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = lis.Close() }()
	return lis.Addr().String()
}
