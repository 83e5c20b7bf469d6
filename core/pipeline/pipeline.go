// Package pipeline is the state machine of one request through the stages of
// its pipeline. It has no clock and no I/O: the process feeds it events with the
// time and carries out the actions it returns.
//
// Invariants:
//   - Chunks are emitted in order, each once, and what is emitted of a stage is the
//     result of one attempt. When that attempt is lost midway, another goes on only
//     if its result begins with the bytes that were emitted.
//   - A stage that is not idempotent is sent again only after the incarnation
//     asked said that the attempt did not run and never will.
//   - An error says ran or effects "no" only when nothing was sent, or when each
//     attempt was refused, tombstoned or failed as not run by the incarnation asked.
//   - A request that was given up ends at once, or as soon as the agents answered
//     the cancellation, at most CancelWait later.
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

// Bounds of a machine.
const (
	// CancelWait bounds the wait for the answers to cancellations.
	CancelWait = 100 * time.Millisecond
	// AttachBackoff is the wait before the second attempt to attach; it doubles up
	// to MaxAttachBackoff.
	AttachBackoff = 50 * time.Millisecond
	// MaxAttachBackoff bounds the wait between attempts to attach.
	MaxAttachBackoff = 400 * time.Millisecond
	// GoneTries is how often in a row nobody may listen at an agent's address
	// before its incarnation is taken for dead.
	GoneTries = 2
	// SilentTries is how many attempts to attach may be silent before an idempotent
	// stage is run elsewhere.
	SilentTries = 1
	// MaxResultBytes bounds the result of one stage.
	MaxResultBytes = schema.MaxBodyBytes
	// ComeBack is the Retry-After of refusals that carry none.
	ComeBack = 500 * time.Millisecond
)

// Attempt names one attempt at one stage. Stages count from 0, numbers from 1.
type Attempt struct{ Stage, Number uint32 }

// Server is the server that an attempt is placed at.
type Server struct{ ID, Addr, Zone, Region string }

// Ref names a stage result that stays at the agent that made it.
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

// Payload is the input of a stage: bytes, or a reference to them.
type Payload struct {
	Data []byte
	Ref  *Ref
}

// Bytes returns the size and, for a reference, the region of the payload.
func (p Payload) Bytes() (size int64, region string) {
	if p.Ref != nil {
		return p.Ref.Size, p.Ref.Region
	}
	return int64(len(p.Data)), ""
}

// Query asks for a server.
type Query struct {
	Stage *schema.Stage
	Input Payload
	// Exclude names the servers already tried at the stage.
	Exclude []string
}

// Decider makes the decisions that depend on what the process knows of others.
type Decider interface {
	// Place chooses a server; ok is false if none is usable.
	Place(now time.Time, q *Query) (s Server, ok bool)
	// Request records the first attempt at a stage.
	Request(now time.Time)
	// Retry decides whether an attempt may be repeated, and after which wait.
	Retry(now time.Time, a *retry.FailedAttempt) (wait time.Duration, ok bool)
	// HedgeAfter returns when a second attempt at an idempotent stage may start.
	HedgeAfter(now time.Time, st *schema.Stage, remaining time.Duration) (after time.Duration, ok bool)
	// HedgeSent takes a hedge out of the budget.
	HedgeSent(now time.Time) bool
}

// Options sets up a Machine.
type Options struct {
	RequestID string
	Pipeline  *schema.Pipeline
	Body      []byte
	Deadline  time.Time
	// Live emits the chunks of answer stages as they come; otherwise at the stage's
	// end, which allows the stage to be repeated until then.
	Live bool
	// MaxAnswer bounds the bytes emitted.
	MaxAnswer int64
	// ReferenceBytes is the size over which results of stages that are not part of
	// the answer stay at their agents; 0 passes all through the entry.
	ReferenceBytes int64
	// Adopted is set for a request whose entry is gone: the attempts that agents
	// still know. Body is not known then. Stages that are not idempotent are not
	// sent, since the entry that is gone may have sent them.
	Adopted []Adopted
	Decider Decider
}

// Adopted is an attempt of an entry that is gone.
type Adopted struct {
	Attempt Attempt
	Server  Server
}

type phase uint8

const (
	phaseNew phase = iota
	phaseRunning
	// phaseClosing waits for the answers to cancellations.
	phaseClosing
	phaseEnded
)

