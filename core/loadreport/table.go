package loadreport

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliawheel/magnoliawheel/core/notice"
)

const (
	// queueHalfLife is the age at which a reported queue counts half, and queueValidity that
	// from which it does not count. A server that reports a long queue is avoided for at most
	// queueValidity, so that its report is checked again.
	queueHalfLife = 500 * time.Millisecond
	queueValidity = 2 * time.Second
	// maxRounds bounds the waiting requests per slot of one report.
	maxRounds = 4.0
	// attractedServers is the number of servers whose reports of short queues a request
	// takes into account, on average. A server that reports a shorter queue than all others
	// gets at most about this many times its share in addition.
	attractedServers = 2.0
	// tieSpread bounds the random extra wait that divides requests among servers with equal
	// queues. It is less than the cost of one more request or of another zone in placement.
	tieSpread = 2 * time.Millisecond
	// contradictionRatio is the ratio of the measured to the expected time of an answer, or
	// its inverse, from which an answer contradicts the report.
	contradictionRatio = 3.0
	// minContradiction is the difference from which an answer contradicts the report. Smaller
	// ones come from the network and from the scheduling of processes.
	minContradiction = 10 * time.Millisecond
	// shortQueue is the number of rounds below which an answer shows the service time. Long
	// queues may be reported falsely, and would make it too small.
	shortQueue = 1.0
	// trustAfterContradiction multiplies the trust in a server's reports at a contradiction;
	// below minTrust it is 0. trustRecovery is the weight of an answer that agrees.
	trustAfterContradiction = 0.3
	minTrust                = 0.1
	trustRecovery           = 0.1
	// serviceTimeWeight is the weight of the newest answer in the service time. An answer
	// counts with at most maxServiceTimeStep times the known value, and at least its inverse.
	serviceTimeWeight  = 0.1
	maxServiceTimeStep = 4.0
	// defaultServiceTime is the service time before the first answer, maxServiceTime the
	// largest one.
	defaultServiceTime = 100 * time.Millisecond
	maxServiceTime     = 2 * time.Second
	// maxServers bounds the number of server starts whose reports are kept.
	maxServers = 4096
)

// Table holds the newest report of each server start, and the time that a request takes at
// each service without waiting.
type Table struct {
	queues       map[notice.Server]*queue
	serviceTimes map[string]time.Duration
}

// queue is the reported queue of a server start.
type queue struct {
	rounds     float64
	reportedAt time.Duration
	// trust, between 0 and 1, is the weight of the reports.
	trust float64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{queues: map[notice.Server]*queue{}, serviceTimes: map[string]time.Duration{}}
}

// Empty reports whether there is no report.
func (t *Table) Empty() bool { return len(t.queues) == 0 }

// Observe records the report of a response that arrived at now.
func (t *Table) Observe(now time.Duration, s notice.Server, r Report) {
	q := t.queues[s]
	if q == nil {
		t.dropOldest()
		q = &queue{trust: 1}
		t.queues[s] = q
	}
	q.rounds, q.reportedAt = r.rounds(), now
}

// dropOldest drops the server start with the oldest report if the table is full.
func (t *Table) dropOldest() {
	if len(t.queues) < maxServers {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(t.queues)), func(a, b notice.Server) int {
		return cmp.Compare(t.queues[a].reportedAt, t.queues[b].reportedAt)
	})
	delete(t.queues, oldest)
}

// Queue returns the reported waiting requests of a server relative to its slots, weighted by
// the age of the report, and the trust in its reports, between 0 and 1. Both are 0 without a
// report.
func (t *Table) Queue(now time.Duration, s notice.Server) (rounds, trust float64) {
	q := t.queues[s]
	if q == nil {
		return 0, 0
	}
	return q.freshness(now) * q.rounds, q.trust
}

// Answer is an attempt whose response has a report, or that was given up without a response.
type Answer struct {
	Service string
	Server  notice.Server
	// Time is how long the attempt took.
	Time time.Duration
	// Report is that of the response; nil if there was none.
	Report *Report
}

// RecordAnswer compares an attempt with the report before it and with that of its response. It
// reports whether it contradicts them. It must be called before Observe for the same response.
func (t *Table) RecordAnswer(a Answer) (contradicts bool) {
	q := t.queues[a.Server]
	if q == nil {
		return false
	}
	// The queue may have changed during the attempt, so the answer is compared with both.
	shortest, longest := q.rounds, q.rounds
	if a.Report != nil {
		shortest, longest = min(shortest, a.Report.rounds()), max(longest, a.Report.rounds())
	}
	serviceTime, known := t.serviceTimes[a.Service]
	if !known {
		if a.Report != nil && longest < shortQueue {
			t.serviceTimes[a.Service] = boundServiceTime(float64(a.Time) / (1 + longest))
		}
		return false
	}
	tooSlow := isMuchLonger(a.Time, serviceTime, 1+longest)
	if a.Report == nil && !tooSlow {
		return false
	}
	contradicts = tooSlow || isMuchShorter(a.Time, serviceTime, 1+shortest)
	if longest < shortQueue {
		t.updateServiceTime(a.Service, float64(a.Time)/float64(serviceTime)/(1+longest), q.trust)
	}
	q.updateTrust(contradicts)
	return contradicts
}

