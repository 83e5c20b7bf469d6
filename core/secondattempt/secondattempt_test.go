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

// permitting returns facts that deny nothing.
func permitting() Facts {
	return Facts{
		Idempotent: true, PossibleRuns: 1, MaxAttempts: 2, ToObjective: 5 * time.Second, ToDeadline: 20 * time.Second, OtherServer: true,
		TakeRetry: func() bool { return true },
	}
}

// flight is a stream without a first event in a simulation.
type flight struct {
	attempt                       *Attempt
	server                        int
	arrivedAt, beginsAt, decideAt time.Duration
	second                        bool
}

// simulation runs streams on the servers of one service.
type simulation struct {
	servers  int
	interval time.Duration
	// duration returns the time to the first event of a stream that is sent now.
	duration func(now time.Duration, server int) time.Duration

	tracker *Tracker
	budget  *budget.Budget
	flights []*flight
	// givenUp counts the attempts that were given up, by server. firstEvents are the times
	// from arrival to the first event of the streams with a second attempt.
	givenUp     map[int]int
	firstEvents []time.Duration
}

func (s *simulation) run(from, to time.Duration) {
	const step = 5 * ms
	if s.tracker == nil {
		s.tracker, s.givenUp = New(), map[int]int{}
		s.budget = budget.New(budget.Options{Ratio: 0.2, Window: 10 * time.Second, Allowance: 4})
	}
	random := rand.New(rand.NewPCG(1, uint64(from)))
	for now := from; now < to; now += step {
		if now%s.interval == 0 {
			s.budget.CountRequest(now)
			s.send(now, &flight{server: random.IntN(s.servers), arrivedAt: now})
		}
		s.flights = slices.DeleteFunc(s.flights, func(f *flight) bool { return s.advance(now, f) })
	}
}

func (s *simulation) send(now time.Duration, f *flight) {
	f.attempt = s.tracker.Sent(now, server(f.server), usual)
	f.beginsAt, f.decideAt = now+s.duration(now, f.server), now
	s.flights = append(s.flights, f)
}

