package secondattempt

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/budget"
	"github.com/magnoliawheel/magnoliawheel/core/notice"
)

const (
	ms = time.Millisecond
	// usual is the expected time to the first event in these tests.
	usual = 200 * ms
)

func server(i int) notice.Server { return notice.Server{ID: fmt.Sprint("s", i)} }

func yes() bool { return true }
func no() bool  { return false }

// permitting returns facts that deny nothing.
func permitting() Facts {
	return Facts{Idempotent: true, PossibleRuns: 1, MaxAttempts: 2, ToObjective: 5 * time.Second, ToDeadline: 20 * time.Second, HasOtherServer: yes, TakeRetry: yes}
}

// flight is a stream without a first event in a simulation.
type flight struct {
	attempt                       *Attempt
	server                        int
	arrivedAt, beginsAt, decideAt time.Duration
	second                        bool
}

// simulation runs 20 streams/s on 50 servers. Sound ones take up to 1.7 times the usual time.
type simulation struct {
	// factor multiplies the time to the first event of a stream that is sent now.
	factor  func(now time.Duration, server int) time.Duration
	tracker *Tracker
	budget  *budget.Budget
	flights []*flight
	// givenUp counts the attempts that were given up, by server. worst is the longest time
	// from arrival to first event of the streams with a second attempt.
	givenUp map[int]int
	worst   time.Duration
}

func newSimulation(factor func(now time.Duration, server int) time.Duration) *simulation {
	b := budget.New(budget.Options{Ratio: 0.2, Window: 10 * time.Second, Allowance: 4})
	return &simulation{factor: factor, tracker: New(), budget: b, givenUp: map[int]int{}}
}

func (s *simulation) run(from, to time.Duration) {
	random := rand.New(rand.NewPCG(1, uint64(from)))
	for now := from; now < to; now += 5 * ms {
		if now%(50*ms) == 0 {
			s.budget.CountRequest(now)
			f := &flight{arrivedAt: now}
			s.send(now, f, random.IntN(50))
			s.flights = append(s.flights, f)
		}
		s.flights = slices.DeleteFunc(s.flights, func(f *flight) bool { return s.advance(now, f) })
	}
}

func (s *simulation) send(now time.Duration, f *flight, to int) {
	f.server, f.attempt = to, s.tracker.Sent(now, server(to), usual)
	f.beginsAt, f.decideAt = now+s.factor(now, to)*usual*time.Duration(70+(int(now/ms)*7+to*13)%100)/100, now
}

// advance returns true if the first event arrived.
func (s *simulation) advance(now time.Duration, f *flight) bool {
	if now >= f.beginsAt {
		s.tracker.Began(now, f.attempt)
		if f.second {
			s.worst = max(s.worst, now-f.arrivedAt)
		}
		return true
	}
	if now < f.decideAt {
		return false
	}
	facts := permitting()
	facts.SecondMade, facts.ToObjective, facts.ToDeadline = f.second, f.arrivedAt+1500*ms-now, f.arrivedAt+15*time.Second-now
	facts.TakeRetry = func() bool { return s.budget.TryRetry(now, 1) }
	d := s.tracker.Decide(now, f.attempt, facts)
	if f.decideAt = now + d.CheckIn; d.CheckIn == 0 {
		f.decideAt = f.beginsAt
	}
	if d.GiveUp {
		s.givenUp[f.server]++
		f.second = true
		s.send(now, f, (f.server+1)%50)
	}
	return false
}

// TestHangingServerLosesItsStreams guards against streams that wait for one of 50 servers which
// accepts them and never answers, and against sound servers losing theirs.
func TestHangingServerLosesItsStreams(t *testing.T) {
	s := newSimulation(func(_ time.Duration, server int) time.Duration {
		if server == 7 {
			return 10_000
		}
		return 1
	})
	s.run(time.Second, 121*time.Second)
	t.Log("given up by server:", s.givenUp, "worst first event:", s.worst)
	assert.Assert(t, s.givenUp[7] >= 20 && len(s.givenUp) == 1, "%v", s.givenUp)
	assert.Assert(t, s.worst <= 1500*ms)
	assert.Assert(t, s.flights[0].arrivedAt > 118*time.Second, "a stream waits since %v", s.flights[0].arrivedAt)
}

