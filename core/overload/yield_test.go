package overload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// twoEntries plays two entries, the first of which places all requests unless it yields.
type twoEntries struct {
	entries [2]placingEntry
	yield   Yield
	// statusInterval is the time after which senders know whether the first one yields.
	known        bool
	knownAt      time.Duration
	placedInTime int
	switches     int
}

// send sends a request at the given time. slowness multiplies the time of the first entry.
func (e *twoEntries) send(at time.Duration, priority int, slowness time.Duration, yields bool) {
	const statusInterval, inTime = 250 * time.Millisecond, 400 * time.Millisecond
	if at-e.knownAt >= statusInterval {
		known := yields && e.yield.Yielding(at)
		if known != e.known {
			e.switches++
		}
		e.known, e.knownAt = known, at
	}
	i := 0
	if e.known {
		i = 1
	}
	entry := &e.entries[i]
	entry.placeTime, entry.refuseTime = 2*time.Millisecond, 200*time.Microsecond
	if i == 0 {
		entry.placeTime, entry.refuseTime = slowness*entry.placeTime, slowness*entry.refuseTime
	}
	took, placed := entry.handle(at, priority, true)
	if i == 0 {
		e.yield.Record(max(at+took, e.yield.windowStart), entry.mean.Value())
	}
	if placed && took <= inTime {
		e.placedInTime++
	}
}

// TestSlowMachineOfPlacingEntry plays a steady load whose placing entry runs on a machine that
// becomes five and a half times slower for some seconds. Pattern: slow placing entry. With
// yields, the next entry places almost all; without, most requests are refused or late.
func TestSlowMachineOfPlacingEntry(t *testing.T) {
	play := func(yields bool) *twoEntries {
		e := &twoEntries{}
		for i := range 400 * 20 {
			at := time.Duration(i) * 2500 * time.Microsecond
			slowness := time.Duration(1)
			if at >= 5*time.Second && at < 10600*time.Millisecond {
				slowness = 6
			}
			e.send(at, i%3, slowness, yields)
		}
		return e
	}
	with, without := play(true), play(false)
	assert.Assert(t, with.placedInTime >= 7500, "%d of 8000 placed in time", with.placedInTime)
	assert.Assert(t, with.switches >= 2 && with.switches <= 6, "%d switches", with.switches)
	assert.Assert(t, without.placedInTime < 6800, "the machine is not slow: %d placed in time", without.placedInTime)
}

// TestBurstIsNoReasonToYield plays three times what an entry can place. Another one could not
// place more, so the requests must not move. Pattern: planner overload.
func TestBurstIsNoReasonToYield(t *testing.T) {
	e := &twoEntries{}
	for at, i := time.Duration(0), 0; at < 20*time.Second; i++ {
		e.send(at, i%3, 1, true)
		at += 2500 * time.Microsecond
		if at >= 5*time.Second && at < 11*time.Second {
			at -= 1800 * time.Microsecond
		}
	}
	assert.Equal(t, e.switches, 0)
}

// TestYieldsInARowGrow checks that a machine that stays slow is tried less and less often.
func TestYieldsInARowGrow(t *testing.T) {
	var y Yield
	now := time.Duration(0)
	for range 100 {
		for range 50 {
			now += 5 * time.Millisecond
			y.Record(now, 0)
		}
	}
	var pauses []time.Duration
	for len(pauses) < 4 {
		now += yieldWindow
		y.Record(now, time.Second)
		if y.Yielding(now) {
			pauses = append(pauses, y.until-now)
			now = y.until
		}
	}
	assert.DeepEqual(t, pauses, []time.Duration{4 * time.Second, 8 * time.Second, 16 * time.Second, 16 * time.Second})
}
