package pipeline

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// Event is something that happened to a request.
type Event interface{ event() }

// Start begins the first stage.
type Start struct{}

// Tick tells that the time returned by Wake has come.
type Tick struct{}

// CallerCancel tells that the caller gave the request up.
type CallerCancel struct{}

// Delivered tells that the caller has the whole answer.
type Delivered struct{}

// Accepted tells that the agent took the attempt.
type Accepted struct {
	Attempt Attempt
	// Attached is set when the work belongs to an earlier attempt, under the same
	// idempotency key.
	Attached bool
}

// Refused tells that the agent did not take the attempt, or that it does not
// know it when asked to attach.
type Refused struct {
	Attempt    Attempt
	Code       result.Code
	Message    string
	Ran        result.Ran
	RetryAfter time.Duration
	// Holder is set when the work belongs to another attempt under the same key.
	Holder *Holder
}

// Holder names the attempt that holds an idempotency key.
type Holder struct {
	RequestID   string
	Attempt     Attempt
	Server      Server
	Incarnation uint64
}

// Chunk is a part of a stage's result.
type Chunk struct {
	Attempt Attempt
	// Seq counts from 1 within the attempt.
	Seq    uint64
	Data   []byte
	Tokens int
}

// Done ends an attempt that succeeded.
type Done struct {
	Attempt Attempt
	// Count and Checksum are those of the attempt's chunks.
	Count, Checksum uint64
	// Ref is set when the result stays at the agent and no chunks were sent.
	Ref *Ref
	// Queue and Service are the times spent at the agent.
	Queue, Service time.Duration
	Tokens         int
	// FetchedBytes were pulled by the agent from an agent in FetchedRegion.
	FetchedBytes  int64
	FetchedRegion string
}

// Failed ends an attempt that did not succeed.
type Failed struct {
	Attempt Attempt
	Code    result.Code
	Message string
	Ran     result.Ran
}

// LostCause tells how a stream to an agent ended without a last event.
type LostCause uint8

// The causes.
const (
	// Broken connections ended with an error.
	Broken LostCause = iota
	// Silent connections carried nothing for the silence timeout.
	Silent
	// NotSent means that no connection could be made, so that nothing was sent.
	NotSent
	// Gone means that no process listens at the agent's address.
	Gone
)

// Lost tells that the stream of an attempt ended without a last event.
type Lost struct {
	Attempt Attempt
	Cause   LostCause
}

// CancelState is an agent's answer to a cancellation.
type CancelState uint8

// The answers.
const (
	// CancelUnknown: another incarnation answered, or none.
	CancelUnknown CancelState = iota
	// CancelNotRun: a tombstone stands and the attempt will never run.
	CancelNotRun
	// CancelRunning: the server was called and is stopped if it can be.
	CancelRunning
	// CancelFinished: the server had finished.
	CancelFinished
)

// CancelReply answers a Cancel action.
type CancelReply struct {
	Attempt Attempt
	State   CancelState
}

func (Start) event()        {}
func (Tick) event()         {}
func (CallerCancel) event() {}
func (Delivered) event()    {}
func (Accepted) event()     {}
func (Refused) event()      {}
func (Chunk) event()        {}
func (Done) event()         {}
func (Failed) event()       {}
func (Lost) event()         {}
func (CancelReply) event()  {}
