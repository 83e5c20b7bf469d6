package planner

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/placement"
	"github.com/magnoliawheel/magnoliawheel/core/quarantine"
	"github.com/magnoliawheel/magnoliawheel/core/staging"
)

// Request is a client request to place.
type Request struct {
	ID       string
	PieceKey string
	Stages   []staging.Stage
	Priority int
	// TimeToObjective and TimeToDeadline are relative to the time at which Place is
	// called.
	TimeToObjective, TimeToDeadline time.Duration
	Pool                            string
	Zone                            string
	PromptParts                     []placement.PromptPart
	MaxTokens                       int
	Avoid                           []string
	Customer                        string
	// Owner identifies the process start of the entry that received the request from its
	// client; it changes with each restart.
	Owner string
	// PriorResults are the results obtained by an entry that worked on the request
	// before.
	PriorResults []staging.ResultLocation
	// Resume is set if the request continues a stream.
	Resume *Resume
	// ResumableFor is how long the client may resume the stream that the request begins or
	// continues; 0 if it may not.
	ResumableFor time.Duration
}

// Resume says which stream a request continues.
type Resume struct {
	// Stream is the ID of the request that brought the first event of the stream.
	Stream string
	// Version is the version of the server software that began the stream, if the entry
	// knows it.
	Version *string
}

// Refusal reasons in addition to those of package staging.
const (
	// NoServer means that the pool has no usable server.
	NoServer staging.RefusalReason = 100 + iota
	// HandedOver means that another entry must place the request, starting from the
	// results obtained so far.
	HandedOver
	// VersionUnknown means that servers of several versions may have begun the stream that
	// the request continues.
	VersionUnknown
	// VersionGone means that no usable server runs the version that began the stream.
	VersionGone
	// LimitReached means that the servers take no more requests per second.
	LimitReached
	// HeldBack means that the prompt has parts that crash servers.
	HeldBack
)

// ReasonText returns a refusal reason in words.
func ReasonText(r staging.RefusalReason) string {
	switch r {
	case VersionUnknown:
		return "version of the stream is not known"
	case VersionGone:
		return "no server of the stream's version"
	case LimitReached:
		return "limits of the servers reached"
	case HeldBack:
		return "prompt crashes servers"
	}
	return r.String()
}

// Callbacks are called with the events of one request.
type Callbacks struct {
	// OnPlacement is called once when the request is placed or refused, unless it is
	// cancelled first.
	OnPlacement func(Placement)
	// OnResultChanges is called with new and lost results.
	OnResultChanges func([]staging.ResultLocation)
	// Local is true if the request was received by this entry.
	Local bool
}

// Placement is the answer to a Request: the server and its inputs, or a refusal.
type Placement struct {
	ID string
	// RefusalReason is 0 if the request was placed.
	RefusalReason staging.RefusalReason
	RetryAfter    time.Duration
	// Inputs are the handles of the stage results that the request reads.
	Inputs  []string
	Server  string
	Address string
	// SoftwareVersion is that of the server.
	SoftwareVersion string
}

// Phase is the progress of a placed request.
type Phase uint8

// The phases of a placed request.
const (
	// Started requests have read their inputs.
	Started Phase = iota + 1
	// The other phases correspond to the outcomes of package placement.
	Complete
	Failed
	Unreached
	Cancelled
)

// Interruption is how the connection of a server ended before the first event of a response,
// as it does if the server crashes.
type Interruption uint8

const (
	// NotInterrupted connections ended otherwise, or later.
	NotInterrupted Interruption = iota
	// InterruptedWaiting and InterruptedAnswering connections ended before and after the
	// head of the response.
	InterruptedWaiting
	InterruptedAnswering
)

// Progress is what became of a placed request.
type Progress struct {
	Phase Phase
	// Interruption is set for requests that failed or did not reach their server.
	Interruption Interruption
}

// ending returns what the end of an attempt says about the prompt.
func (p Progress) ending() quarantine.Ending {
	switch {
	case p.Phase == Complete:
		return quarantine.Completed
	case p.Interruption == InterruptedWaiting:
		return quarantine.InterruptedWaiting
	case p.Interruption == InterruptedAnswering:
		return quarantine.InterruptedAnswering
	}
	return quarantine.Other
}

var outcomeByPhase = map[Phase]placement.Outcome{
	Complete: placement.Complete, Failed: placement.Failed,
	Unreached: placement.Unreached, Cancelled: placement.Cancelled,
}
