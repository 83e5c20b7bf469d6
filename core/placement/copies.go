package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// demandMeanTime is the time over which the demand for a shared part is averaged.
	demandMeanTime = 10 * time.Second
	// maxCopyUse is the share of a server's time that the prompts which begin with one shared
	// part may take before another server keeps the part as well. On pools where responses are
	// late by pauses it falls to pausedCopyUse, since more would join the pauses of the streams
	// there. On others, copies for less demand only processed the part again.
	maxCopyUse    = 0.5
	pausedCopyUse = 0.15
	// copiesInterval is the least time between two choices of the servers that keep a part.
	copiesInterval = time.Second
	// extraCopyCostMS is the cost of a server that has a part cached although others keep it.
	// It lets an unneeded copy expire, and is less than the costs of a busy server. With 30,
	// requests that avoided a short queue kept all copies in use.
	extraCopyCostMS = 100.0
	// maxDemands bounds the shared parts whose demand is known.
	maxDemands = 1024
	// demandRetention is how long the demand for a part is known without requests.
	demandRetention = time.Minute
	// demandSweepInterval is the least time between two searches of all demands for old ones.
	demandSweepInterval = time.Second
)

// demandKey is a shared part in a pool.
type demandKey struct {
	pool string
	key  uint64
}

// demand is the demand for a shared part of prompts.
type demand struct {
	// use is the average share of a server's time, at the time usedAt, that processing the
	// rest of the prompts takes.
	use    float64
	usedAt time.Duration
	// copyServers are the servers that keep the part, from the time it takes more than one, until
	// nextChoice. They are nil before.
	copyServers map[*server]bool
	nextChoice  time.Duration
}

// add adds a prompt that takes so much time.
func (d *demand) add(now time.Duration, took time.Duration) {
	d.use = d.use*math.Exp(-float64(now-d.usedAt)/float64(demandMeanTime)) + float64(took)/float64(demandMeanTime)
	d.usedAt = now
}

// copies returns the number of servers that the demand takes. pauseWeight is the weight of the
// costs of pauses in the pool.
func (d *demand) copies(pauseWeight float64) int {
	return int(math.Ceil(d.use / (maxCopyUse - pauseWeight*(maxCopyUse-pausedCopyUse))))
}

// sharedPrefix returns the longest prefix that other prompts may share; false if there is none.
func (c *choice) sharedPrefix() (prefix, bool) {
	if len(c.prefixes) < 2 {
		return prefix{}, false
	}
	return c.prefixes[len(c.prefixes)-2], true
}

// recordDemand records a request for the shared part of its prompt.
func (t *Table) recordDemand(now time.Duration, c *choice) {
	shared, ok := c.sharedPrefix()
	if !ok {
		return
	}
	key := demandKey{c.Pool, shared.key}
	d := t.demands[key]
	if d == nil {
		t.makeDemandRoom(now)
		d = &demand{usedAt: now}
		t.demands[key] = d
	}
	estimate := t.speeds.PoolEstimate(c.Pool, 1)
	restMS := estimate.PrefillMS(c.prefixes[len(c.prefixes)-1].tokens)
	d.add(now, time.Duration(restMS*float64(time.Millisecond)))
	copies := d.copies(t.evidenceFor(c.Pool).weight())
	if now >= d.nextChoice && (d.copyServers != nil || copies > 1) {
		d.nextChoice = now + copiesInterval
		d.copyServers = t.chooseCopyServers(c.Pool, shared.path, copies)
	}
}

// makeDemandRoom drops the demands without recent requests if there are too many, and then any.
func (t *Table) makeDemandRoom(now time.Duration) {
	if len(t.demands) < maxDemands {
		return
	}
	if now >= t.nextDemandSweep {
		t.nextDemandSweep = now + demandSweepInterval
		for key, d := range t.demands {
			if now-d.usedAt >= demandRetention {
				delete(t.demands, key)
			}
		}
	}
	for key := range t.demands {
		if len(t.demands) < maxDemands {
			return
		}
		delete(t.demands, key)
	}
}

// chooseCopyServers returns the servers that keep a shared part: the first ones in an order that is
// the same at every instance, without those reserved for long prompts.
func (t *Table) chooseCopyServers(pool, path string, copies int) map[*server]bool {
	type candidate struct {
		server *server
		weight uint64
	}
	var candidates []candidate
	for _, s := range t.serversByPool[pool] {
		if !s.isReserved {
			candidates = append(candidates, candidate{s, rendezvousWeight(path, s.def.ID)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.weight, a.weight) })
	copyServers := map[*server]bool{}
	for _, k := range candidates[:min(max(copies, 1), len(candidates))] {
		copyServers[k.server] = true
	}
	return copyServers
}

// copyServersOf returns the servers that keep the shared part of a prompt, and its size; nil if one
// server is enough for it.
func (t *Table) copyServersOf(c *choice) (copyServers map[*server]bool, sharedTokens int) {
	if shared, ok := c.sharedPrefix(); ok {
		if d := t.demands[demandKey{c.Pool, shared.key}]; d != nil {
			return d.copyServers, shared.tokens
		}
	}
	return nil, 0
}

// copyCost returns the cost of a server because of the servers that keep the shared part of a
// prompt. One of these servers without the part gets it without the cost of processing it: a copy is
// processed once, and is needed. The pauses that this causes still count.
func (s *server) copyCost(c *choice, uncached int, tokensPerMS float64) float64 {
	if c.copyServers == nil {
		return 0
	}
	isCached := uncached <= c.prefixes[len(c.prefixes)-1].tokens
	switch keepsCopy := c.copyServers[s]; {
	case keepsCopy && !isCached:
		return -uncachedPrefillWeight * float64(c.sharedTokens) / tokensPerMS
	case !keepsCopy && isCached:
		return extraCopyCostMS
	}
	return 0
}
