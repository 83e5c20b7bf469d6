package staging

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/loadreport"
	"github.com/magnoliawheel/magnoliawheel/core/residency"
)

// PoolSpec describes the servers of a pool; each value is per server.
type PoolSpec struct {
	// Slots is the number of concurrent calls, BatchSize the largest number of pieces
	// in a call.
	Slots, BatchSize int
	// A call takes about CallOverhead plus TimePerPiece for each of its pieces.
	CallOverhead, TimePerPiece time.Duration
	// MemoryBytes bounds the results that a server keeps.
	MemoryBytes int64
	// ResultRetention is how long a server keeps a result that is not freed.
	ResultRetention time.Duration
}

// Server is a member of a pool.
type Server struct {
	ID, Address, Zone, Region string
	// StartTime distinguishes restarts under the same ID.
	StartTime int64
}

// Stage is one stage of a request.
type Stage struct {
	Pool string
	// DependsOn lists the stages whose results this stage reads.
	DependsOn []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
	Pieces      int
}

// Job is a request whose stages are to be run. All times are offsets from one fixed
// point in time.
type Job struct {
	ID string
	// Key is sent with the pieces that read no results.
	Key    string
	Stages []Stage
	// Priority is 0 for the most urgent jobs.
	Priority int
	// ObjectiveDeadline is the time by which the request should be answered; a later answer
	// is worth less. Deadline is the time at which the caller's request times out.
	ObjectiveDeadline, Deadline time.Duration
	// RequestDuration is the time that the request takes once its stages are complete.
	RequestDuration time.Duration
	// ReaderZone is the availability zone where the results will be read.
	ReaderZone string
	// Customer sent the request. At a shortage, the jobs of a customer that floods come
	// after those of the others.
	Customer string
	// Owner identifies the instance that submitted the job. It changes when that
	// instance restarts.
	Owner string
	// PriorResults are results that another scheduler obtained for the job.
	PriorResults []ResultLocation
	// Residency permits the regions whose servers may compute and keep the job's results.
	Residency residency.Policy
}

// ResultLocation holds the server that keeps the result of a piece, and the handle that
// identifies the result on that server. An empty handle revokes the earlier location of
// the piece: its result is lost.
type ResultLocation struct {
	Stage, Piece     int
	Handle, ServerID string
}

// Item is one piece of a call.
type Item struct {
	JobID        string
	Stage, Piece int
	// Key is the job's key if the piece reads no results. Otherwise Inputs are the
	// handles of the results that it reads.
	Key    string
	Inputs []string
	// RemainingTime is the time to the job's deadline.
	RemainingTime time.Duration
}

// Call is an action: compute pieces on a server.
type Call struct {
	ID      uint64
	Pool    string
	Server  Server
	Items   []Item
	Timeout time.Duration
	// ExpectedTime is how long the call is expected to take, including the wait for a
	// free slot on the server. WaitTime is the longest time that one of its pieces
	// waited since its inputs were available.
	ExpectedTime, WaitTime time.Duration
	// MemoryLeft is the memory, in bytes, that the server has left for results after
	// the call.
	MemoryLeft int64
	// WorkTime is the server's reported time of work, weighted by its age (1 is as usual),
	// and ReportTrust the weight of its reports (0 to 1); WorkTime is 0 if it never
	// reported one.
	WorkTime, ReportTrust float64
}

// FreeRequest is an action: free results on a server.
type FreeRequest struct {
	ID      uint64
	Server  Server
	Handles []string
}

// CompletedJob is an action: all stages of a job are complete.
type CompletedJob struct {
	JobID string
	// Handles are the results that the request reads.
	Handles []string
	// BytesByZone are the total sizes of these results, by availability zone.
	BytesByZone map[string]int64
}

// RefusalReason is the reason why a job was refused.
type RefusalReason uint8

const (
	// Overloaded means that the stages would not end in time.
	Overloaded RefusalReason = iota + 1
	// DeadlineUnreachable means that an accepted job can't meet its deadline any more.
	DeadlineUnreachable
	// RepeatedFailures means that one piece failed too often.
	RepeatedFailures
	// OutsideResidency means that no server of a stage is in a region that the job permits.
	OutsideResidency
)

// String returns the reason in words.
func (r RefusalReason) String() string {
	names := [...]string{"", "overloaded", "too late", "failing", "no server in the allowed regions"}
	if int(r) < len(names) {
		return names[r]
	}
	return "no server"
}

// Refusal is an action: report that a job was rejected or abandoned. Its request has
// not run.
type Refusal struct {
	JobID  string
	Reason RefusalReason
	// RetryAfter is the delay after which the caller should try again.
	RetryAfter time.Duration
	// ExpectedTime is how long the stages were expected to take, for logs.
	ExpectedTime time.Duration
}

// Actions are to be carried out by the caller.
type Actions struct {
	Calls         []Call
	FreeRequests  []FreeRequest
	CompletedJobs []CompletedJob
	Refusals      []Refusal
	// ResultChanges are new and lost results, by job ID.
	ResultChanges map[string][]ResultLocation
}

// Outcome is the result status of one piece of a call.
type Outcome uint8

const (
	Succeeded Outcome = iota
	// DeadlinePassed means that the RemainingTime of the piece had passed before the
	// server started it.
	DeadlinePassed
	// InputMissing means that a result that the piece reads no longer exists.
	InputMissing
	// OutOfMemory means that the server had no memory for the result.
	OutOfMemory
	Failed
)

// Result is the outcome of a piece, with the handle of its result if it succeeded.
type Result struct {
	Outcome Outcome
	Handle  string
}

// CallStatus is how a call as a whole ended.
type CallStatus uint8

const (
	// Answered calls have a result for each piece.
	Answered CallStatus = iota
	// ServerFull means that the server rejected the call because it was at capacity.
	ServerFull
	// ServerGone means that the server accepts no connections, or that another server
	// has its address.
	ServerGone
	// Incomplete means that no complete answer arrived; pieces may have been computed.
	Incomplete
	// Interrupted means the same, and that the server closed the connection, as one does
	// that crashes.
	Interrupted
)

// CallResult is how a call ended.
type CallResult struct {
	Status CallStatus
	// Results has one entry per piece if the call was answered.
	Results []Result
	// RetryAfter is the time for which the server wants no calls; 0 if it does not say.
	RetryAfter time.Duration
	// Load is what the server told about its load; nil if it told nothing.
	Load *loadreport.Report
}
