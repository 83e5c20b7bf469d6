package pipeline

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// Event is an input of the state machine.
type Event interface{ event() }

// Start begins the first stage.
type Start struct{}

// Tick reports that the time returned by NextTick has been reached.
type Tick struct{}

// CallerCancel reports that the caller cancelled the request.
type CallerCancel struct{}

// Delivered reports that the caller has received the whole answer.
type Delivered struct{}

// Accepted reports that the agent accepted the attempt.
type Accepted struct {
	Attempt Attempt
	// Attached is set when the work belongs to an earlier attempt with the same
	// idempotency key.
	Attached bool
}

// Refused reports that the agent refused an attempt, or that the attempt of an Attach is
// unknown to the agent.
type Refused struct {
	Attempt    Attempt
	Code       result.Code
	Message    string
	Ran        result.Ran
	RetryAfter time.Duration
	// Holder is set when the work belongs to another attempt with the same key.
	Holder *ClaimHolder
}

// ClaimHolder identifies the attempt that holds the claim on an idempotency key.
type ClaimHolder struct {
	RequestID   string
	Attempt     Attempt
	Server      Server
	Incarnation uint64
}

// Chunk is one part of the result of a stage.
type Chunk struct {
	Attempt Attempt
	// Seq is the sequence number within the attempt, starting at 1.
	Seq    uint64
	Data   []byte
	Tokens int
}

// Done reports that an attempt succeeded.
type Done struct {
	Attempt Attempt
	// ChunkCount is the number of the attempt's chunks and Checksum the xxHash64 of
	// their data.
	ChunkCount, Checksum uint64
	// Ref is set when the agent keeps the result and sent no chunks.
	Ref *Ref
	// QueueTime and ServiceTime are the times spent at the agent.
	QueueTime, ServiceTime time.Duration
	Tokens                 int
	// FetchedBytes is the input that the agent pulled from an agent in FetchedRegion.
	FetchedBytes  int64
	FetchedRegion string
}

// Failed reports that an attempt failed.
type Failed struct {
	Attempt Attempt
	Code    result.Code
	Message string
	Ran     result.Ran
}

// StreamLostCause is the reason why a stream to an agent ended without a final event.
type StreamLostCause uint8

// Causes of a lost stream.
const (
	// ConnectionBroken means that the connection ended with an error.
	ConnectionBroken StreamLostCause = iota
	// ConnectionSilent means that no data arrived within the silence timeout.
	ConnectionSilent
	// NotConnected means that no connection could be made, so nothing was sent.
	NotConnected
	// ConnectionRefused means that no process listens at the agent's address.
	ConnectionRefused
)

// StreamLost reports that the stream of an attempt ended without a final event.
type StreamLost struct {
	Attempt Attempt
	Cause   StreamLostCause
}

// CancelState is the state of an attempt in the agent's answer to a Cancel.
type CancelState uint8

// States of a cancelled attempt.
const (
	// CancelUnknown means that no agent answered, or another incarnation of it did.
	CancelUnknown CancelState = iota
	// CancelNotRun means that the agent recorded a tombstone: the attempt will never run.
	CancelNotRun
	// CancelRunning means that the server was called; the call is aborted if possible.
	CancelRunning
	// CancelFinished means that the server had already finished.
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
func (StreamLost) event()   {}
func (CancelReply) event()  {}
