package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// fakeServer answers after a time with a code; silent ones report nothing.
type fakeServer struct {
	took   time.Duration
	code   result.Code
	silent bool
}

type pending struct {
	at      time.Time
	id      string
	outcome Outcome
}

// run sends one attempt each gap for a span of time, reports loads every 250 ms,
// and returns the attempts per server.
func run(r *Router, from time.Time, span, gap time.Duration, fakes map[string]fakeServer, list []Server) map[string]int {
	counts := map[string]int{}
	var flying []pending
	for now := from; now.Before(from.Add(span)); now = now.Add(gap) {
		left := flying[:0]
		for _, p := range flying {
			if p.at.After(now) {
				left = append(left, p)
				continue
			}
			r.End(now, p.id, p.outcome)
		}
		flying = left
		if now.Sub(from)%(250*ms) == 0 {
			report(r, now, flying, fakes, list)
		}
		s, ok := r.Pick(now, &Query{})
		if !ok {
			continue
		}
		counts[s.ID]++
		r.Start(now, s.ID)
		f := fakes[s.ID]
		o := Outcome{Code: f.code, Silent: f.silent, Took: f.took}
		flying = append(flying, pending{now.Add(f.took), s.ID, o})
	}
	for _, p := range flying {
		r.End(p.at, p.id, p.outcome)
	}
	return counts
}

func report(r *Router, now time.Time, flying []pending, fakes map[string]fakeServer, list []Server) {
	for _, s := range list {
		f := fakes[s.ID]
		if f.silent {
			continue
		}
		running := 0
		for _, p := range flying {
			if p.id == s.ID {
				running++
			}
		}
		// The slow server has not yet ended a call when it reports.
		r.Observe(now, s.ID, Load{Limit: 8, Running: running, Service: min(f.took, 100*ms)})
	}
}

// TestFaultyServerAvoided checks that within 2 s of a fault at most 5 in 100
// attempts go to the faulty server, and that it takes up traffic again after.
func TestFaultyServerAvoided(t *testing.T) {
	cases := []struct {
		name  string
		fault fakeServer
	}{
		{"fails every call at once", fakeServer{took: ms, code: result.ServerFailed}},
		{"fails every call late", fakeServer{took: 100 * ms, code: result.ServerFailed}},
		{"ten times slower", fakeServer{took: time.Second}},
		{"silent", fakeServer{took: 750 * ms, silent: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			list := servers(9, 3)
			fakes := map[string]fakeServer{}
			for _, s := range list {
				fakes[s.ID] = fakeServer{took: 100 * ms}
			}
			r := newRouter(11, list)
			now := epoch
			run(r, now, 5*time.Second, 10*ms, fakes, list)
			faulty := list[0].ID
			fakes[faulty] = c.fault
			now = now.Add(5 * time.Second)
			run(r, now, 2*time.Second, 10*ms, fakes, list)
			now = now.Add(2 * time.Second)
			counts := run(r, now, 10*time.Second, 10*ms, fakes, list)
			assert.Assert(t, counts[faulty] <= 50, "faulty server got %d of 1000", counts[faulty])
			fakes[faulty] = fakeServer{took: 100 * ms}
			now = now.Add(10 * time.Second)
			run(r, now, 60*time.Second, 10*ms, fakes, list)
			now = now.Add(60 * time.Second)
			counts = run(r, now, 10*time.Second, 10*ms, fakes, list)
			assert.Assert(t, counts[faulty] > 30, "recovered server got %d of 1000", counts[faulty])
		})
	}
}

// TestEjectionCapped checks that a fault of the whole pool leaves most servers
// in use.
func TestEjectionCapped(t *testing.T) {
	list := servers(9, 3)
	r := newRouter(5, list)
	fakes := map[string]fakeServer{}
	for _, s := range list {
		fakes[s.ID] = fakeServer{took: ms, code: result.ServerFailed}
	}
	counts := run(r, epoch, 10*time.Second, 10*ms, fakes, list)
	sum, used := 0, 0
	for _, s := range list {
		sum += counts[s.ID]
		if counts[s.ID] > 10 {
			used++
		}
	}
	assert.Equal(t, sum, 1000)
	assert.Assert(t, used >= 6, "only %d servers in use", used)
	out := 0
	for _, st := range r.all {
		if st.ejected(epoch.Add(10 * time.Second)) {
			out++
		}
	}
	assert.Assert(t, out <= 3)
}

