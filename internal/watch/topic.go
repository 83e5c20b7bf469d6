package watch

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/magnoliawheel/magnoliawheel/core/backoff"
	"github.com/magnoliawheel/magnoliawheel/core/feed"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

const (
	// relayTimeout is how long after the last word of another entry that reads the store
	// this one reads it itself: two status messages, and a little more.
	relayTimeout = 650 * time.Millisecond
	// relayPollInterval is the time between two checks whether that word is still new.
	relayPollInterval = 150 * time.Millisecond
	// relayDelay is how much older than the reader's own the state of a follower may be:
	// the time for which a status message and its echo wait to be sent.
	relayDelay = 600 * time.Millisecond
)

// retryBackoff gives the times between consecutive failed reads.
var retryBackoff = backoff.Policy{Initial: 50 * time.Millisecond, Max: 500 * time.Millisecond}

// followerRetryShare is the longest time between two failed reads of an entry that hears
// of one before it, as a fraction of the time between two reads. That one may be cut off
// from the store while this one is not, so the time must be well within the bounds.
const followerRetryShare = 0.55

// Store is the part of the store that the watchers use.
type Store interface {
	Newest(ctx context.Context, topic string) ([]platform.KeyedRecord, platform.Position, error)
	ReadKeyed(ctx context.Context, topic string, from platform.Position, wait time.Duration) ([]platform.KeyedRecord, platform.Position, error)
	// CloseIdleConnections makes the next read use a new connection.
	CloseIdleConnections()
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

// Topic follows one topic: first the newest record of each key, then the records that
// follow. While another entry reads the topic and tells what it finds, this one does not
// read it. Topic is safe for concurrent use.
type Topic struct {
	store Store
	name  string
	// readWait is how long a read waits for records. readInterval is the time between
	// two reads.
	readWait, readInterval time.Duration
	log                    logr.Logger
	// applyRecords applies records and returns those that changed anything.
	applyRecords func(records []platform.KeyedRecord, set recordSet) []platform.KeyedRecord
	// onConfirmed receives the time as of which the store confirmed that the applied
	// records are the newest, and the position up to which they reach.
	onConfirmed func(asOf time.Duration, position platform.Position)
	// onReadFailed, if set, receives the time of a failed read.
	onReadFailed func(now time.Duration)
	// onMissed, if set, is called when records may have been missed: they expired before this
	// entry read them, or a restored store lost them. It is called once that is known, and again
	// once the newest records have been applied, since more may have been missed until then.
	onMissed func()
	// reading holds a value while a read is in flight, so that the records of an older one are
	// never applied after those of a newer one.
	reading chan struct{}
	// failed is the last read that failed. Only who reads uses it.
	failed failedRead

	mu sync.Mutex
	// position is where the next read begins; it is valid if known is set. restored is
	// set from the moment at which the store turns out to be restored until the newest
	// records have been read.
	// hasMissedRecords is set from the moment at which records may have been missed until then.
	position         platform.Position
	known            bool
	restored         bool
	hasMissedRecords bool
	// confirmedAt is the time as of which the records are known to be the newest. direct
	// is true if a read of this entry showed so.
	confirmedAt time.Duration
	direct      bool
	// relayedAt is the time of the last confirmation by another entry, predecessorAt that
	// of the last status of an entry before this one.
	relayedAt, predecessorAt time.Duration
	// failing is set from a failed read to the next confirmation.
	failing bool
	// missed is the position of the first relayed change that could not be applied; it is
	// valid if hasMissed is set.
	missed    platform.Position
	hasMissed bool
	// changes are kept for the entries that follow this one. relayed are the offsets of
	// changes from the position on that were relayed and applied.
	changes feed.Feed
	relayed map[int64]bool
}

// TopicState is what an entry tells others about a topic.
type TopicState struct {
	// Position is how far the entry has read; it is valid if Known is set.
	Position feed.Position
	Known    bool
	// Direct is true if the entry itself reads the topic from the store.
	Direct bool
	// Age is the time since the store confirmed the state.
	Age time.Duration
}

// State returns the state of the topic.
func (t *Topic) State() TopicState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return TopicState{Position: t.position, Known: t.known, Direct: t.direct && !t.failing, Age: clock.Now() - t.confirmedAt}
}

// Next returns the changes that another entry lacks; see feed.Cursor.
func (t *Topic) Next(c *feed.Cursor, remote feed.Position) ([]feed.Change, feed.Position, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return c.Next(&t.changes, remote)
}

