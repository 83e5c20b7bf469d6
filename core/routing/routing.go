// Package routing selects a backend server for each attempt at a pipeline stage.
// A Router covers one pool as seen by one entry. It performs no I/O and takes the
// current time as a parameter.
package routing

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// Server is a backend server and the address of the agent that fronts it.
type Server struct {
	// ID is the instance name.
	ID string
	// Addr is the network address of the agent.
	Addr   string
	Zone   string
	Region string
	// Leaving is set when the server is about to stop; such servers are never chosen.
	Leaving bool
}

// Load is the most recent load report of an agent.
type Load struct {
	// Running and Queued are numbers of calls; Limit is the concurrency limit, 0 if
	// unknown.
	Running, Queued, Limit int
	// QueueWait is the expected time in the queue.
	QueueWait time.Duration
	// ServiceTime is the smoothed duration of one call.
	ServiceTime time.Duration
	// Leaving is set when the server is about to stop.
	Leaving bool
	// Models lists the models that the server can serve; empty if unknown.
	Models []string
}

// Query describes an attempt that needs a server.
type Query struct {
	// Zone and Region are the location of the entry.
	Zone, Region string
	// Model is the requested model; empty for servers that are not engines.
	Model string
	// PrefixHash is the hash of the prompt prefix; 0 if there is none.
	PrefixHash uint64
	// InputBytes is the size of the input; InputRegion is the region that stores it.
	InputBytes  int64
	InputRegion string
	// Exclude lists the IDs of servers that were already tried.
	Exclude []string
	// TimeBudget is the time left for the attempt; 0 if unknown. Servers that are
	// expected to take longer get a higher cost.
	TimeBudget time.Duration
}

// Outcome describes how an attempt ended.
type Outcome struct {
	Code result.Code
	// Unresponsive is set when the server stopped answering.
	Unresponsive bool
	// Elapsed is the time from sending the attempt to its end.
	Elapsed time.Duration
	// Model is the requested model, if any.
	Model string
}

// Policy is a load-balancing algorithm.
type Policy string

// The load-balancing policies.
const (
	// LeastFinish compares a few candidates and picks the one with the lowest cost,
	// which is mainly the expected time until the answer.
	LeastFinish Policy = "least-finish"
	// RoundRobin cycles through the servers; it is the baseline for comparisons.
	RoundRobin Policy = "round-robin"
)

// DefaultProbesPerSecond is the default probe rate limit of one pool.
const DefaultProbesPerSecond = 16

// Options configures a Router.
type Options struct {
	Policy Policy
	// Zone and Region are the location of the entry.
	Zone, Region string
	// SubsetSize is the number of servers per model that the entry probes and chooses
	// from; 0 selects defaultSubsetSize.
	SubsetSize int
	// ProbesPerSecond limits the probe rate; 0 selects DefaultProbesPerSecond.
	ProbesPerSecond float64
	// Seed makes the random choices reproducible.
	Seed uint64
	// CacheHints estimates the content of the servers' prefix caches; may be nil.
	CacheHints CacheHints
}

// CacheHints estimates the content of the servers' prefix caches.
type CacheHints interface {
	// Lookup returns the probability that the server has the prefix cached; known is
	// false if there is no information about it.
	Lookup(now time.Time, server string, prefix uint64) (probability float64, known bool)
}
