package staging

import (
	"math"
	"time"
)

const (
	// waitShare is the part of the time to the objective that a job may wait though
	// it can't reach its objective: it is too large for it.
	waitShare = 0.25
	// learnWeight is the weight of one job in the correction of expectations.
	learnWeight = 0.08
	longestLate = time.Second
	// spreadShare is the part of the spread of expectations that is added to them.
	spreadShare = 0.7
	// holdTime is the time for which a job claims memory.
	holdTime = time.Second
	// shortestRetry is the least time after which a refused caller is to come back.
	shortestRetry = 200 * time.Millisecond
	// retryShare is the part of the time to the deadline after which a caller comes
	// back at the latest; callers don't wait longer than a third.
	retryShare = 0.32
	// retrySpread is the part of that time over which returns are spread.
	retrySpread = 0.4
	// longestWait is the expected wait for a pool without usable servers, and for
	// memory at most.
	longestWait = 4 * time.Second
)

// expect returns the time to the expected end of the job's stages if it were taken
// now; false if a stage has no server.
func (s *Scheduler) expect(j *job, now time.Duration) (time.Duration, bool) {
	var drain, path time.Duration
	for _, r := range j.runs {
		if len(r.pieces) == 0 {
			continue
		}
		if r.pool == nil || len(r.pool.servers) == 0 {
			return 0, false
		}
		drain = max(drain, r.pool.backlog(j, now))
	}
	path = j.shortest()
	return max(drain, s.memoryWait(j, now)) + path, true
}

// memoryWait is the time until there is memory for the results of the job, which
// started jobs and those of others claim.
func (s *Scheduler) memoryWait(j *job, now time.Duration) time.Duration {
	claimed := map[*pool]int64{}
	for _, o := range s.queue {
		o.claim(claimed)
	}
	j.claim(claimed)
	var wait time.Duration
	for p, bytes := range claimed {
		total := memoryShare * float64(p.memory(now))
		if over := float64(bytes) - total; over > 0 {
			wait = max(wait, time.Duration(over/max(total, 1)*float64(holdTime)))
		}
	}
	return min(wait, longestWait)
}

// learn corrects the expectation by a request that started.
func (s *Scheduler) learn(j *job, now time.Duration) {
	if !j.done || len(j.def.Made) > 0 {
		return
	}
	late := now - j.submitted - j.expected - j.def.After
	s.late += time.Duration(learnWeight * float64(late-s.late))
	s.late = min(max(s.late, -longestLate), longestLate)
	s.spread += time.Duration(learnWeight * float64((late-s.late).Abs()-s.spread))
}

// margin is added to expectations.
func (s *Scheduler) margin() time.Duration {
	return max(0, s.late+time.Duration(spreadShare*float64(s.spread)))
}

// backlog is the time that the pool needs for the pieces of jobs that go before j.
func (p *pool) backlog(j *job, now time.Duration) time.Duration {
	rate := p.rate(now)
	if rate == 0 {
		return longestWait
	}
	pieces := 0
	mine := j.urgency(now)
	for _, r := range p.runs {
		if r.job.started || r.job.urgency(now) <= mine {
			pieces += len(r.queued)
		}
	}
	var busy time.Duration
	usable := 0
	for _, m := range p.servers {
		if m.usable(now) {
			usable++
			busy += m.freeAt(now) - now
		}
	}
	return busy/time.Duration(max(usable, 1)) + time.Duration(float64(pieces)/rate*float64(time.Second))
}

// admissible tells whether a job with the expected time is worth taking: it reaches
// its objective, or it would miss it hardly any less on idle servers.
func (s *Scheduler) admissible(j *job, now, expected time.Duration) bool {
	end := now + expected + j.def.After + s.margin()
	if end > j.def.Deadline {
		return false
	}
	if end <= j.def.Due {
		return true
	}
	return expected-j.shortest() <= time.Duration(waitShare*float64(j.def.Due-now))
}

// retryAfter is when there will be room: after the work that waits now if the job
// can reach its objective then, else late enough for a burst to pass, within what
// callers wait. It is spread by the job's id, so that refused callers don't come
// back together.
func (s *Scheduler) retryAfter(j *job, now time.Duration) time.Duration {
	var drain time.Duration
	for _, r := range j.runs {
		if r.pool != nil && len(r.pieces) > 0 {
			drain = max(drain, r.pool.backlog(j, now))
		}
	}
	longest := time.Duration(retryShare * float64(max(0, j.def.Deadline-now)))
	after := min(max(drain, shortestRetry), longest)
	if now+after+j.shortest()+j.def.After > j.def.Due {
		after = longest
	}
	return after - time.Duration(retrySpread*Spread(j.def.ID)*float64(after))
}

// Spread maps an id to [0, 1), evenly over ids, by FNV-1a.
func Spread(id string) float64 {
	h := uint32(2166136261)
	for i := range len(id) {
		h = (h ^ uint32(id[i])) * 16777619
	}
	return float64(h) / (math.MaxUint32 + 1)
}
