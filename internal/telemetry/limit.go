package telemetry

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// RateLimitedLogger logs each message at most once per interval, with the number of
// lines suppressed since the last one. It is safe for concurrent use.
type RateLimitedLogger struct {
	log      logr.Logger
	interval time.Duration
	now      func() time.Time

	mu        sync.Mutex
	histories map[string]*messageHistory
}

// messageHistory records when a message was last logged and how often it was suppressed
// since.
type messageHistory struct {
	loggedAt   time.Time
	suppressed int
}

// NewRateLimitedLogger returns a RateLimitedLogger that writes to log. Messages must be
// constants, since the state of each one is kept forever.
func NewRateLimitedLogger(log logr.Logger, interval time.Duration) *RateLimitedLogger {
	return &RateLimitedLogger{log: log, interval: interval, now: time.Now, histories: map[string]*messageHistory{}}
}

// Error logs an error unless the same message was logged within the interval.
func (l *RateLimitedLogger) Error(err error, msg string, keysAndValues ...any) {
	if suppressed, ok := l.allow(msg); ok {
		l.log.Error(err, msg, append(keysAndValues, "suppressed", suppressed)...)
	}
}

// Info logs a line unless the same message was logged within the interval.
func (l *RateLimitedLogger) Info(msg string, keysAndValues ...any) {
	if suppressed, ok := l.allow(msg); ok {
		l.log.Info(msg, append(keysAndValues, "suppressed", suppressed)...)
	}
}

func (l *RateLimitedLogger) allow(msg string) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	h := l.histories[msg]
	if h == nil {
		l.histories[msg] = &messageHistory{loggedAt: now}
		return 0, true
	}
	if now.Sub(h.loggedAt) < l.interval {
		h.suppressed++
		return 0, false
	}
	suppressed = h.suppressed
	*h = messageHistory{loggedAt: now}
	return suppressed, true
}
