// Package platform is the client side of the platform's services: the
// append-only log and the instance list.
package platform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/membership"
)

// Record is one record of a stream.
type Record struct {
	// Offset counts from 1 within the stream.
	Offset uint64 `json:"offset"`
	// Time is when the log took the record, by the log's clock.
	Time time.Time `json:"time"`
	Data []byte    `json:"data"`
}

// Batch is the result of a read.
type Batch struct {
	Records []Record `json:"records"`
	// First is the oldest offset still kept; Next is the offset of the next append.
	First uint64 `json:"first"`
	Next  uint64 `json:"next"`
}

// Errors of the log.
var (
	// ErrUnavailable means that nothing took effect.
	ErrUnavailable = errors.New("platform: log unavailable")
	// ErrOutcomeUnknown means that an append may have taken effect or may yet.
	ErrOutcomeUnknown = errors.New("platform: outcome of append unknown")
	// ErrTruncated means that the records asked for are no longer kept.
	ErrTruncated = errors.New("platform: records truncated")
)

// Log is the platform's append-only log.
type Log interface {
	// Append adds records to a stream in order, at consecutive offsets, and returns
	// the first offset. The error is ErrUnavailable or ErrOutcomeUnknown.
	Append(ctx context.Context, stream string, records ...[]byte) (first uint64, err error)
	// Read returns up to limit records from an offset on, waiting up to wait for
	// the first. The error is ErrUnavailable or ErrTruncated; with ErrTruncated the
	// batch carries First and Next.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Batch, error)
}

// InstanceList is the platform's lagging list of instances.
type InstanceList interface {
	// List returns the instances and the time at which the list was made.
	List(ctx context.Context) ([]membership.Instance, time.Time, error)
}

// Streams of the log.
const (
	// ConfigStream carries operators' changes and checkpoints.
	ConfigStream = "config"
	// ClaimStreamPrefix is followed by the number of the partition.
	ClaimStreamPrefix = "claims-"
	// LeaseStream carries the leases on the slots beside the servers.
	LeaseStream = "leases"
)
