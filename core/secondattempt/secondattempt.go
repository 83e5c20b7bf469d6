// Package secondattempt decides when to give up an attempt at a stream whose first event is
// overdue, so that another server can serve the request. It compares the time since the
// request was sent with the expected time, and with how far actual times lately exceeded
// expected ones. It has no clock and does no I/O.
package secondattempt

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/notice"
)

const (
	// minExcess is the least time beyond the expected one after which a first event is
	// overdue. Below it, the scheduling of a busy machine accounts for the difference.
	minExcess = 300 * time.Millisecond
	// missedObjectiveFactor multiplies the wait when another server would miss the objective
	// too: the response is late in any case, and a cancelled attempt may have been about to
	// answer.
	missedObjectiveFactor = 2
	// anotherServerFactor allows for a second server that is slower than the first. The
	// servers of a pool differ in speed, and the fastest tends to be chosen first.
	anotherServerFactor = 1.5
	// minSpareTime is the time that must be left for the rest of the stream after the expected
	// first event of another server.
	minSpareTime = 500 * time.Millisecond
	// minRecheckInterval is the least time to the next decision after a denial for a passing
	// reason. It grows with the time waited, by recheckShare, so that the many waiting streams of
	// a slow system cost little.
	minRecheckInterval = 250 * time.Millisecond
	recheckShare       = 0.25
)

// Denial is why an overdue attempt is not given up.
type Denial uint8

// The denials. Those from NoOtherServer on may pass.
const (
	// None means that there is no denial.
	None Denial = iota
	// NotIdempotent requests must not run twice.
	NotIdempotent
	// ResponseBegun means that the client has a part of the response.
	ResponseBegun
	// AlreadyMade means that this is the second attempt.
	AlreadyMade
	// MaxAttempts means that the route permits no further attempt.
	MaxAttempts
	// NoTime means that the time left would not do for another server.
	NoTime
	// NoOtherServer means that no other server may serve the request.
	NoOtherServer
	// ManyServersLate means that so many servers are late that the cause is not one of them.
	ManyServersLate
	// BudgetExhausted means that the retry budget permits no further retry.
	BudgetExhausted
)

var denialNames = [...]string{"none", "not_idempotent", "response_begun", "already_made", "max_attempts", "no_time", "no_other_server", "many_servers_late", "budget_exhausted"}

// String implements fmt.Stringer.
func (d Denial) String() string {
	if int(d) < len(denialNames) {
		return denialNames[d]
	}
	return "unknown"
}

func (d Denial) passing() bool { return d >= NoOtherServer }

// Facts are what a decision depends on besides the attempt and the experience with others.
type Facts struct {
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// ResponseBegun is set if the client has received a part of the response.
	ResponseBegun bool
	// SecondMade is set if a second attempt at the request was made before.
	SecondMade bool
	// PossibleRuns is the number of attempts, including this one, that a server may have run.
	PossibleRuns, MaxAttempts int
	// ToObjective and ToDeadline are the times left; negative if they have passed.
	ToObjective, ToDeadline time.Duration
	// PlacementTime is how long the placement of this attempt took, which is expected of the
	// next one too.
	PlacementTime time.Duration
	// HasOtherServer reports whether another server may serve the request. It is called only if
	// the first event is overdue.
	HasOtherServer func() bool
	// TakeRetry deducts a retry from the budget and returns false if the budget is exhausted.
	// It is called last, only if nothing else denies the second attempt.
	TakeRetry func() bool
}

// forbidden returns the reason for which the request may never be tried again, or None.
func (f *Facts) forbidden() Denial {
	switch {
	case !f.Idempotent:
		return NotIdempotent
	case f.ResponseBegun:
		return ResponseBegun
	case f.SecondMade:
		return AlreadyMade
	case f.PossibleRuns >= f.MaxAttempts:
		return MaxAttempts
	}
	return None
}

