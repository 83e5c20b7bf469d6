package staging

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/loadreport"
	"github.com/magnoliawheel/magnoliawheel/core/residency"
)

const (
	playStep = 5 * time.Millisecond
	// Work takes slowFactor times as long on each machine for 0.6 s of each 4.6 s.
	slowFactor           = 2.5
	slowMoment, slowEach = 600 * time.Millisecond, 4600 * time.Millisecond
	liar                 = "s2"
	liesFrom             = 10 * time.Second
)

var playSpec = PoolSpec{Slots: 1, BatchSize: 8, CallOverhead: 150 * time.Millisecond, TimePerPiece: 16 * time.Millisecond, MemoryBytes: 1 << 30}

// workTime returns the time of work on the machine of a server relative to its usual one.
func workTime(id string, now time.Duration) float64 {
	if (now+time.Duration(id[1]*id[len(id)-1])*time.Millisecond)%slowEach < slowMoment {
		return slowFactor
	}
	return 1
}

// played is what 16 servers did for jobs of 4 pieces.
type played struct {
	// total is the time of all jobs, repeats the number of pieces that were requested again,
	// liarCalls that of the calls to the liar from liesFrom on.
	total              time.Duration
	repeats, liarCalls int
}

// play plays servers and a job each 18 ms on average for 40 s. report returns the time of work
// that a server tells in a response, or 0; one response in lost is lost, if not 0.
func play(t *testing.T, seed uint64, lost int, report func(now time.Duration, id string) float64) (p played) {
	rng, s := rand.New(rand.NewPCG(seed, seed)), New()
	sentAt, freeAt, endsAt := map[string]time.Duration{}, map[string]time.Duration{}, map[uint64]time.Duration{}
	var servers []Server
	for i := range 16 {
		servers = append(servers, Server{ID: fmt.Sprint("s", i)})
	}
	s.SetPool("p", playSpec, servers)
	var open []Call
	endCall := func(now time.Duration, c Call) {
		result := CallResult{Results: slices.Repeat([]Result{{Handle: fmt.Sprint(c.ID)}}, len(c.Items))}
		if told := report(now, c.Server.ID); told > 0 {
			result.Load = &loadreport.Report{Slots: 1, WorkTime: told}
		}
		if lost > 0 && rng.IntN(lost) == 0 {
			result = CallResult{Status: Incomplete}
		}
		s.CallDone(now, c.ID, result)
		if m := s.pools["p"].findServer(c.Server.ID); !m.pace.Known() {
			assert.Equal(t, m.slowness(now), m.decayed(m.slownessRatio, now), "without a report, as before")
			assert.Equal(t, m.overdueExtension(now, 1), time.Duration(0))
		}
	}
	next := time.Duration(0)
	for now := time.Duration(0); now < 40*time.Second; now += playStep {
		open = slices.DeleteFunc(open, func(c Call) bool {
			if endsAt[c.ID] <= now {
				endCall(now, c)
			}
			return endsAt[c.ID] <= now
		})
		for ; next <= now; next += time.Duration(rng.ExpFloat64() * float64(18*time.Millisecond)) {
			id := fmt.Sprint("j", len(sentAt))
			sentAt[id] = now
			s.Submit(now, Job{ID: id, Stages: []Stage{{Pool: "p", Pieces: 4}}, ObjectiveDeadline: now + 1500*time.Millisecond, Deadline: now + 10*time.Second, Residency: residency.Unrestricted()})
		}
		s.Tick(now)
		actions := s.TakeActions()
		for _, c := range actions.Calls {
			id := c.Server.ID
			end := max(now, freeAt[id])
			for left := s.pools["p"].normalCallTime(len(c.Items)); left > 0; end += playStep {
				left -= time.Duration(float64(playStep) / workTime(id, end))
			}
			freeAt[id], endsAt[c.ID] = end, end
			open = append(open, c)
			p.repeats += len(c.Items)
			if id == liar && now >= liesFrom {
				p.liarCalls++
			}
		}
		for _, j := range actions.CompletedJobs {
			p.total += now - sentAt[j.JobID]
			p.repeats -= 4
			s.RequestStarted(now, j.JobID)
		}
	}
	return p
}

