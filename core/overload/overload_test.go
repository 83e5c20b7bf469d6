package overload

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAgeIsMeasuredAgainstFastestMessage(t *testing.T) {
	const clockDifference = -5 * time.Hour
	var m AgeMeter
	tests := []struct{ sentAt, transit, age time.Duration }{
		{0, 30 * time.Millisecond, 0},
		{time.Second, 10 * time.Millisecond, 0},
		{2 * time.Second, 10 * time.Millisecond, 0},
		{3 * time.Second, 410 * time.Millisecond, 400 * time.Millisecond},
		{4 * time.Second, 12 * time.Millisecond, 2 * time.Millisecond},
	}
	for _, tt := range tests {
		assert.Equal(t, m.Age(tt.sentAt, tt.sentAt+tt.transit+clockDifference), tt.age, "sent at %v", tt.sentAt)
	}
}

func TestUrgentRequestsAreRefusedLast(t *testing.T) {
	var m MeanAge
	for range 1000 {
		m.Add(time.Second)
	}
	for priority := range 4 {
		assert.Assert(t, !m.ShouldRefuse(maxAge, priority))
		assert.Assert(t, m.ShouldRefuse(time.Second, priority))
	}
	age := maxAge + time.Millisecond
	assert.Assert(t, m.ShouldRefuse(age, 2) && m.ShouldRefuse(age, 9) && !m.ShouldRefuse(age, 1) && !m.ShouldRefuse(age, 0))
}

// TestSlowConnectionIsNoOverload checks that the requests of one sender whose packets get
// lost are not refused while the messages of the others arrive at once.
func TestSlowConnectionIsNoOverload(t *testing.T) {
	var m MeanAge
	for i := range 1000 {
		age := 5 * time.Millisecond
		if i%20 == 0 {
			age = 800 * time.Millisecond
			assert.Assert(t, !m.ShouldRefuse(age, 2), "message %d", i)
		}
		m.Add(age)
	}
}

func TestRetryAfterIsBoundedAndSpread(t *testing.T) {
	seen := map[time.Duration]bool{}
	for i := range 100 {
		delay := RetryAfter(fmt.Sprint("r", i), 300*time.Millisecond, 8*time.Second)
		assert.Assert(t, delay > 700*time.Millisecond && delay <= 1200*time.Millisecond, "%v", delay)
		seen[delay] = true
	}
	assert.Assert(t, len(seen) > 90)
	assert.Assert(t, RetryAfter("r", time.Minute, 3*time.Second) <= 960*time.Millisecond)
	assert.Equal(t, RetryAfter("r", time.Second, -time.Second), time.Duration(0))
}

// placingEntry plays an entry that handles messages one after the other.
type placingEntry struct {
	placeTime, refuseTime time.Duration
	freeAt                time.Duration
	meter                 AgeMeter
	mean                  MeanAge
}

// handle handles the message of a request sent at the given time. It returns how long
// the answer took, and whether the request was placed.
func (e *placingEntry) handle(sentAt time.Duration, priority int, refuses bool) (time.Duration, bool) {
	start := max(sentAt, e.freeAt)
	age := e.meter.Age(sentAt, start)
	e.mean.Add(age)
	if refuses && e.mean.ShouldRefuse(age, priority) {
		e.freeAt = start + e.refuseTime
		return e.freeAt - sentAt, false
	}
	e.freeAt = start + e.placeTime
	return e.freeAt - sentAt, true
}

// TestPlannerOverloadInBurst plays a burst of three times what a placing entry can
// handle. Pattern: planner overload. With refusals by age, no answer takes long, the
// entry places as much as it can, and it is back to normal as soon as the burst is over.
// Without them, the wait grows as long as the burst lasts and outlives it.
func TestPlannerOverloadInBurst(t *testing.T) {
	const normalInterval, burstInterval = 5 * time.Millisecond, time.Millisecond
	burst := func(at time.Duration) bool { return at >= 2*time.Second && at < 8*time.Second }
	play := func(refuses bool) (longest, last time.Duration, placedInBurst int) {
		e := &placingEntry{placeTime: 3 * time.Millisecond, refuseTime: 300 * time.Microsecond}
		i := 0
		for at := time.Duration(0); at < 12*time.Second; i++ {
			took, placed := e.handle(at, i%3, refuses)
			longest, last = max(longest, took), took
			if placed && burst(at) {
				placedInBurst++
			}
			at += normalInterval
			if burst(at) {
				at += burstInterval - normalInterval
			}
		}
		return longest, last, placedInBurst
	}
	longest, last, placed := play(true)
	assert.Assert(t, longest < 400*time.Millisecond, "an answer took %v", longest)
	assert.Assert(t, last < 10*time.Millisecond, "the last answer took %v", last)
	assert.Assert(t, placed > 1400, "%d requests placed during the burst, 2000 can be", placed)
	longest, last, _ = play(false)
	assert.Assert(t, longest > 5*time.Second && last > time.Second, "the load is no overload: %v, %v", longest, last)
}
