package watch

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/routes"
	"github.com/magnoliawheel/magnoliawheel/platform"
	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// answer is what the scripted store says to one call.
type answer struct {
	records []platform.KeyedRecord
	next    int64
	err     error
}

// script is a store whose answers come one by one. Calls beyond the last answer wait
// until their context ends.
type script struct {
	answers chan answer
	// calls are the names of the calls, with the offset read from.
	calls chan call
}

type call struct {
	name string
	from int64
	// waits is set if the store is to wait for records.
	waits bool
}

func newScript(answers ...answer) *script {
	s := &script{answers: make(chan answer, len(answers)), calls: make(chan call, 100)}
	for _, a := range answers {
		s.answers <- a
	}
	return s
}

func (s *script) take(ctx context.Context, c call) ([]platform.KeyedRecord, int64, error) {
	select {
	case s.calls <- c:
	case <-ctx.Done():
	}
	select {
	case a := <-s.answers:
		return a.records, a.next, a.err
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// Newest implements Store.
func (s *script) Newest(ctx context.Context, _ string) ([]platform.KeyedRecord, int64, error) {
	return s.take(ctx, call{name: "newest"})
}

// ReadKeyed implements Store.
func (s *script) ReadKeyed(ctx context.Context, _ string, from int64, wait time.Duration) ([]platform.KeyedRecord, int64, error) {
	return s.take(ctx, call{"read", from, wait > 0})
}

func version(n int) platform.KeyedRecord {
	return platform.KeyedRecord{Key: platform.ConfigKey, Value: standin.ConfigRecord(n, []string{"key"})}
}

// followConfig runs a watcher of the configuration until the store has been asked for more
// than it answers, and returns the calls and the versions in force.
func followConfig(t *testing.T, s *script, calls int) (*Config, []call, []uint64) {
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
	lost := answer{err: platform.ErrOutcomeUnknown}
	tests := []struct {
		name     string
		answers  []answer
		calls    []call
		versions []uint64
	}{
		{
			"newest, then what follows",
			[]answer{{records: []platform.KeyedRecord{version(3)}, next: 5}, {records: []platform.KeyedRecord{version(4)}, next: 6}},
			[]call{{name: "newest"}, {"read", 5, true}, {"read", 6, true}}, []uint64{3, 4},
		},
		{
			"an older version, and one twice",
			[]answer{{records: []platform.KeyedRecord{version(3)}, next: 5}, {records: []platform.KeyedRecord{version(2), version(3)}, next: 7}},
			[]call{{name: "newest"}, {"read", 5, true}, {"read", 7, true}}, []uint64{3},
		},
		{
			"records that are not understood, of other keys, dropped",
			[]answer{{records: []platform.KeyedRecord{
				{Key: platform.ConfigKey, Value: []byte("\x00")}, {Key: "other", Value: []byte("{}")},
				{Key: platform.ConfigKey, Deleted: true}, version(1),
			}, next: 4}},
			[]call{{name: "newest"}, {"read", 4, true}}, []uint64{1},
		},
		{
			"lost answers are asked for again from the same offset, without a wait",
			[]answer{lost, lost, {next: 2}, lost, {records: []platform.KeyedRecord{version(1)}, next: 3}},
			[]call{{name: "newest"}, {name: "newest"}, {name: "newest"}, {"read", 2, true}, {"read", 2, false}, {"read", 3, true}}, []uint64{1},
		},
		{
			"records that are kept no longer",
			[]answer{{records: []platform.KeyedRecord{version(1)}, next: 2}, {err: platform.ErrExpired}, {records: []platform.KeyedRecord{version(5)}, next: 9}},
			[]call{{name: "newest"}, {"read", 2, true}, {name: "newest"}, {"read", 9, true}}, []uint64{1, 5},
		},
		{
			"kept no longer, and an older state in their place",
			[]answer{{records: []platform.KeyedRecord{version(4)}, next: 2}, {err: platform.ErrExpired}, {records: []platform.KeyedRecord{version(3)}, next: 9}},
			[]call{{name: "newest"}, {"read", 2, true}, {name: "newest"}, {"read", 9, true}}, []uint64{4},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, calls, versions := followConfig(t, newScript(tt.answers...), len(tt.calls))
			assert.Equal(t, len(calls), len(tt.calls))
			for i := range calls {
				assert.Equal(t, calls[i], tt.calls[i])
			}
			assert.DeepEqual(t, versions, tt.versions)
			assert.Equal(t, c.Table().Version, tt.versions[len(tt.versions)-1])
		})
	}
}

// TestAgeCountsFromAnswers checks that only answers make the configuration younger,
// and that an answer without records holds as of the end of the store's wait.
func TestAgeCountsFromAnswers(t *testing.T) {
	c, _, _ := followConfig(t, newScript(answer{err: platform.ErrUnavailable}), 2)
	assert.Equal(t, c.Age(), time.Duration(1<<63-1), "never read")

	c, _, _ = followConfig(t, newScript(answer{records: []platform.KeyedRecord{version(1)}, next: 2}), 2)
	assert.Assert(t, c.Age() >= 0 && c.Age() < time.Hour)
	before := c.contact.Load()

	c, _, _ = followConfig(t, newScript(answer{records: []platform.KeyedRecord{version(1)}, next: 2}, answer{next: 2}), 3)
	assert.Assert(t, time.Duration(c.contact.Load()-before) > c.wait/2, "the wait of %v is not counted", c.wait)
}

func server(id string, leaving bool) platform.KeyedRecord {
	return platform.KeyedRecord{Key: id, Value: standin.ServerRecord("s", "127.0.0.1:1", leaving)}
}

func TestServers(t *testing.T) {
	s := newScript(
		answer{records: []platform.KeyedRecord{server("a", false), server("b", false), {Key: "odd", Value: []byte("\x00")}}, next: 3},
		answer{records: []platform.KeyedRecord{server("a", true), server("c", false)}, next: 5},
		answer{err: platform.ErrOutcomeUnknown},
		answer{next: 5},
	)
	ctx, cancel := context.WithCancel(t.Context())
	w := NewServers(s, time.Millisecond, logr.Discard(), func() {})
	assert.Assert(t, !w.Loaded())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	for range 5 {
		<-s.calls
	}
	cancel()
	<-done
	assert.Assert(t, w.Loaded())
	var ids []string
	for _, u := range w.Usable("s") {
		ids = append(ids, u.ID)
	}
	assert.DeepEqual(t, ids, []string{"b", "c"})
	assert.Assert(t, !w.Takes("a") && !w.Takes("odd") && w.Takes("c"))
}
