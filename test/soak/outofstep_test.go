package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/platform/standin"
	"github.com/magnoliawheel/magnoliawheel/test/harness"
)

const (
	// outOfStepRounds is the number of releases in one run, shortOutOfStepRounds if no seeds are
	// given. There are more, at most maxOutOfStepRounds, until entries out of step have answered
	// minLateResumptions attempts to resume a stream.
	outOfStepRounds      = 3
	shortOutOfStepRounds = 2
	maxOutOfStepRounds   = 6
	minLateResumptions   = 20
	// poolsPerRound is the number of services that a release replaces, each of which had one
	// version before, and poolServers that of the servers of each.
	poolsPerRound = 2
	poolServers   = 2
	// minOutOfStep and maxOutOfStep bound how long an entry is out of step.
	minOutOfStep = 300 * time.Millisecond
	maxOutOfStep = 5 * time.Second
	// maxReleaseStep is the longest time between two steps of a release.
	maxReleaseStep = 800 * time.Millisecond
	// restartTime is how long a server that starts again under its ID is away.
	restartTime = 100 * time.Millisecond
	// outOfStepCallers is the number of callers, and outOfStepTimeout the time after which they
	// abandon a request: longer than an entry stands still.
	outOfStepCallers = 24
	outOfStepTimeout = maxOutOfStep + 2*time.Second
	// lateBeginShare and lateResumeShare are the shares of streams that begin, and of attempts to
	// resume one, at an entry out of step. breakShare is that of answers which break off after an
	// event.
	lateBeginShare  = 0.1
	lateResumeShare = 0.7
	breakShare      = 0.7
)

// outOfStepRuns returns the seeds to run and the number of releases for each.
func outOfStepRuns(t *testing.T) ([]uint64, int32) {
	t.Helper()
	list, d := seeds(t)
	if d == shortRunDuration {
		return []uint64{1, 3, 10}, shortOutOfStepRounds
	}
	return list, outOfStepRounds
}

// outOfStep is a run of TestReleaseWhileEntriesAreOutOfStep.
type outOfStep struct {
	*fleet
	in  *injector
	rng *rand.Rand

	// round numbers the present release, whose services no other one changes.
	round atomic.Int32
	// lateResumptions counts the answered attempts to resume a stream that were sent to an entry
	// out of step.
	lateResumptions atomic.Int32
	began           time.Time

	mu sync.Mutex
	// late are the entries out of step.
	late map[*entry]bool
	log  []string
}

// TestReleaseWhileEntriesAreOutOfStep guards against answers that are joined from two software
// versions, because an entry that stood still or was cut off has not heard of the newer one.
func TestReleaseWhileEntriesAreOutOfStep(t *testing.T) {
	list, rounds := outOfStepRuns(t)
	for _, seed := range list {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			newOutOfStep(t, seed).run(t, seed, rounds)
		})
	}
}

func newOutOfStep(t *testing.T, seed uint64) *outOfStep {
	f := (&fleet{t: t, pools: maxOutOfStepRounds * poolsPerRound}).start(entryCount)
	return &outOfStep{fleet: f, in: newInjector(f, seed), rng: rand.New(rand.NewPCG(seed, 6)), late: map[*entry]bool{}, began: time.Now()}
}

// TestServersStartAgainInPlaceAsAnotherVersion guards against answers that are joined from two
// software versions, because a server starts again under its ID and address as one of a newer
// version, before an entry has read its new record.
func TestServersStartAgainInPlaceAsAnotherVersion(t *testing.T) {
	list, rounds := outOfStepRuns(t)
	for _, seed := range list {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			o := newOutOfStep(t, seed)
			l := &requestLog{}
			stop := o.startCallers(l, seed)
			for round := range rounds {
				o.round.Store(round)
				for i := range poolsPerRound {
					o.restartInPlace(standin.PoolName(o.pool(i)), fmt.Sprint("v", round+2))
				}
			}
			stop()
			o.writeLogs(l)
			checkInvariants(t, o.fleet, o.in, l)
			resumed, continued := countResumed(l.requests)
			if continued == 0 {
				t.Error("no stream was resumed: the run tests nothing")
			}
			t.Logf("%d attempts to resume a stream, %d continued, %d at another version; by status %v", resumed, continued, countJoined(l.requests), countByStatus(l.requests))
		})
	}
}

