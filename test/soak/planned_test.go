package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"regexp"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/platform"
	"github.com/magnoliawheel/magnoliawheel/test/harness"
)

const (
	// plannedGrace is the grace period of the entries in planned work.
	plannedGrace = 6 * time.Second
	// lastPart is the last part of the grace period, in which streams that servers still work
	// on may be broken off if they were sent within acceptedFor after SIGTERM.
	lastPart    = plannedGrace / 6
	acceptedFor = 3 * time.Second
	// lossSlack is the time after which an entry has read a request that it has received whole.
	lossSlack = 300 * time.Millisecond
	// plannedCallers is the number of concurrent callers. Each sends requests of one kind.
	plannedCallers = 32
	// plannedRounds is the number of rolling restarts in one run.
	plannedRounds = 2
	// maxTerminationGap is the longest time between two SIGTERMs that overlap.
	maxTerminationGap = 1500 * time.Millisecond
	// maxStageTime is the longest time that a server takes for a stage call, so that streams
	// wait for their placements beyond the end of their entry.
	maxStageTime = 4 * time.Second
	// maxEventDelay is the longest time before each event of a model server.
	maxEventDelay = 150 * time.Millisecond
	// plannedPause is the mean time between two SIGHUPs or configuration changes.
	plannedPause = 200 * time.Millisecond
)

// TestPlannedWorkLosesNoRequest guards against requests that get neither an answer nor a
// refusal while entries are restarted and reconfigured without any fault: a stream that waits
// for its placement until the process exits, or an answer whose end was not written before.
func TestPlannedWorkLosesNoRequest(t *testing.T) {
	list, _ := seeds(t)
	for _, seed := range list {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, entryCount, false, plannedGrace)
			l := &requestLog{}
			p := &plannedWork{fleet: f, rng: rand.New(rand.NewPCG(seed, 4)), terminated: map[processRun]time.Time{}}
			for _, e := range f.entries {
				e.clientRelay.OnForwarded(p.recordPassedOn)
			}
			waitUntilServing(t, f, l)
			stop := startPlannedCallers(f, l, seed)
			for range plannedRounds {
				p.runRound(t)
			}
			stop()
			p.checkNothingLost(t, l)
			checkInvariants(t, f, newInjector(f, seed), l)
		})
	}
}

// plannedWork restarts and reconfigures entries as an operator does.
type plannedWork struct {
	fleet *fleet
	rng   *rand.Rand

	mu sync.Mutex
	// terminated is the time of the SIGTERM of each process.
	terminated map[processRun]time.Time
	// passedOn maps the IDs of requests to the times (time.Time) at which the relays in front of
	// the entries began to write their last bytes to them, which is no later than these arrived.
	passedOn sync.Map
}

// requestEnd is the end of a request, which has its ID.
var requestEnd = regexp.MustCompile(`body of (r\d+)`)

// recordPassedOn records when a relay has passed on the end of a request.
func (p *plannedWork) recordPassedOn(dir harness.Direction, data []byte, began time.Time) {
	if dir != harness.Upstream {
		return
	}
	for _, m := range requestEnd.FindAllSubmatch(data, -1) {
		p.passedOn.Store(string(m[1]), began)
	}
}

// heldFor returns for how long the entry had the whole request at most when its client saw the end
// of the connection, and whether the entry had received it at all.
func (p *plannedWork) heldFor(r *request) (time.Duration, bool) {
	at, ok := p.passedOn.Load(r.id)
	if !ok {
		return 0, false
	}
	return r.ended.Sub(at.(time.Time)), true
}