// TestReportsAvoidSlowMachines guards against reports that are not used: calls are sent to
// machines that are known to be slow, and their pieces are requested again from others. It
// also guards against other expected times of servers that send no reports.
func TestReportsAvoidSlowMachines(t *testing.T) {
	for seed := range uint64(3) {
		before := play(t, seed, 0, func(time.Duration, string) float64 { return 0 })
		with := play(t, seed, 0, func(now time.Duration, id string) float64 { return workTime(id, now) })
		t.Logf("%+v without and %+v with reports", before, with)
		assert.Assert(t, with.total < before.total)
		assert.Assert(t, float64(with.repeats) < 0.8*float64(before.repeats))
	}
}

// TestFalseReportsNeitherStarveNorFlood guards against a server that was truthful and then
// reports a machine that is much slower or faster than it is, or the contrary of the truth,
// while one response in 30 is lost.
func TestFalseReportsNeitherStarveNorFlood(t *testing.T) {
	calls := func(lie func(workTime float64) float64) float64 {
		return float64(play(t, 2, 30, func(now time.Duration, id string) float64 {
			if id == liar && now >= liesFrom {
				return lie(workTime(id, now))
			}
			return workTime(id, now)
		}).liarCalls)
	}
	usual := calls(func(workTime float64) float64 { return workTime })
	for name, lie := range map[string]func(float64) float64{
		"slow": func(float64) float64 { return 10 }, "fast": func(float64) float64 { return 0.1 },
		"contrary": func(workTime float64) float64 { return 1 + slowFactor - workTime },
	} {
		got := calls(lie) / usual
		assert.Assert(t, got > 0.7 && got < 1.3, "%s: %v of its usual calls", name, got)
	}
}

// TestCallOnSlowMachineIsOverdueLater guards against pieces that are requested twice because
// their machine is slow, against a server that stopped at such a moment and whose calls are
// waited for too long, and against reports that outlive a restart of the server.
func TestCallOnSlowMachineIsOverdueLater(t *testing.T) {
	slow := loadreport.Report{Slots: 1, WorkTime: slowFactor}
	overdueAt := func(startTime int64, reportAt time.Duration) time.Duration {
		s := New()
		s.SetPool("p", playSpec, []Server{{ID: "a", StartTime: 1}})
		const before = -time.Second
		pace := &s.pools["p"].servers[0].pace
		pace.Observe(before, slow, 1)
		for range 20 {
			pace.CallAnswered(pace.Forecast(before, 1, 1), slowFactor, &slow)
		}
		s.SetPool("p", playSpec, []Server{{ID: "a", StartTime: startTime}})
		s.Submit(0, Job{ID: "j", Stages: []Stage{{Pool: "p", Pieces: 1}}, ObjectiveDeadline: time.Minute, Deadline: time.Minute, Residency: residency.Unrestricted()})
		now := time.Duration(0)
		for ; !s.pools["p"].servers[0].hasOverdueCall(); now += playStep {
			if now == reportAt {
				s.ObserveLoad(now, Server{ID: "a", StartTime: 1}, slow)
			}
			s.Tick(now)
		}
		return now
	}
	restarted := overdueAt(2, 0)
	assert.Assert(t, restarted <= 166*time.Millisecond+overdueSlack+2*playStep, "%v", restarted)
	for _, reportAt := range []time.Duration{0, 300 * time.Millisecond} {
		got := overdueAt(1, reportAt)
		assert.Assert(t, got > restarted+60*time.Millisecond && got <= restarted+maxOverdueExtension, "%v and %v", restarted, got)
	}
}