// restartInPlace starts the servers of a service again, one after the other, as ones of a version.
func (o *outOfStep) restartInPlace(service, version string) {
	for _, s := range o.serversOf(service) {
		time.Sleep(o.drawTime(maxReleaseStep))
		s.SetHandler(func(http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) })
		s.CloseClientConnections()
		time.Sleep(restartTime)
		s.version, s.startTime = version, s.startTime+1
		s.SetVersion(version)
		o.putServerRecord(s, false)
		s.breakOffOften()
		o.note("%s has started again as one of %s", s.ID, version)
	}
	time.Sleep(maxReleaseStep)
}

func (o *outOfStep) run(t *testing.T, seed uint64, rounds int32) {
	l := &requestLog{}
	stop := o.startCallers(l, seed)
	for round := range int32(maxOutOfStepRounds) {
		if round >= rounds && o.lateResumptions.Load() >= minLateResumptions {
			break
		}
		o.round.Store(round)
		time.Sleep(minOutOfStep)
		o.release(fmt.Sprint("v", round+2))
	}
	for _, e := range o.entries {
		e.waitUntilReady()
	}
	stop()
	o.writeLogs(l)
	checkInvariants(t, o.fleet, o.in, l)
	late := o.lateResumptions.Load()
	if late < minLateResumptions {
		t.Errorf("%d attempts to resume a stream at an entry out of step were answered: the run tests too little", late)
	}
	resumed, continued := countResumed(l.requests)
	t.Logf("%d attempts to resume a stream, %d of them answered by entries out of step; %d continued, %d at another version; by status %v",
		resumed, late, continued, countJoined(l.requests), countByStatus(l.requests))
	if t.Failed() {
		t.Logf("faults:\n%s", strings.Join(o.log, "\n"))
	}
}

// writeLogs writes the faults and all requests beside the logs of the entries.
func (o *outOfStep) writeLogs(l *requestLog) {
	var b strings.Builder
	for _, line := range o.log {
		fmt.Fprintln(&b, line)
	}
	for _, r := range l.requests {
		stream := r.id
		if r.resumed != nil {
			stream = r.resumed.id
		}
		fmt.Fprintf(&b, "%s stream=%s path=%s after=%d entry=%s sent=%d ended=%d status=%d retry=%q err=%v answer=%q\n", r.id, stream, r.pathSuffix, r.lastEvent, r.entry.name,
			r.sent.Sub(o.began).Milliseconds(), r.ended.Sub(o.began).Milliseconds(), r.status, r.retryAfter, r.err, r.answer)
	}
	assert.Check(o.t, os.WriteFile(filepath.Join(o.dir, "run.log"), []byte(b.String()), 0o600))
}

// countJoined returns the number of streams that went on at another version than they began at.
func countJoined(all []*request) int {
	joined := 0
	for _, r := range all {
		if r.resumed != nil && r.status == http.StatusOK && strings.Count(r.answer, " by ") > strings.Count(r.answer, " by "+r.version()) {
			joined++
		}
	}
	return joined
}

// startPools starts the servers of the further services.
func (f *fleet) startPools() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.pools * poolServers {
		f.startServer(standin.PoolName(i/poolServers), "v1").breakOffOften()
	}
}

// keyValidity returns how long entries accept keys while they cannot reach the store; 0 means
// without limit, so that entries that are cut off go on.
func (f *fleet) keyValidity() time.Duration {
	if f.pools > 0 {
		return 0
	}
	return keyValidity
}

// breakOffOften makes a server break off many of its streams after an event.
func (s *server) breakOffOften() {
	s.SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
		next := standin.LastEventID(r.Header) + 1
		if next >= streamEvents || rand.Float64() >= breakShare {
			return false
		}
		s.BeginResponse(w, r)
		time.Sleep(responseDelay)
		_, _ = fmt.Fprint(w, s.Event(next, standin.RequestID(r.Header)))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
}