// PredecessorSeen records a status of an entry before this one.
func (t *Topic) PredecessorSeen() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.predecessorAt = clock.Now()
}

// retryDelay returns the time until the next read after the given number of failures
// before the newest one.
func (t *Topic) retryDelay(failures int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	delay := retryBackoff.Delay(failures)
	if t.predecessorAt > 0 && clock.Now()-t.predecessorAt < relayTimeout {
		delay = max(delay, time.Duration(followerRetryShare*float64(t.readWait+t.readInterval)))
	}
	return delay
}

// ApplyRelayed applies changes that another entry read from the store in the given era.
func (t *Topic) ApplyRelayed(era int64, changes []feed.Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.known || era != t.position.Era {
		t.recordMissed(era, changes)
		return
	}
	var records []platform.KeyedRecord
	if t.relayed == nil {
		t.relayed = map[int64]bool{}
	}
	for _, c := range changes {
		if c.Offset < t.position.Offset {
			continue
		}
		value, err := c.Original()
		if err != nil {
			t.log.Error(err, "Change of another entry invalid.", "topic", t.name, "offset", c.Offset)
			t.recordMissed(era, []feed.Change{c})
			continue
		}
		t.relayed[c.Offset] = true
		records = append(records, platform.KeyedRecord{Key: c.Key, Value: value, Offset: c.Offset, Deleted: c.Deleted})
	}
	if len(records) == 0 {
		return
	}
	if t.failing && t.onReadFailed != nil {
		// These changes may be due to the outage that this entry has seen as well.
		t.onReadFailed(clock.Now())
	}
	t.applyRecords(records, newRecords)
}

// recordMissed records that changes were not applied, so that no later word of the other
// entry, which does not send them again, counts as complete. The caller holds the lock.
func (t *Topic) recordMissed(era int64, changes []feed.Change) {
	if len(changes) == 0 || t.hasMissed && t.missed.Era == era {
		return
	}
	t.missed, t.hasMissed = platform.Position{Era: era, Offset: changes[0].Offset}, true
}

// hasMissedBefore reports whether a missed change is one of [position, to). The caller
// holds the lock.
func (t *Topic) hasMissedBefore(to platform.Position) bool {
	return t.hasMissed && t.missed.Era == to.Era && t.missed.Offset >= t.position.Offset && t.missed.Offset < to.Offset
}

// ConfirmRelayed handles the word of another entry that the changes in [from, to), all of
// which it has sent, were the newest at the time asOf. It has no effect if changes before
// from are missing here.
func (t *Topic) ConfirmRelayed(from, to feed.Position, asOf time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := clock.Now()
	if !t.known || from.Era != t.position.Era || to.Era != from.Era || from.Offset > t.position.Offset || to.Offset < t.position.Offset {
		return
	}
	if now-asOf > t.maxRelayedAge() || t.hasMissedBefore(to) {
		return
	}
	if to != t.position {
		// Only a gap is known of what this entry did not read itself.
		t.changes.Reset(to)
		clear(t.relayed)
	}
	t.position, t.relayedAt, t.direct = to, now, false
	t.confirm(asOf)
}

// maxRelayedAge bounds the age of a state that another entry reads.
func (t *Topic) maxRelayedAge() time.Duration { return t.readWait + t.readInterval + relayDelay }

// confirm records that the state is the newest as of the given time. The caller holds the
// lock.
func (t *Topic) confirm(asOf time.Duration) {
	t.failing = false
	t.confirmedAt = max(t.confirmedAt, asOf)
	t.onConfirmed(t.confirmedAt, t.position)
}

// isRelayed reports whether another entry currently reads the topic for this one, and what
// it says is new enough.
func (t *Topic) isRelayed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := clock.Now()
	return t.relayedAt > 0 && now-t.relayedAt < relayTimeout && now-t.confirmedAt < t.maxRelayedAge()
}

// run follows the topic until ctx ends.
func (t *Topic) run(ctx context.Context) {
	failures := 0
	confirmAtOnce := false
	for ctx.Err() == nil {
		if t.isRelayed() {
			confirmAtOnce = true
			clock.Sleep(ctx, relayPollInterval)
			continue
		}
		wait := t.readWait
		if failures > 0 || confirmAtOnce {
			// The state must be confirmed without delay.
			wait = 0
		}
		if confirmAtOnce {
			// A connection that was idle for long may be dead, which only a timeout shows.
			t.store.CloseIdleConnections()
		}
		err := t.readExclusively(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			t.readFailed(err, failures)
			t.waitForRetry(ctx, t.retryDelay(failures))
			failures++
			continue
		}
		if failures > 0 {
			t.log.Info("Store is reachable again.", "topic", t.name)
		}
		failures, confirmAtOnce = 0, false
		clock.Sleep(ctx, t.readInterval)
	}
}

