// Package members maintains a process's view of the instances. It polls the platform's
// instance list and adds what the process observes itself.
package members

import (
	"github.com/magnoliawheel/magnoliawheel/core/membership"
	"github.com/magnoliawheel/magnoliawheel/core/routing"
)

// View is the current view of the instances.
type View interface {
	// Servers returns the servers of a pool, including those that are leaving. The slice
	// is shared and must not be modified.
	Servers(pool string) []routing.Server
	// Version changes whenever the result of Servers may have changed.
	Version() uint64
	// Instances returns all instances, sorted by id.
	Instances() []membership.Instance
	// MarkLeaving records that an agent reported that its server is leaving.
	MarkLeaving(id string, incarnation uint64)
	// RecordIncarnation records that an instance answered with an incarnation. A new
	// incarnation clears the leaving mark of the one before.
	RecordIncarnation(id string, incarnation uint64)
}
