package staging

import (
	"slices"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/notice"
)

// pool is the set of servers of one service.
type pool struct {
	name    string
	spec    PoolSpec
	servers []*server
	// queuedRuns are the stage runs with pieces to be requested.
	queuedRuns []*stageRun
	// claimedBytes is the size of the results that the accepted jobs keep or will
	// produce, startedBytes the part of the started jobs.
	claimedBytes, startedBytes int64
	// unaccountedUntil is when the last results of other schedulers are assumed to have
	// expired.
	unaccountedUntil time.Duration
	// hasHandlesToFree is false if no server has handles to free.
	hasHandlesToFree bool
	// The buffers are reused by each call of readyRuns, candidates and selectPieces.
	readyBuffer     []readyRun
	candidateBuffer []candidate
	piecesAhead     map[string]int
	// notices and pauses are what servers said about themselves.
	notices *notice.Table
	pauses  *notice.Pauses
}

// findOrCreateServer returns the pool's server with that definition, or a new one.
func (p *pool) findOrCreateServer(def Server) *server {
	for _, m := range p.servers {
		if m.def == def {
			return m
		}
	}
	return &server{def: def, pool: p, slownessRatio: 1}
}

// findServer returns the listed server with that ID, or nil.
func (p *pool) findServer(id string) *server {
	if p == nil {
		return nil
	}
	for _, m := range p.servers {
		if m.def.ID == id {
			return m
		}
	}
	return nil
}

func (p *pool) removeRun(r *stageRun) {
	if i := slices.Index(p.queuedRuns, r); i >= 0 {
		p.queuedRuns = slices.Delete(p.queuedRuns, i, i+1)
	}
}

// normalCallTime returns the time that a call of n pieces takes on a server of normal
// speed.
func (p *pool) normalCallTime(n int) time.Duration {
	return p.spec.CallOverhead + time.Duration(n)*p.spec.TimePerPiece
}

// lowestSlowness returns the slowness of the fastest usable server.
func (p *pool) lowestSlowness(now time.Duration) float64 {
	lowest := maxSlowness
	for _, m := range p.servers {
		if m.usable(now) {
			lowest = min(lowest, m.slowness(now))
		}
	}
	return lowest
}

// piecesPerSecond returns the throughput of the usable servers with full batches.
func (p *pool) piecesPerSecond(now time.Duration) float64 {
	var sum float64
	for _, m := range p.servers {
		if m.usable(now) {
			sum += m.piecesPerSecond(now)
		}
	}
	return sum
}

// timeToFirstCall returns the time until one of the pool's servers wants calls; 0 if one does
// or there are none.
func (p *pool) timeToFirstCall(now time.Duration) time.Duration {
	if p.pauses.Empty() {
		return 0
	}
	starts := make([]notice.Server, len(p.servers))
	for i, m := range p.servers {
		starts[i] = m.start()
	}
	return p.pauses.Remaining(now, starts)
}
