package staging

import "time"

const (
	// unaccountedExpiryShare is the fraction of the retention time within which the results
	// of other schedulers are assumed to expire.
	unaccountedExpiryShare = 0.6
	// memoryOvercommit bounds the total size of the results of all stages of the started
	// jobs, as a multiple of the servers' memory. It exceeds 1 because jobs occupy the
	// memory at different times.
	memoryOvercommit = 1.3
	// memoryHoldTime is how long a job is assumed to occupy memory.
	memoryHoldTime = time.Second
)

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

// hasMemoryFor reports whether there is memory for the results of all stages of a job
// besides those of the started jobs.
func (s *Scheduler) hasMemoryFor(j *job, now time.Duration) bool {
	for _, r := range j.runs {
		p := r.pool
		if p == nil || r.resultsFreed || p.startedBytes == 0 {
			continue
		}
		if float64(p.startedBytes+j.resultBytesIn(p)) > memoryOvercommit*float64(p.totalMemory(now)) {
			return false
		}
	}
	return true
}

// memoryWait returns the expected time until there is memory for the results of the job,
// given what started jobs and jobs at least as urgent will use in the pools that it needs.
func (s *Scheduler) memoryWait(j *job, now time.Duration) time.Duration {
	var wait time.Duration
	for _, p := range s.sortedPools {
		own := j.resultBytesIn(p)
		if own == 0 {
			continue
		}
		total := memoryOvercommit * float64(p.totalMemory(now))
		claimed := p.claimedBytes - p.claimsBehind(j, now)
		if excess := float64(claimed+own) - total; excess > 0 {
			wait = max(wait, time.Duration(excess/max(total, 1)*float64(memoryHoldTime)))
		}
	}
	return min(wait, maxExpectedWait)
}

// claimsBehind returns the claims of the jobs that are not started and less urgent than j,
// without those that are suspended.
func (p *pool) claimsBehind(j *job, now time.Duration) int64 {
	var sum int64
	ownDeadline := j.schedulingDeadline(now)
	for _, r := range p.queuedRuns {
		if !r.job.started && !r.job.suspended && r.job.schedulingDeadline(now) > ownDeadline {
			sum += r.claimedBytes
		}
	}
	return sum
}