// Machine is one request. It is not safe for concurrent use.
type Machine struct {
	opts  Options
	phase phase
	// stage is the index of the stage being run.
	stage   int
	results []Payload
	all     []*attempt
	use     []StageUse
	started []time.Time
	// source is the attempt whose chunks of the present stage were emitted.
	source *attempt
	// prefix is what the caller was given of the present stage by an attempt that
	// was lost. Another attempt goes on only if its result begins with the same.
	prefix   []byte
	retryAt  time.Time
	hedgeAt  time.Time
	cancelBy time.Time
	// last is the newest failure of the present stage; failure is the final one.
	last    *result.Error
	failure *result.Error

	emitted  uint64
	bytes    int64
	checksum xxhash.Digest
	held     []byte
	out      []Action
}

// New returns a machine that has not started.
func New(o Options) *Machine {
	n := len(o.Pipeline.Stages)
	m := &Machine{opts: o, results: make([]Payload, n), use: make([]StageUse, n), started: make([]time.Time, n)}
	for i := range o.Pipeline.Stages {
		m.use[i].Stage, m.use[i].Pool = o.Pipeline.Stages[i].Name, o.Pipeline.Stages[i].Pool
	}
	m.checksum.Reset()
	return m
}

// Step takes in an event. The actions are valid until the next call.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.out = m.out[:0]
	switch ev := ev.(type) {
	case Start:
		m.start(now)
	case Tick:
		m.tick(now)
	case CallerCancel:
		m.giveUp(now, &result.Error{Code: result.Cancelled, Message: "the caller cancelled"})
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
	case Lost:
		m.onLost(now, ev)
	case CancelReply:
		m.onCancelReply(now, ev)
	}
	return m.out
}

// Wake returns when the next Tick is due; the zero time if none is.
func (m *Machine) Wake() time.Time {
	switch m.phase {
	case phaseClosing:
		return m.cancelBy
	case phaseRunning:
	default:
		return time.Time{}
	}
	wake := m.opts.Deadline
	wake = earlier(wake, m.retryAt)
	wake = earlier(wake, m.hedgeAt)
	for _, a := range m.all {
		if a.open() {
			wake = earlier(wake, a.attachAt)
		}
	}
	return wake
}

func earlier(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}

// Ended tells whether the request has finished.
func (m *Machine) Ended() bool { return m.phase == phaseEnded }

// Stage returns the name of the stage being run.
func (m *Machine) Stage() string { return m.opts.Pipeline.Stages[m.stage].Name }

// Use returns what each stage cost so far.
func (m *Machine) Use() []StageUse { return m.use }

func (m *Machine) start(now time.Time) {
	if m.phase != phaseNew {
		return
	}
	m.phase = phaseRunning
	if m.opts.Adopted != nil {
		m.stage = m.firstNeeded(0)
	}
	m.begin(now)
}

func (m *Machine) tick(now time.Time) {
	switch {
	case m.phase == phaseClosing && !now.Before(m.cancelBy):
		m.finish()
	case m.phase != phaseRunning:
	case !now.Before(m.opts.Deadline):
		m.giveUp(now, &result.Error{Code: result.DeadlineExceeded, Message: "the deadline passed in stage " + m.Stage()})
	default:
		m.timers(now)
	}
}

func (m *Machine) timers(now time.Time) {
	if due(now, m.retryAt) {
		m.retryAt = time.Time{}
		m.send(now, false)
	}
	if due(now, m.hedgeAt) {
		m.hedgeAt = time.Time{}
		m.hedge(now)
	}
	for _, a := range m.all {
		if a.open() && due(now, a.attachAt) {
			a.attachAt = time.Time{}
			m.emitAction(Attach{Attempt: a.id, Server: a.server, FromSeq: a.next, Holder: a.holder})
		}
	}
}

func due(now, at time.Time) bool { return !at.IsZero() && !now.Before(at) }

func (m *Machine) emitAction(a Action) { m.out = append(m.out, a) }

func (m *Machine) current() *schema.Stage { return &m.opts.Pipeline.Stages[m.stage] }

func (m *Machine) input() Payload {
	if m.stage == 0 {
		return Payload{Data: m.opts.Body}
	}
	return m.results[m.stage-1]
}

// String returns the stage and the number.
func (a Attempt) String() string { return fmt.Sprintf("%d/%d", a.Stage, a.Number) }
