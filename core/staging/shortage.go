package staging

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/kindshare"
)

const (
	// objectiveStep is the precision with which objectives distinguish kinds of jobs. It exceeds
	// the time from the client to the placing entry.
	objectiveStep = 250 * time.Millisecond
	// shareWaitFraction is the part of the wait permitted by a job's objective that its
	// kind's share of a pool may be occupied. The rest absorbs deviations of the servers.
	shareWaitFraction = 0.5
	// overloadWaitFactor is the same for a kind whose demand shows no burst: all kinds together
	// exceed the capacity, for example because servers were lost.
	overloadWaitFactor = 2.0
	// maxShareWaitFactor bounds how long a kind's share stays occupied after a burst.
	maxShareWaitFactor = 3
	// shortageWaitFactor increases expected waits at a shortage. Without it, queues grow until
	// the last accepted jobs miss their objective by the error of the estimate, 2 to 5%.
	shortageWaitFactor = 1.1
	// sustainedMemoryOvercommit is the part of memoryOvercommit that lasting demand can use. With
	// 1.3, a burst of one kind lowered the on-time share of another by up to 18 points; with 1,
	// requests were refused without a burst.
	sustainedMemoryOvercommit = 1.15
	// holdTimeWeight is the weight of the newest result in the average time for which a pool's
	// memory is reserved.
	holdTimeWeight = 0.02
	// promiseValidity is how long after its due time a promise is kept. Clients get the time
	// in whole seconds, rounded up.
	promiseValidity = 2 * time.Second
	// promisedLeftoverShare is the fraction of a pool's capacity for jobs beyond the share of
	// their kind while all of the leftover capacity is promised. It is small, so that they are
	// accepted only if servers are idle because a client did not come back.
	promisedLeftoverShare = 0.05
	// promiseLead is how long before its due time a promise is valid, for clocks that differ.
	promiseLead = 50 * time.Millisecond
	// maxPromises bounds the memory for promises.
	maxPromises = 4096
)

// poolDemand is the demand for a pool, in seconds of the whole pool. Its capacity is 1.
type poolDemand struct {
	*kindshare.Pool
	// holdTime is how long a started job's results in the pool occupy memory, on average.
	holdTime time.Duration
}

func newPoolDemand() *poolDemand { return &poolDemand{kindshare.New(), memoryHoldTime} }

// recordHold includes the time for which a started job's results occupied memory.
func (d *poolDemand) recordHold(held time.Duration) {
	d.holdTime += time.Duration(holdTimeWeight * float64(held-d.holdTime))
}

// poolSeconds returns the time that the whole pool needs for pieces with results of a total size:
// that of its servers or that of its memory, whichever is longer.
func (s *Scheduler) poolSeconds(p *pool, pieces int, bytes int64, now time.Duration) float64 {
	seconds := 0.0
	if rate := p.piecesPerSecond(now); rate > 0 {
		seconds = float64(pieces) / rate
	}
	if memory := sustainedMemoryOvercommit * float64(p.totalMemory(now)); memory > 0 {
		seconds = max(seconds, float64(bytes)/memory*s.shares[p].holdTime.Seconds())
	}
	return seconds
}

// queuedSeconds returns the time that the whole pool needs for its queued pieces.
func (s *Scheduler) queuedSeconds(p *pool, now time.Duration) float64 {
	return s.poolSeconds(p, p.queuedPieces(), p.claimedBytes-p.startedBytes, now)
}

// kindOf returns the kind of a job: jobs of one priority and about the same objective whose stages
// use the same pools and have results of the same size, as those of one route. The time to the
// objective is rounded up, since part of it has passed when the job is submitted.
func kindOf(def *Job, now time.Duration) string {
	var b strings.Builder
	b.WriteString(strconv.Itoa(def.Priority))
	steps := (def.ObjectiveDeadline - now + objectiveStep - 1) / objectiveStep
	b.WriteByte(' ')
	b.WriteString((max(steps, 0) * objectiveStep).String())
	for _, st := range def.Stages {
		b.WriteByte(' ')
		b.WriteString(st.Pool)
		b.WriteByte(':')
		b.WriteString(strconv.FormatInt(st.ResultBytes, 10))
	}
	return b.String()
}

