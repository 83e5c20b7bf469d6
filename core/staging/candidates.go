package staging

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// slowThreshold is the slowness, relative to the fastest server of the pool, from
	// which a server is used only when the others have a backlog.
	slowThreshold = 1.8
	// sendAhead is how long before the expected end of a call the next one is sent, so
	// that it is already queued at the server when a slot becomes free.
	sendAhead = 25 * time.Millisecond
)

// hasFreeServer reports whether one of the pool's servers can start a call.
func (p *pool) hasFreeServer(now time.Duration) bool {
	return slices.ContainsFunc(p.servers, func(m *server) bool { return m.canStart(now) })
}

// canStart reports whether the server can start a call now, or soon enough for the call
// to be sent ahead.
func (m *server) canStart(now time.Duration) bool {
	return m.usable(now) && m.activeCalls() <= m.pool.spec.Slots && m.availableAt(now) <= now+sendAhead && m.pool.notices.Wait(now, m.start()) == 0
}

// candidate is a server that can start a call, with the expected end of that call.
type candidate struct {
	*server
	overdue bool
	end     time.Duration
	// restrictedOnly is set for a slow server that is used only for jobs that may not run
	// in all regions, since the other servers would finish the other pieces sooner.
	restrictedOnly bool
}

// candidates returns the servers that can start a call now, ordered by the expected end
// of the call; servers with an overdue call come last. Slow servers are omitted if the
// others would finish the queued pieces sooner, unless the job of a ready run may not use
// the others. The result is valid until the next call.
func (p *pool) candidates(now time.Duration, pieces int, ready []readyRun) []candidate {
	lowest := p.lowestSlowness(now)
	hasRestricted := slices.ContainsFunc(ready, func(r readyRun) bool { return r.job.def.Residency.Restricted() })
	batchSize := min(pieces, p.spec.BatchSize)
	poolRate := sync.OnceValue(func() float64 { return p.piecesPerSecond(now) })
	options := p.candidateBuffer[:0]
	for _, m := range p.servers {
		if !m.canStart(now) {
			continue
		}
		end := m.availableAt(now) + time.Duration(float64(p.normalCallTime(batchSize))*m.slowness(now))
		slow := m.slowness(now) > slowThreshold*lowest && end > now+p.drainTime(pieces, poolRate()-m.piecesPerSecond(now))
		if slow && !hasRestricted {
			continue
		}
		options = append(options, candidate{m, m.hasOverdueCall(), end, slow})
	}
	slices.SortFunc(options, func(a, b candidate) int {
		return cmp.Or(trueFirst(!a.overdue, !b.overdue), cmp.Compare(a.end, b.end), cmp.Compare(a.def.ID, b.def.ID))
	})
	p.candidateBuffer = options
	return options
}

// drainTime returns how long servers that compute so many pieces a second together take for the
// queued pieces.
func (p *pool) drainTime(pieces int, rate float64) time.Duration {
	if rate <= 0 {
		return callTimeout
	}
	return p.normalCallTime(p.spec.BatchSize) + time.Duration(float64(pieces)/rate*float64(time.Second))
}