// advance returns true if the first event arrived. A second attempt continues the same flight.
func (s *simulation) advance(now time.Duration, f *flight) bool {
	if now >= f.beginsAt {
		s.tracker.Began(now, f.attempt)
		if f.second {
			s.firstEvents = append(s.firstEvents, now-f.arrivedAt)
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
	f.decideAt = now + d.CheckIn
	if d.CheckIn == 0 {
		f.decideAt = f.beginsAt
	}
	if d.GiveUp {
		s.givenUp[f.server]++
		f.second, f.server = true, (f.server+1)%s.servers
		f.attempt = s.tracker.Sent(now, server(f.server), usual)
		f.beginsAt, f.decideAt = now+s.duration(now, f.server), now
	}
	return false
}

// soundDuration varies as sound servers do: up to 1.7 times the expected time.
func soundDuration(now time.Duration, server int) time.Duration {
	return usual * time.Duration(70+(int(now/ms)*7+server*13)%100) / 100
}

// TestHangingServerLosesItsStreams guards against streams that wait for one of 50 servers which
// accepts them and never answers, and against sound servers losing theirs.
func TestHangingServerLosesItsStreams(t *testing.T) {
	const hanging = 7
	s := &simulation{servers: 50, interval: 50 * ms, duration: func(now time.Duration, server int) time.Duration {
		if server == hanging {
			return time.Hour
		}
		return soundDuration(now, server)
	}}
	s.run(time.Second, 121*time.Second)
	t.Log("given up by server:", s.givenUp, "waiting:", len(s.flights))
	assert.Assert(t, s.givenUp[hanging] >= 20, s.givenUp)
	assert.Equal(t, len(s.givenUp), 1, "a sound server lost streams: %v", s.givenUp)
	for _, f := range s.flights {
		assert.Assert(t, f.arrivedAt > 118*time.Second, "a stream waits since %v", f.arrivedAt)
	}
	for _, d := range s.firstEvents {
		assert.Assert(t, d <= 1500*ms, "first event after %v", d)
	}
}

// TestSlowSystemGetsNoSecondAttempts guards against second attempts that add load to a system
// all of whose servers have become slow.
func TestSlowSystemGetsNoSecondAttempts(t *testing.T) {
	const slowFrom, slowTo = 31 * time.Second, 61 * time.Second
	s := &simulation{servers: 50, interval: 50 * ms, duration: func(now time.Duration, server int) time.Duration {
		if now >= slowFrom && now < slowTo {
			return 15 * soundDuration(now, server)
		}
		return soundDuration(now, server)
	}}
	s.run(time.Second, slowFrom)
	assert.Equal(t, len(s.givenUp), 0, "%v", s.givenUp)
	s.run(slowFrom, slowTo)
	made := 0
	for _, n := range s.givenUp {
		made += n
	}
	streams := int((slowTo - slowFrom) / s.interval)
	t.Logf("%d of %d streams given up while all servers were slow", made, streams)
	assert.Assert(t, made <= streams/100, "%d of %d", made, streams)
}

// TestSmallEntryStopsInSlowSystem guards against an entry with few streams, to which no other
// server shows that all of them are slow: only one late server at a time is permitted.
func TestSmallEntryStopsInSlowSystem(t *testing.T) {
	tr := New()
	first, second := tr.Sent(0, server(1), usual), tr.Sent(0, server(2), usual)
	assert.Assert(t, !tr.Decide(2*time.Second, first, permitting()).GiveUp)
	tr.Ended(2*time.Second, first)
	d := tr.Decide(2*time.Second, second, permitting())
	assert.Equal(t, d.Denial, ManyServersLate)
	assert.Assert(t, d.CheckIn > 0)
}

// TestExhaustedBudget guards against second attempts beyond the retry budget, and against a
// stream that is never tried again although the budget recovers.
func TestExhaustedBudget(t *testing.T) {
	tr := New()
	a := tr.Sent(0, server(1), usual)
	f := permitting()
	f.TakeRetry = func() bool { return false }
	d := tr.Decide(2*time.Second, a, f)
	assert.Assert(t, !d.GiveUp && d.Denial == BudgetExhausted && d.CheckIn == recheckInterval, "%+v", d)
	assert.Assert(t, tr.Decide(2*time.Second+d.CheckIn, a, permitting()).GiveUp)
	assert.Equal(t, tr.Decide(3*time.Second, a, permitting()), Decision{}, "given up twice")
}

// TestMissedObjective guards against a stream that hangs until its deadline because its
// objective is out of reach, and against one that is given up with no time for another server.
func TestMissedObjective(t *testing.T) {
	for _, toObjective := range []time.Duration{-time.Second, 100 * ms} {
		tr := New()
		a := tr.Sent(0, server(1), usual)
		f := permitting()
		f.ToObjective = toObjective
		d := tr.Decide(0, a, f)
		assert.Equal(t, d.CheckIn, time.Duration(missedObjectiveFactor*defaultLimit*float64(usual)))
		assert.Assert(t, !tr.Decide(d.CheckIn-1, a, f).GiveUp)
		f.ToDeadline = 700 * ms
		assert.Equal(t, tr.Decide(d.CheckIn, a, f).Denial, NoTime)
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
		NoOtherServer: func(f *Facts) { f.OtherServer = false },
	} {
		tr := New()
		a := tr.Sent(0, server(1), usual)
		f := permitting()
		f.TakeRetry = func() bool { t.Errorf("%v: retry deducted", denial); return true }
		forbid(&f)
		d := tr.Decide(10*time.Second, a, f)
		assert.Assert(t, !d.GiveUp && d.Denial == denial, "%+v, want %v", d, denial)
		assert.Equal(t, d.CheckIn > 0, denial.passing())
	}
}

// TestLimitFollowsMeasuredTimes guards against giving up sound attempts where expected times are
// much too short.
func TestLimitFollowsMeasuredTimes(t *testing.T) {
	tr := New()
	now := time.Duration(0)
	for range sampleCount {
		a := tr.Sent(now, server(1), usual)
		now += 6 * usual
		tr.Began(now, a)
	}
	a := tr.Sent(now, server(1), usual)
	assert.Assert(t, tr.Decide(now+7*usual, a, permitting()).CheckIn > 0)
	assert.Assert(t, tr.Decide(now+8*usual, a, permitting()).GiveUp)
}

// TestMemoryIsBounded guards against memory that grows with each start of a server.
func TestMemoryIsBounded(t *testing.T) {
	tr := New()
	for i := range maxServers + 100 {
		now := time.Duration(i) * ms
		tr.Began(now, tr.Sent(now, server(i), usual))
	}
	assert.Equal(t, len(tr.servers), maxServers)
	assert.Equal(t, len(tr.open), 0)
	assert.Assert(t, tr.servers[server(0)] == newest{}, "the oldest is kept")
}
