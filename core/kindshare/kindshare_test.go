package kindshare

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// demandFor offers and accepts work of two kinds for some time, each at its rate per second.
func demandFor(p *Pool, from, to time.Duration, a, b float64) {
	const step = 10 * time.Millisecond
	for now := from; now < to; now += step {
		for name, rate := range map[string]float64{"a": a, "b": b} {
			p.Offer(now, name, rate*step.Seconds(), time.Second)
			p.Accept(now, name, rate*step.Seconds(), 1, time.Second)
		}
	}
}

// TestBurstExceedsShare guards against a burst that is not recognized in time, and against a kind
// with its usual demand that is taken for the one with the burst.
func TestBurstExceedsShare(t *testing.T) {
	p := New()
	demandFor(p, 0, 30*time.Second, 0.45, 0.45)
	now := 30 * time.Second
	assert.Assert(t, !p.Short(now, 10, 1) && !p.Exceeds(now, "a", 1) && !p.Exceeds(now, "b", 1))
	demandFor(p, now, now+time.Second, 2.6*0.45, 0.45)
	now += time.Second
	assert.Assert(t, p.Short(now, 0.6, 1) && !p.Short(now, 0.4, 1), "a shortage needs a queue that endangers an objective")
	assert.Assert(t, p.Exceeds(now, "a", 1) && p.Wait(now, "a") > 500*time.Millisecond)
	assert.Assert(t, !p.Exceeds(now, "b", 1) && p.Wait(now, "b") < 50*time.Millisecond)
}

// TestOneKindIsNeverShort guards against a change for deployments with one kind of requests.
func TestOneKindIsNeverShort(t *testing.T) {
	p := New()
	for now := time.Duration(0); now < 5*time.Second; now += 10 * time.Millisecond {
		p.Offer(now, "a", 1, time.Second)
	}
	assert.Assert(t, !p.Short(5*time.Second, 100, 1))
}

// TestReservationsFollowEachOther guards against Retry-After times that send all refused clients
// back at one moment, and against reservations without bounds.
func TestReservationsFollowEachOther(t *testing.T) {
	p := New()
	demandFor(p, 0, 60*time.Second, 0.4, 0.4)
	now := 60 * time.Second
	first, _ := p.Reserve(now, now+time.Second, 0.1, 1)
	second, ok := p.Reserve(now, now, 0.1, 1)
	assert.Assert(t, ok && first == now+time.Second)
	// The usual demand leaves 0.2 of the capacity.
	gap := second - first
	assert.Assert(t, gap > 400*time.Millisecond && gap < 600*time.Millisecond, "%v", gap)
	for range 200 {
		_, ok = p.Reserve(now, now, 0.1, 1)
	}
	assert.Assert(t, !ok && p.ReservedTime(now) <= maxReservation+time.Second)
}

// TestWaitIncludesArrivals guards against waits that are too short for work that can wait, since
// urgent work arrives in the meantime and precedes it.
func TestWaitIncludesArrivals(t *testing.T) {
	p := New()
	now := 30 * time.Second
	for at := time.Duration(0); at < now; at += 10 * time.Millisecond {
		p.Offer(at, "urgent", 0.005, 500*time.Millisecond)
		p.Accept(at, "urgent", 0.005, 1, time.Second)
	}
	assert.Equal(t, p.Overtaken(now, time.Second, 500*time.Millisecond), time.Second)
	wait := p.Overtaken(now, time.Second, 4*time.Second)
	assert.Assert(t, wait > 1900*time.Millisecond && wait < 2100*time.Millisecond, "%v", wait)
}

// TestMemoryIsBounded guards against growth with the number of kinds.
func TestMemoryIsBounded(t *testing.T) {
	p := New()
	for i := range 2 * maxKinds {
		p.Offer(0, fmt.Sprint(i), 1, time.Second)
	}
	assert.Equal(t, len(p.kinds), maxKinds)
	p.Offer(forgottenAfter+time.Second, "new", 1, time.Second)
	assert.Equal(t, len(p.kinds), 1)
}
