package pipeline

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// Action is something that the process has to do for a request.
type Action interface{ action() }

// Send runs a new attempt at a server.
type Send struct {
	Attempt Attempt
	Server  Server
	Input   Payload
	// KeepOver asks the agent to keep a larger result and to return a reference;
	// 0 asks for chunks always.
	KeepOver int64
}

// Attach asks the agent of an attempt for its chunks from a sequence number on.
type Attach struct {
	Attempt Attempt
	Server  Server
	FromSeq uint64
	// Holder is set when the work belongs to another request's attempt.
	Holder *Holder
}

// Cancel asks the agent to cancel an attempt; a CancelReply answers it.
type Cancel struct {
	Attempt Attempt
	Server  Server
}

// Ack tells the agent that an attempt's result is no longer needed.
type Ack struct {
	Attempt Attempt
	Server  Server
}

// Drop closes the stream of an attempt.
type Drop struct{ Attempt Attempt }

// Emit gives a chunk to the caller.
type Emit struct {
	// Seq counts from 1 within the request, without gaps.
	Seq   uint64
	Stage string
	Text  string
}

// Finish ends the request.
type Finish struct {
	// Err is nil for a complete answer.
	Err *result.Error
	// Chunks and Checksum (xxHash64) are those of all emitted texts in order.
	Chunks, Checksum uint64
}

func (Send) action()   {}
func (Attach) action() {}
func (Cancel) action() {}
func (Ack) action()    {}
func (Drop) action()   {}
func (Emit) action()   {}
func (Finish) action() {}

// StageUse is what one stage of a request cost.
type StageUse struct {
	Stage, Pool string
	// Attempts counts all attempts, of which Hedges were hedges.
	Attempts, Hedges int
	// Queue and Service are those of the attempt whose result was used.
	Queue, Service time.Duration
	// Took is the time from the first attempt to the result or to giving up.
	Took          time.Duration
	Tokens        int
	FetchedBytes  int64
	FetchedRegion string
	// Server names the server whose result was used, Region where it is.
	Server, Region string
	// SentBytes and ReceivedBytes passed between the entry and the servers.
	SentBytes, ReceivedBytes int64
}
