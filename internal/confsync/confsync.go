// Package confsync keeps a process's configuration in step with the log and with
// its peers.
package confsync

import (
	"context"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
)

// Source is what the rest of a process needs of the configuration.
type Source interface {
	// Current returns the snapshot in force; it is never nil.
	Current() *configlog.Snapshot
	// Learn tells the source that the process at addr has the offset in force, as
	// seen on a message. It returns at once.
	Learn(addr string, offset uint64)
	// WaitReady returns once a schema is in force or ctx ends.
	WaitReady(ctx context.Context) error
}
