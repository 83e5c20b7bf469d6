package telemetry

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// Limited writes at most one line of each message in an interval, with the
// number of lines left out since. It is safe for concurrent use.
type Limited struct {
	log      logr.Logger
	interval time.Duration
	now      func() time.Time

	mu   sync.Mutex
	last map[string]*history
}

type history struct {
	at     time.Time
	missed int
}

// NewLimited returns a limited view of log. Messages must be constants, since
// each one is remembered.
func NewLimited(log logr.Logger, interval time.Duration) *Limited {
	return &Limited{log: log, interval: interval, now: time.Now, last: map[string]*history{}}
}

// Error logs an error unless the same message was logged within the interval.
func (l *Limited) Error(err error, msg string, keysAndValues ...any) {
	if missed, ok := l.allow(msg); ok {
		l.log.Error(err, msg, append(keysAndValues, "suppressed", missed)...)
	}
}

// Info logs a line unless the same message was logged within the interval.
func (l *Limited) Info(msg string, keysAndValues ...any) {
	if missed, ok := l.allow(msg); ok {
		l.log.Info(msg, append(keysAndValues, "suppressed", missed)...)
	}
}

func (l *Limited) allow(msg string) (missed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	h := l.last[msg]
	if h == nil {
		l.last[msg] = &history{at: now}
		return 0, true
	}
	if now.Sub(h.at) < l.interval {
		h.missed++
		return 0, false
	}
	missed = h.missed
	*h = history{at: now}
	return missed, true
}
