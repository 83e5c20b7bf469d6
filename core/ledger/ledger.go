// Package ledger keeps what an agent knows of the attempts it was asked to run:
// those that wait, run or have ended, the results until they are acknowledged,
// and tombstones of the attempts that will never run. Within one ledger an
// attempt starts at most once. It has no clock and no I/O.
package ledger

import (
	"sort"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// ID names one attempt at one stage of one request.
type ID struct {
	Request string `json:"r"`
	Stage   uint32 `json:"s"`
	Attempt uint32 `json:"a"`
}

// Holder names an attempt at one process of an agent.
type Holder struct {
	Instance    string `json:"i"`
	Address     string `json:"a"`
	Incarnation uint64 `json:"n"`
	Attempt     ID     `json:"t"`
}

// State is the state of an attempt.
type State uint8

// The states.
const (
	// Unknown attempts were never heard of, or were forgotten.
	Unknown State = iota
	// Queued attempts are accepted and wait.
	Queued
	// Running attempts were handed to the server.
	Running
	// Finished attempts have an outcome and perhaps a result.
	Finished
	// Spent attempts have ended and their result is gone.
	Spent
	// NotRun attempts were refused or cancelled; they never run.
	NotRun
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"unknown", "queued", "running", "finished", "spent", "not-run"}[s]
}

// Options bounds a ledger.
type Options struct {
	// KeptBytes bounds the memory of results, with what running attempts reserve.
	KeptBytes int64
	// Retention is how long a result that is not acknowledged is kept.
	Retention time.Duration
	// TombstoneRetention is how long cancelled attempts, and those that are not
	// idempotent, are remembered after their end.
	TombstoneRetention time.Duration
	// ReplayRetention is how long refused attempts and idempotent attempts are
	// remembered after their end.
	ReplayRetention time.Duration
	// MaxRemembered bounds the attempts that are remembered after their end.
	MaxRemembered int
}

// Job is what the ledger needs to know of an attempt.
type Job struct {
	// Customer, Pipeline and Stage are those of the request.
	Customer, Pipeline, Stage string
	// Deadline is when the budget is spent.
	Deadline time.Time
	// Idempotent attempts may lose their result for want of memory.
	Idempotent bool
	// Shared results stay after Ack for later copies of the work, as long as the
	// tombstone would and while there is memory.
	Shared bool
	// Reserve is the memory that the result is expected to take, in bytes.
	Reserve int64
	// Input is the memory that the input takes until the end, in bytes.
	Input int64
	// MaxBytes bounds the result; 0 is no bound of its own.
	MaxBytes int64
}

// Chunk is a part of a result. Its sequence number is its place, from 1.
type Chunk struct {
	Data   []byte
	Tokens uint32
}

// Outcome is how an attempt ended.
type Outcome struct {
	Code    result.Code
	Message string
	Ran     result.Ran
	// RetryAfter is when coming back helps; 0 if it does not.
	RetryAfter time.Duration
	// Holder is set with code ClaimLost: the attempt that does the same work.
	Holder *Holder
}

// OK tells whether the result is complete.
func (o Outcome) OK() bool { return o.Code == result.OK }

// Attempt is what the ledger holds of one attempt. It must not be changed.
type Attempt struct {
	ID      ID
	State   State
	Outcome Outcome
	Chunks  []Chunk
	// Bytes is the size of the result so far.
	Bytes int64

	// Acknowledged is set on a shared result that was taken.
	Acknowledged bool

	Job Job

	reserved int64
	// expires is when the ledger moves on; zero for attempts that have not ended.
	expires time.Time
	// heap is the one that holds the attempt at index; nil before it ended.
	heap  *expiries
	index int
}

// Ledger holds the attempts of one agent process. It is not safe for concurrent use.
type Ledger struct {
	opts     Options
	attempts map[ID]*Attempt
	// evictable holds the attempts that may be forgotten, and droppable the results
	// that may be dropped, for want of memory; firm holds the others that have ended.
	evictable, droppable, firm expiries
	kept                       int64
	// remembered counts the attempts in state Spent or NotRun.
	remembered int
	// dropped lists the attempts that lost their results for want of memory.
	dropped []ID
}

// New returns an empty ledger.
func New(o Options) *Ledger {
	return &Ledger{opts: o, attempts: map[ID]*Attempt{}}
}

// SetRetention changes how long results that end from now on are kept.
func (l *Ledger) SetRetention(d time.Duration) { l.opts.Retention = d }

// Get returns the attempt, or nil if it is unknown.
func (l *Ledger) Get(id ID) *Attempt { return l.attempts[id] }

// KeptBytes returns the memory of results, with what is reserved.
func (l *Ledger) KeptBytes() int64 { return l.kept }

// Len returns the number of attempts that the ledger knows.
func (l *Ledger) Len() int { return len(l.attempts) }