// TestEjectionsOfManyCapped checks the cap where the pool's median is healthy.
func TestEjectionsOfManyCapped(t *testing.T) {
	list := servers(9, 3)
	r := newRouter(5, list)
	for _, s := range list[:4] {
		for range 5 {
			r.Start(epoch, s.ID)
			r.End(epoch, s.ID, Outcome{Code: result.ServerFailed})
		}
	}
	out := 0
	for _, st := range r.all {
		if st.ejected(epoch) {
			out++
		}
	}
	assert.Equal(t, out, 3)
}

// TestSilentUntilReport checks that a silent server gets nothing until it
// reports again, however long that takes.
func TestSilentUntilReport(t *testing.T) {
	list := servers(3, 1)
	r := newRouter(5, list)
	id := list[0].ID
	r.Start(epoch, id)
	r.End(epoch, id, Outcome{Silent: true})
	picked := func(at time.Time) int {
		n := 0
		for range 300 {
			if s, _ := r.Pick(at, &Query{}); s.ID == id {
				n++
			}
		}
		return n
	}
	assert.Equal(t, picked(epoch.Add(10*time.Minute)), 0)
	for _, s := range list {
		r.Observe(epoch.Add(10*time.Minute), s.ID, Load{Limit: 8, Service: 100 * ms})
	}
	assert.Assert(t, picked(epoch.Add(11*time.Minute)) > 50)
}

// TestLongRunningAttemptIsEvidence checks that a server whose reports look like
// the others' is avoided while an attempt there takes much longer than usual.
func TestLongRunningAttemptIsEvidence(t *testing.T) {
	list := servers(3, 1)
	r := newRouter(5, list)
	r.Start(epoch, list[0].ID)
	now := epoch.Add(time.Second)
	for _, s := range list[1:] {
		r.Start(now.Add(-100*ms), s.ID)
	}
	for _, s := range list {
		r.Observe(now, s.ID, Load{Running: 1, Limit: 8, Service: 100 * ms})
		if s.ID != list[0].ID {
			r.End(now, s.ID, Outcome{Took: 100 * ms})
			r.Start(now, s.ID)
		}
	}
	for range 100 {
		s, _ := r.Pick(now, &Query{})
		assert.Assert(t, s.ID != list[0].ID)
	}
}

// TestWaitingIsNoEvidence checks that long attempts at servers with long queues
// do not make these look slow.
func TestWaitingIsNoEvidence(t *testing.T) {
	r := New(Options{Zone: "r0-z0", Region: "r0"})
	list := servers(1, 1)
	r.SetServers(epoch, list)
	for range 20 {
		r.Start(epoch, list[0].ID)
	}
	now := epoch.Add(400 * ms)
	r.Observe(now, list[0].ID, Load{Running: 4, Queued: 16, Limit: 4, Service: 100 * ms, Wait: 50 * ms})
	d, ok := r.Expected(now, &Query{})
	assert.Assert(t, ok)
	assert.Equal(t, d, 100*ms+17*25*ms)
}

// TestGivenUpAttemptIsEvidence checks that a server on which attempts are given up
// after a long time is avoided, though it never reports a long call, and is tried
// again later.
func TestGivenUpAttemptIsEvidence(t *testing.T) {
	list := servers(3, 1)
	r := newRouter(5, list)
	id := list[0].ID
	r.Start(epoch, id)
	now := epoch.Add(3 * time.Second)
	for _, s := range list {
		r.Observe(now, s.ID, Load{Limit: 8, Service: 100 * ms})
	}
	r.End(now, id, Outcome{Code: result.Cancelled, Took: 3 * time.Second})
	picked := func(at time.Time) (n int) {
		for range 300 {
			if s, _ := r.Pick(at, &Query{}); s.ID == id {
				n++
			}
		}
		return n
	}
	assert.Equal(t, picked(now.Add(5*time.Second)), 0)
	for _, s := range list[1:] {
		for range 8 {
			r.Start(now, s.ID)
		}
	}
	later := now.Add(2 * time.Minute)
	for _, s := range list {
		r.Observe(later, s.ID, Load{Limit: 8, Service: 100 * ms})
	}
	assert.Assert(t, picked(later) > 0)
}

