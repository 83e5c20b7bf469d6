package agent

import (
	"context"
	"sync"
	"time"

	"github.com/magnoliawheel/magnoliawheel/internal/platform"
)

// fakeLog is an in-memory platform log that can simulate faults.
type fakeLog struct {
	mu          sync.Mutex
	streams     map[string][]platform.Record
	unavailable bool
	// readsFail makes reads fail, but not appends.
	readsFail bool
	// lostAnswers is the number of appends from now on that take effect but return
	// ErrOutcomeUnknown.
	lostAnswers int
	// delayedAppends is the number of appends from now on that return
	// ErrOutcomeUnknown and take effect only when applyDelayed is called.
	delayedAppends int
	delayed        []func()
	appends        int
	reads          int
	// now is the log's clock. beforeAppend is called once, at the next append.
	now          func() time.Time
	beforeAppend func()
}

func newFakeLog() *fakeLog { return &fakeLog{streams: map[string][]platform.Record{}, now: time.Now} }

// configure changes the simulated faults while agents use the log.
func (l *fakeLog) configure(f func(*fakeLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l)
}

// applyDelayed lets the delayed appends take effect.
func (l *fakeLog) applyDelayed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.delayed {
		f()
	}
	l.delayed = nil
}

func (l *fakeLog) readCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

func (l *fakeLog) recordCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, s := range l.streams {
		n += len(s)
	}
	return n
}

func (l *fakeLog) Append(_ context.Context, stream string, records ...[]byte) (uint64, error) {
	l.mu.Lock()
	hook := l.beforeAppend
	l.beforeAppend = nil
	l.mu.Unlock()
	if hook != nil {
		hook()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	if l.unavailable {
		return 0, platform.ErrUnavailable
	}
	apply := func() {
		for _, data := range records {
			r := platform.Record{Offset: uint64(len(l.streams[stream]) + 1), Time: l.now(), Data: data}
			l.streams[stream] = append(l.streams[stream], r)
		}
	}
	if l.delayedAppends > 0 {
		l.delayedAppends--
		l.delayed = append(l.delayed, apply)
		return 0, platform.ErrOutcomeUnknown
	}
	first := uint64(len(l.streams[stream]) + 1)
	apply()
	if l.lostAnswers > 0 {
		l.lostAnswers--
		return 0, platform.ErrOutcomeUnknown
	}
	return first, nil
}

func (l *fakeLog) Read(_ context.Context, stream string, from uint64, limit int, _ time.Duration) (platform.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if l.unavailable || l.readsFail {
		return platform.Batch{}, platform.ErrUnavailable
	}
	all := l.streams[stream]
	b := platform.Batch{FirstOffset: 1, NextOffset: uint64(len(all) + 1)}
	for o := from; o < b.NextOffset && len(b.Records) < limit; o++ {
		b.Records = append(b.Records, all[o-1])
	}
	return b, nil
}

// unavailableLog is a log whose requests all fail.
type unavailableLog struct{}

func (unavailableLog) Append(context.Context, string, ...[]byte) (uint64, error) {
	return 0, platform.ErrUnavailable
}

func (unavailableLog) Read(context.Context, string, uint64, int, time.Duration) (platform.Batch, error) {
	return platform.Batch{}, platform.ErrUnavailable
}
