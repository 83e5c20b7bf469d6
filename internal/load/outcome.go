package load

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// Class classifies how a request ended for its caller.
type Class string

// The classes of outcomes.
const (
	// Complete means that a complete answer was received, whether correct or not.
	Complete Class = "complete"
	// Refused means an error after which it is safe to repeat the request.
	Refused Class = "refused"
	// Unknown means an error, or a lost connection that could not be resumed, after which
	// stages that are not idempotent may have been executed.
	Unknown Class = "unknown"
	// NoOutcome means that the caller received no outcome until outcomeGrace after its
	// deadline.
	NoOutcome Class = "no_outcome"
)

// Outcome is the result of one request.
type Outcome struct {
	Nonce     string `json:"nonce"`
	Call      string `json:"call"`
	Customer  string `json:"customer"`
	RequestID string `json:"request_id,omitempty"`
	Class     Class  `json:"class"`
	// Code, Ran, Effects and RetryAfter are those of the error.
	Code       result.Code   `json:"code,omitempty"`
	Ran        string        `json:"ran,omitempty"`
	Effects    string        `json:"effects,omitempty"`
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
	Message    string        `json:"message,omitempty"`
	// Texts holds the answer's text by stage.
	Texts map[string]string `json:"texts,omitempty"`
	// Defect describes what is wrong with a complete answer; empty if it is correct.
	Defect string `json:"wrong,omitempty"`
	// ScheduledAt is the time from the start of the load at which the request was to be
	// sent.
	ScheduledAt time.Duration `json:"due_ns"`
	// FirstTextLatency and TotalLatency are the times from ScheduledAt to the first text
	// of the answer and to the end of the request.
	FirstTextLatency time.Duration `json:"first_text_ns,omitempty"`
	TotalLatency     time.Duration `json:"total_ns"`
	// ChunkGaps are the times between successive chunks.
	ChunkGaps []time.Duration `json:"-"`
	// Reattachments counts the connections after the first one.
	Reattachments int `json:"reattached,omitempty"`
}