func TestReturnIsSlow(t *testing.T) {
	list := servers(4, 1)
	r := newRouter(5, list)
	id := list[0].ID
	for range 3 {
		r.Start(epoch, id)
		r.End(epoch, id, Outcome{Code: result.ServerFailed})
	}
	back := epoch.Add(ejectBase)
	share := func(at time.Time) int {
		n := 0
		r.Probes(at, nil)
		for range 1000 {
			if s, _ := r.Pick(at, &Query{}); s.ID == id {
				n++
			}
		}
		return n
	}
	assert.Equal(t, share(back.Add(-ms)), 0)
	early, late := share(back), share(back.Add(5*time.Minute))
	assert.Assert(t, early < 100 && late > 150, "early %d, late %d", early, late)
}

func TestBadZoneMakesOthersOfItCostly(t *testing.T) {
	list := servers(18, 3)
	r := newRouter(5, list)
	for _, s := range list {
		if s.Zone == "r0-z0" && s.ID != list[0].ID {
			r.Start(epoch, s.ID)
			r.End(epoch, s.ID, Outcome{Silent: true})
		}
	}
	for range 200 {
		s, _ := r.Pick(epoch, &Query{})
		assert.Assert(t, s.Zone != "r0-z0", "picked %s in the zone that fails", s.ID)
	}
}

func TestUnansweredProbesMakeCostly(t *testing.T) {
	list := servers(3, 1)
	r := newRouter(5, list)
	now := epoch
	for range 40 {
		now = now.Add(200 * ms)
		for _, s := range r.Probes(now, nil) {
			if s.ID != list[0].ID {
				r.Observe(now, s.ID, Load{Limit: 8, Service: 100 * ms})
			}
		}
	}
	for range 100 {
		s, _ := r.Pick(now, &Query{})
		assert.Assert(t, s.ID != list[0].ID)
	}
}

// TestProbesBounded checks the rate of probes and that all servers are found.
func TestProbesBounded(t *testing.T) {
	list := servers(2700, 5)
	r := New(Options{Zone: "r0-z0", Region: "r0", Seed: 3})
	r.SetServers(epoch, list)
	r.Pick(epoch, &Query{Model: "m"})
	found := map[string]bool{}
	asked := 0
	for i := range 240 {
		now := epoch.Add(time.Duration(i) * 250 * ms)
		for _, s := range r.Probes(now, nil) {
			asked++
			found[s.ID] = true
			r.Observe(now, s.ID, Load{Limit: 8, Service: ms, Models: []string{"m"}})
		}
	}
	assert.Assert(t, asked <= 60*DefaultProbesPerSecond+defaultSubset, "%d probes in a minute", asked)
	assert.Assert(t, len(found) > defaultSubset, "found %d", len(found))
}

func TestProbesReachEveryCandidateUnderATightBound(t *testing.T) {
	r := New(Options{Policy: LeastFinish, Subset: 24, ProbesPerSecond: 4, Seed: 1})
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

func TestProbeRateChanges(t *testing.T) {
	r := New(Options{Policy: LeastFinish, Subset: 8, ProbesPerSecond: 16, Seed: 1})
	var list []Server
	for i := range 8 {
		list = append(list, Server{ID: fmt.Sprintf("s%d", i)})
	}
	now := time.Unix(0, 0)
	r.SetServers(now, list)
	count := func(seconds int) (n int) {
		for range 4 * seconds {
			now = now.Add(250 * time.Millisecond)
			for _, s := range r.Probes(now, nil) {
				n++
				r.Observe(now, s.ID, Load{Limit: 4})
			}
		}
		return n
	}
	count(10)
	r.SetProbesPerSecond(1)
	count(10)
	assert.Equal(t, count(10), 10)
}
