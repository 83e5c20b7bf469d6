// Package routes holds one immutable version of the HTTP gateway's configuration:
// routes by host and path, services, customers and limits.
package routes

import (
	"sort"
	"strings"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/notice"
	"github.com/magnoliawheel/magnoliawheel/core/residency"
)

// RouteKind determines whether requests of a route may be repeated.
type RouteKind uint8

const (
	// Unsafe requests run at most once.
	Unsafe RouteKind = iota
	// Safe requests are idempotent.
	Safe
	// Stream requests are answered by a sequence of events. They run at most once
	// unless the route is resumable.
	Stream
)

// Stage is work to be done before a request can run on the service of its route.
type Stage struct {
	Service string
	// DependsOn lists the stages whose results this stage reads.
	DependsOn []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
}

// WeightedService is one service of a route with its share of the traffic.
type WeightedService struct {
	Service string
	Weight  int
}

// Route sends the requests of one host and path prefix to its services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout bounds how long a request waits for its answer.
	Timeout time.Duration
	// Objective is the latency objective. A later answer is worth less to the client.
	Objective time.Duration
	// MaxPause is the longest pause between two events of a stream with which the response is
	// still on time; 0 if none is set.
	MaxPause time.Duration
	// Priority is 0 for the most urgent requests.
	Priority    int
	MaxAttempts int
	Services    []WeightedService
	Stages      []Stage
	// Public routes need no customer key.
	Public    bool
	Resumable bool
	// Residency permits the regions that may hold the route's requests.
	Residency residency.Policy
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// ResidencyFor returns the regions that may hold a request of a customer on a route, which is
// both the route's and the customer's restriction. customer is nil for a request without a key.
func (r *Route) ResidencyFor(customer *Customer) residency.Policy {
	if customer == nil {
		return r.Residency
	}
	return r.Residency.And(customer.Residency)
}

// PickService returns the name of a service chosen by weight; point is in [0, 1).
func (r *Route) PickService(point float64) string {
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	remaining := point * float64(total)
	for _, s := range r.Services {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	if len(r.Services) == 0 {
		return ""
	}
	return r.Services[len(r.Services)-1].Service
}

// BatchServers describes servers that compute the results of stages; each value is per
// server.
type BatchServers struct {
	// Slots is the number of concurrent calls, QueueLimit the number of calls that may
	// wait.
	Slots, QueueLimit int
	// MaxPieces is the largest number of pieces in one call.
	MaxPieces int
	// CallOverhead is the fixed part of a call's duration, TimePerPiece the approximate
	// part per piece.
	CallOverhead, TimePerPiece time.Duration
	// MemoryBytes bounds the results that a server keeps.
	MemoryBytes int64
	// ResultRetention is how long a result is kept after the end of its call.
	ResultRetention time.Duration
}

// ModelServers describes model servers.
type ModelServers struct {
	// Slots is the number of concurrent requests.
	Slots int
	// CacheTokens is the memory for running requests and cached prefixes, in tokens.
	CacheTokens int
}

// Service is a set of servers that do the same work.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the number of connections that one server accepts from all callers
	// together.
	MaxConns int
	// Cold bounds the requests that the service's servers get while they are cold.
	Cold notice.ColdLimit
	// Batch is set for services of stages, Model for model servers.
	Batch *BatchServers
	Model *ModelServers
}

// Customer is a holder of API keys.
type Customer struct {
	Name string
	// Priority overrides the route's priority if it is set.
	Priority *int
	// Residency permits the regions that may hold the customer's requests.
	Residency residency.Policy
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration. It is immutable.
type Table struct {
	Version       uint64
	Limits        Limits
	routesByHost  map[string][]*Route
	serviceByName map[string]*Service
	customerByKey map[string]*Customer
	keyRequired   bool
	// resumableServices are the services of routes whose streams may be resumed.
	resumableServices map[string]bool
}

// New returns a table. customerByKey maps each API key to its customer; if keyRequired
// is false, no request needs a key.
func New(version uint64, allRoutes []*Route, services []*Service, customerByKey map[string]*Customer, keyRequired bool, limits Limits) *Table {
	t := &Table{
		Version: version, Limits: limits, customerByKey: customerByKey, keyRequired: keyRequired,
		routesByHost: map[string][]*Route{}, serviceByName: map[string]*Service{}, resumableServices: map[string]bool{},
	}
	for _, r := range allRoutes {
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
		for _, s := range r.Services {
			t.resumableServices[s.Service] = t.resumableServices[s.Service] || r.Kind == Stream && r.Resumable
		}
	}
	for _, hostRoutes := range t.routesByHost {
		sort.SliceStable(hostRoutes, func(i, j int) bool { return len(hostRoutes[i].Prefix) > len(hostRoutes[j].Prefix) })
	}
	for _, s := range services {
		t.serviceByName[s.Name] = s
	}
	return t
}

// Match returns the route of the host with the longest prefix of path, or nil. A port
// in host is ignored.
func (t *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with that name, or nil.
func (t *Table) Service(name string) *Service { return t.serviceByName[name] }

// Services returns all services, sorted by name.
func (t *Table) Services() []*Service {
	all := make([]*Service, 0, len(t.serviceByName))
	for _, s := range t.serviceByName {
		all = append(all, s)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// ServesResumableStreams reports whether a route sends streams that may be resumed to the
// service.
func (t *Table) ServesResumableStreams(service string) bool { return t.resumableServices[service] }

// KeyRequired reports whether requests on non-public routes need a key.
func (t *Table) KeyRequired() bool { return t.keyRequired }

// Customer returns the holder of a key, or nil.
func (t *Table) Customer(key string) *Customer { return t.customerByKey[key] }
