// Package watch follows the records of the configuration and of the backend servers in
// the store. It never replaces a state by an older one.
package watch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/magnoliawheel/magnoliawheel/core/backoff"
	"github.com/magnoliawheel/magnoliawheel/core/routes"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

const (
	// readWaitShare is the part of the maximum configuration delay for which a read
	// waits for a change. A read may miss a change, and the next one must still be in
	// time.
	readWaitShare = 0.44
)

// retryBackoff gives the times between consecutive failed reads.
var retryBackoff = backoff.Policy{Initial: 50 * time.Millisecond, Max: 500 * time.Millisecond}

// Store is the part of the store that the watchers use.
type Store interface {
	Newest(ctx context.Context, topic string) ([]platform.KeyedRecord, int64, error)
	ReadKeyed(ctx context.Context, topic string, from int64, wait time.Duration) ([]platform.KeyedRecord, int64, error)
}

// Config follows the configuration.
type Config struct {
	store    Store
	log      logr.Logger
	onChange func(*routes.Table)
	// readWait is how long a read waits for a change.
	readWait time.Duration
	table    atomic.Pointer[routes.Table]
	// confirmedAt is the time, by clock.Now, as of which the store confirmed that the
	// table is the newest version.
	confirmedAt atomic.Int64
	// storeLost is set while reads fail.
	storeLost atomic.Bool
}

// NewConfig returns a watcher of the configuration. A new version comes into force
// within maxDelay, and onChange is called after each one.
func NewConfig(store Store, maxDelay time.Duration, log logr.Logger, onChange func(*routes.Table)) *Config {
	return &Config{store: store, readWait: time.Duration(readWaitShare * float64(maxDelay)), log: log, onChange: onChange}
}

// Table returns the newest known version, or nil.
func (c *Config) Table() *routes.Table { return c.table.Load() }

// StoreReachable reports whether the last read succeeded.
func (c *Config) StoreReachable() bool { return !c.storeLost.Load() }

// Age returns the time since the store confirmed the newest known version.
func (c *Config) Age() time.Duration {
	confirmedAt := c.confirmedAt.Load()
	if confirmedAt == 0 {
		return time.Duration(1<<63 - 1)
	}
	return clock.Now() - time.Duration(confirmedAt)
}

// Run follows the configuration until ctx ends.
func (c *Config) Run(ctx context.Context) {
	follow(ctx, follower{
		store: c.store, topic: platform.ConfigTopic, readWait: c.readWait, log: c.log,
		applyRecords: c.applyRecords, onConfirmed: func(asOf time.Duration) {
			c.confirmedAt.Store(int64(asOf))
			c.storeLost.Store(false)
		},
		onReadFailed: func(time.Duration) { c.storeLost.Store(true) },
	})
}

// applyRecords puts newer versions among the records into force.
func (c *Config) applyRecords(records []platform.KeyedRecord, _ bool) {
	for _, rec := range records {
		if rec.Key != platform.ConfigKey || rec.Deleted {
			continue
		}
		table, err := platform.DecodeConfig(rec.Value)
		if err != nil {
			c.log.Error(err, "Configuration record invalid.", "offset", rec.Offset)
			continue
		}
		current := c.table.Load()
		if current != nil && table.Version <= current.Version {
			continue
		}
		c.table.Store(table)
		c.log.Info("Configuration in force.", "version", table.Version, "offset", rec.Offset)
		c.onChange(table)
	}
}

// follower reads one topic: first the newest record of each key, then the records that
// follow.
type follower struct {
	store Store
	topic string
	// readWait is how long a read waits for records. readInterval is the time between
	// two reads.
	readWait, readInterval time.Duration
	log                    logr.Logger
	// applyRecords applies records. complete is true if they are the newest records of
	// all keys.
	applyRecords func(records []platform.KeyedRecord, complete bool)
	// onConfirmed receives the time as of which the store confirmed that the applied
	// records are the newest.
	onConfirmed func(asOf time.Duration)
	// onReadFailed, if set, receives the time of a failed read.
	onReadFailed func(now time.Duration)
}

// follow reads the topic until ctx ends.
func follow(ctx context.Context, f follower) {
	nextOffset := int64(-1)
	failures := 0
	for ctx.Err() == nil {
		start := clock.Now()
		var err error
		var waited time.Duration
		wait := f.readWait
		if failures > 0 {
			// After a failure, the state must be confirmed without delay.
			wait = 0
		}
		nextOffset, waited, err = f.read(ctx, nextOffset, wait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if failures == 0 {
				f.log.Info("Store became unreachable.", "topic", f.topic, "cause", err.Error())
			}
			if f.onReadFailed != nil {
				f.onReadFailed(clock.Now())
			}
			clock.Sleep(ctx, retryBackoff.Delay(failures))
			failures++
			continue
		}
		if failures > 0 {
			f.log.Info("Store is reachable again.", "topic", f.topic)
		}
		failures = 0
		f.onConfirmed(start + waited)
		clock.Sleep(ctx, f.readInterval)
	}
}

// read performs one read. It returns the offset of the next read, and how long the store
// waited if there were no new records: the response is valid as of the end of that wait.
func (f *follower) read(ctx context.Context, nextOffset int64, wait time.Duration) (int64, time.Duration, error) {
	if nextOffset < 0 {
		records, endOffset, err := f.store.Newest(ctx, f.topic)
		if err != nil {
			return -1, 0, err
		}
		f.applyRecords(records, true)
		return endOffset, 0, nil
	}
	records, end, err := f.store.ReadKeyed(ctx, f.topic, nextOffset, wait)
	if errors.Is(err, platform.ErrExpired) {
		return f.read(ctx, -1, wait)
	}
	if err != nil {
		return nextOffset, 0, err
	}
	f.applyRecords(records, false)
	if end == nextOffset {
		return end, wait, nil
	}
	return end, 0, nil
}