// waitForRetry waits before a read is repeated, or until another entry reads the topic.
func (t *Topic) waitForRetry(ctx context.Context, d time.Duration) {
	end := clock.Now() + d
	for left := d; left > 0 && ctx.Err() == nil && !t.isRelayed(); left = end - clock.Now() {
		clock.Sleep(ctx, min(left, relayPollInterval))
	}
}

// readFailed handles a failed read, after the given number of failures in a row.
func (t *Topic) readFailed(err error, failures int) {
	if failures == 0 {
		t.log.Info("Store became unreachable.", "topic", t.name, "cause", err.Error())
	}
	t.mu.Lock()
	t.failing = true
	t.mu.Unlock()
	if t.onReadFailed != nil {
		t.onReadFailed(clock.Now())
	}
}

// read performs one read and applies its records.
func (t *Topic) read(ctx context.Context, wait time.Duration) error {
	start := clock.Now()
	t.mu.Lock()
	from, known := t.position, t.known
	t.mu.Unlock()
	if !known {
		return t.readNewest(ctx, start)
	}
	records, next, err := t.store.ReadKeyed(ctx, t.name, from, wait)
	if errors.Is(err, platform.ErrRestored) || errors.Is(err, platform.ErrExpired) {
		t.forgetPosition(err)
		return t.readNewest(ctx, start)
	}
	if err != nil {
		return err
	}
	asOf := start
	if took := clock.Now() - start; next == from && took >= wait {
		// The store waited, and the response is valid as of the end of that wait.
		asOf += wait
	} else if next == from {
		// The response says nothing about the time after it was sent.
		t.log.Info("Store responded before the end of the wait.", "topic", t.name, "took", took, "wait", wait)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.position != from {
		// Newer changes were relayed meanwhile, which older records must not follow.
		return nil
	}
	t.changes.Append(t.changesAmong(records, t.applyRecords(records, newRecords)), next)
	t.position, t.direct = next, true
	clear(t.relayed)
	t.confirm(asOf)
	return nil
}

// forgetPosition handles a read whose position is not valid any more.
func (t *Topic) forgetPosition(cause error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.known = false
	unconfirmedFor := clock.Now() - t.confirmedAt
	t.hasMissedRecords = t.hasMissedRecords || errors.Is(cause, platform.ErrExpired) || unconfirmedFor > t.maxRelayedAge()
	if errors.Is(cause, platform.ErrRestored) {
		t.restored = true
		t.log.Info("Store was restored from a copy.", "topic", t.name, "cause", cause.Error(), "unconfirmed_for", unconfirmedFor)
	}
	t.reportMissed()
}

// reportMissed calls onMissed if records may have been missed. The caller holds the lock.
func (t *Topic) reportMissed() {
	if t.hasMissedRecords && t.onMissed != nil {
		t.onMissed()
	}
}

// readNewest reads and applies the newest record of each key.
func (t *Topic) readNewest(ctx context.Context, start time.Duration) error {
	records, end, err := t.store.Newest(ctx, t.name)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	set := newestRecords
	if t.restored {
		set = restoredRecords
	}
	t.applyRecords(records, set)
	t.reportMissed()
	t.changes.Reset(end)
	clear(t.relayed)
	t.position, t.known, t.restored, t.direct, t.hasMissedRecords = end, true, false, true, false
	t.confirm(start)
	return nil
}

// changesAmong returns the changes among records that were read: those that were applied
// now, and those that were applied before because another entry relayed them. The caller
// holds the lock.
func (t *Topic) changesAmong(records, applied []platform.KeyedRecord) []feed.Change {
	isApplied := make(map[int64]bool, len(applied))
	for _, r := range applied {
		isApplied[r.Offset] = true
	}
	var changes []feed.Change
	for _, r := range records {
		if isApplied[r.Offset] || t.relayed[r.Offset] {
			changes = append(changes, feed.Change{Offset: r.Offset, Key: r.Key, Value: r.Value, Deleted: r.Deleted}.Compress())
		}
	}
	return changes
}
