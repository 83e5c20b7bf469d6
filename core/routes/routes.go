// Package routes holds one immutable version of the configuration of the entry's
// HTTP front door: routes by host and path, services, customers and limits.
package routes

import (
	"sort"
	"strings"
	"time"
)

// Kind tells what may be repeated on a route.
type Kind uint8

// The kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests are idempotent.
	Safe
	// Stream requests are answered by a series of events; they run at most once
	// unless the route is resumable.
	Stream
)

// Stage is work done before a request can run at the service of its route.
type Stage struct {
	Service string
	// After lists the stages whose results this stage reads.
	After []int
	// Bytes is the approximate size of one result.
	Bytes int64
}

// Share is one service of a route with its weight.
type Share struct {
	Service string
	Weight  int
}

// Route sends the requests of one host and path prefix to its services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds how long a request is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer has its full value.
	Objective time.Duration
	// Priority is the rank; 0 is the most urgent.
	Priority    int
	MaxAttempts int
	Shares      []Share
	Stages      []Stage
	// Public routes need no customer's key.
	Public    bool
	Resumable bool
}

// Idempotent tells whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Service picks a service by weight; point is in [0, 1).
func (r *Route) Service(point float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	left := point * float64(total)
	for _, s := range r.Shares {
		left -= float64(s.Weight)
		if left < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Batch describes servers that make the results of stages; each value is per server.
type Batch struct {
	// Slots is the number of calls at work at a time, Queue that of calls that may wait.
	Slots, Queue int
	// Size is the largest number of pieces in one call.
	Size int
	// CallTime is the fixed part of a call's time, ItemTime the approximate part per piece.
	CallTime, ItemTime time.Duration
	// Memory bounds the results kept, in bytes.
	Memory int64
	// Keep is how long a result is kept after the end of its call.
	Keep time.Duration
}

// Model describes model servers.
type Model struct {
	// Slots is the number of requests at work at a time.
	Slots int
	// CacheTokens is the memory for running requests and cached prefixes, in tokens.
	CacheTokens int
}

// Service is a set of servers that do the same work.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the number of connections that one server takes from all callers.
	MaxConns int
	// Batch is set for services of stages, Model for model servers.
	Batch *Batch
	Model *Model
}

// Customer is a holder of keys.
type Customer struct {
	Name string
	// Priority takes precedence over the route's priority if it is set.
	Priority *int
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration. It is not changed after New.
type Table struct {
	Version   uint64
	Limits    Limits
	routes    map[string][]*Route
	services  map[string]*Service
	customers map[string]*Customer
	keyed     bool
}

// New returns a table. keys maps each key to its customer; without customers no
// request needs a key.
func New(version uint64, rs []*Route, services []*Service, keys map[string]*Customer, keyed bool, limits Limits) *Table {
	t := &Table{
		Version: version, Limits: limits, customers: keys, keyed: keyed,
		routes: map[string][]*Route{}, services: map[string]*Service{},
	}
	for _, r := range rs {
		host := strings.ToLower(r.Host)
		t.routes[host] = append(t.routes[host], r)
	}
	for _, list := range t.routes {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	return t
}

// Match returns the route of the host with the longest prefix of path, or nil.
// A port in host is ignored.
func (t *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service of that name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services.
func (t *Table) Services() []*Service {
	all := make([]*Service, 0, len(t.services))
	for _, s := range t.services {
		all = append(all, s)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Keyed tells whether requests on routes that are not public need a key.
func (t *Table) Keyed() bool { return t.keyed }

// Customer returns the holder of a key, or nil.
func (t *Table) Customer(key string) *Customer { return t.customers[key] }
