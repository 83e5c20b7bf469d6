package agent

import (
	"context"
	"sync"
	"time"

	"github.com/magnoliawheel/magnoliawheel/internal/platform"
)

// fakeLog is a log in memory with faults.
type fakeLog struct {
	mu      sync.Mutex
	streams map[string][]platform.Record
	down    bool
	// readsDown fails reads only.
	readsDown bool
	// drop is how many of the next appends take effect without an answer.
	drop int
	// late is how many of the next appends get no answer and take effect by land.
	late    int
	pending []func()
	appends int
	reads   int
	// now is the log's clock; beforeAppend is called at each append.
	now          func() time.Time
	beforeAppend func()
}

func newFakeLog() *fakeLog { return &fakeLog{streams: map[string][]platform.Record{}, now: time.Now} }

func (l *fakeLog) set(f func(*fakeLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l)
}

// land lets the late appends take effect.
func (l *fakeLog) land() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.pending {
		f()
	}
	l.pending = nil
}

func (l *fakeLog) readCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

func (l *fakeLog) records() int {
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
	if l.down {
		return 0, platform.ErrUnavailable
	}
	apply := func() {
		for _, data := range records {
			r := platform.Record{Offset: uint64(len(l.streams[stream]) + 1), Time: l.now(), Data: data}
			l.streams[stream] = append(l.streams[stream], r)
		}
	}
	if l.late > 0 {
		l.late--
		l.pending = append(l.pending, apply)
		return 0, platform.ErrOutcomeUnknown
	}
	first := uint64(len(l.streams[stream]) + 1)
	apply()
	if l.drop > 0 {
		l.drop--
		return 0, platform.ErrOutcomeUnknown
	}
	return first, nil
}

func (l *fakeLog) Read(_ context.Context, stream string, from uint64, limit int, _ time.Duration) (platform.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if l.down || l.readsDown {
		return platform.Batch{}, platform.ErrUnavailable
	}
	all := l.streams[stream]
	b := platform.Batch{FirstOffset: 1, NextOffset: uint64(len(all) + 1)}
	for o := from; o < b.NextOffset && len(b.Records) < limit; o++ {
		b.Records = append(b.Records, all[o-1])
	}
	return b, nil
}

// noLog is a log that is down.
type noLog struct{}

func (noLog) Append(context.Context, string, ...[]byte) (uint64, error) {
	return 0, platform.ErrUnavailable
}

func (noLog) Read(context.Context, string, uint64, int, time.Duration) (platform.Batch, error) {
	return platform.Batch{}, platform.ErrUnavailable
}
