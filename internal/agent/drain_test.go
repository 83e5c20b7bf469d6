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

// TestDrainCutsNothing checks that a process told to stop refuses new work at
// once, finishes what it has, and keeps the results until they are taken.
func TestDrainCutsNothing(t *testing.T) {
	before := runtime.NumGoroutine()
	t.Cleanup(func() { noneLeft(t, before) })
	srv := startService(t, service.Config{CallDuration: 200 * time.Millisecond})
	f := start(t, testSettings(t, "a", "http://"+srv.Addr()))
	f.work.limiter.SetMax(1)
	running, queued := f.startRun(t, f.runRequest("e~1")), f.startRun(t, f.runRequest("e~2"))
	f.stop()
	eventually(t, f.work.isLeaving)
	assert.DeepEqual(t, f.run(t, f.runRequest("e~3")).events, []string{"refused 2005 RAN_NO"})
	var cut bytes.Buffer
	f.WriteCut(&cut)
	assert.Equal(t, cut.String(), "cut: queued e~2/0/1\ncut: running e~1/0/1\n")

	assert.DeepEqual(t, running.finish(t), []string{"accepted attached=false", "done 1"})
	assert.DeepEqual(t, queued.finish(t), []string{"accepted attached=false", "done 1"})
	// A caller that lost its stream still gets its result.
	assert.Assert(t, f.attach(t, f.runRequest("e~2").Attempt, 1).done != nil)
	f.ack(t, f.runRequest("e~1"))
	select {
	case <-f.done:
		t.Fatal("the process ended with a result that was not taken")
	default:
	}
	f.ack(t, f.runRequest("e~2"))
	assert.NilError(t, <-f.done)
	f.done <- nil
	assert.Equal(t, len(srv.Recorder.Executions()), 2)
}

func TestDrainGraceBoundsTheWaitForAcks(t *testing.T) {
	srv := startService(t, service.Config{})
	conf := testSettings(t, "a", "http://"+srv.Addr())
	conf.Limits.DrainGracePeriod = schema.Duration(time.Millisecond)
	f := start(t, conf)
	assert.Assert(t, f.run(t, f.runRequest("e~1")).done != nil)
	f.stop()
	assert.NilError(t, <-f.done)
	f.done <- nil
}

func TestListedLeaving(t *testing.T) {
	list := []membership.Instance{{ID: "a", Leaving: true}, {ID: "b"}}
	assert.Assert(t, listedLeaving(list, "a"))
	assert.Assert(t, !listedLeaving(list, "b"))
	assert.Assert(t, !listedLeaving(list, "c"))
	assert.Assert(t, !listedLeaving(nil, "a"))

	srv := startService(t, service.Config{})
	f := start(t, testSettings(t, "a", "http://"+srv.Addr()))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.watchList(ctx, func() []membership.Instance { return list })
	eventually(t, f.work.isLeaving)
	assert.DeepEqual(t, f.run(t, f.runRequest("e~1")).events, []string{"refused 2005 RAN_NO"})
}

// TestRunWithoutPlatform checks a whole process whose platform is down: it serves
// calls, says that it is not ready, and leaves no goroutine behind.
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
	eventually(t, func() bool { return status("/healthz") == http.StatusOK })
	assert.Equal(t, status("/readyz"), http.StatusServiceUnavailable)
	assert.Equal(t, status("/debug/pprof/cmdline"), http.StatusOK)

	tls, err := rpc.TLSConfig([]byte(testSecret))
	assert.NilError(t, err)
	pool := rpc.NewPool(tls)
	f := &fixture{Process: p, addr: conf.Listen.Peers, pool: pool}
	f.client = wire.NewDRPCAgentClient(pool.Conn(ctx, f.addr))
	req := f.runRequest("e~1")
	assert.Assert(t, f.run(t, req).done != nil)
	f.ack(t, req)
	cancel()
	assert.NilError(t, <-done)
	_ = pool.Close() // The process at the other end is gone already.
	assert.NilError(t, srv.Close())
	http.DefaultClient.CloseIdleConnections()
	noneLeft(t, before)
}

// noneLeft waits until there are no more goroutines than before.
func noneLeft(t testing.TB, before int) {
	for deadline := time.Now().Add(10 * time.Second); runtime.NumGoroutine() > before; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			stacks := make([]byte, 1<<16)
			t.Fatalf("%d goroutines, %d before:\n%s", runtime.NumGoroutine(), before, stacks[:runtime.Stack(stacks, true)])
		}
	}
}

func freeAddr(t testing.TB) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = lis.Close() }()
	return lis.Addr().String()
}
