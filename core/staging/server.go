package staging

import (
	"slices"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/backoff"
	"github.com/magnoliawheel/magnoliawheel/core/loadreport"
	"github.com/magnoliawheel/magnoliawheel/core/notice"
)

const (
	// fullPause is how long no calls are sent to a server that reported itself full.
	fullPause = 80 * time.Millisecond
	// maxSlotsOnStack is the number of calls of a server up to which they are sorted
	// without a heap allocation.
	maxSlotsOnStack = 16
)

// failurePauses are the pauses after consecutive failed calls to a server.
var failurePauses = backoff.Policy{Initial: 300 * time.Millisecond, Max: 3 * time.Second}

// server is a member of a pool with the state derived from its calls.
type server struct {
	def  Server
	pool *pool
	// listed is false once the server has left the pool.
	listed bool
	calls  []*call
	// usedBytes is the size of the results that are kept or being computed.
	usedBytes int64
	// unaccountedBytes is the size, at the time unaccountedSeenAt, of the results that the
	// server keeps for other schedulers. They are assumed to expire evenly over time.
	unaccountedBytes  int64
	unaccountedSeenAt time.Duration
	// slownessRatio is the measured time of its calls relative to the time in the
	// pool's description.
	slownessRatio float64
	lastCallEnd   time.Duration
	// pace is what the server reports about the time of work on its machine.
	pace loadreport.Pace
	// consecutiveFailures counts failed and overdue calls in a row. No call starts
	// before pausedUntil.
	consecutiveFailures int
	pausedUntil         time.Duration
	// lastAnsweredStart is the latest expectedStart of a call that was answered.
	lastAnsweredStart time.Duration

	// handlesToFree are collected for the next FreeRequest, which frees bytesToFree.
	// The first of them was added at freesQueuedSince.
	handlesToFree    []string
	bytesToFree      int64
	freesQueuedSince time.Duration
}

// call is a call without an answer yet.
type call struct {
	id     uint64
	server *server
	pieces []pieceRef
	// The server is expected to work on the call from expectedStart to expectedEnd.
	expectedStart, expectedEnd time.Duration
	// forecast is the expected slowness, and overdueExtension how much later than usual
	// the call is overdue, both by what the server had reported when the call was sent.
	forecast         loadreport.Forecast
	overdueExtension time.Duration
	// overdue is set once the pieces of the call were requested from other servers.
	overdue bool
	// answerLost marks an overdue call after which the server answered a later call.
	// The server no longer works on it; its answer was lost in transit.
	answerLost bool
}

// pieceRef identifies a piece of a stage run.
type pieceRef struct {
	run   *stageRun
	piece int
}

// usable reports whether the server accepts calls. A server with an overdue call
// accepts one call at a time, as a trial.
func (m *server) usable(now time.Duration) bool {
	return m.listed && now >= m.pausedUntil && !m.wantsNoCalls(now) && (m.activeCalls() == 0 || !m.hasOverdueCall())
}

// piecesPerSecond returns the throughput of the server with full batches.
func (m *server) piecesPerSecond(now time.Duration) float64 {
	fullBatchSeconds := m.pool.normalCallTime(m.pool.spec.BatchSize).Seconds() * m.slowness(now)
	callsPerSecond := float64(m.pool.spec.Slots) / fullBatchSeconds
	if limit, limited := m.pool.notices.Rate(now, m.start()); limited {
		callsPerSecond = min(callsPerSecond, limit)
	}
	return float64(m.pool.spec.BatchSize) * callsPerSecond
}

// start identifies the start of the server.
func (m *server) start() notice.Server {
	return notice.Server{ID: m.def.ID, StartTime: m.def.StartTime}
}

// isLimited reports whether the server names a limit.
func (m *server) isLimited(now time.Duration) bool {
	_, limited := m.pool.notices.Rate(now, m.start())
	return limited
}

// activeCalls returns the number of calls that are not overdue.
func (m *server) activeCalls() int {
	n := 0
	for _, c := range m.calls {
		if !c.overdue {
			n++
		}
	}
	return n
}

// availableAt returns the expected time at which the server can start another call.
func (m *server) availableAt(now time.Duration) time.Duration {
	excess := m.activeCalls() - m.pool.spec.Slots
	if excess < 0 {
		return now
	}
	// A slot is free once all calls but Slots-1 have ended.
	var buffer [maxSlotsOnStack]time.Duration
	ends := buffer[:0]
	for _, c := range m.calls {
		if !c.overdue {
			ends = append(ends, c.expectedEnd)
		}
	}
	slices.Sort(ends)
	return max(now, ends[excess])
}

// callEnded updates the server's state after a call. load is what the server told in its
// response, or nil.
func (m *server) callEnded(c *call, now time.Duration, status CallStatus, load *loadreport.Report) {
	if i := slices.Index(m.calls, c); i >= 0 {
		m.calls = slices.Delete(m.calls, i, i+1)
	}
	switch {
	case status == Answered:
		m.consecutiveFailures = 0
		m.updateSlowness(c, now, load)
		m.markLostAnswers(c)
		if !m.hasOverdueCall() {
			m.pausedUntil = now
		}
	case c.answerLost:
	case status == ServerFull:
		m.pausedUntil = now + fullPause
	default:
		m.pauseCalls(now, failurePauses)
	}
	m.lastCallEnd = now
	if load != nil {
		m.pace.Observe(now, *load, m.slownessRatio)
	}
}

// wantsNoCalls reports whether the server asked for no calls for a time that has not passed.
// Answers to earlier calls do not change it.
func (m *server) wantsNoCalls(now time.Duration) bool {
	return !m.pool.pauses.Empty() && m.pool.pauses.Active(now, m.start())
}

// pauseCalls prevents calls to the server for a time that grows with each consecutive
// failure.
func (m *server) pauseCalls(now time.Duration, p backoff.Policy) {
	m.pausedUntil = now + p.Delay(m.consecutiveFailures)
	m.consecutiveFailures++
}
