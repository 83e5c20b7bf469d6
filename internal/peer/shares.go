package peer

import (
	"sync"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/delegation"
	"github.com/magnoliawheel/magnoliawheel/core/notice"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
)

// shares is a delegation.Tracker for concurrent use. No other lock is taken while its own is
// held.
type shares struct {
	mu      sync.Mutex
	tracker *delegation.Tracker
}

func newShares() *shares { return &shares{tracker: delegation.New(clock.Now())} }

func (s *shares) follow(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Follow(clock.Now(), target)
}

func (s *shares) delegatesTo(target string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.DelegatesTo(clock.Now(), target)
}

func (s *shares) reported(sentAt time.Duration, owner string, delegates bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Reported(sentAt, owner, delegates)
}

// SetEntryCount sets the number of registered entries, including this one.
func (l *Links) SetEntryCount(n int) {
	l.shares.mu.Lock()
	defer l.shares.mu.Unlock()
	l.shares.tracker.SetInstances(n)
}

// ColdShare is a notice.ColdShare: this entry's part of the limit of a cold server, including
// the parts of the entries whose requests it places.
func (l *Links) ColdShare(now time.Duration, _ notice.Server, holders int) float64 {
	l.shares.mu.Lock()
	defer l.shares.mu.Unlock()
	return l.shares.tracker.Share(now, holders)
}
