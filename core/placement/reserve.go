package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// longPauseShare is the share of the longest on-time pause from which a prompt counts as
	// long.
	longPauseShare = 0.6
	// reservedCostMS is the cost of a reserved server for requests whose prompt is not long.
	reservedCostMS = lateCostMS / 2
	// reserveMeanTime is the time over which the number of running requests with long
	// prompts is averaged.
	reserveMeanTime = 10 * time.Second
	// reserveInterval is the time between two choices of the reserved servers.
	reserveInterval = 5 * time.Second
	// maxReservedShare bounds the share of a pool's servers that are reserved.
	maxReservedShare = 0.25
	// reserveSpeedStep is the ratio of the rates below which two servers count as equally
	// fast, so that noise does not change the reserved ones.
	reserveSpeedStep = 1.3
)

// reserve keeps some servers of a pool for long prompts. If the other requests were spread over
// all servers, each long prompt would make some of them late. Without long prompts beside
// requests with a longest on-time pause, no server is reserved.
type reserve struct {
	// running is the number of requests with long prompts, mean its average at the time
	// meanAt.
	running   int
	mean      float64
	meanAt    time.Duration
	nextCheck time.Duration
}

// count adds n to the running requests with long prompts.
func (v *reserve) count(now time.Duration, n int) {
	v.update(now)
	v.running += n
}

// update moves the average to the present.
func (v *reserve) update(now time.Duration) {
	kept := math.Exp(-float64(now-v.meanAt) / float64(reserveMeanTime))
	v.mean = float64(v.running) + (v.mean-float64(v.running))*kept
	v.meanAt = now
}

// size returns the number of servers to reserve. The number of running requests at a time
// exceeds its mean by twice its standard deviation rarely.
func (v *reserve) size(servers int) int {
	const negligible = 0.05
	if v.mean < negligible {
		return 0
	}
	return min(int(math.Ceil(v.mean+2*math.Sqrt(v.mean))), int(maxReservedShare*float64(servers)))
}

// reserveFor returns the reserve of a pool.
func (t *Table) reserveFor(pool string) *reserve {
	v := t.reserves[pool]
	if v == nil {
		v = &reserve{}
		t.reserves[pool] = v
	}
	return v
}

// updateReserve chooses the reserved servers of a pool when that is due: the fastest ones, and
// the same ones as before among those that are equally fast.
func (t *Table) updateReserve(now time.Duration, pool string) {
	v := t.reserveFor(pool)
	if now < v.nextCheck {
		return
	}
	v.nextCheck = now + reserveInterval
	v.update(now)
	servers := t.serversByPool[pool]
	size := v.size(len(servers))
	for _, s := range servers {
		s.isReserved = false
	}
	if size == 0 {
		return
	}
	bySpeed := slices.Clone(servers)
	for _, s := range bySpeed {
		estimate := s.speed.Estimate(now, 0)
		s.speedStep = int(math.Round(math.Log(estimate.TokensPerMS*estimate.Slowdown) / math.Log(reserveSpeedStep)))
	}
	slices.SortFunc(bySpeed, func(a, b *server) int {
		return cmp.Or(cmp.Compare(b.speedStep, a.speedStep), cmp.Compare(rendezvousWeight(pool, a.def.ID), rendezvousWeight(pool, b.def.ID)), cmp.Compare(a.def.ID, b.def.ID))
	})
	for _, s := range bySpeed[:size] {
		s.isReserved = true
	}
}

// isLong reports whether the prompt would make other responses late on all servers, also on
// those that have most of it cached.
func (t *Table) isLong(c *choice) bool {
	if c.MaxPause <= 0 || c.pauseWeight == 0 {
		return false
	}
	least := c.promptTokens
	for _, s := range t.serversByPool[c.Pool] {
		if c.accepts(s) {
			least = min(least, c.uncached[s.position])
		}
	}
	estimate := t.speeds.PoolEstimate(c.Pool, 1)
	return estimate.PauseMS(least)*float64(time.Millisecond) >= longPauseShare*float64(c.MaxPause)
}