// Decision is the result of Tracker.Decide and what it depended on.
type Decision struct {
	// GiveUp is set if the attempt is to be cancelled and the request placed again.
	GiveUp bool
	// Denial is set if the first event is overdue and the attempt continues all the same.
	Denial Denial
	// CheckIn is the time until the next decision; 0 if there is none.
	CheckIn time.Duration
	// Waited is the time since the request was sent, and OverdueAfter that from which the first
	// event is overdue.
	Waited, OverdueAfter time.Duration
	// LateServers and OnTimeServers are the numbers of servers that were lately late and on
	// time; 0 if the decision did not depend on them.
	LateServers, OnTimeServers int
}

// Attempt is an attempt at a stream that was sent to a server.
type Attempt struct {
	server           notice.Server
	sentAt, expected time.Duration
}

// Expected returns the expected time from sending the request to its first event.
func (a *Attempt) Expected() time.Duration { return a.expected }

// Tracker holds the experience with the servers of one service. Use New to create one. It is
// not safe for concurrent use.
type Tracker struct {
	lateness lateness
	servers  evidence
	// open are the attempts without a first event.
	open map[*Attempt]bool
}

// New returns a tracker without experience.
func New() *Tracker {
	return &Tracker{servers: evidence{}, open: map[*Attempt]bool{}}
}

// Sent records that an attempt begins. expected is the time until its first event is expected,
// and must be positive.
func (t *Tracker) Sent(now time.Duration, server notice.Server, expected time.Duration) *Attempt {
	a := &Attempt{server: server, sentAt: now, expected: expected}
	t.open[a] = true
	return a
}

// Began records the first event of an attempt.
func (t *Tracker) Began(now time.Duration, a *Attempt) {
	if t.open[a] {
		t.record(now, a, now-a.sentAt >= t.overdueAfter(a.expected))
	}
}

// Ended records that an attempt ended without a first event, for example because its client
// disconnected. Unless the first event was overdue, nothing follows for the server.
func (t *Tracker) Ended(now time.Duration, a *Attempt) {
	if t.open[a] && now-a.sentAt >= t.overdueAfter(a.expected) {
		t.record(now, a, true)
	}
	delete(t.open, a)
}

// record records the time that an attempt took. That of an attempt which was given up is at
// least as long.
func (t *Tracker) record(now time.Duration, a *Attempt, late bool) {
	delete(t.open, a)
	t.lateness.add(float64(now-a.sentAt) / float64(a.expected))
	t.servers.record(now, a.server, late)
}

// overdueAfter returns the time from which a first event is overdue.
func (t *Tracker) overdueAfter(expected time.Duration) time.Duration {
	return max(scaled(expected, t.lateness.limit()), expected+minExcess)
}

// Decide decides whether to give up an attempt without a first event. If it is to be given up,
// the attempt has ended.
func (t *Tracker) Decide(now time.Duration, a *Attempt, f Facts) Decision {
	if !t.open[a] {
		return Decision{}
	}
	d := Decision{Waited: now - a.sentAt, OverdueAfter: t.overdueAfter(a.expected)}
	another := f.PlacementTime + scaled(a.expected, anotherServerFactor*t.lateness.median())
	if f.ToObjective < another {
		d.OverdueAfter *= missedObjectiveFactor
	}
	if d.Waited < d.OverdueAfter {
		d.CheckIn = d.OverdueAfter - d.Waited
		return d
	}
	d.Denial = f.forbidden()
	if d.Denial == None && f.ToDeadline < another+minSpareTime {
		d.Denial = NoTime
	}
	if d.Denial == None {
		d.Denial = t.passingDenial(now, a, &f, &d)
	}
	if d.Denial.passing() {
		d.CheckIn = max(minRecheckInterval, scaled(d.Waited, recheckShare))
	}
	if d.GiveUp = d.Denial == None; d.GiveUp {
		t.record(now, a, true)
	}
	return d
}

// passingDenial returns the reason for which the attempt may not be given up now, or None.
func (t *Tracker) passingDenial(now time.Duration, a *Attempt, f *Facts, d *Decision) Denial {
	if !f.HasOtherServer() {
		return NoOtherServer
	}
	d.LateServers, d.OnTimeServers = t.countServers(now, a)
	if d.LateServers > max(1, int(maxLateShare*float64(d.LateServers+d.OnTimeServers))) {
		return ManyServersLate
	}
	if !f.TakeRetry() {
		return BudgetExhausted
	}
	return None
}

func scaled(d time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(d))
}
