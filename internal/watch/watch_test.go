package watch

import (
	"bytes"
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/feed"
	"github.com/magnoliawheel/magnoliawheel/core/routes"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/platform"
	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// answer is the response of the scripted store to one call.
type answer struct {
	records []platform.KeyedRecord
	next    platform.Position
	err     error
}

// scriptedStore is a store that returns the given answers in order. Calls beyond the
// last answer block until their context ends.
type scriptedStore struct {
	answers chan answer
	// calls receives the calls made.
	calls chan call
	// closedIdle counts the calls of CloseIdleConnections.
	closedIdle atomic.Int64
}

// call is a call of a store method; from is the position to read from.
type call struct {
	name string
	from platform.Position
	// hasWait is set if the store was asked to wait for records.
	hasWait bool
}

func newScriptedStore(answers ...answer) *scriptedStore {
	s := &scriptedStore{answers: make(chan answer, len(answers)), calls: make(chan call, 100)}
	for _, a := range answers {
		s.answers <- a
	}
	return s
}

func (s *scriptedStore) respond(ctx context.Context, c call) ([]platform.KeyedRecord, platform.Position, error) {
	select {
	case s.calls <- c:
	case <-ctx.Done():
	}
	select {
	case a := <-s.answers:
		return a.records, a.next, a.err
	case <-ctx.Done():
		return nil, platform.Position{}, ctx.Err()
	}
}

// Newest implements Store.
func (s *scriptedStore) Newest(ctx context.Context, _ string) ([]platform.KeyedRecord, platform.Position, error) {
	return s.respond(ctx, call{name: "newest"})
}

// CloseIdleConnections implements Store.
func (s *scriptedStore) CloseIdleConnections() { s.closedIdle.Add(1) }

// ReadKeyed implements Store.
func (s *scriptedStore) ReadKeyed(ctx context.Context, _ string, from platform.Position, wait time.Duration) ([]platform.KeyedRecord, platform.Position, error) {
	return s.respond(ctx, call{"read", from, wait > 0})
}

func configRecord(version int) platform.KeyedRecord {
	return platform.KeyedRecord{Key: platform.ConfigKey, Value: standin.ConfigRecord(version, []string{"key"})}
}

// runConfig runs a watcher of the configuration until it has made the given number of
// calls. It returns the watcher, the calls, and the versions that came into force.
func runConfig(t *testing.T, s *scriptedStore, calls int) (*Config, []call, []uint64) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var versions []uint64
	c := NewConfig(s, time.Hour, logr.Discard(), func(table *routes.Table) { versions = append(versions, table.Version) })
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.Run(ctx)
	}()
	var got []call
	for range calls {
		got = append(got, <-s.calls)
	}
	cancel()
	<-done
	return c, got, versions
}

