// Package members keeps a process's view of the instances: it polls the
// platform's list and takes in what the process sees itself.
package members

import (
	"github.com/magnoliawheel/magnoliawheel/core/membership"
	"github.com/magnoliawheel/magnoliawheel/core/routing"
)

// View is what the rest of a process needs of the membership.
type View interface {
	// Servers returns the servers of a pool, leaving ones included. The slice is
	// shared and must not be changed.
	Servers(pool string) []routing.Server
	// Version changes whenever the answer of Servers may have changed.
	Version() uint64
	// Instances returns all instances, sorted by id.
	Instances() []membership.Instance
	// Leaving records that an agent said that its server is leaving.
	Leaving(id string, incarnation uint64)
	// Seen records that an instance answered under an incarnation, which ends the
	// leaving mark of the one before.
	Seen(id string, incarnation uint64)
}
