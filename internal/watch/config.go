// Package watch follows the records of the configuration and of the backend servers in
// the store. It never replaces a state by an older one.
package watch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/magnoliawheel/magnoliawheel/core/evacuation"
	"github.com/magnoliawheel/magnoliawheel/core/routes"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

const (
	// readWaitShare is the part of the maximum configuration delay for which a read
	// waits for a change. A read may miss a change, and the next one must still be in
	// time.
	readWaitShare = 0.3
	// evacuationRewriteTime is how long an evacuation that a restored store does not list
	// stays in force, so that the operator has time to write it again.
	evacuationRewriteTime = 3 * time.Second
)

// Config follows the configuration and the evacuations of zones, which the operator writes
// to the same topic.
type Config struct {
	log      logr.Logger
	onChange func(*routes.Table)
	topic    *Topic
	table    atomic.Pointer[routes.Table]
	// confirmedAt is the time, by clock.Now, as of which the store confirmed that the
	// table is the newest version.
	confirmedAt atomic.Int64
	// storeLost is set while reads fail.
	storeLost atomic.Bool
	// unchecked is set from the process start until the version is known to be no older
	// than what other entries know; see Release. requiredVersion is the newest version
	// that another entry reported by then.
	unchecked       atomic.Bool
	requiredVersion atomic.Uint64
	// attested is set once an entry that is not unchecked itself has told its version.
	attested atomic.Bool
	// evacuations is used by the callbacks of topic, which are never concurrent.
	evacuations         *evacuation.Set
	onEvacuation        func(zone string, evacuated bool)
	rejectedEvacuations *Rejections
}

// NewConfig returns a watcher of the configuration. A new version comes into force
// within maxDelay, and onChange is called after each one.
func NewConfig(store Store, maxDelay time.Duration, log logr.Logger, onChange func(*routes.Table)) *Config {
	c := &Config{log: log, onChange: onChange, evacuations: evacuation.New(evacuationRewriteTime), onEvacuation: func(string, bool) {}}
	c.unchecked.Store(true)
	c.rejectedEvacuations = NewRejections(log, "Evacuation record rejected.")
	c.topic = &Topic{
		store: store, name: platform.ConfigTopic, readWait: time.Duration(readWaitShare * float64(maxDelay)), log: log,
		reading:      make(chan struct{}, 1),
		applyRecords: c.applyRecords, onConfirmed: c.confirm,
		onReadFailed: func(time.Duration) { c.storeLost.Store(true) },
	}
	return c
}

// OnEvacuation sets the function that is called when the evacuation of a zone begins or ends.
// It must be called before Run.
func (c *Config) OnEvacuation(f func(zone string, evacuated bool)) { c.onEvacuation = f }

// Topic returns the topic with the configuration.
func (c *Config) Topic() *Topic { return c.topic }

// Table returns the newest known version, or nil.
func (c *Config) Table() *routes.Table { return c.table.Load() }

// StoreReachable reports whether the last read succeeded.
func (c *Config) StoreReachable() bool { return !c.storeLost.Load() }

// RequireVersion reports that another entry knows a version. A process that started after
// the store was restored from a copy may read an older one, whose keys may since have been
// taken away. It counts as not confirmed until the store has the newer one again.
func (c *Config) RequireVersion(version uint64) {
	for c.unchecked.Load() {
		required := c.requiredVersion.Load()
		if version <= required || c.requiredVersion.CompareAndSwap(required, version) {
			return
		}
	}
}

// Attest records that an entry which goes by its configuration has told its version.
func (c *Config) Attest() { c.attested.Store(true) }

// Attested reports whether Attest was called.
func (c *Config) Attested() bool { return c.attested.Load() }

// Release ends the wait of a starting process for the versions that other entries know.
// Until then the configuration of a store that was once restored is not confirmed.
func (c *Config) Release() { c.unchecked.Store(false) }

// Unchecked reports whether the process has not been released, so that it does not go by
// its configuration yet.
func (c *Config) Unchecked() bool { return c.unchecked.Load() }

// isOutdated reports whether another entry knows, or may know, a newer version that the
// store has lost.
func (c *Config) isOutdated() bool {
	table := c.table.Load()
	return c.unchecked.Load() || table != nil && table.Version < c.requiredVersion.Load()
}

// Age returns the time since the store confirmed the newest known version.
func (c *Config) Age() time.Duration {
	confirmedAt := c.confirmedAt.Load()
	if confirmedAt == 0 || c.isOutdated() {
		return time.Duration(1<<63 - 1)
	}
	return clock.Now() - time.Duration(confirmedAt)
}

// Run follows the configuration until ctx ends.
func (c *Config) Run(ctx context.Context) { c.topic.run(ctx) }

// confirm records that the store confirmed the table.
func (c *Config) confirm(asOf time.Duration, position platform.Position) {
	if position.Era == 0 {
		c.Release()
	}
	c.evacuationsChanged(nil, c.evacuations.RemoveUnconfirmed(clock.Now()))
	c.confirmedAt.Store(int64(asOf))
	c.storeLost.Store(false)
}

// applyRecords puts newer versions and evacuations among the records into force.
func (c *Config) applyRecords(records []platform.KeyedRecord, set recordSet) []platform.KeyedRecord {
	applied := c.applyEvacuations(records, set)
	written := false
	for _, rec := range records {
		if rec.Key != platform.ConfigKey || rec.Deleted {
			continue
		}
		written = true
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
		applied = append(applied, rec)
		c.log.Info("Configuration in force.", "version", table.Version, "offset", rec.Offset)
		c.onChange(table)
	}
	if written && set == newRecords {
		// The operator has written since the process started, so also since the store was
		// restored.
		c.Release()
	}
	return applied
}
