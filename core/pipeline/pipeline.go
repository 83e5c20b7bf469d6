// Package pipeline implements the state machine that runs one request through the
// stages of its pipeline. It has no clock and does no I/O: the process passes in
// events together with the time and carries out the returned actions.
//
// Invariants:
//   - Chunks are emitted in order and exactly once, and the chunks emitted for a stage
//     come from one attempt. If that attempt is lost midway, another one continues only
//     if its result begins with the bytes already emitted.
//   - A stage that is not idempotent is sent again only after the agent incarnation
//     it was sent to reported that the attempt did not run and never will.
//   - An error reports ran or effects as "no" only if nothing was sent, or if each
//     attempt was refused, tombstoned or reported as not run by the incarnation it was
//     sent to.
//   - An aborted request ends at once, or when the agents have answered the
//     cancellations, at most CancelTimeout later.
//   - After Finish nothing is emitted and no attempt is sent.
package pipeline

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/retry"
	"github.com/magnoliawheel/magnoliawheel/core/schema"
)

// Limits and timings of a Machine.
const (
	// CancelTimeout bounds the wait for cancel replies.
	CancelTimeout = 100 * time.Millisecond
	// InitialAttachBackoff is the wait before the second Attach of an attempt. It
	// doubles with each further Attach, up to MaxAttachBackoff.
	InitialAttachBackoff = 50 * time.Millisecond
	// MaxAttachBackoff bounds the wait between two Attach actions.
	MaxAttachBackoff = 400 * time.Millisecond
	// MaxConnectionRefusals is the number of consecutive refused connections after
	// which the agent's incarnation is considered lost.
	MaxConnectionRefusals = 2
	// MaxSilentAttaches is the number of unanswered Attach actions after which an
	// idempotent stage is retried on another server.
	MaxSilentAttaches = 1
	// MaxResultBytes bounds the result of one stage.
	MaxResultBytes = schema.MaxBodyBytes
	// DefaultRetryAfter is the Retry-After of errors that carry none.
	DefaultRetryAfter = 500 * time.Millisecond
)

// Attempt identifies one attempt at one stage. Stages count from 0, numbers from 1.
type Attempt struct{ Stage, Number uint32 }

// Server is a server that runs an attempt.
type Server struct{ ID, Addr, Zone, Region string }

// Ref refers to a stage result kept at the agent that produced it.
type Ref struct {
	RequestID   string
	Attempt     Attempt
	Instance    string
	Address     string
	Incarnation uint64
	Size        int64
	Checksum    uint64
	Zone        string
	Region      string
}

// Payload is the input of a stage, either inline or by reference.
type Payload struct {
	Data []byte
	Ref  *Ref
}

// Bytes returns the size of the payload and, for a reference, its region.
func (p Payload) Bytes() (size int64, region string) {
	if p.Ref != nil {
		return p.Ref.Size, p.Ref.Region
	}
	return int64(len(p.Data)), ""
}

// PlacementQuery describes an attempt that needs a server.
type PlacementQuery struct {
	Stage *schema.Stage
	Input Payload
	// Exclude lists the IDs of the servers already tried for the stage.
	Exclude []string
}

// Decider makes the decisions that depend on state outside the request, such as
// server load and retry budgets.
type Decider interface {
	// Place chooses a server; ok is false if none is usable.
	Place(now time.Time, q *PlacementQuery) (s Server, ok bool)
	// RecordRequest records the first attempt at a stage.
	RecordRequest(now time.Time)
	// Retry decides whether an attempt may be repeated, and after what delay.
	Retry(now time.Time, a *retry.FailedAttempt) (wait time.Duration, ok bool)
	// HedgeDelay returns the delay after which a second attempt at an idempotent stage
	// may start; ok is false if none may.
	HedgeDelay(now time.Time, st *schema.Stage, remaining time.Duration) (delay time.Duration, ok bool)
	// AllowHedge takes a token for a hedge from the retry budget; it returns false if
	// hedging is disabled or too few tokens are left.
	AllowHedge(now time.Time) bool
}

// Options configures a Machine.
type Options struct {
	RequestID string
	Pipeline  *schema.Pipeline
	Body      []byte
	Deadline  time.Time
	// Streaming emits the chunks of answer stages as they arrive. Otherwise they are
	// emitted when the stage ends, so that the stage can be repeated until then.
	Streaming bool
	// MaxAnswerBytes bounds the size of the emitted answer; 0 means no limit.
	MaxAnswerBytes int64
	// ReferenceThresholdBytes is the size above which the result of a stage that is not
	// part of the answer stays at its agent. With 0 all results pass through the entry.
	ReferenceThresholdBytes int64
	// AdoptedAttempts is non-nil for a request taken over from a failed entry and lists
	// the attempts that agents still know. Such a request has no Body, and its stages
	// that are not idempotent are never sent, because the failed entry may have sent them.
	AdoptedAttempts []AdoptedAttempt
	Decider         Decider
}

// AdoptedAttempt is an attempt that a failed entry sent.
type AdoptedAttempt struct {
	Attempt Attempt
	Server  Server
}

// phase is the state of a request.
type phase uint8

const (
	phaseNotStarted phase = iota
	phaseRunning
	// phaseCancelling waits for cancel replies.
	phaseCancelling
	phaseEnded
)

