// Package soak runs entries as processes of their own with faults injected from
// outside, by a seed: connections delayed, reset and silenced, processes killed,
// paused, stopped and started, the store away or losing answers, servers that
// misbehave, leave and crash, keys that come and go. It checks what callers and
// servers see.
package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/test/harness"
)

const (
	// seedsVariable names the seeds to run, as FIRST-LAST.
	seedsVariable = "SOAK_SEEDS"
	// entries is the number of entry processes.
	entries = 4
	// shortFaults and longFaults are how long faults are injected, in the run without
	// and with seeds given.
	shortFaults = 4 * time.Second
	longFaults  = 10 * time.Second
)

// failed are the seeds that found a fault once, with its cause.
var failed = map[uint64]string{
	3:  "SIGHUP that came before the process took signals ended it",
	18: "the same",
	37: "the same",
}

var binaries harness.Binaries

func TestMain(m *testing.M) { os.Exit(harness.Main(m, &binaries)) }

// seeds returns the seeds to run and how long each one injects faults.
func seeds(t *testing.T) ([]uint64, time.Duration) {
	t.Helper()
	text := os.Getenv(seedsVariable)
	if text == "" {
		list := []uint64{1, 2}
		for seed := range failed {
			list = append(list, seed)
		}
		return list, shortFaults
	}
	first, last, found := strings.Cut(text, "-")
	if !found {
		last = first
	}
	from, err := strconv.ParseUint(first, 10, 32)
	assert.NilError(t, err, "%s is FIRST-LAST", seedsVariable)
	to, err := strconv.ParseUint(last, 10, 32)
	assert.NilError(t, err, "%s is FIRST-LAST", seedsVariable)
	var list []uint64
	for seed := from; seed <= to; seed++ {
		list = append(list, seed)
	}
	return list, longFaults
}

func TestSoak(t *testing.T) {
	list, d := seeds(t)
	for _, seed := range list {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed, d)
		})
	}
}

// soak runs one seed: faults under traffic, then calm, then restarts in turn.
func soak(t *testing.T, seed uint64, d time.Duration) {
	f := newFleet(t, entries)
	in := newInjector(f, seed)
	l := &requestLog{}
	stop := startCallers(f, l, seed, timeoutUnderFaults)
	in.run(d)
	for _, e := range f.entries {
		e.waitReady()
	}
	serveAgain(t, f, l)
	stop()
	duringFaults := len(l.requests)
	restartInTurn(t, f, l, seed)
	checkLedger(t, f, in, l)
	checkRestarts(t, f, l.requests[duringFaults:])
	t.Logf("%d requests, %d of them beside faults; answers by status: %v", len(l.requests), duringFaults, byStatus(l.requests))
	if t.Failed() {
		t.Logf("faults:\n%s", strings.Join(in.log, "\n"))
	}
}

// startCallers starts callers; the function returned stops them and waits.
func startCallers(f *fleet, l *requestLog, seed uint64, timeout time.Duration) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for i := range callerCount {
		c := newCaller(f, l, seed*callerCount+uint64(i), timeout)
		all.Go(func() { c.run(ctx) })
	}
	return func() {
		cancel()
		all.Wait()
	}
}

// serveAgain waits until each entry answers each kind of request.
func serveAgain(t *testing.T, f *fleet, l *requestLog) {
	t.Helper()
	for _, e := range f.entries {
		for kind := range requestKinds {
			c := newCaller(f, l, uint64(kind), timeoutUnderFaults)
			c.entry = e
			end := time.Now().Add(patience)
			for c.send(kind, c.newestKey()).status != http.StatusOK {
				if time.Now().After(end) {
					t.Errorf("%s does not serve %s after the faults have ended", e.name, requestKinds[kind].path)
					break
				}
				c.client.CloseIdleConnections()
				time.Sleep(callerPause)
			}
		}
	}
}

// restartInTurn stops and starts one entry after the other under traffic.
func restartInTurn(t *testing.T, f *fleet, l *requestLog, seed uint64) {
	t.Helper()
	stop := startCallers(f, l, seed+1, patience)
	for _, e := range f.entries[:2] {
		p, _ := e.now()
		assert.Check(t, p.Terminate())
		<-p.Exited()
		assert.Check(t, p.ExitCode() == 0, "%s ended with code %d", e.name, p.ExitCode())
		e.start()
		e.waitReady()
	}
	stop()
}

func byStatus(all []*request) map[int]int {
	n := map[int]int{}
	for _, r := range all {
		n[r.status]++
	}
	return n
}
