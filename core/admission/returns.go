package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// returnShare is the share of the admitted rate that is promised to callers
	// that come back.
	returnShare = 0.5
	// returnSoonest and returnLatest bound RetryAfter.
	returnSoonest = 200 * time.Millisecond
	returnLatest  = 8 * time.Second
	// admittedHalf is the time after which an admitted request counts half in
	// the admitted rate; admittedLeast is the least rate assumed, a second.
	admittedHalf  = 2 * time.Second
	admittedLeast = 2.0
)

// returns gives each refused caller its own time to come back, at a rate that
// the servers carry.
type returns struct {
	// slot is the last time given out.
	slot time.Time
	// rate is the admitted requests a second as of at.
	rate float64
	at   time.Time
}

func (r *returns) admitted(now time.Time) {
	r.decay(now)
	r.rate += math.Ln2 / admittedHalf.Seconds()
}

func (r *returns) decay(now time.Time) {
	if !r.at.IsZero() {
		r.rate *= math.Exp2(-now.Sub(r.at).Seconds() / admittedHalf.Seconds())
	}
	r.at = now
}

// next returns how long a refused caller should wait.
func (r *returns) next(now time.Time, rng *rand.Rand) time.Duration {
	r.decay(now)
	gap := time.Duration(float64(time.Second) / (returnShare * max(r.rate, admittedLeast)))
	if soonest := now.Add(returnSoonest); r.slot.Before(soonest) {
		r.slot = soonest
	}
	if r.slot.Add(gap).Sub(now) > returnLatest {
		return returnLatest/2 + randN(rng, returnLatest/2)
	}
	r.slot = r.slot.Add(gap)
	return r.slot.Sub(now)
}

// spread returns a short random time, which keeps callers apart that were
// refused at once.
func (r *returns) spread(rng *rand.Rand) time.Duration { return randN(rng, returnSoonest) }

func randN(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(d)))
}
