package watch

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/feed"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

// newReadServers returns servers whose records were read up to offset 1 of era 1, with a store
// that responds to later calls as the test says.
func newReadServers(t *testing.T) (*Servers, *scriptedStore) {
	t.Helper()
	s := newScriptedStore(answer{records: []platform.KeyedRecord{serverRecord("a", false)}, next: position(1)})
	s.calls = make(chan call)
	watcher := NewServers(s, time.Millisecond, logr.Discard(), func() {})
	go func() { <-s.calls }()
	assert.NilError(t, watcher.Confirm(t.Context()))
	s.answers = make(chan answer)
	return watcher, s
}

// TestConfirmCountsOnlyReadsThatBeganLater guards against a confirmation by a read that began
// before it was asked for, and against one read for each of many requests.
func TestConfirmCountsOnlyReadsThatBeganLater(t *testing.T) {
	watcher, s := newReadServers(t)
	var confirmed sync.WaitGroup
	confirm := func(waiting chan<- struct{}) {
		confirmed.Go(func() {
			waiting <- struct{}{}
			assert.Check(t, watcher.Confirm(t.Context()))
			assert.Check(t, watcher.Takes("b"))
		})
	}
	go func() { _ = watcher.topic.readExclusively(t.Context(), 0) }()
	<-s.calls
	waiting := make(chan struct{})
	for range 20 {
		confirm(waiting)
		<-waiting
	}
	time.Sleep(50 * time.Millisecond)
	// The read in flight does not have the record that came before the others asked.
	s.answers <- answer{next: position(1)}
	<-s.calls
	s.answers <- answer{records: []platform.KeyedRecord{serverRecord("b", false)}, next: position(2)}
	confirmed.Wait()
}

// TestConfirmIsNotOvertaken guards against a read that counts as a confirmation although its
// records were not applied, since newer ones were relayed meanwhile.
func TestConfirmIsNotOvertaken(t *testing.T) {
	watcher, s := newReadServers(t)
	done := make(chan error)
	go func() { done <- watcher.Confirm(t.Context()) }()
	<-s.calls
	asOf := clock.Now() - 100*time.Millisecond
	change := serverRecord("b", false)
	watcher.topic.ApplyRelayed(1, []feed.Change{{Offset: 1, Key: change.Key, Value: change.Value}})
	watcher.topic.ConfirmRelayed(position(1), position(2), asOf)
	s.answers <- answer{records: []platform.KeyedRecord{serverRecord("b", false), serverRecord("c", false)}, next: position(3)}
	assert.Equal(t, <-s.calls, call{"read", position(2), false})
	s.answers <- answer{records: []platform.KeyedRecord{serverRecord("c", false)}, next: position(3)}
	assert.NilError(t, <-done)
	assert.Assert(t, watcher.Takes("c"))
}

// TestConfirmEndsWithItsContext guards against a request that waits for a store that does not
// respond, and against a failed read that counts.
func TestConfirmEndsWithItsContext(t *testing.T) {
	watcher, s := newReadServers(t)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	go func() { <-s.calls }()
	assert.ErrorIs(t, watcher.Confirm(ctx), context.DeadlineExceeded)
	go func() {
		<-s.calls
		s.answers <- answer{err: platform.ErrUnavailable}
	}()
	assert.ErrorIs(t, watcher.Confirm(t.Context()), platform.ErrUnavailable)
}
