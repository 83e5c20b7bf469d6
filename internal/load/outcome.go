package load

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// Class is how a request ended for its caller.
type Class string

// The classes of outcomes.
const (
	// Complete is a whole answer.
	Complete Class = "complete"
	// Refused is an error after which repeating is safe.
	Refused Class = "refused"
	// Unknown is an error, or a connection lost for good, after which stages that
	// are not idempotent may have run.
	Unknown Class = "unknown"
	// NoOutcome means that the caller heard nothing until well after its deadline.
	NoOutcome Class = "no_outcome"
)

// Outcome is what one caller got.
type Outcome struct {
	Nonce     string `json:"nonce"`
	Call      string `json:"call"`
	Customer  string `json:"customer"`
	RequestID string `json:"request_id,omitempty"`
	Class     Class  `json:"class"`
	// Code, Ran, Effects and RetryAfter are of the error, or of the last one.
	Code       result.Code   `json:"code,omitempty"`
	Ran        string        `json:"ran,omitempty"`
	Effects    string        `json:"effects,omitempty"`
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
	Message    string        `json:"message,omitempty"`
	// Texts holds the answer by stage.
	Texts map[string]string `json:"texts,omitempty"`
	// Wrong says what was wrong with a complete answer.
	Wrong string `json:"wrong,omitempty"`
	// Due is when the request was due, since the start of the load.
	Due time.Duration `json:"due_ns"`
	// FirstText and Total are since the request was due.
	FirstText time.Duration `json:"first_text_ns,omitempty"`
	Total     time.Duration `json:"total_ns"`
	// Gaps are the times between chunks.
	Gaps []time.Duration `json:"-"`
	// Reattached counts the connections after the first.
	Reattached int `json:"reattached,omitempty"`
}