// forEachPool calls f for each pool that the job uses, with the time that the whole pool needs
// for the job.
func (j *job) forEachPool(now time.Duration, f func(p *pool, d *poolDemand, seconds float64)) {
	for i, r := range j.runs {
		if r.pool == nil || len(r.pieces) == 0 || slices.ContainsFunc(j.runs[:i], func(o *stageRun) bool { return o.pool == r.pool && len(o.pieces) > 0 }) {
			continue
		}
		pieces := 0
		for _, o := range j.runs[i:] {
			if o.pool == r.pool {
				pieces += len(o.pieces)
			}
		}
		f(r.pool, j.scheduler.shares[r.pool], j.scheduler.poolSeconds(r.pool, pieces, j.resultBytesIn(r.pool), now))
	}
}

// permittedWait returns how long the stages may wait for servers without risk to the
// objective.
func (j *job) permittedWait(now time.Duration) time.Duration {
	return max(0, j.def.ObjectiveDeadline-now-j.minRemainingTime()-j.def.RequestDuration)
}

// classify records the demand of a new job. At a shortage it determines whether the job exceeds
// the share of its kind.
func (s *Scheduler) classify(j *job, now time.Duration) {
	j.promised = s.takePromise(now, j.def.Identity)
	maxWait := j.permittedWait(now)
	j.forEachPool(now, func(p *pool, d *poolDemand, seconds float64) {
		d.Offer(now, j.kind, seconds, maxWait)
		if !d.Short(now, s.queuedSeconds(p, now), 1) {
			return
		}
		j.shortage = true
		occupied := float64(d.Wait(now, j.kind)) / float64(max(maxWait, 1))
		exceeds := occupied > overloadWaitFactor || occupied > shareWaitFraction && d.Exceeds(now, j.kind, 1)
		j.excess = j.excess || exceeds && !j.promised
	})
	s.actions.Shortage.count(j)
}

// ShortageCounts count jobs that were submitted while a pool was short of capacity.
type ShortageCounts struct {
	// Jobs counts all of these, OverShare those beyond the share of their kind.
	Jobs, OverShare int
	// PromisesMade counts the refusals with a time at which capacity is reserved, PromisesKept
	// the requests that came back at that time.
	PromisesMade, PromisesKept int
}

func (c *ShortageCounts) count(j *job) {
	if j.shortage {
		c.Jobs++
	}
	if j.excess {
		c.OverShare++
	}
	if j.promised {
		c.PromisesKept++
	}
}

// recordAccepted counts an accepted job against the share of its kind.
func (s *Scheduler) recordAccepted(j *job, now time.Duration) {
	if j.excess || j.promised {
		return
	}
	j.forEachPool(now, func(_ *pool, d *poolDemand, seconds float64) {
		d.Accept(now, j.kind, seconds, 1, maxShareWaitFactor*j.permittedWait(now))
	})
}

// waitWithArrivals returns the expected wait of a job, including the work that arrives in the
// meantime and precedes it.
func (j *job) waitWithArrivals(now, wait time.Duration) time.Duration {
	longest := wait
	j.forEachPool(now, func(_ *pool, d *poolDemand, _ float64) {
		longest = max(longest, d.Overtaken(now, wait, j.permittedWait(now)))
	})
	return time.Duration(shortageWaitFactor * float64(longest))
}

// usableFraction returns the fraction of a pool's capacity that serves the job. Jobs that exceed
// the share of their kind are served only by what the usual demand and the promises leave.
func (p *pool) usableFraction(j *job, now time.Duration) float64 {
	if !j.excess {
		return 1
	}
	d := j.scheduler.shares[p]
	if d.ReservedTime(now) > 0 {
		return min(d.Leftover(now, 1), promisedLeftoverShare)
	}
	return d.Leftover(now, 1)
}

// jobOrder is the place of a job in the order of work.
type jobOrder struct {
	excess   bool
	deadline time.Duration
}

