package staging

import (
	"slices"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/backoff"
)

const (
	// ratioWeight is the weight of the newest call in a server's slowness.
	ratioWeight = 0.4
	minRatio    = 0.3
	maxRatio    = 20.0
	// slowRatio is the slowness, relative to the fastest server of the pool, from
	// which a server is used only when the others are behind.
	slowRatio = 1.8
	// forgetAfter is the time without calls after which a server's slowness halves.
	forgetAfter = 2 * time.Second
	// lateFactor and lateSlack tell from when a call's pieces are asked for elsewhere.
	lateFactor = 2.0
	lateSlack  = 250 * time.Millisecond
	// foreignShare is the part of the time for which servers keep results within
	// which unknown ones are taken to lapse.
	foreignShare = 0.6
	// fullPause is the time without calls after a server said that it is full or
	// has no memory.
	fullPause = 80 * time.Millisecond
	// maxSlots is the number of calls at a server up to which no memory is allocated.
	maxSlots = 16
	// freeDelay is how long freed results are gathered for one call.
	freeDelay = 25 * time.Millisecond
	// freeBatch is the number of freed results that are sent at once.
	freeBatch = 32
)

// pauses follow failed calls in a row at a server.
var pauses = backoff.Pauses{First: 300 * time.Millisecond, Longest: 3 * time.Second}

// trials are the times until a server with a late call gets another one: a server that
// is silent for good costs each trial's pieces the time until they are late.
var trials = backoff.Pauses{First: 400 * time.Millisecond, Longest: 3 * time.Second}

// pool is the servers of one service.
type pool struct {
	name    string
	spec    Spec
	servers []*server
	// runs are the runs with pieces to be asked for.
	runs []*run
}

func (p *pool) member(def Server) *server {
	for _, m := range p.servers {
		if m.def == def {
			return m
		}
	}
	return &server{def: def, pool: p, ratio: 1}
}