func TestConfig(t *testing.T) {
	failedRead := answer{err: platform.ErrOutcomeUnknown}
	tests := []struct {
		name     string
		answers  []answer
		calls    []call
		versions []uint64
	}{
		{
			"newest record, then the following ones",
			[]answer{{records: []platform.KeyedRecord{configRecord(3)}, next: platform.Position{Offset: 5}}, {records: []platform.KeyedRecord{configRecord(4)}, next: platform.Position{Offset: 6}}},
			[]call{{name: "newest"}, {"read", platform.Position{Offset: 5}, true}, {"read", platform.Position{Offset: 6}, true}}, []uint64{3, 4},
		},
		{
			"older and repeated versions are ignored",
			[]answer{{records: []platform.KeyedRecord{configRecord(3)}, next: platform.Position{Offset: 5}}, {records: []platform.KeyedRecord{configRecord(2), configRecord(3)}, next: platform.Position{Offset: 7}}},
			[]call{{name: "newest"}, {"read", platform.Position{Offset: 5}, true}, {"read", platform.Position{Offset: 7}, true}}, []uint64{3},
		},
		{
			"invalid and deleted records and other keys are ignored",
			[]answer{{records: []platform.KeyedRecord{
				{Key: platform.ConfigKey, Value: []byte("\x00")}, {Key: "other", Value: []byte("{}")},
				{Key: platform.ConfigKey, Deleted: true}, configRecord(1),
			}, next: platform.Position{Offset: 4}}},
			[]call{{name: "newest"}, {"read", platform.Position{Offset: 4}, true}}, []uint64{1},
		},
		{
			"failed reads are retried from the same offset without a wait",
			[]answer{failedRead, failedRead, {next: platform.Position{Offset: 2}}, failedRead, {records: []platform.KeyedRecord{configRecord(1)}, next: platform.Position{Offset: 3}}},
			[]call{{name: "newest"}, {name: "newest"}, {name: "newest"}, {"read", platform.Position{Offset: 2}, true}, {"read", platform.Position{Offset: 2}, false}, {"read", platform.Position{Offset: 3}, true}}, []uint64{1},
		},
		{
			"expired records",
			[]answer{{records: []platform.KeyedRecord{configRecord(1)}, next: platform.Position{Offset: 2}}, {err: platform.ErrExpired}, {records: []platform.KeyedRecord{configRecord(5)}, next: platform.Position{Offset: 9}}},
			[]call{{name: "newest"}, {"read", platform.Position{Offset: 2}, true}, {name: "newest"}, {"read", platform.Position{Offset: 9}, true}}, []uint64{1, 5},
		},
		{
			"expired records, then an older version",
			[]answer{{records: []platform.KeyedRecord{configRecord(4)}, next: platform.Position{Offset: 2}}, {err: platform.ErrExpired}, {records: []platform.KeyedRecord{configRecord(3)}, next: platform.Position{Offset: 9}}},
			[]call{{name: "newest"}, {"read", platform.Position{Offset: 2}, true}, {name: "newest"}, {"read", platform.Position{Offset: 9}, true}}, []uint64{4},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, calls, versions := runConfig(t, newScriptedStore(tt.answers...), len(tt.calls))
			assert.Equal(t, len(calls), len(tt.calls))
			for i := range calls {
				assert.Equal(t, calls[i], tt.calls[i])
			}
			assert.DeepEqual(t, versions, tt.versions)
			assert.Equal(t, c.Table().Version, tt.versions[len(tt.versions)-1])
		})
	}
}

// TestAgeCountsFromLastConfirmation checks that only successful reads reset the age of
// the configuration, and that a response without records is valid as of the end of the
// wait of the store.
func TestAgeCountsFromLastConfirmation(t *testing.T) {
	c, _, _ := runConfig(t, newScriptedStore(answer{err: platform.ErrUnavailable}), 2)
	assert.Equal(t, c.Age(), time.Duration(1<<63-1), "age before the first read")

	c, _, _ = runConfig(t, newScriptedStore(answer{records: []platform.KeyedRecord{configRecord(1)}, next: platform.Position{Offset: 2}}), 2)
	assert.Assert(t, c.Age() >= 0 && c.Age() < time.Hour)

	c, _ = newFollowedConfig(t)
	c.topic.readWait = 30 * time.Millisecond
	c.topic.store = waitingStore{newScriptedStore(answer{next: position(5)})}
	start := clock.Now()
	assert.NilError(t, c.topic.read(t.Context(), c.topic.readWait))
	assert.Assert(t, c.topic.confirmedAt >= start+c.topic.readWait, "the wait of %v is not counted", c.topic.readWait)
	assert.Assert(t, c.topic.confirmedAt <= clock.Now())
}

func serverRecord(id string, draining bool) platform.KeyedRecord {
	return platform.KeyedRecord{Key: id, Value: standin.ServerRecord("s", "127.0.0.1:1", draining)}
}

func TestServers(t *testing.T) {
	s := newScriptedStore(
		answer{records: []platform.KeyedRecord{serverRecord("a", false), serverRecord("b", false), {Key: "invalid", Value: []byte("\x00")}}, next: platform.Position{Offset: 3}},
		answer{records: []platform.KeyedRecord{serverRecord("a", true), serverRecord("c", false)}, next: platform.Position{Offset: 5}},
		answer{err: platform.ErrOutcomeUnknown},
		answer{next: platform.Position{Offset: 5}},
	)
	ctx, cancel := context.WithCancel(t.Context())
	watcher := NewServers(s, time.Millisecond, logr.Discard(), func() {})
	assert.Assert(t, !watcher.Loaded())
	done := make(chan struct{})
	go func() {
		defer close(done)
		watcher.Run(ctx)
	}()
	for range 5 {
		<-s.calls
	}
	cancel()
	<-done
	assert.Assert(t, watcher.Loaded())
	var ids []string
	for _, server := range watcher.Usable("s") {
		ids = append(ids, server.ID)
	}
	assert.DeepEqual(t, ids, []string{"b", "c"})
	assert.Assert(t, !watcher.Takes("a") && !watcher.Takes("invalid") && watcher.Takes("c"))
}

