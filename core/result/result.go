// Package result defines the numbered result codes of the system. Every refusal
// and failure carries one. docs/RESULT-CODES.md is generated from the same table.
package result

import (
	"fmt"
	"time"
)

// Ran is the execution state of work: whether it was executed. It is reported to
// callers as "ran", and as "effects" for the stages that are not idempotent.
type Ran uint8

const (
	// RanUnspecified is the zero value and is never sent to a caller.
	RanUnspecified Ran = iota
	// RanNo means that the work was not executed and never will be.
	RanNo
	// RanYes means that the work was executed.
	RanYes
	// RanUnknown means that the work may have been executed.
	RanUnknown
)

// String returns the value used in the caller API.
func (r Ran) String() string {
	switch r {
	case RanNo:
		return "no"
	case RanYes:
		return "yes"
	case RanUnknown:
		return "unknown"
	}
	return "unspecified"
}

// ParseRan parses the output of String. It returns RanUnspecified for unknown values.
func ParseRan(s string) Ran {
	for _, r := range []Ran{RanNo, RanYes, RanUnknown} {
		if r.String() == s {
			return r
		}
	}
	return RanUnspecified
}

// Code is a numbered result code. 1xxx: invalid request; 2xxx: refused because of
// load or state; 3xxx: failed during execution; 4xxx: idempotency keys; 5xxx:
// configuration; 6xxx: administration and orders; 9xxx: internal.
type Code uint32

// The result codes. A number is never reused for another meaning.
const (
	OK Code = 0

	UnknownCall      Code = 1001
	BadContentType   Code = 1002
	BodyTooLarge     Code = 1003
	BadDeadline      Code = 1004
	BadCustomer      Code = 1005
	BadKey           Code = 1006
	BadBody          Code = 1007
	HeaderTooLarge   Code = 1008
	UnknownRequest   Code = 1009
	SlowCaller       Code = 1010
	MethodNotAllowed Code = 1011
	StreamTooLong    Code = 1012
	BadLastEventID   Code = 1013
	NotYourRequest   Code = 1014
	KeyRequired      Code = 1015
	KeyNotAllowed    Code = 1016
	BadHeader        Code = 1017
	OldHTTPVersion   Code = 1018

	Overloaded        Code = 2001
	DeadlineTooShort  Code = 2002
	CustomerOverShare Code = 2003
	NoServer          Code = 2004
	ServerLeaving     Code = 2005
	QueueFull         Code = 2006
	WrongIncarnation  Code = 2007
	BudgetSpent       Code = 2008
	EntryDraining     Code = 2009
	ResultsFull       Code = 2010
	Tombstoned        Code = 2011
	ConfigTooOld      Code = 2012
	NotReady          Code = 2013
	ModelNotLoaded    Code = 2014
	RetryBudgetSpent  Code = 2015
	Paused            Code = 2016
	KeysNotConfirmed  Code = 2017
	ConfigMayBeOld    Code = 2018
	// StreamNotResumable is the code of a stream whose version cannot continue it.
	StreamNotResumable Code = 2019
	// PromptHeldBack is the code of a request that crashes servers, or whose prompt has parts
	// that do.
	PromptHeldBack Code = 2020
	// OutsideResidency is the code of a request that no server in its allowed regions can run.
	OutsideResidency Code = 2021

	DeadlineExceeded Code = 3001
	ServerFailed     Code = 3002
	AgentLost        Code = 3003
	Cancelled        Code = 3004
	PayloadLost      Code = 3005
	ChecksumMismatch Code = 3006
	ResultExpired    Code = 3007
	EntryLost        Code = 3008

	KeyReused        Code = 4001
	KeyFromFuture    Code = 4002
	KeyExpired       Code = 4003
	ClaimUnavailable Code = 4004
	ClaimLost        Code = 4005
	HolderGone       Code = 4006

	ConfigConflict    Code = 5001
	ConfigInvalid     Code = 5002
	ConfigUnavailable Code = 5003
	ConfigUnknown     Code = 5004
	ConfigNoObject    Code = 5005
	ConfigNotReached  Code = 5006

	AdminUnauthorized Code = 6001
	AdminForbidden    Code = 6002
	OrderRefused      Code = 6003
	OrderFenced       Code = 6004
	OrderLeaseWait    Code = 6005
	AdminBadRequest   Code = 6006
	AdminNotFound     Code = 6007

	Internal     Code = 9001
	PlatformDown Code = 9002
)

// Info documents a code.
type Info struct {
	Code Code
	// Name is the snake-case identifier used in JSON and logs.
	Name string
	// HTTP is the HTTP status of responses to callers and operators.
	HTTP int
	// Ran is the documented execution state: "no", "yes", "unknown", or "varies" if it
	// depends on the request.
	Ran string
	// Meaning explains the code in one sentence.
	Meaning string
	// Action is the recommended reaction of the caller.
	Action string
}

// Lookup returns the documentation of c; ok is false for an undefined code.
func Lookup(c Code) (Info, bool) {
	info, ok := infoByCode[c]
	return info, ok
}

// All returns the documentation of every code, in numerical order.
func All() []Info { return append([]Info(nil), codeInfos...) }

// String returns the number and name of the code.
func (c Code) String() string {
	if info, ok := infoByCode[c]; ok {
		return fmt.Sprintf("%d %s", uint32(c), info.Name)
	}
	return fmt.Sprintf("%d", uint32(c))
}

// HTTP returns the HTTP status for the code, or 500 for an undefined code.
func (c Code) HTTP() int {
	if info, ok := infoByCode[c]; ok {
		return info.HTTP
	}
	return 500
}

// Error is the result of a request that did not succeed.
type Error struct {
	Code    Code
	Message string
	// Ran is the execution state of the stages: RanYes if any was executed.
	Ran Ran
	// Effects is the same for the stages that are not idempotent. Repeating the request
	// is safe if and only if Effects is RanNo.
	Effects Ran
	// RetryAfter is the delay after which a retry may succeed; 0 if none is known.
	RetryAfter time.Duration
}

// Error returns the code and message.
func (e *Error) Error() string {
	if e.Message == "" {
		return e.Code.String()
	}
	return e.Code.String() + ": " + e.Message
}

// New returns an error for work that was not executed.
func New(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Message: fmt.Sprintf(format, args...), Ran: RanNo, Effects: RanNo}
}
