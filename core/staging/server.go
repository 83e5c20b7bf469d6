package staging

import (
	"slices"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/backoff"
	"github.com/magnoliawheel/magnoliawheel/core/loadreport"
	"github.com/magnoliawheel/magnoliawheel/core/notice"
)

const (
	// slownessWeight is the weight of the newest call in a server's slowness ratio. Each
	// call counts with at least minSlowness and at most maxSlowness.
	slownessWeight = 0.4
	minSlowness    = 0.3
	maxSlowness    = 20.0
	// slowThreshold is the slowness, relative to the fastest server of the pool, from
	// which a server is used only when the others have a backlog.
	slowThreshold = 1.8
	// slownessHalfTime is the idle time after which a server's slowness ratio is
	// halved.
	slownessHalfTime = 2 * time.Second
	// overdueFactor and overdueSlack determine when a call is overdue and its pieces
	// are requested from other servers.
	overdueFactor = 2.0
	overdueSlack  = 250 * time.Millisecond
	// maxOverdueExtension bounds how much later a call is overdue because its machine is
	// reported to be slow, so that a false report does not hide a server that has stopped.
	// Machines are slow for moments of about 0.6 s.
	maxOverdueExtension = 600 * time.Millisecond
	// unaccountedExpiryShare is the fraction of the retention time within which the results
	// of other schedulers are assumed to expire.
	unaccountedExpiryShare = 0.6
	// fullPause is how long no calls are sent to a server that reported itself full.
	fullPause = 80 * time.Millisecond
	// maxSlotsOnStack is the number of calls of a server up to which they are sorted
	// without a heap allocation.
	maxSlotsOnStack = 16
	// freeDelay is how long results to be freed are collected for one FreeRequest, and
	// maxFreeBatch the number of collected results from which it is sent at once.
	freeDelay    = 25 * time.Millisecond
	maxFreeBatch = 32
	// ampleFreeDelay and maxAmpleFreeBatch apply to a server that has at least
	// ampleMemoryShare of its memory left, where freeing can wait.
	ampleFreeDelay    = 400 * time.Millisecond
	maxAmpleFreeBatch = 256
	ampleMemoryShare  = 0.6
	// limitedFreeDelay applies to a server that names a limit, which calls use up as well.
	limitedFreeDelay = 2 * time.Second
)

// failurePauses are the pauses after consecutive failed calls to a server.
var failurePauses = backoff.Policy{Initial: 300 * time.Millisecond, Max: 3 * time.Second}

// trialPauses are the pauses before a server with an overdue call gets another call as a
// trial. If the server never answers, each trial delays its pieces until they are overdue.
var trialPauses = backoff.Policy{Initial: 400 * time.Millisecond, Max: 3 * time.Second}

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

