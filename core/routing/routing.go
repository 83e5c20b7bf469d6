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
}

// Outcome tells the router how an attempt ended.
type Outcome struct {
	Code result.Code
	// Silent is set when the server stopped answering.
	Silent bool
	// Took is the time from sending to the end.
	Took time.Duration
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

// Options sets up a Router.
type Options struct {
	Policy Policy
	// Zone and Region are those of the entry.
	Zone, Region string
	// Subset is how many servers the entry keeps in touch with.
	Subset int
	// Seed makes the choices reproducible.
	Seed uint64
}

// Router chooses among the servers of one pool. It is not safe for concurrent use.
type Router struct {
	opts    Options
	servers []Server
	next    int
}

// New returns a router without servers.
func New(o Options) *Router { return &Router{opts: o} }

// SetServers replaces the servers; what is known of those that stay is kept.
func (r *Router) SetServers(now time.Time, list []Server) { r.servers = list }

// Pick chooses a server; ok is false if none is usable.
func (r *Router) Pick(now time.Time, q *Query) (s Server, ok bool) {
	for range r.servers {
		s = r.servers[r.next%len(r.servers)]
		r.next++
		if !s.Leaving && !excluded(q, s.ID) {
			return s, true
		}
	}
	return Server{}, false
}

func excluded(q *Query, id string) bool {
	for _, x := range q.Exclude {
		if x == id {
			return true
		}
	}
	return false
}

// Expected returns the expected time of an attempt placed now, with wait,
// service and transfer; ok is false if nothing was measured yet.
func (r *Router) Expected(now time.Time, q *Query) (d time.Duration, ok bool) { return 0, false }

// Observe takes in a load report of a server.
func (r *Router) Observe(now time.Time, id string, l Load) {}

// Start records that an attempt was sent to a server.
func (r *Router) Start(now time.Time, id string) {}

// End records how an attempt at a server ended.
func (r *Router) End(now time.Time, id string, o Outcome) {}

// Probes appends to dst the servers whose load should be asked for now.
func (r *Router) Probes(now time.Time, dst []Server) []Server { return dst }
