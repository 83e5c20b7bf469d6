package watch

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
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

// TestFailedReadIsShared guards against one call of a failing store for each of the streams that are
// resumed at the same time, and against the failure of an older read that counts for later requests.
func TestFailedReadIsShared(t *testing.T) {
	watcher, s := newReadServers(t)
	var ended sync.WaitGroup
	waiting := make(chan struct{})
	for range 20 {
		ended.Go(func() {
			waiting <- struct{}{}
			assert.Check(t, errors.Is(watcher.Confirm(t.Context()), platform.ErrUnavailable))
		})
		<-waiting
	}
	reads := make(chan int)
	stop := make(chan struct{})
	go func() {
		n := 0
		for {
			select {
			case <-s.calls:
				n++
				time.Sleep(20 * time.Millisecond)
				s.answers <- answer{err: platform.ErrUnavailable}
			case <-stop:
				reads <- n
				return
			}
		}
	}()
	ended.Wait()
	close(stop)
	n := <-reads
	assert.Assert(t, n <= 2, "%d reads", n)
	go func() {
		<-s.calls
		s.answers <- answer{next: position(1)}
	}()
	assert.NilError(t, watcher.Confirm(t.Context()))
}

// TestMissedRecordsAreReportedAfterTheNewestAreRead guards against a process that counts its
// knowledge as complete from before the newest records were read: servers may come and go
// between the loss of its position and that read.
func TestMissedRecordsAreReportedAfterTheNewestAreRead(t *testing.T) {
	const pause = 800 * time.Millisecond
	newest := answer{records: []platform.KeyedRecord{serverRecord("b", false)}, next: platform.Position{Era: 2, Offset: 5}}
	tests := []struct {
		name string
		// pause is the time without a confirmation before the position is lost.
		pause  time.Duration
		cause  error
		missed bool
	}{
		{"expired", 0, platform.ErrExpired, true},
		{"restored while in step", 0, platform.ErrRestored, false},
		{"restored while out of step", pause, platform.ErrRestored, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			watcher, s := newReadServers(t)
			var missedWith []bool
			watcher.OnMissed(func() { missedWith = append(missedWith, watcher.Takes("b")) })
			time.Sleep(tt.pause)
			go func() {
				for _, a := range []answer{{err: tt.cause}, {err: platform.ErrUnavailable}, newest} {
					<-s.calls
					s.answers <- a
				}
			}()
			assert.ErrorIs(t, watcher.topic.readExclusively(t.Context(), 0), platform.ErrUnavailable)
			assert.NilError(t, watcher.topic.readExclusively(t.Context(), 0))
			if !tt.missed {
				assert.Equal(t, len(missedWith), 0)
				return
			}
			assert.DeepEqual(t, missedWith, []bool{false, true})
		})
	}
}

// TestRestoredServersAreConfirmedOnlyOnceTheyAreSettled guards against the servers of a restored
// store counting as all, while some have not written their records again.
func TestRestoredServersAreConfirmedOnlyOnceTheyAreSettled(t *testing.T) {
	watcher, s := newReadServers(t)
	go func() {
		answers := []answer{{err: platform.ErrRestored}, {records: []platform.KeyedRecord{serverRecord("a", false)}, next: platform.Position{Era: 2, Offset: 1}}}
		for _, a := range answers {
			<-s.calls
			s.answers <- a
		}
	}()
	assert.ErrorIs(t, watcher.Confirm(t.Context()), ErrNotSettled)
}