// isMuchLonger and isMuchShorter report whether a time contradicts the expectation that a
// request takes the given number of service times.
func isMuchLonger(d, serviceTime time.Duration, rounds float64) bool {
	expected := float64(serviceTime) * rounds
	return float64(d) > contradictionRatio*expected && float64(d)-expected >= float64(minContradiction)
}

func isMuchShorter(d, serviceTime time.Duration, rounds float64) bool {
	expected := float64(serviceTime) * rounds
	return float64(d) < expected/contradictionRatio && expected-float64(d) >= float64(minContradiction)
}

func (q *queue) updateTrust(contradicts bool) {
	if !contradicts {
		q.trust += trustRecovery * (1 - q.trust)
		return
	}
	if q.trust *= trustAfterContradiction; q.trust < minTrust {
		q.trust = 0
	}
}

// updateServiceTime includes an answer whose time without waiting was ratio times the service
// time, at a server whose reports have the given trust.
func (t *Table) updateServiceTime(service string, ratio, trust float64) {
	ratio = min(max(ratio, 1/maxServiceTimeStep), maxServiceTimeStep)
	t.serviceTimes[service] = boundServiceTime(float64(t.serviceTimes[service]) * (1 + trust*serviceTimeWeight*(ratio-1)))
}

func boundServiceTime(d float64) time.Duration {
	return min(max(time.Duration(d), time.Millisecond), maxServiceTime)
}

// ExtraWaits returns how much longer than usual a request is expected to wait at each of a
// service's servers, 0 if none of them sent a report lately. A difference to the median counts only for a part of
// the requests, chosen by their IDs, so that the entries do not all move their requests to
// the same server: the part grows with the difference. Servers without a difference differ by
// less than tieSpread.
func (t *Table) ExtraWaits(now time.Duration, service, requestID string, servers []notice.Server) []time.Duration {
	waits := make([]time.Duration, len(servers))
	if !slices.ContainsFunc(servers, func(s notice.Server) bool { return t.hasValidReport(now, s) }) {
		return waits
	}
	median := t.medianRounds(now, servers)
	serviceTime, known := t.serviceTimes[service]
	if !known {
		serviceTime = defaultServiceTime
	}
	for i, s := range servers {
		waits[i] = time.Duration(uniform(requestID, s, "tie") * float64(tieSpread))
		q := t.queues[s]
		if q == nil {
			continue
		}
		rounds := q.trust * q.freshness(now) * (q.rounds - median)
		if uniform(requestID, s, "queue") < regardedShare(rounds, len(servers)) {
			waits[i] += time.Duration(rounds * float64(serviceTime))
		}
	}
	return waits
}

func (t *Table) hasValidReport(now time.Duration, s notice.Server) bool {
	q := t.queues[s]
	return q != nil && now-q.reportedAt < queueValidity
}

// regardedShare returns the share of the requests for which it counts that the queue of one of
// n servers differs from the median by the given number of rounds.
func regardedShare(rounds float64, n int) float64 {
	share := math.Abs(rounds) / (1 + math.Abs(rounds))
	if rounds < 0 {
		return min(share, attractedServers/float64(n))
	}
	return share
}

// uniform returns a number in [0, 1) that is the same for the same request, server and
// purpose, and independent for others.
func uniform(requestID string, s notice.Server, purpose string) float64 {
	const buckets = 1 << 32
	return float64(xxhash.Sum64String(requestID+"/"+s.ID+"/"+purpose)%buckets) / buckets
}

func (q *queue) freshness(now time.Duration) float64 {
	return freshness(now-q.reportedAt, queueHalfLife, queueValidity)
}

// medianRounds returns the median of the reported queues, weighted by their age and by the
// trust in them. A server without a report counts as one without a queue.
func (t *Table) medianRounds(now time.Duration, servers []notice.Server) float64 {
	if len(servers) == 0 {
		return 0
	}
	rounds := make([]float64, len(servers))
	for i, s := range servers {
		reported, trust := t.Queue(now, s)
		rounds[i] = trust * reported
	}
	slices.Sort(rounds)
	middle := len(rounds) / 2
	if len(rounds)%2 == 1 {
		return rounds[middle]
	}
	return (rounds[middle-1] + rounds[middle]) / 2
}