// order returns the place of the job in the order of work. Jobs beyond the share of their kind
// follow the others until they miss their objective; then their deadline determines the place.
func (j *job) order(now time.Duration) jobOrder {
	return jobOrder{j.excess && !j.missesObjective(now), j.schedulingDeadline(now)}
}

func (a jobOrder) compare(b jobOrder) int {
	return cmp.Or(trueFirst(!a.excess, !b.excess), cmp.Compare(a.deadline, b.deadline))
}

// refuseUnservable refuses the jobs without requested pieces that can't meet their deadline
// after the pieces that precede theirs.
func (s *Scheduler) refuseUnservable(now time.Duration) {
	for _, p := range s.sortedPools {
		rate := p.piecesPerSecond(now)
		if rate == 0 || !p.hasJobAtRisk(rate, now) {
			continue
		}
		runs := slices.Clone(p.queuedRuns)
		slices.SortStableFunc(runs, func(a, b *stageRun) int {
			return cmp.Or(trueFirst(a.anyRequested(), b.anyRequested()), a.job.order(now).compare(b.job.order(now)))
		})
		pieces := 0
		for _, r := range runs {
			if r.mayBeUnservable() && s.jobs[r.job.def.ID] == r.job && r.job.missesDeadline(now, drainTime(pieces, rate)) {
				s.refuse(r.job, now, DeadlineUnreachable, 0)
				s.removeJob(r.job, now)
				continue
			}
			pieces += len(r.queuedPieces)
		}
	}
}

// hasJobAtRisk reports whether a queued job could miss its deadline if it came last.
func (p *pool) hasJobAtRisk(rate float64, now time.Duration) bool {
	wait := drainTime(p.queuedPieces(), rate)
	return slices.ContainsFunc(p.queuedRuns, func(r *stageRun) bool { return r.mayBeUnservable() && r.job.missesDeadline(now, wait) })
}

// mayBeUnservable reports whether the job may be refused for the wait of this run. Runs that
// read results are excepted, because they wait while the others are computed.
func (r *stageRun) mayBeUnservable() bool { return !r.job.started && len(r.dependencies) == 0 }

// queuedPieces returns the number of queued pieces of the pool.
func (p *pool) queuedPieces() int {
	pieces := 0
	for _, r := range p.queuedRuns {
		pieces += len(r.queuedPieces)
	}
	return pieces
}

// missesDeadline reports whether the request can't start by its deadline after a wait.
func (j *job) missesDeadline(now, wait time.Duration) bool {
	return wait > 0 && now+wait+j.minRemainingTime()+j.def.RequestDuration > j.def.Deadline
}

// drainTime returns the time for a number of pieces at a rate per second.
func drainTime(pieces int, rate float64) time.Duration {
	return time.Duration(float64(pieces) / rate * float64(time.Second))
}

// takePromise reports whether a refused request comes back at the time that it was given, and
// removes the promise.
func (s *Scheduler) takePromise(now time.Duration, identity string) bool {
	due, found := s.promises[identity]
	if !found || now < due-promiseLead {
		return false
	}
	delete(s.promises, identity)
	return now <= due+promiseValidity
}

// promise reserves capacity for a refused job at a shortage, and returns the delay until then.
// Without an identity the client can't be recognized, and the reservation only distributes the
// returns over time.
func (s *Scheduler) promise(j *job, now, earliest time.Duration) time.Duration {
	due := now + earliest
	reserved := true
	j.forEachPool(now, func(_ *pool, d *poolDemand, seconds float64) {
		begin, ok := d.Reserve(now, now+earliest, seconds, 1)
		due, reserved = max(due, begin), reserved && ok
	})
	if j.def.Identity != "" && reserved {
		s.removeExpiredPromises(now)
		if len(s.promises) < maxPromises {
			s.promises[j.def.Identity] = due
			s.actions.Shortage.PromisesMade++
		}
	}
	return due - now
}

// removeExpiredPromises makes room when the table of promises is full.
func (s *Scheduler) removeExpiredPromises(now time.Duration) {
	if len(s.promises) < maxPromises {
		return
	}
	for identity, due := range s.promises {
		if now > due+promiseValidity {
			delete(s.promises, identity)
		}
	}
}
