// Package ledger records the attempts that an agent has received: queued, running
// and ended attempts, their results until they are acknowledged, and tombstones for
// attempts that must never run. It guarantees that an attempt starts at most once. The
// package reads no clock and does no I/O.
package ledger

import (
	"sort"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// ID identifies one attempt at one stage of a request.
type ID struct {
	Request string `json:"r"`
	Stage   uint32 `json:"s"`
	Attempt uint32 `json:"a"`
}

// Holder identifies the attempt, and the agent process running it, that holds a
// claim.
type Holder struct {
	Instance    string `json:"i"`
	Address     string `json:"a"`
	Incarnation uint64 `json:"n"`
	Attempt     ID     `json:"t"`
}

// State is the state of an attempt.
type State uint8

// The states of an attempt.
const (
	// Unknown attempts were never recorded, or their record was removed.
	Unknown State = iota
	// Queued attempts were accepted and have not started.
	Queued
	// Running attempts were sent to the server.
	Running
	// Finished attempts have an outcome and may have a result.
	Finished
	// ResultDropped attempts finished and their result was deleted.
	ResultDropped
	// NotRun attempts were refused, cancelled or not executed by the server. They
	// will never run.
	NotRun
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"unknown", "queued", "running", "finished", "spent", "not-run"}[s]
}

// Options sets the limits and retention periods of a ledger.
type Options struct {
	// MaxBytes limits the memory used by results and inputs, including what queued
	// and running attempts reserve.
	MaxBytes int64
	// ResultRetention is how long an unacknowledged result is kept.
	ResultRetention time.Duration
	// TombstoneRetention is how long the records of cancelled attempts and of
	// ended attempts that are not idempotent are kept.
	TombstoneRetention time.Duration
	// ReplayRetention is how long the records of refused attempts and of ended
	// idempotent attempts are kept.
	ReplayRetention time.Duration
	// MaxClosedAttempts limits the records in state ResultDropped or NotRun.
	MaxClosedAttempts int
}

// Job describes the work of an attempt.
type Job struct {
	// Customer, Pipeline and Stage identify what the attempt belongs to.
	Customer, Pipeline, Stage string
	// Deadline is the time after which the attempt must not start.
	Deadline time.Time
	// Idempotent is true if the attempt can be repeated safely. When memory is short,
	// Append refuses the chunks of such an attempt; the results of other attempts may
	// exceed MaxBytes.
	Idempotent bool
	// Shared results are kept after Ack to answer later attempts at the same work.
	// They are kept for TombstoneRetention unless the memory is needed.
	Shared bool
	// ReserveBytes is the expected size of the result, reserved on acceptance.
	ReserveBytes int64
	// InputBytes is the size of the input, which is held until the attempt ends.
	InputBytes int64
	// MaxResultBytes limits the size of the result; 0 means no limit per result.
	MaxResultBytes int64
}

// Chunk is a part of a result. Its sequence number is its 1-based position.
type Chunk struct {
	Data   []byte
	Tokens uint32
}

// Outcome describes how an attempt ended.
type Outcome struct {
	Code    result.Code
	Message string
	Ran     result.Ran
	// RetryAfter is the delay after which a retry may succeed; 0 if none is known.
	RetryAfter time.Duration
	// Holder is set for code ClaimLost: the attempt that runs the same work.
	Holder *Holder
}

// OK reports whether the attempt succeeded, so that its result is complete.
func (o Outcome) OK() bool { return o.Code == result.OK }

// Attempt is the record of one attempt. Callers must not modify it.
type Attempt struct {
	ID      ID
	State   State
	Outcome Outcome
	Chunks  []Chunk
	// ResultBytes is the size of the result received so far.
	ResultBytes int64

	// Acknowledged is set when a shared result was acknowledged.
	Acknowledged bool

	Job Job

	// reservedBytes is the memory accounted to the attempt.
	reservedBytes int64
	// expiresAt is when Expire drops the result or removes the record; zero until
	// the attempt has ended.
	expiresAt time.Time
	// heap is the heap that contains the attempt at heapIndex; nil until the
	// attempt has ended.
	heap      *expiryHeap
	heapIndex int
}

