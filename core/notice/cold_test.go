package notice

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/delegation"
)

// coldWorld plays instances that place requests for each other, and one cold server. Each
// instance's clock shows another time.
type coldWorld struct {
	rng       *rand.Rand
	limit     ColdLimit
	instances []*coldInstance
	arrivals  []time.Duration
	reports   []report
	grants    []time.Duration
}

// coldInstance is an instance that places requests. planner is the index of the one that
// places its requests.
type coldInstance struct {
	clockOffset time.Duration
	tracker     *delegation.Tracker
	table       *Table
	planner     int
}

// report is a message in transit that tells whether its sender delegates its part.
type report struct {
	sentAt, arrivesAt time.Duration
	from, to          int
	delegates         bool
}

func newColdWorld(seed uint64, n int, limit ColdLimit) *coldWorld {
	w := &coldWorld{rng: rand.New(rand.NewPCG(seed, seed)), limit: limit}
	for range n {
		in := &coldInstance{clockOffset: time.Duration(w.rng.IntN(1e6)) * time.Second, table: NewTable(nil)}
		in.tracker = delegation.New(in.clockOffset)
		in.tracker.SetInstances(n)
		in.table.SetColdShare(func(now time.Duration, _ Server, holders int) float64 { return in.tracker.Share(now, holders) })
		in.table.MarkCold(in.clockOffset, Server{ID: "s"}, in.clockOffset+time.Hour, limit)
		w.instances = append(w.instances, in)
	}
	return w
}

// step plays 10 ms: instances change whom they follow, send and receive reports, and grant a
// request whenever they may, which is sent within its validity.
func (w *coldWorld) step(now time.Duration, changes bool) {
	for i, in := range w.instances {
		local := now + in.clockOffset
		if changes && w.rng.IntN(150) == 0 {
			in.planner = w.rng.IntN(len(w.instances))
		}
		target := ""
		if in.planner != i {
			target = fmt.Sprint(in.planner)
		}
		in.tracker.Follow(local, target)
		if now%(250*time.Millisecond) == 0 && in.planner != i {
			delay := time.Duration(w.rng.IntN(20)) * time.Millisecond
			if changes && w.rng.IntN(5) == 0 {
				delay = time.Duration(w.rng.IntN(4000)) * time.Millisecond
			}
			w.reports = append(w.reports, report{sentAt: now, arrivesAt: now + delay, from: i, to: in.planner, delegates: in.tracker.DelegatesTo(local, target)})
		}
	}
	w.reports = slices.DeleteFunc(w.reports, func(r report) bool {
		if r.arrivesAt > now {
			return false
		}
		to := w.instances[r.to]
		to.tracker.Reported(r.sentAt+to.clockOffset, fmt.Sprint(r.from), r.delegates)
		return true
	})
	for _, in := range w.instances {
		for local := now + in.clockOffset; in.table.Wait(local, Server{ID: "s"}) == 0; {
			in.table.RecordCall(local, Server{ID: "s"})
			w.grants = append(w.grants, now)
			w.arrivals = append(w.arrivals, now+time.Duration(w.rng.Int64N(int64(delegation.GrantValidity))))
		}
	}
}

// mostInOneSecond returns the largest number of arrivals in any second.
func mostInOneSecond(arrivals []time.Duration) int {
	slices.Sort(arrivals)
	most, from := 0, 0
	for i, at := range arrivals {
		for at-arrivals[from] > time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// TestColdServerIsNotOverloaded guards against a cold server that gets more than it tolerates
// while the instances disagree about who places requests: two do for a moment, one is cut off
// from some of the others, reports are late and clocks differ. All instances send whenever
// they may.
func TestColdServerIsNotOverloaded(t *testing.T) {
	for _, limit := range []ColdLimit{{PerSecond: 8, Overage: 1.5, Slack: 5}, {PerSecond: 5.9, Overage: 1.5, Slack: 5}, {PerSecond: 40, Overage: 1, Slack: 2}, {PerSecond: 0.5, Slack: 3}} {
		for seed := range uint64(12) {
			n := []int{1, 2, 5, 29}[seed%4]
			t.Run(fmt.Sprint(limit.PerSecond, " ", n, " ", seed), func(t *testing.T) {
				w := newColdWorld(seed, n, limit)
				for now := time.Duration(0); now < 30*time.Second; now += 10 * time.Millisecond {
					w.step(now, true)
				}
				most := mostInOneSecond(w.arrivals)
				assert.Assert(t, float64(most) <= limit.maxInOneSecond(), "%d in one second", most)
			})
		}
	}
}

// TestColdServerGetsItsRate guards against a limit that is kept by sending next to nothing: a
// single instance that places the requests of all uses nine tenths of the rate.
func TestColdServerGetsItsRate(t *testing.T) {
	limit := ColdLimit{PerSecond: 8, Overage: 1.5, Slack: 5}
	w := newColdWorld(1, 29, limit)
	for now := time.Duration(0); now < 12*time.Second; now += 10 * time.Millisecond {
		w.step(now, false)
	}
	settled := slices.IndexFunc(w.grants, func(at time.Duration) bool { return at >= 2*time.Second })
	assert.Assert(t, settled >= 0, "no grants")
	assert.Assert(t, float64(len(w.grants)-settled) >= 0.9*limit.PerSecond*10, "%d grants in 10 s", len(w.grants)-settled)
}

// TestColdWaitAtTinyRate guards against a time that overflows because a service tolerates next to
// no requests while it is cold: the conversion depends on the processor, and one without a wait
// would send all requests.
func TestColdWaitAtTinyRate(t *testing.T) {
	tab, s := NewTable(nil), Server{ID: "s"}
	tab.SetColdShare(func(time.Duration, Server, int) float64 { return 1 })
	tab.MarkCold(0, s, time.Minute, ColdLimit{PerSecond: 1e-300, Slack: 2})
	wait := tab.Wait(time.Second, s)
	assert.Equal(t, wait, 59*time.Second)
}

// TestColdPeriodEnds guards against a server that stays limited, and against a limit for a
// service that has none.
func TestColdPeriodEnds(t *testing.T) {
	tab, s := NewTable(nil), Server{ID: "s"}
	assert.Assert(t, !tab.MarkCold(0, s, time.Second, ColdLimit{}))
	assert.Equal(t, tab.Wait(0, s), time.Duration(0))
	limit := ColdLimit{PerSecond: 8}
	assert.Assert(t, tab.MarkCold(0, s, time.Second, limit) && !tab.MarkCold(0, s, 2*time.Second, limit))
	assert.Equal(t, tab.ColdCount(time.Second), 1)
	assert.Equal(t, tab.Wait(time.Second, s), time.Second, "without a share, until the server is warm")
	assert.Assert(t, !tab.IsCold(2*time.Second, s) && tab.ColdCount(2*time.Second) == 0)
	assert.Equal(t, tab.Wait(2*time.Second, s), time.Duration(0))
	tab.MarkCold(3*time.Second, Server{ID: "other"}, 4*time.Second, limit)
	assert.Equal(t, len(tab.cold), 1, "the state of past cold periods is not kept")
}