// startPlannedCallers starts callers that keep to an entry until it is unreachable, and
// returns a function that stops them and waits for them.
func startPlannedCallers(f *fleet, l *requestLog, seed uint64) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range plannedCallers {
		c := newCaller(f, l, seed*plannedCallers+uint64(i), eventTimeout)
		wg.Go(func() {
			defer c.client.CloseIdleConnections()
			for ctx.Err() == nil {
				r := c.send(i%len(requestKinds), f.firstKey())
				if r.status == 0 || c.rng.IntN(8) == 0 {
					c.switchEntry()
				}
				time.Sleep(callerPause)
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// runRound restarts most entries beside SIGHUPs and configuration changes, in series or
// overlapping, while servers are slow.
func (p *plannedWork) runRound(t *testing.T) {
	p.slowServers()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.reconfigure(ctx, rand.New(rand.NewPCG(p.rng.Uint64(), 5)))
	var restarts sync.WaitGroup
	inSeries := p.rng.IntN(3) == 0
	for _, i := range p.rng.Perm(len(p.fleet.entries))[:len(p.fleet.entries)-1] {
		restarts.Go(func() { p.restart(t, p.fleet.entries[i]) })
		if inSeries {
			restarts.Wait()
		}
		time.Sleep(time.Duration(p.rng.Int64N(int64(maxTerminationGap))))
	}
	restarts.Wait()
}

// firstKey returns the key that all versions of the configuration have.
func (f *fleet) firstKey() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.keys[0]
}

// slowServers draws the times that servers take for stage calls and events.
func (p *plannedWork) slowServers() {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(p.fleet.activeServers)) {
		s := p.fleet.activeServers[id]
		stageTime := time.Duration(p.rng.Int64N(int64(maxStageTime)))
		if s.service == "model" {
			s.SetDelay(time.Duration(p.rng.Int64N(int64(maxEventDelay))))
		}
		s.SetHandler(func(_ http.ResponseWriter, r *http.Request) bool {
			if r.URL.Path == platform.StageRunPath {
				time.Sleep(stageTime)
			}
			return false
		})
	}
}

// reconfigure sends SIGHUPs and writes versions of the configuration until ctx ends.
func (p *plannedWork) reconfigure(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		e := p.fleet.entries[rng.IntN(len(p.fleet.entries))]
		process, _ := e.currentProcess()
		// A process that does not listen yet may not handle signals yet either.
		if rng.IntN(2) == 0 && e.readiness(ctx) != 0 {
			_ = process.Reload()
		} else {
			p.fleet.updateKeys(func(keys []string) []string { return append(keys, fmt.Sprint("key-", p.fleet.configVersion)) })
		}
		time.Sleep(time.Duration(rng.Int64N(int64(2 * plannedPause))))
	}
}

// restart terminates an entry, checks that it exits by itself in time, and starts it again.
func (p *plannedWork) restart(t *testing.T, e *entry) {
	process, incarnation := e.currentProcess()
	start := time.Now()
	p.mu.Lock()
	p.terminated[processRun{e, incarnation}] = start
	p.mu.Unlock()
	assert.Check(t, process.Terminate())
	assert.Check(t, process.ExitCode() == 0, "%s exited with code %d", e.name, process.ExitCode())
	assert.Check(t, time.Since(start) < plannedGrace, "%s took %v to stop", e.name, time.Since(start))
	e.start()
	e.waitUntilReady()
}

// checkNothingLost checks that each request that an entry had read got a complete answer or a
// refusal.
func (p *plannedWork) checkNothingLost(t *testing.T, l *requestLog) {
	t.Helper()
	counts := p.fleet.executionCounts()
	cutLate, notReceived := 0, 0
	for _, r := range l.requests {
		if _, received := p.heldFor(r); !received && counts[r.id] > 0 {
			t.Errorf("%s ran, but the relay has not recorded that it passed it on", r.id)
		}
		written := r.written.Load()
		held, received := p.heldFor(r)
		terminated, wasTerminated := p.terminated[processRun{r.entry, r.incarnation}]
		switch age := r.ended.Sub(terminated); {
		case r.err == nil && r.status >= http.StatusInternalServerError && r.status != http.StatusServiceUnavailable:
			t.Errorf("%s (%s) at %s failed with status %d %v after SIGTERM, sent %v after it, executed %d times: %s",
				r.id, requestKinds[r.kind].path, r.entry.name, r.status, age, r.sent.Sub(terminated), counts[r.id], r.answer)
		case r.err == nil || counts[r.id] == 0 && (written == 0 || r.ended.UnixNano()-written < lossSlack.Nanoseconds()):
		case counts[r.id] == 0 && (!received || held < lossSlack):
			notReceived++
			t.Logf("%s (%s) at %s ended %v after it was written, %v after SIGTERM; the relay had passed it on: %t, %v before: %v",
				r.id, requestKinds[r.kind].path, r.entry.name, r.ended.Sub(time.Unix(0, written)), age, received, held, r.err)
		case counts[r.id] > 0 && wasTerminated && age >= plannedGrace-lastPart && r.sent.Sub(terminated) <= acceptedFor:
			cutLate++
		default:
			t.Errorf("%s (%s) at %s is lost %v after SIGTERM, sent %v after it, received by the entry: %t, %v before the end, executed %d times, %d events: %v",
				r.id, requestKinds[r.kind].path, r.entry.name, age, r.sent.Sub(terminated), received, held, counts[r.id], r.wholeEvents(), r.err)
		}
	}
	t.Logf("%d requests by status: %v; %d cut at the end of the grace period, %d ended before the relay had passed them on in time", len(l.requests), countByStatus(l.requests), cutLate, notReceived)
}