// Ledger records the attempts of one agent process. It is not safe for concurrent
// use.
type Ledger struct {
	opts     Options
	attempts map[ID]*Attempt
	// Every ended attempt is in one of three heaps. When memory is short, records in
	// evictable may be removed and results in droppableResults may be dropped;
	// those in nonEvictable stay until they expire.
	evictable, droppableResults, nonEvictable expiryHeap
	// usedBytes is the sum of the attempts' reservedBytes.
	usedBytes int64
	// closedCount counts the attempts in state ResultDropped or NotRun.
	closedCount int
	// droppedResults lists the attempts whose results were dropped to free memory
	// since the last call of Expire.
	droppedResults []ID
}

// New returns an empty ledger.
func New(o Options) *Ledger {
	return &Ledger{opts: o, attempts: map[ID]*Attempt{}}
}

// SetResultRetention sets how long the results of attempts that finish from now on
// are kept.
func (l *Ledger) SetResultRetention(d time.Duration) { l.opts.ResultRetention = d }

// Get returns the attempt, or nil if it is unknown.
func (l *Ledger) Get(id ID) *Attempt { return l.attempts[id] }

// UsedBytes returns the memory used by results and inputs, including what is
// reserved.
func (l *Ledger) UsedBytes() int64 { return l.usedBytes }

// Len returns the number of recorded attempts.
func (l *Ledger) Len() int { return len(l.attempts) }

// Accept records an unknown attempt as queued. If the returned code is not OK, the
// attempt was refused and will never run.
func (l *Ledger) Accept(now time.Time, id ID, job Job) result.Code {
	if a := l.attempts[id]; a != nil {
		return result.Tombstoned
	}
	code := l.admit(now, job)
	if code != result.OK {
		l.Refuse(now, id, Outcome{Code: code, Ran: result.RanNo})
		return code
	}
	l.attempts[id] = &Attempt{ID: id, State: Queued, Job: job, reservedBytes: job.ReserveBytes + job.InputBytes}
	l.usedBytes += job.ReserveBytes + job.InputBytes
	return result.OK
}

// admit frees memory for a new attempt. It returns OK if the attempt can be accepted,
// or the reason why not.
func (l *Ledger) admit(now time.Time, job Job) result.Code {
	if !now.Before(job.Deadline) {
		return result.BudgetSpent
	}
	if !l.freeMemory(now, job.ReserveBytes+job.InputBytes) {
		return result.ResultsFull
	}
	if l.closedCount >= l.opts.MaxClosedAttempts && !l.evict() {
		return result.ResultsFull
	}
	return result.OK
}

// Refuse records that an unknown or queued attempt will never run.
func (l *Ledger) Refuse(now time.Time, id ID, o Outcome) {
	a := l.attempts[id]
	if a == nil {
		if l.closedCount >= l.opts.MaxClosedAttempts {
			l.evict()
		}
		a = &Attempt{ID: id}
		l.attempts[id] = a
	} else if a.State != Queued {
		return
	}
	a.Outcome = o
	l.closeAttempt(a, NotRun, now.Add(l.opts.ReplayRetention), true)
}

// Cancel records a tombstone for an attempt that is unknown or queued, and returns
// the resulting state: NotRun, Running, Finished or ResultDropped. It returns
// Unknown if there is no space for a tombstone; the attempt may then still be
// accepted later.
func (l *Ledger) Cancel(now time.Time, id ID) State {
	a := l.attempts[id]
	if a != nil && a.State != Queued && a.State != NotRun {
		return a.State
	}
	if a == nil {
		if l.closedCount >= l.opts.MaxClosedAttempts && !l.evict() {
			return Unknown
		}
		a = &Attempt{ID: id}
		l.attempts[id] = a
	}
	if a.State != NotRun {
		a.Outcome = Outcome{Code: result.Tombstoned, Ran: result.RanNo}
	}
	l.closeAttempt(a, NotRun, now.Add(l.opts.TombstoneRetention), false)
	return NotRun
}

