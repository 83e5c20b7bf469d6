package watch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/internal/clock"
)

// ErrNotSettled means that a restored store may lack records that their writers write again.
var ErrNotSettled = errors.New("records of a restored store are being written again")

// Age returns the time since which the store has not confirmed the records.
func (t *Topic) Age() time.Duration { return t.State().Age }

// IsOverdue reports whether the store has not confirmed the records for longer than it does
// while this entry, or the one that reads for it, is in touch with it.
func (t *Topic) IsOverdue() bool { return t.Age() > t.maxRelayedAge() }

// Confirm returns once all records have been applied that the store held when Confirm was
// called. Concurrent calls share a read or its failure, but none that began before them counts.
// Confirm returns the error of a failed read, and that of ctx if it ends before.
func (t *Topic) Confirm(ctx context.Context) error {
	asOf := clock.Now()
	unlock, err := t.lockReading(ctx)
	if err != nil {
		return err
	}
	defer unlock()
	for !t.isConfirmedSince(asOf) {
		if t.failed.began >= asOf && t.failed.err != nil {
			return t.failed.err
		}
		// A read that is overtaken by relayed changes confirms nothing.
		if err := t.readOnce(ctx, 0); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return errors.Wrap(ctx.Err(), "confirm")
		}
	}
	return nil
}

// isConfirmedSince reports whether all records have been applied that the store held at the
// given time.
func (t *Topic) isConfirmedSince(asOf time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known && t.confirmedAt >= asOf
}

// readExclusively is read once no other read is in flight.
func (t *Topic) readExclusively(ctx context.Context, wait time.Duration) error {
	unlock, err := t.lockReading(ctx)
	if err != nil {
		return err
	}
	defer unlock()
	return t.readOnce(ctx, wait)
}

// failedRead is a read that failed although its caller waited for it.
type failedRead struct {
	began time.Duration
	err   error
}

// readOnce is read, and records a failure for the calls of Confirm that wait meanwhile. The caller
// has called lockReading.
func (t *Topic) readOnce(ctx context.Context, wait time.Duration) error {
	began := clock.Now()
	err := t.read(ctx, wait)
	if err != nil && ctx.Err() == nil {
		t.failed = failedRead{began, err}
	}
	return err
}

// lockReading waits until no read is in flight.
func (t *Topic) lockReading(ctx context.Context) (unlock func(), err error) {
	select {
	case t.reading <- struct{}{}:
		return func() { <-t.reading }, nil
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "wait for a read in flight")
	}
}

// Age returns the time since which the store has not confirmed the servers.
func (s *Servers) Age() time.Duration { return s.topic.Age() }

// IsOverdue is Topic.IsOverdue for the servers.
func (s *Servers) IsOverdue() bool { return s.topic.IsOverdue() }

// Confirm is Topic.Confirm for the servers. It returns ErrNotSettled while servers may still
// have to write their records again to a restored store.
func (s *Servers) Confirm(ctx context.Context) error {
	if err := s.topic.Confirm(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if clock.Now() < s.settledAt {
		return ErrNotSettled
	}
	return nil
}
