package planner

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/placement"
	"github.com/magnoliawheel/magnoliawheel/core/quarantine"
	"github.com/magnoliawheel/magnoliawheel/core/residency"
	"github.com/magnoliawheel/magnoliawheel/core/staging"
)

// Request is a client request to place.
type Request struct {
	ID string
	// Identity is the same for all requests that repeat this one; see quarantine.Request.
	Identity string
	// CheckOnly asks whether the request is held back, and for no placement.
	CheckOnly bool
	PieceKey  string
	Stages    []staging.Stage
	Priority  int
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
	// Residency permits the regions that may hold the request.
	Residency residency.Policy
	// MaxPause is the longest pause between two events with which the response is on time; 0
	// if the route sets none.
	MaxPause time.Duration
}

// Elements returns what the request may have in common with others that crash servers.
func (r *Request) Elements() []string {
	return quarantine.Elements(r.Identity, SharedParts(r.PromptParts))
}

// SharedParts returns the IDs of the parts of a prompt that other prompts may have as well:
// all but the last.
func SharedParts(parts []placement.PromptPart) []string {
	shared := parts[:max(0, len(parts)-1)]
	ids := make([]string, len(shared))
	for i, part := range shared {
		ids[i] = part.ID
	}
	return ids
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
	// HeldBack means that the request, or parts of its prompt, crash servers.
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
		return "request crashes servers"
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

// Placement is the answer to a Request: the server and its inputs, or a refusal, or neither if
// the request was only checked and is not held back.
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
	// Cold is set if the request uses up the limit of a cold server. It must be sent within
	// delegation.GrantValidity of GrantedAt, by the clock of this instance.
	Cold      bool
	GrantedAt time.Duration
	// ExpectedFirstEvent is the expected time from sending the request to its first event; 0
	// if it is not known.
	ExpectedFirstEvent time.Duration
}

// Placed reports whether a server was chosen. It is not for a request that was only checked.
func (p *Placement) Placed() bool { return p.RefusalReason == 0 && p.Server != "" }

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

// Progress is what the entry that serves a placed request reports of it.
type Progress struct {
	Phase Phase
	// FirstEvent is the time from sending the request to its first event, known in phase
	// Started; LongestPause is the longest time between two events, known in phase Complete.
	FirstEvent, LongestPause time.Duration
}

// endingByPhase are the endings that the entry which placed a request learns from. Those that
// may have crashed a server are reported with Planner.ReportAttempts.
var endingByPhase = map[Phase]quarantine.Ending{Complete: quarantine.Completed}

var outcomeByPhase = map[Phase]placement.Outcome{
	Complete: placement.Complete, Failed: placement.Failed,
	Unreached: placement.Unreached, Cancelled: placement.Cancelled,
}