// Machine runs one request. It is not safe for concurrent use.
type Machine struct {
	opts  Options
	phase phase
	// stage is the index of the current stage.
	stage int
	// results holds the result of each completed stage; usage and stageStarted are
	// indexed by stage too.
	results []Payload
	// attempts holds the attempts at all stages in the order they were sent or adopted.
	attempts     []*attempt
	usage        []StageUsage
	stageStarted []time.Time
	// source is the attempt whose chunks are emitted for the current stage.
	source *attempt
	// emittedPrefix is the output of a lost attempt at the current stage that the caller
	// already received. Another attempt continues only if its result begins with it.
	emittedPrefix []byte
	// retryAt and hedgeAt are the times of the next retry and hedge, zero if none is
	// planned; cancelDeadline ends phaseCancelling.
	retryAt        time.Time
	hedgeAt        time.Time
	cancelDeadline time.Time
	// lastErr is the latest error of the current stage; finalErr is the error that
	// ended the request.
	lastErr  *result.Error
	finalErr *result.Error

	emittedChunks uint64
	emittedBytes  int64
	// checksum covers all emitted text.
	checksum xxhash.Digest
	// partialRune is an incomplete rune at the end of the data received so far.
	partialRune []byte
	// actions collects the result of the current Step.
	actions []Action
}

// New returns a machine for a request that has not started.
func New(o Options) *Machine {
	n := len(o.Pipeline.Stages)
	m := &Machine{opts: o, results: make([]Payload, n), usage: make([]StageUsage, n), stageStarted: make([]time.Time, n)}
	for i := range o.Pipeline.Stages {
		m.usage[i].Stage, m.usage[i].Pool = o.Pipeline.Stages[i].Name, o.Pipeline.Stages[i].Pool
	}
	m.checksum.Reset()
	return m
}

// Step processes an event and returns the resulting actions, which are valid until
// the next call.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.actions = m.actions[:0]
	switch ev := ev.(type) {
	case Start:
		m.start(now)
	case Tick:
		m.tick(now)
	case CallerCancel:
		m.abort(now, &result.Error{Code: result.Cancelled, Message: "the caller cancelled"})
	case Delivered:
		m.acknowledge(true)
	case Accepted:
		m.onAccepted(ev)
	case Refused:
		m.onRefused(now, ev)
	case Chunk:
		m.onChunk(now, ev)
	case Done:
		m.onDone(now, ev)
	case Failed:
		m.onFailed(now, ev)
	case StreamLost:
		m.onStreamLost(now, ev)
	case CancelReply:
		m.onCancelReply(now, ev)
	}
	return m.actions
}

// NextTick returns when the next Tick is due, or the zero time if none is needed.
func (m *Machine) NextTick() time.Time {
	switch m.phase {
	case phaseCancelling:
		return m.cancelDeadline
	case phaseRunning:
	default:
		return time.Time{}
	}
	next := m.opts.Deadline
	next = earlier(next, m.retryAt)
	next = earlier(next, m.hedgeAt)
	for _, a := range m.attempts {
		if a.isOpen() {
			next = earlier(next, a.attachAt)
		}
	}
	return next
}

// earlier returns the earlier of two times; a zero b counts as unset.
func earlier(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}

// Ended reports whether the request has ended.
func (m *Machine) Ended() bool { return m.phase == phaseEnded }

// Stage returns the name of the current stage.
func (m *Machine) Stage() string { return m.opts.Pipeline.Stages[m.stage].Name }

// Usage returns the usage of each stage so far.
func (m *Machine) Usage() []StageUsage { return m.usage }

// start begins the first stage, or for a request that was taken over the first stage
// whose result is still needed.
func (m *Machine) start(now time.Time) {
	if m.phase != phaseNotStarted {
		return
	}
	m.phase = phaseRunning
	if m.opts.AdoptedAttempts != nil {
		m.stage = m.firstNeededStage(0)
	}
	m.beginStage(now)
}

// tick handles what is due: the end of the wait for cancel replies, the deadline,
// or a timer of the current stage.
func (m *Machine) tick(now time.Time) {
	switch {
	case m.phase == phaseCancelling && !now.Before(m.cancelDeadline):
		m.finish()
	case m.phase != phaseRunning:
	case !now.Before(m.opts.Deadline):
		m.abort(now, &result.Error{Code: result.DeadlineExceeded, Message: "the deadline passed in stage " + m.Stage()})
	default:
		m.fireTimers(now)
	}
}

// fireTimers runs the retries, hedges and Attach actions that are due.
func (m *Machine) fireTimers(now time.Time) {
	if isDue(now, m.retryAt) {
		m.retryAt = time.Time{}
		m.sendAttempt(now, false)
	}
	if isDue(now, m.hedgeAt) {
		m.hedgeAt = time.Time{}
		m.startHedge(now)
	}
	for _, a := range m.attempts {
		if a.isOpen() && isDue(now, a.attachAt) {
			a.attachAt = time.Time{}
			m.addAction(Attach{Attempt: a.id, Server: a.server, FromSeq: a.nextSeq, Holder: a.holder})
		}
	}
}

// isDue reports whether the time at is set and not after now.
func isDue(now, at time.Time) bool { return !at.IsZero() && !now.Before(at) }

func (m *Machine) addAction(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) currentStage() *schema.Stage { return &m.opts.Pipeline.Stages[m.stage] }

// DropBody drops the body of a request that has ended, whose answer may be kept for long.
func (m *Machine) DropBody() { m.opts.Body = nil }

// stageInput returns the input of the current stage.
func (m *Machine) stageInput() Payload {
	if m.stage == 0 {
		return Payload{Data: m.opts.Body}
	}
	return m.results[m.stage-1]
}

// String formats the attempt as stage/number.
func (a Attempt) String() string { return fmt.Sprintf("%d/%d", a.Stage, a.Number) }
