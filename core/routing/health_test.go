package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// fakeServer answers with a code after its latency. Unresponsive ones report no load.
type fakeServer struct {
	latency      time.Duration
	code         result.Code
	unresponsive bool
}

type inFlightAttempt struct {
	endsAt  time.Time
	id      string
	outcome Outcome
}

// simulateTraffic sends one attempt every gap for the duration of span, reports loads
// every 250 ms, and returns the number of attempts per server.
func simulateTraffic(r *Router, from time.Time, span, gap time.Duration, fakes map[string]fakeServer, list []Server) map[string]int {
	counts := map[string]int{}
	var inFlight []inFlightAttempt
	for now := from; now.Before(from.Add(span)); now = now.Add(gap) {
		stillRunning := inFlight[:0]
		for _, attempt := range inFlight {
			if attempt.endsAt.After(now) {
				stillRunning = append(stillRunning, attempt)
				continue
			}
			r.End(now, attempt.id, attempt.outcome)
		}
		inFlight = stillRunning
		if now.Sub(from)%(250*ms) == 0 {
			reportLoads(r, now, inFlight, fakes, list)
		}
		s, ok := r.Pick(now, &Query{})
		if !ok {
			continue
		}
		counts[s.ID]++
		r.Start(now, s.ID)
		fake := fakes[s.ID]
		o := Outcome{Code: fake.code, Unresponsive: fake.unresponsive, Elapsed: fake.latency}
		inFlight = append(inFlight, inFlightAttempt{now.Add(fake.latency), s.ID, o})
	}
	for _, attempt := range inFlight {
		r.End(attempt.endsAt, attempt.id, attempt.outcome)
	}
	return counts
}

func reportLoads(r *Router, now time.Time, inFlight []inFlightAttempt, fakes map[string]fakeServer, list []Server) {
	for _, s := range list {
		fake := fakes[s.ID]
		if fake.unresponsive {
			continue
		}
		running := 0
		for _, attempt := range inFlight {
			if attempt.id == s.ID {
				running++
			}
		}
		// A slow server reports the usual service time, because its slow calls have not
		// finished yet.
		r.Observe(now, s.ID, Load{Limit: 8, Running: running, ServiceTime: min(fake.latency, 100*ms)})
	}
}

// TestFaultyServerAvoided checks that from 2 s after a fault at most 5% of the
// attempts go to the faulty server, and that it receives traffic again after it
// recovers.
func TestFaultyServerAvoided(t *testing.T) {
	cases := []struct {
		name  string
		fault fakeServer
	}{
		{"fails every call immediately", fakeServer{latency: ms, code: result.ServerFailed}},
		{"fails every call after its usual latency", fakeServer{latency: 100 * ms, code: result.ServerFailed}},
		{"ten times slower", fakeServer{latency: time.Second}},
		{"unresponsive", fakeServer{latency: 750 * ms, unresponsive: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			list := makeServers(9, 3)
			fakes := map[string]fakeServer{}
			for _, s := range list {
				fakes[s.ID] = fakeServer{latency: 100 * ms}
			}
			r := newLoadedRouter(11, list)
			now := epoch
			simulateTraffic(r, now, 5*time.Second, 10*ms, fakes, list)
			faulty := list[0].ID
			fakes[faulty] = c.fault
			now = now.Add(5 * time.Second)
			simulateTraffic(r, now, 2*time.Second, 10*ms, fakes, list)
			now = now.Add(2 * time.Second)
			counts := simulateTraffic(r, now, 10*time.Second, 10*ms, fakes, list)
			assert.Assert(t, counts[faulty] <= 50, "faulty server got %d of 1000", counts[faulty])
			fakes[faulty] = fakeServer{latency: 100 * ms}
			now = now.Add(10 * time.Second)
			simulateTraffic(r, now, 60*time.Second, 10*ms, fakes, list)
			now = now.Add(60 * time.Second)
			counts = simulateTraffic(r, now, 10*time.Second, 10*ms, fakes, list)
			assert.Assert(t, counts[faulty] > 30, "recovered server got %d of 1000", counts[faulty])
		})
	}
}

// TestEjectionCappedWhenWholePoolFails checks that most servers stay in use when
// every server of the pool fails.
func TestEjectionCappedWhenWholePoolFails(t *testing.T) {
	list := makeServers(9, 3)
	r := newLoadedRouter(5, list)
	fakes := map[string]fakeServer{}
	for _, s := range list {
		fakes[s.ID] = fakeServer{latency: ms, code: result.ServerFailed}
	}
	counts := simulateTraffic(r, epoch, 10*time.Second, 10*ms, fakes, list)
	total, used := 0, 0
	for _, s := range list {
		total += counts[s.ID]
		if counts[s.ID] > 10 {
			used++
		}
	}
	assert.Equal(t, total, 1000)
	assert.Assert(t, used >= 6, "only %d servers in use", used)
	ejected := 0
	for _, st := range r.servers {
		if st.isEjected(epoch.Add(10 * time.Second)) {
			ejected++
		}
	}
	assert.Assert(t, ejected <= 3)
}

