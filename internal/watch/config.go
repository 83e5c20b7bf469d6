// Package watch follows the platform's records: the configuration and the servers.
// What it knows never goes back to an older state.
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
	// configShare is the part of the bound for a configuration that one read waits
	// for a change; a read may miss one, and the next must still be in time.
	configShare = 0.44
)

// pauses follow failed reads in a row.
var pauses = backoff.Policy{Initial: 50 * time.Millisecond, Max: 500 * time.Millisecond}

// Store is what the watchers need of the store.
type Store interface {
	Newest(ctx context.Context, topic string) ([]platform.KeyedRecord, int64, error)
	ReadKeyed(ctx context.Context, topic string, from int64, wait time.Duration) ([]platform.KeyedRecord, int64, error)
}

// Config follows the configuration.
type Config struct {
	store   Store
	log     logr.Logger
	changed func(*routes.Table)
	// wait is how long a read waits for a change.
	wait  time.Duration
	table atomic.Pointer[routes.Table]
	// contact is the time, by clock.Now, as of which the store confirmed the table.
	contact atomic.Int64
	// lost is set while reads fail.
	lost atomic.Bool
}

// NewConfig returns a watcher; bound is the time within which a version must be in
// force, and changed is called after each new one.
func NewConfig(store Store, bound time.Duration, log logr.Logger, changed func(*routes.Table)) *Config {
	return &Config{store: store, wait: time.Duration(configShare * float64(bound)), log: log, changed: changed}
}

// Table returns the newest version known, or nil.
func (c *Config) Table() *routes.Table { return c.table.Load() }

// Reached tells whether the store answered the last read.
func (c *Config) Reached() bool { return !c.lost.Load() }

// Age returns how long ago the store confirmed the newest version known.
func (c *Config) Age() time.Duration {
	at := c.contact.Load()
	if at == 0 {
		return time.Duration(1<<63 - 1)
	}
	return clock.Now() - time.Duration(at)
}

// Run follows the configuration until ctx ends.
func (c *Config) Run(ctx context.Context) {
	follow(ctx, follower{
		store: c.store, topic: platform.ConfigTopic, wait: c.wait, log: c.log,
		take: c.take, done: func(asOf time.Duration) {
			c.contact.Store(int64(asOf))
			c.lost.Store(false)
		},
		failed: func(time.Duration) { c.lost.Store(true) },
	})
}

func (c *Config) take(records []platform.KeyedRecord, _ bool) {
	for _, rec := range records {
		if rec.Key != platform.ConfigKey || rec.Deleted {
			continue
		}
		t, err := platform.DecodeConfig(rec.Value)
		if err != nil {
			c.log.Error(err, "Configuration not understood.", "offset", rec.Offset)
			continue
		}
		old := c.table.Load()
		if old != nil && t.Version <= old.Version {
			continue
		}
		c.table.Store(t)
		c.log.Info("Configuration in force.", "version", t.Version, "offset", rec.Offset)
		c.changed(t)
	}
}

// follower reads one topic: first the newest record of each key, then what follows.
type follower struct {
	store Store
	topic string
	// wait is how long a read waits for records, pause the time between two reads.
	wait, pause time.Duration
	log         logr.Logger
	// take takes records; whole is true if they are all that there is.
	take func(records []platform.KeyedRecord, whole bool)
	// done takes the time as of which the store confirmed what is known.
	done func(asOf time.Duration)
	// failed, if set, takes the time of a failed read.
	failed func(now time.Duration)
}

func follow(ctx context.Context, f follower) {
	next := int64(-1)
	failures := 0
	for ctx.Err() == nil {
		start := clock.Now()
		var err error
		var waited time.Duration
		wait := f.wait
		if failures > 0 {
			// What is known is to be confirmed at once.
			wait = 0
		}
		next, waited, err = f.read(ctx, next, wait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if failures == 0 {
				f.log.Info("Store lost.", "topic", f.topic, "cause", err.Error())
			}
			if f.failed != nil {
				f.failed(clock.Now())
			}
			clock.Sleep(ctx, pauses.Delay(failures))
			failures++
			continue
		}
		if failures > 0 {
			f.log.Info("Store regained.", "topic", f.topic)
		}
		failures = 0
		f.done(start + waited)
		clock.Sleep(ctx, f.pause)
	}
}

// read makes one read and returns the offset to go on from, and how long the store
// waited in vain for records: the answer holds as of the end of that wait.
func (f *follower) read(ctx context.Context, next int64, wait time.Duration) (int64, time.Duration, error) {
	if next < 0 {
		records, end, err := f.store.Newest(ctx, f.topic)
		if err != nil {
			return -1, 0, err
		}
		f.take(records, true)
		return end, 0, nil
	}
	records, end, err := f.store.ReadKeyed(ctx, f.topic, next, wait)
	if errors.Is(err, platform.ErrExpired) {
		return f.read(ctx, -1, wait)
	}
	if err != nil {
		return next, 0, err
	}
	f.take(records, false)
	if end == next {
		return end, wait, nil
	}
	return end, 0, nil
}
