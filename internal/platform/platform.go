// Package platform provides clients of the platform's services: the append-only log and
// the instance list.
package platform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/membership"
)

// Record is a record of a stream.
type Record struct {
	// Offset is the position in the stream; the first is 1.
	Offset uint64 `json:"offset"`
	// Time is when the log appended the record, by the clock of the log.
	Time time.Time `json:"time"`
	Data []byte    `json:"data"`
}

// Batch is the result of a read.
type Batch struct {
	Records []Record `json:"records"`
	// FirstOffset is the oldest offset in the log; NextOffset is the offset of the next
	// append.
	FirstOffset uint64 `json:"first"`
	NextOffset  uint64 `json:"next"`
}

// Errors of the log.
var (
	// ErrUnavailable means that the request failed and had no effect.
	ErrUnavailable = errors.New("platform: log unavailable")
	// ErrOutcomeUnknown means that an append may have taken effect, or may do so later.
	ErrOutcomeUnknown = errors.New("platform: outcome of append unknown")
	// ErrTruncated means that the log no longer holds the requested records.
	ErrTruncated = errors.New("platform: records truncated")
)

// Log is the platform's append-only log.
type Log interface {
	// Append appends records to a stream in order, at consecutive offsets, and returns the
	// first of them. The error is ErrUnavailable or ErrOutcomeUnknown.
	Append(ctx context.Context, stream string, records ...[]byte) (first uint64, err error)
	// Read returns up to limit records starting at an offset, and waits up to wait if there
	// are none. The error is ErrUnavailable or ErrTruncated; with ErrTruncated the batch has
	// FirstOffset and NextOffset set.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Batch, error)
}

// InstanceList is the platform's list of instances, which may be out of date.
type InstanceList interface {
	// List returns the instances and the time as of which the list is valid.
	List(ctx context.Context) ([]membership.Instance, time.Time, error)
}

// Streams of the log.
const (
	// ConfigStream holds the changes and checkpoints of the configuration.
	ConfigStream = "config"
	// ClaimStreamPrefix precedes the partition number in the name of a claim stream.
	ClaimStreamPrefix = "claims-"
	// LeaseStream holds the leases on the slots beside the backend servers.
	LeaseStream = "leases"
)