// TestStoreEraKeepsConfiguration restores the store from a copy that lacks the newest
// version. The version stays in force, and the records are read anew.
func TestStoreEraKeepsConfiguration(t *testing.T) {
	c, calls, versions := runConfig(t, newScriptedStore(
		answer{records: []platform.KeyedRecord{configRecord(7)}, next: platform.Position{Era: 1, Offset: 9}},
		answer{err: platform.ErrRestored},
		answer{records: []platform.KeyedRecord{configRecord(5)}, next: platform.Position{Era: 2, Offset: 6}},
		answer{records: []platform.KeyedRecord{configRecord(7)}, next: platform.Position{Era: 2, Offset: 7}},
		answer{records: []platform.KeyedRecord{configRecord(8)}, next: platform.Position{Era: 2, Offset: 8}},
	), 6)
	assert.DeepEqual(t, versions, []uint64{7, 8})
	assert.Equal(t, calls[2].name, "newest")
	assert.Equal(t, calls[3], call{"read", platform.Position{Era: 2, Offset: 6}, true})
	assert.Equal(t, c.Table().Version, uint64(8))
}

// TestStoreEraOfStartingProcess starts a process after the store was restored from a copy
// that lacks the newest version. Until the store has it again, the older one must not be
// used as confirmed, since its keys may have been taken away.
func TestStoreEraOfStartingProcess(t *testing.T) {
	oldVersion := answer{records: []platform.KeyedRecord{configRecord(5)}, next: platform.Position{Era: 2, Offset: 6}}
	c, _, _ := runConfig(t, newScriptedStore(oldVersion), 2)
	assert.Equal(t, c.Age(), time.Duration(1<<63-1), "the versions of other entries are not known yet")
	c.Release()
	assert.Assert(t, c.Age() < time.Hour, "no other entry knows a newer version")

	c, _, _ = runConfig(t, newScriptedStore(oldVersion), 2)
	c.RequireVersion(7)
	c.RequireVersion(6)
	c.Release()
	assert.Equal(t, c.Age(), time.Duration(1<<63-1), "another entry knows version 7")
	c.applyRecords([]platform.KeyedRecord{configRecord(7)}, newRecords)
	assert.Assert(t, c.Age() < time.Hour)
	c.RequireVersion(9)
	assert.Assert(t, c.Age() < time.Hour, "a running entry learns versions from the store")

	c, _, _ = runConfig(t, newScriptedStore(answer{records: []platform.KeyedRecord{configRecord(5)}, next: platform.Position{Offset: 6}}), 2)
	assert.Assert(t, c.Age() < time.Hour, "the store was never restored")
}

// TestStoreEraKeepsServers restores the store from a copy in which one server is not yet
// leaving, one has its record of before, and one is missing.
func TestStoreEraKeepsServers(t *testing.T) {
	s := newScriptedStore(
		answer{records: []platform.KeyedRecord{serverRecord("leaving", false), serverRecord("running", false)}, next: platform.Position{Era: 1, Offset: 2}},
		answer{records: []platform.KeyedRecord{serverRecord("leaving", true), serverRecord("new", false)}, next: platform.Position{Era: 1, Offset: 4}},
		answer{err: platform.ErrRestored},
		answer{records: []platform.KeyedRecord{serverRecord("leaving", false), serverRecord("running", false)}, next: platform.Position{Era: 2, Offset: 2}},
	)
	ctx, cancel := context.WithCancel(t.Context())
	watcher := NewServers(s, time.Millisecond, logr.Discard(), func() {})
	done := make(chan struct{})
	go func() {
		defer close(done)
		watcher.Run(ctx)
	}()
	for range 5 {
		<-s.calls
	}
	cancel()
	<-done
	assert.Assert(t, !watcher.Takes("leaving"))
	assert.Assert(t, watcher.Takes("running") && watcher.Takes("new"))
}

