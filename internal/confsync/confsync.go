// Package confsync keeps the configuration of a process synchronized with the
// configuration stream of the log and with peers.
package confsync

import (
	"context"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
)

// Source provides the configuration to the rest of a process.
type Source interface {
	// Current returns the snapshot in force; it is never nil.
	Current() *configlog.Snapshot
	// ObserveOffset reports that a message from the process at addr showed the given
	// configuration offset. It does not block.
	ObserveOffset(addr string, offset uint64)
	// WaitReady blocks until a schema is in force or ctx ends.
	WaitReady(ctx context.Context) error
}