// TestEjectionCappedWhenMedianHealthy checks the cap when so few servers fail that
// the pool's median failure rate stays 0.
func TestEjectionCappedWhenMedianHealthy(t *testing.T) {
	list := makeServers(9, 3)
	r := newLoadedRouter(5, list)
	for _, s := range list[:4] {
		for range 5 {
			r.Start(epoch, s.ID)
			r.End(epoch, s.ID, Outcome{Code: result.ServerFailed})
		}
	}
	ejected := 0
	for _, st := range r.servers {
		if st.isEjected(epoch) {
			ejected++
		}
	}
	assert.Equal(t, ejected, 3)
}

// TestUnresponsiveServerUnusedUntilReport checks that an unresponsive server gets no
// attempts until it reports again, however long that takes.
func TestUnresponsiveServerUnusedUntilReport(t *testing.T) {
	list := makeServers(3, 1)
	r := newLoadedRouter(5, list)
	id := list[0].ID
	r.Start(epoch, id)
	r.End(epoch, id, Outcome{Unresponsive: true})
	countPicks := func(at time.Time) int {
		n := 0
		for range 300 {
			if s, _ := r.Pick(at, &Query{}); s.ID == id {
				n++
			}
		}
		return n
	}
	assert.Equal(t, countPicks(epoch.Add(10*time.Minute)), 0)
	for _, s := range list {
		r.Observe(epoch.Add(10*time.Minute), s.ID, Load{Limit: 8, ServiceTime: 100 * ms})
	}
	assert.Assert(t, countPicks(epoch.Add(11*time.Minute)) > 50)
}

// TestLongRunningAttemptMarksServerSlow checks that a server is avoided while an
// attempt there takes much longer than usual, even if it reports a usual service time.
func TestLongRunningAttemptMarksServerSlow(t *testing.T) {
	list := makeServers(3, 1)
	r := newLoadedRouter(5, list)
	r.Start(epoch, list[0].ID)
	now := epoch.Add(time.Second)
	for _, s := range list[1:] {
		r.Start(now.Add(-100*ms), s.ID)
	}
	for _, s := range list {
		r.Observe(now, s.ID, Load{Running: 1, Limit: 8, ServiceTime: 100 * ms})
		if s.ID != list[0].ID {
			r.End(now, s.ID, Outcome{Elapsed: 100 * ms})
			r.Start(now, s.ID)
		}
	}
	for range 100 {
		s, _ := r.Pick(now, &Query{})
		assert.Assert(t, s.ID != list[0].ID)
	}
}

// TestQueueWaitDoesNotMarkServerSlow checks that the time attempts spend in a long
// queue does not count as service time.
func TestQueueWaitDoesNotMarkServerSlow(t *testing.T) {
	r := New(Options{Zone: "r0-z0", Region: "r0"})
	list := makeServers(1, 1)
	r.SetServers(epoch, list)
	for range 20 {
		r.Start(epoch, list[0].ID)
	}
	now := epoch.Add(400 * ms)
	r.Observe(now, list[0].ID, Load{Running: 4, Queued: 16, Limit: 4, ServiceTime: 100 * ms, QueueWait: 50 * ms})
	d, ok := r.ExpectedTime(now, &Query{})
	assert.Assert(t, ok)
	assert.Equal(t, d, 100*ms+17*25*ms)
}

// TestAbandonedAttemptMarksServerSlow checks that a server is avoided after an attempt
// there was abandoned late, even if it never reports a long call, and that it is tried
// again later.
func TestAbandonedAttemptMarksServerSlow(t *testing.T) {
	list := makeServers(3, 1)
	r := newLoadedRouter(5, list)
	id := list[0].ID
	r.Start(epoch, id)
	now := epoch.Add(3 * time.Second)
	for _, s := range list {
		r.Observe(now, s.ID, Load{Limit: 8, ServiceTime: 100 * ms})
	}
	r.End(now, id, Outcome{Code: result.Cancelled, Elapsed: 3 * time.Second})
	countPicks := func(at time.Time) (n int) {
		for range 300 {
			if s, _ := r.Pick(at, &Query{}); s.ID == id {
				n++
			}
		}
		return n
	}
	assert.Equal(t, countPicks(now.Add(5*time.Second)), 0)
	for _, s := range list[1:] {
		for range 8 {
			r.Start(now, s.ID)
		}
	}
	later := now.Add(2 * time.Minute)
	for _, s := range list {
		r.Observe(later, s.ID, Load{Limit: 8, ServiceTime: 100 * ms})
	}
	assert.Assert(t, countPicks(later) > 0)
}