// newFollowedConfig returns a configuration that was read up to offset 5 of era 1, and a
// function that returns the versions that came into force.
func newFollowedConfig(t *testing.T) (*Config, func() []uint64) {
	t.Helper()
	c, _, _ := runConfig(t, newScriptedStore(answer{records: []platform.KeyedRecord{configRecord(1)}, next: platform.Position{Era: 1, Offset: 5}}), 2)
	c.Release()
	var versions []uint64
	c.onChange = func(table *routes.Table) { versions = append(versions, table.Version) }
	return c, func() []uint64 { return versions }
}

func position(offset int64) platform.Position { return platform.Position{Era: 1, Offset: offset} }

// TestRelayedStateIsConfirmedWithItsAge checks that the word of another entry confirms the
// configuration as of the time at which it held, and only if nothing is missing.
func TestRelayedStateIsConfirmedWithItsAge(t *testing.T) {
	const age = 300 * time.Millisecond
	tests := []struct {
		name     string
		from, to platform.Position
		age      time.Duration
		accepted bool
	}{
		{"nothing new", position(5), position(5), age, true},
		{"records that changed nothing", position(3), position(9), age, true},
		{"a gap", position(6), position(9), age, false},
		{"behind", position(2), position(4), age, false},
		{"another era", platform.Position{Era: 2, Offset: 1}, platform.Position{Era: 2, Offset: 9}, age, false},
		{"too old", position(5), position(9), 3 * time.Hour, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, _ := newFollowedConfig(t)
			c.confirmedAt.Store(0)
			c.topic.confirmedAt = 0
			c.topic.ConfirmRelayed(tt.from, tt.to, clock.Now()-tt.age)
			if !tt.accepted {
				assert.Equal(t, c.Age(), time.Duration(1<<63-1))
				assert.Assert(t, !c.topic.isRelayed())
				assert.Equal(t, c.topic.State().Position, position(5))
				return
			}
			assert.Assert(t, c.Age() >= tt.age && c.Age() < time.Hour, "%v", c.Age())
			assert.Equal(t, c.topic.State().Position, tt.to)
			assert.Assert(t, !c.topic.State().Direct)
		})
	}
}

// TestRelayedChangesAreNotFollowedByOlderOnes checks that the response to a read that began
// before newer changes were relayed is not applied after them.
func TestRelayedChangesAreNotFollowedByOlderOnes(t *testing.T) {
	c, versions := newFollowedConfig(t)
	s := newScriptedStore(answer{records: []platform.KeyedRecord{configRecord(2)}, next: position(6)})
	c.topic.store = relayDuringRead{s, func() {
		c.topic.ApplyRelayed(1, []feed.Change{{Offset: 4, Key: platform.ConfigKey, Value: configRecord(9).Value}, {Offset: 6, Key: platform.ConfigKey, Value: configRecord(3).Value}})
		c.topic.ApplyRelayed(2, []feed.Change{{Offset: 8, Key: platform.ConfigKey, Value: configRecord(8).Value}})
		c.topic.ConfirmRelayed(position(5), position(7), clock.Now())
	}}
	assert.NilError(t, c.topic.read(t.Context(), 0))
	assert.DeepEqual(t, versions(), []uint64{3})
	assert.Equal(t, c.topic.State().Position, position(7))
}

// TestRelayedChangesAreCompressed checks that a follower applies a large change that the
// reader compressed, and that it does not count as complete without one that it cannot
// read.
func TestRelayedChangesAreCompressed(t *testing.T) {
	reader, _ := newFollowedConfig(t)
	large := configRecord(7)
	large.Value = append(large.Value, bytes.Repeat([]byte(" "), 10_000)...)
	large.Offset = 5
	reader.topic.store = newScriptedStore(answer{records: []platform.KeyedRecord{large}, next: position(6)})
	assert.NilError(t, reader.topic.read(t.Context(), 0))
	cursor := &feed.Cursor{}
	changes, _, ok := reader.topic.Next(cursor, position(5))
	assert.Assert(t, ok && len(changes) == 1 && changes[0].Compressed)
	assert.Assert(t, len(changes[0].Value) < len(large.Value)/2)

	follower, versions := newFollowedConfig(t)
	follower.topic.ApplyRelayed(1, changes)
	assert.DeepEqual(t, versions(), []uint64{7})

	cut, versions := newFollowedConfig(t)
	changes[0].Value = changes[0].Value[:len(changes[0].Value)/2]
	cut.topic.ApplyRelayed(1, changes)
	confirmedAt := cut.topic.State().Age
	cut.topic.ConfirmRelayed(position(5), position(6), clock.Now())
	assert.Equal(t, len(versions()), 0)
	assert.Assert(t, cut.topic.State().Age >= confirmedAt)
	assert.Equal(t, cut.topic.State().Position, position(5))
}