// TestSlowSystemGetsNoSecondAttempts guards against second attempts that add load to a system
// all of whose servers have become slow.
func TestSlowSystemGetsNoSecondAttempts(t *testing.T) {
	s := newSimulation(func(now time.Duration, _ int) time.Duration {
		if now >= 31*time.Second {
			return 15
		}
		return 1
	})
	s.run(time.Second, 61*time.Second)
	made := 0
	for _, n := range s.givenUp {
		made += n
	}
	t.Logf("%d of 600 streams given up while all servers were slow", made)
	assert.Assert(t, made <= 6, "%v", s.givenUp)
}

// TestSmallEntryStopsInSlowSystem guards against an entry with few streams, to which no other
// server shows that all of them are slow: only one late server at a time is permitted.
func TestSmallEntryStopsInSlowSystem(t *testing.T) {
	tr := New()
	first, second := tr.Sent(0, server(1), usual), tr.Sent(0, server(2), usual)
	tr.Ended(2*time.Second, first)
	assert.Equal(t, tr.Decide(2*time.Second, second, permitting()).Denial, ManyServersLate)
}

// TestExhaustedBudget guards against second attempts beyond the retry budget, and against a
// stream that is never tried again although the budget recovers.
func TestExhaustedBudget(t *testing.T) {
	tr := New()
	a := tr.Sent(0, server(1), usual)
	f := permitting()
	f.TakeRetry = no
	d := tr.Decide(2*time.Second, a, f)
	assert.Assert(t, !d.GiveUp && d.Denial == BudgetExhausted && d.CheckIn == 500*ms, "%+v", d)
	assert.Assert(t, tr.Decide(2*time.Second+d.CheckIn, a, permitting()).GiveUp)
	assert.Equal(t, tr.Decide(3*time.Second, a, permitting()), Decision{}, "given up twice")
}

// TestMissedObjective guards against a stream that hangs until its deadline because its
// objective is out of reach, and against one that is given up with no time for another server.
func TestMissedObjective(t *testing.T) {
	for _, toObjective := range []time.Duration{-time.Second, 100 * ms} {
		tr, f := New(), permitting()
		a := tr.Sent(0, server(1), usual)
		f.ToObjective = toObjective
		d := tr.Decide(0, a, f)
		assert.Equal(t, d.CheckIn, time.Duration(missedObjectiveFactor*defaultLimit*float64(usual)))
		f.ToDeadline, f.PlacementTime = 2*time.Second, 1500*ms
		assert.Equal(t, tr.Decide(d.CheckIn, a, f).Denial, NoTime, "no time for the stages")
		f.PlacementTime = 0
		assert.Assert(t, tr.Decide(d.CheckIn, a, f).GiveUp)
	}
}

// TestForbiddenSecondAttempts guards against a request that runs more often than it may. A
// retry must not be deducted for it either.
func TestForbiddenSecondAttempts(t *testing.T) {
	for denial, forbid := range map[Denial]func(*Facts){
		NotIdempotent: func(f *Facts) { f.Idempotent = false },
		ResponseBegun: func(f *Facts) { f.ResponseBegun = true },
		AlreadyMade:   func(f *Facts) { f.SecondMade = true },
		MaxAttempts:   func(f *Facts) { f.MaxAttempts = 1 },
		NoTime:        func(f *Facts) { f.ToDeadline = 600 * ms },
		NoOtherServer: func(f *Facts) { f.HasOtherServer = no },
	} {
		tr, f := New(), permitting()
		f.TakeRetry = func() bool { t.Errorf("%v: retry deducted", denial); return true }
		forbid(&f)
		d := tr.Decide(10*time.Second, tr.Sent(0, server(1), usual), f)
		assert.Assert(t, !d.GiveUp && d.Denial == denial, "%+v, want %v", d, denial)
	}
}

// TestLimitFollowsMeasuredTimes guards against giving up sound attempts where expected times are
// much too short, and against memory that grows with each start of a server.
func TestLimitFollowsMeasuredTimes(t *testing.T) {
	tr := New()
	now := time.Duration(0)
	for i := range maxServers + 100 {
		a := tr.Sent(now, server(i), usual)
		now += 6 * usual
		tr.Began(now, a)
	}
	assert.Equal(t, len(tr.servers), maxServers)
	a := tr.Sent(now, server(1), usual)
	assert.Assert(t, tr.Decide(now+7*usual, a, permitting()).CheckIn > 0)
	assert.Assert(t, tr.Decide(now+8*usual, a, permitting()).GiveUp)
}