// TestEjectedServerReturnsGradually checks that an ejected server gets no attempts
// until its ejection ends, few at first and its usual share later.
func TestEjectedServerReturnsGradually(t *testing.T) {
	list := makeServers(4, 1)
	r := newLoadedRouter(5, list)
	id := list[0].ID
	for range 3 {
		r.Start(epoch, id)
		r.End(epoch, id, Outcome{Code: result.ServerFailed})
	}
	returnTime := epoch.Add(minEjectionTime)
	countPicks := func(at time.Time) int {
		n := 0
		r.Probes(at, nil)
		for range 1000 {
			if s, _ := r.Pick(at, &Query{}); s.ID == id {
				n++
			}
		}
		return n
	}
	assert.Equal(t, countPicks(returnTime.Add(-ms)), 0)
	early, late := countPicks(returnTime), countPicks(returnTime.Add(5*time.Minute))
	assert.Assert(t, early < 100 && late > 150, "early %d, late %d", early, late)
}

func TestUnhealthyZoneAvoided(t *testing.T) {
	list := makeServers(18, 3)
	r := newLoadedRouter(5, list)
	for _, s := range list {
		if s.Zone == "r0-z0" && s.ID != list[0].ID {
			r.Start(epoch, s.ID)
			r.End(epoch, s.ID, Outcome{Unresponsive: true})
		}
	}
	for range 200 {
		s, _ := r.Pick(epoch, &Query{})
		assert.Assert(t, s.Zone != "r0-z0", "picked %s in the unhealthy zone", s.ID)
	}
}

func TestServerWithUnansweredProbesAvoided(t *testing.T) {
	list := makeServers(3, 1)
	r := newLoadedRouter(5, list)
	now := epoch
	for range 40 {
		now = now.Add(200 * ms)
		for _, s := range r.Probes(now, nil) {
			if s.ID != list[0].ID {
				r.Observe(now, s.ID, Load{Limit: 8, ServiceTime: 100 * ms})
			}
		}
	}
	for range 100 {
		s, _ := r.Pick(now, &Query{})
		assert.Assert(t, s.ID != list[0].ID)
	}
}

// TestProbeRateBoundedAndServersDiscovered checks that probes stay within the rate
// limit and reach servers outside the default subset.
func TestProbeRateBoundedAndServersDiscovered(t *testing.T) {
	list := makeServers(2700, 5)
	r := New(Options{Zone: "r0-z0", Region: "r0", Seed: 3})
	r.SetServers(epoch, list)
	r.Pick(epoch, &Query{Model: "m"})
	found := map[string]bool{}
	probes := 0
	for i := range 240 {
		now := epoch.Add(time.Duration(i) * 250 * ms)
		for _, s := range r.Probes(now, nil) {
			probes++
			found[s.ID] = true
			r.Observe(now, s.ID, Load{Limit: 8, ServiceTime: ms, Models: []string{"m"}})
		}
	}
	assert.Assert(t, probes <= 60*DefaultProbesPerSecond+defaultSubsetSize, "%d probes in a minute", probes)
	assert.Assert(t, len(found) > defaultSubsetSize, "only %d servers probed", len(found))
}

func TestLowProbeRateReachesEveryCandidate(t *testing.T) {
	r := New(Options{Policy: LeastFinish, SubsetSize: 24, ProbesPerSecond: 4, Seed: 1})
	var list []Server
	for i := range 24 {
		list = append(list, Server{ID: fmt.Sprintf("s%d", i)})
	}
	now := time.Unix(0, 0)
	r.SetServers(now, list)
	r.Probes(now, nil)
	seen := map[string]int{}
	for range 40 {
		now = now.Add(250 * time.Millisecond)
		for _, s := range r.Probes(now, nil) {
			seen[s.ID]++
			r.Observe(now, s.ID, Load{Limit: 4})
		}
	}
	assert.Equal(t, len(seen), len(list))
}

func TestSetProbesPerSecond(t *testing.T) {
	r := New(Options{Policy: LeastFinish, SubsetSize: 8, ProbesPerSecond: 16, Seed: 1})
	var list []Server
	for i := range 8 {
		list = append(list, Server{ID: fmt.Sprintf("s%d", i)})
	}
	now := time.Unix(0, 0)
	r.SetServers(now, list)
	countProbes := func(seconds int) (n int) {
		for range 4 * seconds {
			now = now.Add(250 * time.Millisecond)
			for _, s := range r.Probes(now, nil) {
				n++
				r.Observe(now, s.ID, Load{Limit: 4})
			}
		}
		return n
	}
	countProbes(10)
	r.SetProbesPerSecond(1)
	countProbes(10)
	assert.Equal(t, countProbes(10), 10)
}