// waitingStore responds to reads after their wait.
type waitingStore struct{ Store }

// ReadKeyed implements Store.
func (w waitingStore) ReadKeyed(ctx context.Context, topic string, from platform.Position, wait time.Duration) ([]platform.KeyedRecord, platform.Position, error) {
	clock.Sleep(ctx, wait)
	return w.Store.ReadKeyed(ctx, topic, from, 0)
}

// relayDuringRead calls relay while a read waits for its response.
type relayDuringRead struct {
	Store
	relay func()
}

// ReadKeyed implements Store.
func (r relayDuringRead) ReadKeyed(ctx context.Context, topic string, from platform.Position, wait time.Duration) ([]platform.KeyedRecord, platform.Position, error) {
	records, next, err := r.Store.ReadKeyed(ctx, topic, from, wait)
	r.relay()
	return records, next, err
}

// TestFollowersRetryLessOften guards against all entries calling the store again and again
// while it is away: those that hear of an entry before them can wait for its word. But
// that entry may be cut off from the store alone, so the wait, and a read that gets no
// response, must leave time within the bound.
func TestFollowersRetryLessOften(t *testing.T) {
	const failures = 20
	const responseTimeout = 1500 * time.Millisecond
	for _, bound := range []time.Duration{2500 * time.Millisecond, 4 * time.Second} {
		config := NewConfig(nil, bound, logr.Discard(), nil).topic
		servers := NewServers(nil, bound, logr.Discard(), nil).topic
		for _, topic := range []*Topic{config, servers} {
			assert.Equal(t, topic.retryDelay(failures), retryBackoff.Max)
			topic.PredecessorSeen()
			assert.Assert(t, topic.retryDelay(0) >= 400*time.Millisecond, "%v", topic.retryDelay(0))
			assert.Assert(t, topic.retryDelay(failures)+responseTimeout < bound*9/10, "%v of %v", topic.retryDelay(failures), bound)
			topic.predecessorAt = clock.Now() - relayTimeout
			assert.Equal(t, topic.retryDelay(failures), retryBackoff.Max, "the entry before is gone")
		}
	}
}

// TestRelayedRemovalAfterOutage checks that a server whose record lapsed while the store
// was away stays in use for a moment, also at an entry that learns of it from another.
func TestRelayedRemovalAfterOutage(t *testing.T) {
	s := NewServers(newScriptedStore(answer{records: []platform.KeyedRecord{serverRecord("a", false)}, next: position(3)}, answer{err: platform.ErrUnavailable}), time.Millisecond, logr.Discard(), func() {})
	assert.NilError(t, s.topic.read(t.Context(), 0))
	s.topic.readFailed(s.topic.read(t.Context(), 0), 0)
	s.topic.ApplyRelayed(1, []feed.Change{{Offset: 3, Key: "a", Deleted: true}})
	assert.Assert(t, s.Takes("a"), "the server has not had time to write again")
	s.topic.ConfirmRelayed(position(3), position(4), clock.Now())
	s.topic.ApplyRelayed(1, []feed.Change{{Offset: 4, Key: "a", Value: serverRecord("a", false).Value}})
	s.topic.ApplyRelayed(1, []feed.Change{{Offset: 5, Key: "a", Deleted: true}})
	assert.Assert(t, s.Takes("a"), "the outage ended a moment ago")
}

// TestReaderThatLosesStoreIsNotFollowed guards against a configuration that comes into
// force too late: an entry that reads the store may be cut off from it while its followers
// still hear of it. From its last good read on, they must read the store themselves early
// enough for a response within the bound, on a connection of which they know that it works.
func TestReaderThatLosesStoreIsNotFollowed(t *testing.T) {
	for _, bound := range []time.Duration{2500 * time.Millisecond, 4 * time.Second} {
		for _, topic := range []*Topic{NewConfig(nil, bound, logr.Discard(), nil).topic, NewServers(nil, bound, logr.Discard(), nil).topic} {
			assert.Assert(t, topic.maxRelayedAge()+relayPollInterval < bound*3/4, "%v of %v", topic.maxRelayedAge(), bound)
		}
	}
	c, _ := newFollowedConfig(t)
	now := clock.Now()
	c.topic.confirmedAt = now - c.topic.maxRelayedAge()
	c.topic.relayedAt = now
	assert.Assert(t, !c.topic.isRelayed(), "the word is new, but what it says is old")

	reader, _ := newFollowedConfig(t)
	assert.Assert(t, reader.topic.State().Direct)
	reader.topic.readFailed(platform.ErrUnavailable, 0)
	assert.Assert(t, !reader.topic.State().Direct, "the reader has lost the store")
}