// hasOverdueCall reports whether the server may still work on an overdue call.
func (m *server) hasOverdueCall() bool {
	return slices.ContainsFunc(m.calls, func(c *call) bool { return c.overdue && !c.answerLost })
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

// slowness returns the expected time of a call relative to the time in the pool's
// description, by the server's calls and by what it reports.
func (m *server) slowness(now time.Duration) float64 {
	return m.pace.Estimate(now, m.decayed(m.slownessRatio, now), m.decayed(m.pace.Usual(), now))
}

// decayed returns a slowness ratio that was measured with the last call. Above 1 it decays
// while the server is idle, so that a server which was slow is tried again.
func (m *server) decayed(ratio float64, now time.Duration) float64 {
	if ratio <= 1 || len(m.calls) > 0 {
		return ratio
	}
	halfTimes := float64(now-m.lastCallEnd) / float64(slownessHalfTime)
	return max(1, ratio/(1+halfTimes))
}

// forecast returns the expected slowness of a call that is sent now.
func (m *server) forecast(now time.Duration) loadreport.Forecast {
	return m.pace.Forecast(now, m.decayed(m.slownessRatio, now), m.decayed(m.pace.Usual(), now))
}

// overdueExtension returns how much later than usual a call of n pieces is overdue, because
// the machine is known to be slow at the moment.
func (m *server) overdueExtension(now time.Duration, n int) time.Duration {
	extra := m.pace.Excess(now) * float64(m.pool.normalCallTime(n))
	return min(time.Duration(extra), maxOverdueExtension)
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

// pauseCalls prevents calls to the server for a time that grows with each consecutive
// failure.
func (m *server) pauseCalls(now time.Duration, p backoff.Policy) {
	m.pausedUntil = now + p.Delay(m.consecutiveFailures)
	m.consecutiveFailures++
}

// markLostAnswers marks the overdue calls that were expected to start no later than an
// answered one.
func (m *server) markLostAnswers(answered *call) {
	m.lastAnsweredStart = max(m.lastAnsweredStart, answered.expectedStart)
	for _, c := range m.calls {
		c.answerLost = c.answerLost || c.overdue && c.expectedStart <= m.lastAnsweredStart
	}
}

// updateSlowness includes the duration of an answered call in the slowness ratio, and
// compares it with what the server reported.
func (m *server) updateSlowness(c *call, now time.Duration, load *loadreport.Report) {
	normalTime := m.pool.normalCallTime(len(c.pieces))
	elapsed := now - max(c.expectedStart, m.lastCallEnd)
	if c.expectedStart > now {
		elapsed = normalTime
	}
	sample := min(max(float64(elapsed)/float64(normalTime), minSlowness), maxSlowness)
	m.slownessRatio += slownessWeight * (sample - m.slownessRatio)
	m.pace.CallAnswered(c.forecast, sample, load)
}

// recordOutOfMemory handles a server's report that it has no memory for a result. It
// assumes that results of other schedulers occupy the rest of the memory.
func (m *server) recordOutOfMemory(now time.Duration) {
	m.unaccountedBytes = max(0, m.pool.spec.MemoryBytes-m.usedBytes)
	m.unaccountedSeenAt = now
	m.pool.unaccountedUntil = max(m.pool.unaccountedUntil, now+m.pool.unaccountedExpiry())
}

// unaccountedExpiry is the time after which the results of other schedulers are assumed
// to have expired.
func (p *pool) unaccountedExpiry() time.Duration {
	return time.Duration(unaccountedExpiryShare * float64(p.spec.ResultRetention))
}

// totalMemory returns the memory, in bytes, that the pool's servers have for the results of
// this scheduler, whether in use or not.
func (p *pool) totalMemory(now time.Duration) int64 {
	if now > p.unaccountedUntil {
		return int64(len(p.servers)) * p.spec.MemoryBytes
	}
	var sum int64
	for _, m := range p.servers {
		sum += max(0, m.usedBytes+m.availableMemory(now))
	}
	return sum
}

// availableMemory returns the unused memory in bytes.
func (m *server) availableMemory(now time.Duration) int64 {
	available := m.pool.spec.MemoryBytes - m.usedBytes
	expiryTime := float64(m.pool.unaccountedExpiry())
	if age := float64(now - m.unaccountedSeenAt); m.unaccountedBytes > 0 && age < expiryTime {
		available -= int64(float64(m.unaccountedBytes) * (1 - age/expiryTime))
	}
	return available
}

// queueFree adds a result to the next FreeRequest. Its memory counts as used until that
// request has ended.
func (m *server) queueFree(handle string, bytes int64, now time.Duration) {
	if len(m.handlesToFree) == 0 {
		m.freesQueuedSince = now
	}
	m.pool.hasHandlesToFree = true
	m.handlesToFree = append(m.handlesToFree, handle)
	m.bytesToFree += bytes
}

// hasAmpleMemory reports whether the server has much more memory left than it needs for
// the next calls.
func (m *server) hasAmpleMemory(now time.Duration) bool {
	return float64(m.availableMemory(now)) >= ampleMemoryShare*float64(m.pool.spec.MemoryBytes)
}

// isFreeDue reports whether the collected results are to be freed now.
func (m *server) isFreeDue(now time.Duration) bool {
	if len(m.handlesToFree) == 0 || m.wantsNoCalls(now) || m.pool.notices.Wait(now, m.start()) > 0 {
		return false
	}
	delay, batch := freeDelay, maxFreeBatch
	switch {
	case m.isLimited(now):
		delay, batch = limitedFreeDelay, maxAmpleFreeBatch
	case m.hasAmpleMemory(now):
		delay, batch = ampleFreeDelay, maxAmpleFreeBatch
	}
	return len(m.handlesToFree) >= batch || now-m.freesQueuedSince >= delay
}

// requeueFree collects the results of a refused FreeRequest again.
func (m *server) requeueFree(f pendingFree, now time.Duration) {
	if len(m.handlesToFree) == 0 {
		m.freesQueuedSince = now
	}
	m.pool.hasHandlesToFree = true
	m.handlesToFree = append(f.handles, m.handlesToFree...)
	m.bytesToFree += f.bytes
}

// ObserveLoad handles what a server told about its load in a response to anything but a call.
func (s *Scheduler) ObserveLoad(now time.Duration, def Server, load loadreport.Report) {
	for _, p := range s.sortedPools {
		if m := p.findServer(def.ID); m != nil && m.def == def {
			m.pace.Observe(now, load, m.slownessRatio)
		}
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