// Begin moves a queued attempt to running. It must be called immediately before
// the call to the server, with the current time. If the returned code is not OK,
// the server must not be called.
func (l *Ledger) Begin(now time.Time, id ID) result.Code {
	a := l.attempts[id]
	if a == nil || a.State != Queued {
		return result.Tombstoned
	}
	if !now.Before(a.Job.Deadline) {
		l.Refuse(now, id, Outcome{Code: result.BudgetSpent, Ran: result.RanNo})
		return result.BudgetSpent
	}
	a.State = Running
	return result.OK
}

// Append adds a chunk to the result of a running attempt. If the returned code is
// not OK, the chunk was discarded and the caller must finish the attempt with
// that code.
func (l *Ledger) Append(now time.Time, id ID, c Chunk) result.Code {
	a := l.attempts[id]
	if a == nil || a.State != Running {
		return result.Internal
	}
	size := int64(len(c.Data))
	if a.Job.MaxResultBytes > 0 && a.ResultBytes+size > a.Job.MaxResultBytes {
		return result.StreamTooLong
	}
	growth := max(0, a.ResultBytes+size+a.Job.InputBytes-a.reservedBytes)
	if !l.freeMemory(now, growth) && a.Job.Idempotent {
		return result.ResultsFull
	}
	a.Chunks = append(a.Chunks, c)
	a.ResultBytes += size
	a.reservedBytes += growth
	l.usedBytes += growth
	return result.OK
}

// MarkNotRun changes a running attempt to NotRun after the server reported that it
// did not execute the call. It does nothing if a part of a result was received.
func (l *Ledger) MarkNotRun(now time.Time, id ID, o Outcome) {
	a := l.attempts[id]
	if a == nil || a.State != Running || len(a.Chunks) > 0 {
		return
	}
	a.Outcome = o
	l.closeAttempt(a, NotRun, now.Add(l.opts.ReplayRetention), true)
}

// Finish ends a running attempt. Its result is kept until Ack, for at most the
// retention.
func (l *Ledger) Finish(now time.Time, id ID, o Outcome) {
	a := l.attempts[id]
	if a == nil || a.State != Running {
		return
	}
	a.State, a.Outcome = Finished, o
	l.usedBytes += a.ResultBytes - a.reservedBytes
	a.reservedBytes = a.ResultBytes
	schedule(&l.nonEvictable, a, now.Add(l.opts.ResultRetention))
}

// Ack drops the result of a finished attempt. A shared result is kept, but may be
// dropped when memory is short.
func (l *Ledger) Ack(now time.Time, id ID) {
	a := l.attempts[id]
	if a == nil || a.State != Finished || a.Acknowledged {
		return
	}
	if !a.Job.Shared {
		l.dropResult(now, a)
		return
	}
	a.Acknowledged = true
	schedule(&l.droppableResults, a, now.Add(l.opts.TombstoneRetention))
}

// AttemptsByRequest returns the attempts of a request, sorted by stage and attempt
// number.
func (l *Ledger) AttemptsByRequest(request string) []*Attempt {
	var attempts []*Attempt
	for id, a := range l.attempts {
		if id.Request == request {
			attempts = append(attempts, a)
		}
	}
	sort.Slice(attempts, func(i, j int) bool { return attempts[i].ID.less(attempts[j].ID) })
	return attempts
}

// PendingCounts returns the number of queued or running attempts and the number of
// results that were not acknowledged yet.
func (l *Ledger) PendingCounts() (active, unacknowledged int) {
	for _, a := range l.attempts {
		switch a.State {
		case Queued, Running:
			active++
		case Finished:
			if !a.Acknowledged {
				unacknowledged++
			}
		}
	}
	return active, unacknowledged
}

func (id ID) less(o ID) bool {
	if id.Stage != o.Stage {
		return id.Stage < o.Stage
	}
	return id.Attempt < o.Attempt
}