// TestFirstReadAfterRelayUsesNewConnection checks the switch from following to reading.
func TestFirstReadAfterRelayUsesNewConnection(t *testing.T) {
	c, _ := newFollowedConfig(t)
	s := newScriptedStore(answer{next: position(5)}, answer{next: position(5)})
	c.topic.store = s
	c.topic.ConfirmRelayed(position(5), position(5), clock.Now())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.topic.run(ctx)
	}()
	assert.Equal(t, <-s.calls, call{"read", position(5), false})
	assert.Equal(t, s.closedIdle.Load(), int64(1))
	assert.Equal(t, <-s.calls, call{"read", position(5), true})
	cancel()
	<-done
	assert.Equal(t, s.closedIdle.Load(), int64(1))
}

// TestEarlyEmptyResponseConfirmsNothingLater guards against a response without records that
// comes before the wait is over, as one may while the store goes away: the state is not
// known for the rest of the wait, and followers would take it over.
func TestEarlyEmptyResponseConfirmsNothingLater(t *testing.T) {
	c, _ := newFollowedConfig(t)
	c.topic.store = newScriptedStore(answer{next: position(5)})
	before := clock.Now()
	assert.NilError(t, c.topic.read(t.Context(), time.Hour))
	assert.Assert(t, c.topic.confirmedAt >= before && c.topic.confirmedAt <= clock.Now(), "confirmed %v after the response", c.topic.confirmedAt-clock.Now())
}

// TestMissedChangeIsNeverConfirmed checks that an entry which could not apply a relayed
// change, because it was reading the topic anew, does not count as complete until it has
// read that change itself.
func TestMissedChangeIsNeverConfirmed(t *testing.T) {
	c, versions := newFollowedConfig(t)
	c.topic.known = false
	c.topic.ApplyRelayed(1, []feed.Change{{Offset: 5, Key: platform.ConfigKey, Value: configRecord(2).Value}})
	c.topic.known = true
	c.topic.ConfirmRelayed(position(5), position(6), clock.Now())
	assert.Equal(t, c.topic.State().Position, position(5))
	c.topic.store = newScriptedStore(answer{records: []platform.KeyedRecord{configRecord(2)}, next: position(6)})
	assert.NilError(t, c.topic.read(t.Context(), 0))
	c.topic.ConfirmRelayed(position(5), position(7), clock.Now())
	assert.Equal(t, c.topic.State().Position, position(7))
	assert.DeepEqual(t, versions(), []uint64{2})
}

// TestRelayedChangesAreToldByTheNextReader guards against a change that followers never
// learn: the entry that read it tells the next one and is lost before it tells the others.
// The next one reads the same record, which changes nothing there any more, and must tell
// it to its own followers all the same.
func TestRelayedChangesAreToldByTheNextReader(t *testing.T) {
	c, versions := newFollowedConfig(t)
	var cursor feed.Cursor
	c.topic.ApplyRelayed(1, []feed.Change{{Offset: 5, Key: platform.ConfigKey, Value: configRecord(2).Value}})
	second := configRecord(3)
	second.Offset = 6
	first := configRecord(2)
	first.Offset = 5
	c.topic.store = newScriptedStore(answer{records: []platform.KeyedRecord{first, second}, next: position(7)})
	assert.NilError(t, c.topic.read(t.Context(), 0))
	assert.DeepEqual(t, versions(), []uint64{2, 3})
	changes, from, ok := c.topic.Next(&cursor, position(5))
	assert.Assert(t, ok)
	assert.Equal(t, from, position(5))
	assert.Equal(t, len(changes), 2, "%v", changes)
	assert.Equal(t, changes[0].Offset, int64(5))
}