func (o *outOfStep) note(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.log = append(o.log, fmt.Sprintf("%6d ms ", time.Since(o.began).Milliseconds())+fmt.Sprintf(format, args...))
}

// release replaces the servers of the present services by ones of a new version, while one or two
// entries are out of step. Sometimes another entry is killed meanwhile.
func (o *outOfStep) release(version string) {
	var faults sync.WaitGroup
	late := o.rng.Perm(len(o.entries))
	for _, i := range late[:1+o.rng.IntN(2)] {
		faults.Go(o.drawFaults(o.entries[i]))
	}
	if o.rng.IntN(4) == 0 {
		e, after, downtime := o.entries[late[2]], o.drawTime(maxReleaseStep), o.drawTime(maxReleaseStep)
		faults.Go(func() {
			time.Sleep(after)
			o.note("%s is killed and started %v later", e.name, downtime)
			e.killAndRestart(downtime)
		})
	}
	time.Sleep(o.drawTime(maxReleaseStep / 2))
	for i := range poolsPerRound {
		steps := o.drawSteps(standin.PoolName(o.pool(i)), version)
		faults.Go(func() {
			for _, step := range steps {
				step()
			}
		})
	}
	faults.Wait()
	time.Sleep(maxReleaseStep)
}

func (o *outOfStep) drawTime(limit time.Duration) time.Duration {
	return time.Duration(o.rng.Int64N(int64(limit)))
}

// pool returns one of the services of the present release.
func (o *outOfStep) pool(i int) int { return int(o.round.Load())*poolsPerRound + i }

// drawSteps returns the steps of the release of one service.
func (o *outOfStep) drawSteps(service, version string) []func() {
	var steps []func()
	pause := func() {
		d := o.drawTime(maxReleaseStep)
		steps = append(steps, func() { time.Sleep(d) })
	}
	for range poolServers {
		steps = append(steps, func() {
			o.fleet.mu.Lock()
			defer o.fleet.mu.Unlock()
			s := o.startServer(service, version)
			s.breakOffOften()
			o.note("%s of %s joins", s.ID, version)
		})
		pause()
	}
	for _, s := range o.serversOf(service) {
		steps = append(steps, o.drawEnd(s, version))
		pause()
	}
	return steps
}

// serversOf returns the servers of a service in the order of their starts.
func (o *outOfStep) serversOf(service string) []*server {
	o.fleet.mu.Lock()
	defer o.fleet.mu.Unlock()
	var servers []*server
	for _, started := range o.allServers {
		if s := o.activeServers[started.ID]; s != nil && s.service == service {
			servers = append(servers, s)
		}
	}
	return servers
}

// drawEnd returns how an old server ends: it drains, it leaves without saying so and goes on
// serving, or it starts again under its ID as one of the new version.
func (o *outOfStep) drawEnd(s *server, version string) func() {
	switch o.rng.IntN(3) {
	case 0:
		return func() {
			o.note("%s drains", s.ID)
			o.putServerRecord(s, true)
		}
	case 1:
		return func() {
			o.note("%s leaves without saying so", s.ID)
			o.removeServer(s)
		}
	}
	return func() {
		o.note("%s starts again as one of %s", s.ID, version)
		s.relay.Close()
		time.Sleep(restartTime)
		o.fleet.mu.Lock()
		defer o.fleet.mu.Unlock()
		o.startServerAs(s.ID, s.service, version, s.startTime+1).breakOffOften()
	}
}

// drawFaults returns a function that puts an entry out of step by one or several faults at a time.
func (o *outOfStep) drawFaults(e *entry) func() {
	d := minOutOfStep + o.drawTime(maxOutOfStep-minOutOfStep)
	var faults []func()
	kinds := 1 + o.rng.IntN(7)
	if kinds&1 != 0 {
		pauses := 1 + o.rng.IntN(3)
		faults = append(faults, func() { o.pause(e, d, pauses) })
	}
	if kinds&2 != 0 {
		c, reset := o.drawCut(""), o.rng.IntN(3) == 0
		faults = append(faults, func() { o.cut(e.storeRelay, c, e.name+" to the store", d, reset) })
	}
	if kinds&4 != 0 {
		// The entry may keep a session with one of the others.
		spared := o.rng.IntN(2 * len(o.entries))
		for i, other := range o.entries {
			if other != e && i != spared {
				to, from := o.drawCut(e.name+"#"), o.drawCut(other.name+"#")
				faults = append(faults, func() { o.cut(other.peerRelay, to, e.name+" to "+other.name, d, false) },
					func() { o.cut(e.peerRelay, from, other.name+" to "+e.name, d, false) })
			}
		}
	}
	return func() {
		o.setLate(e, true)
		defer o.setLate(e, false)
		var running sync.WaitGroup
		for _, f := range faults {
			running.Go(f)
		}
		running.Wait()
	}
}