// Accept takes an unknown attempt in as queued. With another code than OK the
// attempt was refused and never runs.
func (l *Ledger) Accept(now time.Time, id ID, job Job) result.Code {
	if a := l.attempts[id]; a != nil {
		return result.Tombstoned
	}
	code := l.admit(now, job)
	if code != result.OK {
		l.Refuse(now, id, Outcome{Code: code, Ran: result.RanNo})
		return code
	}
	l.attempts[id] = &Attempt{ID: id, State: Queued, Job: job, reserved: job.Reserve + job.Input}
	l.kept += job.Reserve + job.Input
	return result.OK
}

func (l *Ledger) admit(now time.Time, job Job) result.Code {
	if !now.Before(job.Deadline) {
		return result.BudgetSpent
	}
	if !l.room(now, job.Reserve+job.Input) {
		return result.ResultsFull
	}
	if l.remembered >= l.opts.MaxRemembered && !l.evict() {
		return result.ResultsFull
	}
	return result.OK
}

// Refuse records that an unknown or queued attempt never runs.
func (l *Ledger) Refuse(now time.Time, id ID, o Outcome) {
	a := l.attempts[id]
	if a == nil {
		if l.remembered >= l.opts.MaxRemembered {
			l.evict()
		}
		a = &Attempt{ID: id}
		l.attempts[id] = a
	} else if a.State != Queued {
		return
	}
	a.Outcome = o
	l.remember(a, NotRun, now.Add(l.opts.ReplayRetention), true)
}

// Cancel leaves a tombstone for an attempt that is unknown or queued, and returns
// the state afterwards: NotRun, Running, Finished or Spent. It returns Unknown if
// there is no room for a tombstone; then nothing is known of the attempt.
func (l *Ledger) Cancel(now time.Time, id ID) State {
	a := l.attempts[id]
	if a != nil && a.State != Queued && a.State != NotRun {
		return a.State
	}
	if a == nil {
		if l.remembered >= l.opts.MaxRemembered && !l.evict() {
			return Unknown
		}
		a = &Attempt{ID: id}
		l.attempts[id] = a
	}
	if a.State != NotRun {
		a.Outcome = Outcome{Code: result.Tombstoned, Ran: result.RanNo}
	}
	l.remember(a, NotRun, now.Add(l.opts.TombstoneRetention), false)
	return NotRun
}

// Begin moves a queued attempt to running. It must be called immediately before
// the server is, with the time read then; with another code than OK the server
// must not be called.
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

// Append adds a chunk to the result of a running attempt. With another code than
// OK the chunk was not kept and the attempt must be ended with that code.
func (l *Ledger) Append(now time.Time, id ID, c Chunk) result.Code {
	a := l.attempts[id]
	if a == nil || a.State != Running {
		return result.Internal
	}
	size := int64(len(c.Data))
	if a.Job.MaxBytes > 0 && a.Bytes+size > a.Job.MaxBytes {
		return result.StreamTooLong
	}
	grow := max(0, a.Bytes+size+a.Job.Input-a.reserved)
	if !l.room(now, grow) && a.Job.Idempotent {
		return result.ResultsFull
	}
	a.Chunks = append(a.Chunks, c)
	a.Bytes += size
	a.reserved += grow
	l.kept += grow
	return result.OK
}

// Unrun takes back a running attempt that the server said it did not run.
func (l *Ledger) Unrun(now time.Time, id ID, o Outcome) {
	a := l.attempts[id]
	if a == nil || a.State != Running || len(a.Chunks) > 0 {
		return
	}
	a.Outcome = o
	l.remember(a, NotRun, now.Add(l.opts.ReplayRetention), true)
}

// Finish ends a running attempt. Its result is kept until Ack or for the retention.
func (l *Ledger) Finish(now time.Time, id ID, o Outcome) {
	a := l.attempts[id]
	if a == nil || a.State != Running {
		return
	}
	a.State, a.Outcome = Finished, o
	l.kept += a.Bytes - a.reserved
	a.reserved = a.Bytes
	schedule(&l.firm, a, now.Add(l.opts.Retention))
}

// Ack drops the result of a finished attempt; a shared one becomes droppable.
func (l *Ledger) Ack(now time.Time, id ID) {
	a := l.attempts[id]
	if a == nil || a.State != Finished || a.Acknowledged {
		return
	}
	if !a.Job.Shared {
		l.spend(now, a)
		return
	}
	a.Acknowledged = true
	schedule(&l.droppable, a, now.Add(l.opts.TombstoneRetention))
}

// Find returns the attempts of a request, by stage and attempt.
func (l *Ledger) Find(request string) []*Attempt {
	var found []*Attempt
	for id, a := range l.attempts {
		if id.Request == request {
			found = append(found, a)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].ID.less(found[j].ID) })
	return found
}

// Unacknowledged returns how many attempts are queued or running and how many
// results wait for their acknowledgement.
func (l *Ledger) Unacknowledged() (working, results int) {
	for _, a := range l.attempts {
		switch a.State {
		case Queued, Running:
			working++
		case Finished:
			if !a.Acknowledged {
				results++
			}
		}
	}
	return working, results
}

func (id ID) less(o ID) bool {
	if id.Stage != o.Stage {
		return id.Stage < o.Stage
	}
	return id.Attempt < o.Attempt
}