// find returns the listed server with that id, or nil.
func (p *pool) find(id string) *server {
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

func (p *pool) remove(r *run) {
	if i := slices.Index(p.runs, r); i >= 0 {
		p.runs = slices.Delete(p.runs, i, i+1)
	}
}

// callTime is the time that a call of n pieces takes at a server of normal speed.
func (p *pool) callTime(n int) time.Duration {
	return p.spec.CallTime + time.Duration(n)*p.spec.ItemTime
}

// fastest is the least slowness of a usable server.
func (p *pool) fastest(now time.Duration) float64 {
	least := maxRatio
	for _, m := range p.servers {
		if m.usable(now) {
			least = min(least, m.slowness(now))
		}
	}
	return least
}

// rate is the number of pieces a second that the usable servers make in full calls.
func (p *pool) rate(now time.Duration) float64 {
	full := p.callTime(p.spec.Batch).Seconds()
	var sum float64
	for _, m := range p.servers {
		if m.usable(now) {
			sum += float64(p.spec.Batch*p.spec.Slots) / (full * m.slowness(now))
		}
	}
	return sum
}

// server is a member of a pool with what its calls showed.
type server struct {
	def    Server
	pool   *pool
	listed bool
	calls  []*call
	// used is the size of the results kept or being made, in bytes.
	used int64
	// foreign is the size of the results that this scheduler does not know of, at
	// foreignAt; they lapse one by one.
	foreign   int64
	foreignAt time.Duration
	// ratio is the time of its calls relative to the described one.
	ratio   float64
	lastEnd time.Duration
	// failures counts failed and late calls in a row; no call starts before pausedUntil.
	failures    int
	pausedUntil time.Duration
	// answered is the latest begin of a call that was answered.
	answered time.Duration

	// frees are the results to be given up, freeing their size in bytes.
	frees     []string
	freeing   int64
	freeSince time.Duration
}

// call is a call at work.
type call struct {
	id     uint64
	server *server
	items  []item
	// begins and ends are the expected times of its turn and its end.
	begins, ends time.Duration
	// late calls have had their pieces asked for elsewhere.
	late bool
	// lost calls are late ones behind which the server answered another call: it works
	// on them no more, and their answers were lost on the way.
	lost bool
}

type item struct {
	run   *run
	piece int
}

// usable tells whether the server takes calls. One with a late call takes a single
// call at a time, as a trial.
func (m *server) usable(now time.Duration) bool {
	return m.listed && now >= m.pausedUntil && (m.open() == 0 || !m.hasLate())
}

// hasLate tells whether the server may still work on a late call.
func (m *server) hasLate() bool {
	return slices.ContainsFunc(m.calls, func(c *call) bool { return c.late && !c.lost })
}

// open is the number of calls that are not late.
func (m *server) open() int {
	n := 0
	for _, c := range m.calls {
		if !c.late {
			n++
		}
	}
	return n
}

// slowness is the ratio, forgotten while the server has no calls.
func (m *server) slowness(now time.Duration) float64 {
	if m.ratio <= 1 || len(m.calls) > 0 {
		return m.ratio
	}
	halves := float64(now-m.lastEnd) / float64(forgetAfter)
	return max(1, m.ratio/(1+halves))
}

// freeAt is the expected time at which the server can begin another call.
func (m *server) freeAt(now time.Duration) time.Duration {
	over := m.open() - m.pool.spec.Slots
	if over < 0 {
		return now
	}
	// The slot is free once all calls but Slots-1 have ended.
	var bound [maxSlots]time.Duration
	ends := bound[:0]
	for _, c := range m.calls {
		if !c.late {
			ends = append(ends, c.ends)
		}
	}
	slices.Sort(ends)
	return max(now, ends[over])
}

// ended takes the end of a call.
func (m *server) ended(c *call, now time.Duration, end CallEnd) {
	if i := slices.Index(m.calls, c); i >= 0 {
		m.calls = slices.Delete(m.calls, i, i+1)
	}
	switch {
	case end == Answered:
		m.failures = 0
		m.measure(c, now)
		m.passLate(c)
		if !m.hasLate() {
			m.pausedUntil = now
		}
	case c.lost:
	case end == Full:
		m.pausedUntil = now + fullPause
	default:
		m.pause(now, pauses)
	}
	m.lastEnd = now
}

// pause starts no call for a time that grows with each failure in a row.
func (m *server) pause(now time.Duration, p backoff.Pauses) {
	m.pausedUntil = now + p.After(m.failures)
	m.failures++
}

// passLate takes the late calls as lost that were to begin before an answered one.
func (m *server) passLate(answered *call) {
	m.answered = max(m.answered, answered.begins)
	for _, c := range m.calls {
		c.lost = c.lost || c.late && c.begins <= m.answered
	}
}

func (m *server) measure(c *call, now time.Duration) {
	described := m.pool.callTime(len(c.items))
	took := now - max(c.begins, m.lastEnd)
	if c.begins > now {
		took = described
	}
	seen := min(max(float64(took)/float64(described), minRatio), maxRatio)
	m.ratio += ratioWeight * (seen - m.ratio)
}

// noMemory takes the server's word that it has no memory for a result: the rest is
// taken by results of others.
func (m *server) noMemory(now time.Duration) {
	m.foreign = max(0, m.pool.spec.Memory-m.used)
	m.foreignAt = now
}

// memory is what the servers of the pool have for the results of this scheduler.
func (p *pool) memory(now time.Duration) int64 {
	var sum int64
	for _, m := range p.servers {
		sum += max(0, m.used+m.memoryLeft(now))
	}
	return sum
}

// memoryLeft is the memory that can be claimed, in bytes.
func (m *server) memoryLeft(now time.Duration) int64 {
	left := m.pool.spec.Memory - m.used
	lapse := foreignShare * float64(m.pool.spec.Keep)
	if age := float64(now - m.foreignAt); m.foreign > 0 && age < lapse {
		left -= int64(float64(m.foreign) * (1 - age/lapse))
	}
	return left
}

// free gathers a result to be given up. Its memory is taken until the server was told.
func (m *server) free(handle string, bytes int64, now time.Duration) {
	if len(m.frees) == 0 {
		m.freeSince = now
	}
	m.frees = append(m.frees, handle)
	m.freeing += bytes
}

// checkLate asks for the pieces of an overdue call elsewhere.
func (s *Scheduler) checkLate(c *call, now time.Duration) {
	if c.late {
		return
	}
	described := c.server.pool.callTime(len(c.items))
	limit := c.begins + max(time.Duration(lateFactor*float64(described)), described+lateSlack)
	if now < limit {
		return
	}
	c.late = true
	c.lost = c.begins < c.server.answered
	if !c.lost {
		c.server.pause(now, trials)
	}
	for _, it := range c.items {
		p := &it.run.pieces[it.piece]
		p.late++
		if s.jobs[it.run.job.def.ID] == it.run.job && p.handle == "" && !it.run.freed && p.late == p.copies {
			it.run.requeue(it.piece)
		}
	}
}
