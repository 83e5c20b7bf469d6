package staging

import (
	"slices"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/backoff"
)

const (
	// overdueFactor and overdueSlack determine when a call is overdue and its pieces
	// are requested from other servers.
	overdueFactor = 2.0
	overdueSlack  = 250 * time.Millisecond
	// maxOverdueExtension bounds how much later a call is overdue because its machine is
	// reported to be slow, so that a false report does not hide a server that has stopped.
	// Machines are slow for moments of about 0.6 s.
	maxOverdueExtension = 600 * time.Millisecond
)

// trialPauses are the pauses before a server with an overdue call gets another call as a
// trial. If the server never answers, each trial delays its pieces until they are overdue.
var trialPauses = backoff.Policy{Initial: 400 * time.Millisecond, Max: 3 * time.Second}

// hasOverdueCall reports whether the server may still work on an overdue call.
func (m *server) hasOverdueCall() bool {
	return slices.ContainsFunc(m.calls, func(c *call) bool { return c.overdue && !c.answerLost })
}

// overdueExtension returns how much later than usual a call of n pieces is overdue, because
// the machine is known to be slow at the moment.
func (m *server) overdueExtension(now time.Duration, n int) time.Duration {
	extra := m.pace.Excess(now) * float64(m.pool.normalCallTime(n))
	return min(time.Duration(extra), maxOverdueExtension)
}

// markLostAnswers marks the overdue calls that were expected to start no later than an
// answered one.
func (m *server) markLostAnswers(answered *call) {
	m.lastAnsweredStart = max(m.lastAnsweredStart, answered.expectedStart)
	for _, c := range m.calls {
		c.answerLost = c.answerLost || c.overdue && c.expectedStart <= m.lastAnsweredStart
	}
}

// checkOverdue requests the pieces of an overdue call from other servers.
func (s *Scheduler) checkOverdue(c *call, now time.Duration) {
	if c.overdue {
		return
	}
	normalTime := c.server.pool.normalCallTime(len(c.pieces))
	limit := c.expectedStart + max(time.Duration(overdueFactor*float64(normalTime)), normalTime+overdueSlack)
	if now < limit || now < limit+max(c.overdueExtension, c.server.overdueExtension(now, len(c.pieces))) {
		return
	}
	c.overdue = true
	c.answerLost = c.expectedStart < c.server.lastAnsweredStart
	if !c.answerLost {
		c.server.pauseCalls(now, trialPauses)
	}
	for _, it := range c.pieces {
		p := &it.run.pieces[it.piece]
		p.overdueCalls++
		if s.jobs[it.run.job.def.ID] == it.run.job && p.handle == "" && !it.run.resultsFreed && p.overdueCalls == p.openCalls {
			it.run.requeue(it.piece)
		}
	}
}
