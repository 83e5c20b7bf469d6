package staging

import "time"

// Spec describes the servers of a pool; each value is per server.
type Spec struct {
	Slots, Batch       int
	CallTime, ItemTime time.Duration
	// Memory bounds the results kept, in bytes.
	Memory int64
	// Keep is how long a result that nobody gives up is kept.
	Keep time.Duration
}

// Server is a member of a pool. Started tells two starts under one ID apart.
type Server struct {
	ID, Address, Zone string
	Started           int64
}

// Stage is one stage of a request.
type Stage struct {
	Pool string
	// After lists the stages whose results this one reads.
	After []int
	// Bytes is the approximate size of one result.
	Bytes  int64
	Pieces int
}

// Job is a request whose stages are to be run. Times count from a fixed start.
type Job struct {
	ID     string
	Key    string
	Stages []Stage
	// Rank is 0 for the most urgent.
	Rank int
	// Due is the end of the objective, Deadline that of the caller's patience.
	Due, Deadline time.Duration
	// After is the time that the request takes once its stages are done.
	After time.Duration
	// Zone is the availability zone where the results will be read.
	Zone string
	// Owner names who asked for the job.
	Owner string
	// Made are results that another scheduler had made for the job.
	Made []MadeResult
}

// MadeResult is one result of a job with the id of its maker. Without a handle it
// takes back what was told of the piece before: its result is lost.
type MadeResult struct {
	Stage, Piece   int
	Handle, Server string
}

// Item is one piece of a call.
type Item struct {
	JobID        string
	Stage, Piece int
	Key          string
	Inputs       []string
	Remaining    time.Duration
}

// Call is an action: make pieces at a server.
type Call struct {
	ID      uint64
	Pool    string
	Server  Server
	Items   []Item
	Timeout time.Duration
	// Expected is the time that the call is expected to take, Waited how long its
	// first piece waited for it since its inputs were there.
	Expected, Waited time.Duration
	// MemoryLeft is what the server has left for results after the call, in bytes.
	MemoryLeft int64
}

// Free is an action: give up results at a server.
type Free struct {
	ID      uint64
	Server  Server
	Handles []string
}

// Done is an action: the stages of a job are complete.
type Done struct {
	JobID string
	// Handles are the results that the request reads.
	Handles []string
	// Bytes are their sizes by availability zone.
	Bytes map[string]int64
}

// Reason tells why a job was refused.
type Reason uint8

// The reasons.
const (
	// Overloaded: the stages would not end in time.
	Overloaded Reason = iota + 1
	// TooLate: the deadline can't be kept any more.
	TooLate
	// Failing: pieces failed too often.
	Failing
)

// String returns the reason in words.
func (r Reason) String() string {
	names := [...]string{"", "overloaded", "too late", "failing"}
	if int(r) < len(names) {
		return names[r]
	}
	return "no server"
}

// Refused is an action: a job was given up; its request has not run.
type Refused struct {
	JobID  string
	Reason Reason
	// RetryAfter is when there is room again.
	RetryAfter time.Duration
	// Expected is the time to the expected end, for logs.
	Expected time.Duration
}

// Actions are what the caller carries out.
type Actions struct {
	Calls   []Call
	Frees   []Free
	Done    []Done
	Refused []Refused
	// Made are the new results by job.
	Made map[string][]MadeResult
}

// Outcome is what became of one piece of a call.
type Outcome uint8

// The outcomes of a piece.
const (
	Made Outcome = iota
	Late
	InputGone
	NoMemory
	Failed
)

// Result is the outcome of a piece, with its handle if it was made.
type Result struct {
	Outcome Outcome
	Handle  string
}

// CallEnd tells how a call as a whole ended.
type CallEnd uint8

// The ends of a call.
const (
	// Answered calls have a result for each piece.
	Answered CallEnd = iota
	// Full: the server refused the call because it was full.
	Full
	// Gone: the server is another one or takes no connections.
	Gone
	// Broken: there was no whole answer; pieces may have been made.
	Broken
)