func (o *outOfStep) setLate(e *entry, late bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.late[e] = late
}

// drawCut returns a cut of one direction or both that drops data, holds it or delays it.
func (o *outOfStep) drawCut(marker string) *harness.Cut {
	c := &harness.Cut{Marker: marker, Directions: []harness.Direction{harness.Upstream, harness.Downstream}}
	if n := o.rng.IntN(4); n < 2 {
		c.Directions = c.Directions[n : n+1]
	}
	switch o.rng.IntN(3) {
	case 0:
		c.Drop = true
	case 1:
		c.Delay = minOutOfStep + o.drawTime(2*time.Second)
	}
	return c
}

func (o *outOfStep) cut(relay *harness.Relay, c *harness.Cut, link string, d time.Duration, reset bool) {
	o.note("%s is cut for %v: %+v, reset %t", link, d, *c, reset)
	relay.AddCut(c)
	if reset {
		relay.Reset()
	}
	time.Sleep(d)
	relay.RemoveCut(c)
}

// pause stops the process of an entry several times in a row, d in all.
func (o *outOfStep) pause(e *entry, d time.Duration, times int) {
	p, _ := e.currentProcess()
	for range times {
		o.note("%s stands still for %v", e.name, d/time.Duration(times))
		_ = p.Freeze()
		time.Sleep(d / time.Duration(times))
		_ = p.Resume()
		time.Sleep(callerPause)
	}
}

// startCallers starts callers that begin streams and resume those that broke off, and returns a
// function that stops them and waits for them.
func (o *outOfStep) startCallers(l *requestLog, seed uint64) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range outOfStepCallers {
		c := newCaller(o.fleet, l, seed*outOfStepCallers+uint64(i), outOfStepTimeout)
		running.Go(func() {
			defer c.client.CloseIdleConnections()
			for ctx.Err() == nil {
				o.runStream(ctx, c)
				time.Sleep(callerPause)
			}
		})
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// runStream begins a stream, mostly at an entry in step, and resumes it until it is whole or
// resumeFor is over.
func (o *outOfStep) runStream(ctx context.Context, c *caller) {
	o.chooseEntry(c, lateBeginShare)
	first := &request{key: c.newestKey(), kind: resumableKind, pathSuffix: fmt.Sprint(o.pool(c.rng.IntN(poolsPerRound)), "/"), entry: c.entry}
	c.sendRequest(first)
	received := first.wholeEvents()
	if !first.mayResume() {
		return
	}
	for start := time.Now(); received < streamEvents && time.Since(start) < resumeFor && ctx.Err() == nil; time.Sleep(callerPause) {
		late := o.chooseEntry(c, lateResumeShare)
		attempt := c.sendRequest(&request{key: first.key, kind: first.kind, pathSuffix: first.pathSuffix, entry: c.entry, resumed: first, lastEvent: received})
		if late && attempt.status != 0 {
			o.lateResumptions.Add(1)
		}
		if attempt.status == http.StatusOK {
			received += attempt.wholeEvents()
		}
	}
}

// chooseEntry makes the caller use another entry, with the given probability one out of step if
// there is one, else any other. It reports whether the entry is out of step.
func (o *outOfStep) chooseEntry(c *caller, lateShare float64) bool {
	wantsLate := c.rng.Float64() < lateShare
	o.mu.Lock()
	defer o.mu.Unlock()
	c.switchEntry()
	for i := 0; i < len(o.entries) && o.late[c.entry] != wantsLate; i++ {
		c.entry = o.entries[i]
	}
	return o.late[c.entry]
}
