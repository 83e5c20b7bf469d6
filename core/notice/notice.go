// Package notice holds what backend servers say about themselves in their responses, and
// keeps to it: that they leave, how many requests a second they take, and for how long an
// instance must not call them. It also limits the requests to servers that are cold.
//
// A server says so to the instance that sent it a request. That it leaves, and its limit,
// concern all instances, so each passes them on: to the one that places requests, which
// tells all others. A pause concerns only the instance that was asked for it. The package
// has no clock and does no I/O.
package notice

import (
	"maps"
	"time"
)

// Server identifies one start of a backend server.
type Server struct {
	ID        string
	StartTime int64
}

// Notice is what a server said that concerns all instances.
type Notice struct {
	Server
	// Leaving is set if the server is about to end.
	Leaving bool
	// Limit is the number of requests per second that the server takes from all instances
	// together; nil if it names none.
	Limit *float64
}

const (
	// retention is how long a notice is kept without another word of the server.
	retention = 10 * time.Minute
	// tellInterval is the time after which others are told again what still holds.
	tellInterval = time.Minute
	// minTellInterval bounds how often others are told of one server, whose limit may
	// change with each response. Each time takes a message to every instance.
	minTellInterval = 2 * time.Second
	// maxServers bounds the servers whose notices are kept.
	maxServers = 4096
)

// state is what is known of one server.
type state struct {
	leaving bool
	// rate is nil if the server names no limit. limitNamedAt is when a response that named
	// it arrived.
	rate         *rate
	limitNamedAt time.Duration
	heardAt      time.Duration
	// told is set once others were told of the server, at toldAt: that it leaves if
	// toldLeaving is set, and toldLimit.
	told        bool
	toldAt      time.Duration
	toldLeaving bool
	toldLimit   *float64
}

// mustTell reports whether others must be told of the server, and records that they are.
func (st *state) mustTell(now time.Duration) bool {
	limit := st.limit()
	changed := st.leaving != st.toldLeaving || !equal(limit, st.toldLimit)
	holds := st.leaving || limit != nil
	interval := tellInterval
	if changed {
		interval = minTellInterval
	}
	if !changed && !holds || st.told && now-st.toldAt < interval {
		return false
	}
	st.told, st.toldAt, st.toldLeaving, st.toldLimit = true, now, st.leaving, limit
	return true
}

// Share is the part of a server's limit that one instance may use.
type Share func(s Server, limit float64) float64

// Table holds the notices of servers. It is not safe for concurrent use.
type Table struct {
	share   Share
	servers map[Server]*state
	// cold are the servers that are presumed to be cold; coldShare is nil until it is set.
	cold      map[Server]*coldServer
	coldShare ColdShare
}

// NewTable returns an empty table. share is the instance's part of the servers' limits; nil
// means that it may use them whole.
func NewTable(share Share) *Table {
	if share == nil {
		share = func(Server, float64) float64 { return 1 }
	}
	return &Table{share: share, servers: map[Server]*state{}, cold: map[Server]*coldServer{}}
}

// Observe handles the response to a request that was sent at sentAt, and reports whether
// others must know. A response without a limit ends it only if its request was sent after
// the last response with one arrived, since responses may overtake each other.
func (t *Table) Observe(now, sentAt time.Duration, n Notice) bool {
	st := t.servers[n.Server]
	if n.Limit != nil || st == nil || sentAt >= st.limitNamedAt {
		return t.Learn(now, n)
	}
	namedAt := st.limitNamedAt
	n.Limit = st.limit()
	tell := t.Learn(now, n)
	st.limitNamedAt = namedAt
	return tell
}

// Learn handles what another instance passed on, and reports whether others must be told:
// of what is new, and from time to time of what still holds.
func (t *Table) Learn(now time.Duration, n Notice) bool {
	st := t.servers[n.Server]
	if st == nil {
		if !n.Leaving && n.Limit == nil {
			return false
		}
		t.makeRoom(now)
		st = &state{}
		t.servers[n.Server] = st
	}
	st.heardAt = now
	st.leaving = st.leaving || n.Leaving
	st.setLimit(now, n.Limit)
	t.rate(now, n.Server)
	return st.mustTell(now)
}

// makeRoom drops the notices that are too old, and any if there are too many.
func (t *Table) makeRoom(now time.Duration) {
	if len(t.servers) < maxServers {
		return
	}
	maps.DeleteFunc(t.servers, func(_ Server, st *state) bool { return now-st.heardAt >= retention })
	for s := range t.servers {
		if len(t.servers) < maxServers {
			return
		}
		delete(t.servers, s)
	}
}

func equal(a, b *float64) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// All returns the notices in force, for an instance that knows none.
func (t *Table) All(now time.Duration) []Notice {
	var all []Notice
	for s, st := range t.servers {
		if now-st.heardAt < retention && (st.leaving || st.rate != nil) {
			all = append(all, Notice{Server: s, Leaving: st.leaving, Limit: st.limit()})
		}
	}
	return all
}
