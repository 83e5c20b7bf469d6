package watch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/magnoliawheel/magnoliawheel/core/backoff"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

// retryBackoff gives the times between consecutive failed reads.
var retryBackoff = backoff.Policy{Initial: 50 * time.Millisecond, Max: 500 * time.Millisecond}

// Store is the part of the store that the watchers use.
type Store interface {
	Newest(ctx context.Context, topic string) ([]platform.KeyedRecord, platform.Position, error)
	ReadKeyed(ctx context.Context, topic string, from platform.Position, wait time.Duration) ([]platform.KeyedRecord, platform.Position, error)
}

// recordSet says what a set of records is.
type recordSet uint8

const (
	// newRecords are those that were appended since the last read.
	newRecords recordSet = iota
	// newestRecords are the newest records of all keys.
	newestRecords
	// restoredRecords are the newest records of all keys in a store that was restored
	// from a copy. They may be older than what is known.
	restoredRecords
)

// follower reads one topic: first the newest record of each key, then the records that
// follow.
type follower struct {
	store Store
	topic string
	// readWait is how long a read waits for records. readInterval is the time between
	// two reads.
	readWait, readInterval time.Duration
	log                    logr.Logger
	// applyRecords applies records.
	applyRecords func(records []platform.KeyedRecord, set recordSet)
	// onConfirmed receives the time as of which the store confirmed that the applied
	// records are the newest, and the position up to which they reach.
	onConfirmed func(asOf time.Duration, position platform.Position)
	// onReadFailed, if set, receives the time of a failed read.
	onReadFailed func(now time.Duration)

	// position is where the next read begins; it is valid if known is set. restored is
	// set from the moment at which the store turns out to be restored until the newest
	// records have been read.
	position platform.Position
	known    bool
	restored bool
}

// follow reads the topic until ctx ends.
func (f *follower) follow(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		start := clock.Now()
		wait := f.readWait
		if failures > 0 {
			// After a failure, the state must be confirmed without delay.
			wait = 0
		}
		waited, err := f.read(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.readFailed(err, failures)
			clock.Sleep(ctx, retryBackoff.Delay(failures))
			failures++
			continue
		}
		if failures > 0 {
			f.log.Info("Store is reachable again.", "topic", f.topic)
		}
		failures = 0
		f.onConfirmed(start+waited, f.position)
		clock.Sleep(ctx, f.readInterval)
	}
}

// readFailed handles a failed read, after the given number of failures in a row.
func (f *follower) readFailed(err error, failures int) {
	if failures == 0 {
		f.log.Info("Store became unreachable.", "topic", f.topic, "cause", err.Error())
	}
	if f.onReadFailed != nil {
		f.onReadFailed(clock.Now())
	}
}

// read performs one read and applies its records. It returns how long the store waited if
// there were no new records: the response is valid as of the end of that wait.
func (f *follower) read(ctx context.Context, wait time.Duration) (time.Duration, error) {
	if !f.known {
		return 0, f.readNewest(ctx)
	}
	records, next, err := f.store.ReadKeyed(ctx, f.topic, f.position, wait)
	if errors.Is(err, platform.ErrRestored) {
		f.log.Info("Store was restored from a copy.", "topic", f.topic, "cause", err.Error())
		f.known, f.restored = false, true
		return 0, f.readNewest(ctx)
	}
	if errors.Is(err, platform.ErrExpired) {
		f.known = false
		return 0, f.readNewest(ctx)
	}
	if err != nil {
		return 0, err
	}
	f.applyRecords(records, newRecords)
	if next == f.position {
		return wait, nil
	}
	f.position = next
	return 0, nil
}

// readNewest reads and applies the newest record of each key.
func (f *follower) readNewest(ctx context.Context) error {
	records, end, err := f.store.Newest(ctx, f.topic)
	if err != nil {
		return err
	}
	set := newestRecords
	if f.restored {
		set = restoredRecords
	}
	f.applyRecords(records, set)
	f.position, f.known, f.restored = end, true, false
	return nil
}
