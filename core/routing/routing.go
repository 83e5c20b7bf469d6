// Package routing chooses the server for an attempt at a stage. A Router serves
// one pool of one entry; it has no clock and no I/O.
package routing

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// Server is a backend server with the agent in front of it.
type Server struct {
	// ID is the name of the instance.
	ID string
	// Addr is the agent's address.
	Addr   string
	Zone   string
	Region string
	// Leaving servers are never chosen.
	Leaving bool
}

// Load is what an agent last said of itself.
type Load struct {
	Running, Queued, Limit int
	// Wait is the expected wait in the queue.
	Wait time.Duration
	// Service is the smoothed time of one call.
	Service time.Duration
	Leaving bool
	Models  []string
}

// Query describes what is to be placed.
type Query struct {
	// Zone and Region are those of the entry.
	Zone, Region string
	// Model is empty for servers that are not engines.
	Model string
	// Prefix is the hash of the prompt prefix; 0 if there is none.
	Prefix uint64
	// Bytes is the size of the input; BytesRegion is where it lies.
	Bytes       int64
	BytesRegion string
	// Exclude names servers already tried.
	Exclude []string
	// Budget is the time left; 0 if unknown. Servers expected to take longer are
	// chosen last.
	Budget time.Duration
}

// Outcome tells the router how an attempt ended.
type Outcome struct {
	Code result.Code
	// Silent is set when the server stopped answering.
	Silent bool
	// Took is the time from sending to the end.
	Took time.Duration
	// Model is the model that was asked for, if any.
	Model string
}

// Policy names a way of choosing.
type Policy string

// The policies.
const (
	// LeastFinish chooses the least expected finish time among a few candidates.
	LeastFinish Policy = "least-finish"
	// RoundRobin takes usable servers in turn; the baseline.
	RoundRobin Policy = "round-robin"
)

// DefaultProbesPerSecond bounds the probes of one pool.
const DefaultProbesPerSecond = 16

// Options sets up a Router.
type Options struct {
	Policy Policy
	// Zone and Region are those of the entry.
	Zone, Region string
	// Subset is how many servers the entry keeps in touch with.
	Subset int
	// ProbesPerSecond bounds the probes; 0 takes DefaultProbesPerSecond.
	ProbesPerSecond float64
	// Seed makes the choices reproducible.
	Seed uint64
	// Cache tells what is known of the servers' prefix caches; nil if nothing is.
	Cache Cache
}

// Cache tells what is known of prefix caches.
type Cache interface {
	// Lookup returns how likely the server holds the prefix; known is false if
	// nothing is known about it.
	Lookup(now time.Time, server string, prefix uint64) (likely float64, known bool)
}
