package pipeline

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// Action is an operation that the calling process must carry out for a request.
type Action interface{ action() }

// Send starts a new attempt on a server.
type Send struct {
	Attempt Attempt
	Server  Server
	Input   Payload
	// KeepOverBytes is the size above which the agent keeps the result and returns
	// a reference to it. With 0 the agent always streams the result as chunks.
	KeepOverBytes int64
}

// Attach requests the chunks of an attempt, starting at FromSeq, from the agent that runs
// or ran the attempt.
type Attach struct {
	Attempt Attempt
	Server  Server
	FromSeq uint64
	// Holder is set when the work belongs to an attempt of another request.
	Holder *ClaimHolder
}

// Cancel requests the agent to cancel an attempt. The agent answers with a CancelReply.
type Cancel struct {
	Attempt Attempt
	Server  Server
}

// Ack notifies the agent that the attempt's result is no longer needed.
type Ack struct {
	Attempt Attempt
	Server  Server
}

// CloseStream closes the stream of an attempt.
type CloseStream struct{ Attempt Attempt }

// Emit sends a chunk of the answer to the caller.
type Emit struct {
	// Seq is the sequence number within the request, starting at 1 without gaps.
	Seq   uint64
	Stage string
	Text  string
}

// Finish ends the request.
type Finish struct {
	// Err is nil if the answer is complete.
	Err *result.Error
	// Chunks is the number of emitted chunks and Checksum the xxHash64 of their
	// concatenated text.
	Chunks, Checksum uint64
}

func (Send) action()        {}
func (Attach) action()      {}
func (Cancel) action()      {}
func (Ack) action()         {}
func (CloseStream) action() {}
func (Emit) action()        {}
func (Finish) action()      {}

// StageUsage records the time, attempts and traffic that one stage of a request used.
type StageUsage struct {
	Stage, Pool string
	// Attempts counts all attempts including hedges; Hedges counts only the hedges.
	Attempts, Hedges int
	// QueueTime and ServiceTime are the times spent at the agent by the attempt whose
	// result was used.
	QueueTime, ServiceTime time.Duration
	// Elapsed is the time from the first attempt until the stage succeeded or the
	// request was aborted.
	Elapsed time.Duration
	Tokens  int
	// FetchedBytes is the input that agents pulled from an agent in FetchedRegion.
	FetchedBytes  int64
	FetchedRegion string
	// Server is the ID of the server whose result was used; Region is its region.
	Server, Region string
	// SentBytes and ReceivedBytes count the payload bytes between the entry and the servers.
	SentBytes, ReceivedBytes int64
}
