package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Faults are the fault switches of a stand-in.
type Faults struct {
	// DelayMS delays each answer, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// Slow multiplies the time of each execution; 0 means 1.
	Slow float64 `json:"slow"`
	// Down answers 503 without effect.
	Down bool `json:"down"`
	// Hang holds each call without effect until it is switched off.
	Hang bool `json:"hang"`
	// Fail answers 500 at once.
	Fail bool `json:"fail"`
	// NotRun answers 503 with Not-Run.
	NotRun bool `json:"not_run"`
	// DropAnswers is how many of the next calls take effect without an answer.
	DropAnswers int `json:"drop_answers"`
	// LateWrites is how many of the next appends get no answer and take effect
	// after LateWriteMS milliseconds.
	LateWrites  int `json:"late_writes"`
	LateWriteMS int `json:"late_write_ms"`
	// IgnoreFences makes an engine accept orders with old fencing numbers.
	IgnoreFences bool `json:"ignore_fences"`
	// CacheEventLagMS delays cache events, in milliseconds.
	CacheEventLagMS int `json:"cache_event_lag_ms"`
	// CacheEventGap is the share of cache events that are never published.
	CacheEventGap float64 `json:"cache_event_gap"`
	// LoadLagMS is the age of load reports, in milliseconds.
	LoadLagMS int `json:"load_lag_ms"`
	// Stale freezes the instance list.
	Stale bool `json:"stale"`
}

// Command is the body of POST /control: switches to change, and actions that are
// taken once. Switches that are absent keep their values.
type Command struct {
	// Reset sets all switches back first.
	Reset bool `json:"reset,omitempty"`
	// Silence makes the connections that are open silent for good.
	Silence bool `json:"silence,omitempty"`
	// TruncateTo drops all records of each stream but the newest ones.
	TruncateTo *int `json:"truncate_to,omitempty"`
	// Instances replaces the instance list.
	Instances json.RawMessage `json:"instances,omitempty"`
}

// Switches holds the faults in force.
type Switches struct {
	mu      sync.Mutex
	initial Faults
	now     Faults
	changed chan struct{}
}

// NewSwitches returns switches with initial faults.
func NewSwitches(initial Faults) *Switches {
	return &Switches{initial: initial, now: initial, changed: make(chan struct{})}
}

// Get returns the faults in force.
func (s *Switches) Get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

// Apply changes the switches named in the body of a control call.
func (s *Switches) Apply(body []byte) (Command, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var c Command
	if err := json.Unmarshal(body, &c); err != nil {
		return c, err
	}
	next := s.now
	if c.Reset {
		next = s.initial
	}
	if err := json.Unmarshal(body, &next); err != nil {
		return c, err
	}
	s.now = next
	close(s.changed)
	s.changed = make(chan struct{})
	return c, nil
}

// TakeDrop tells whether the answer of this call is to be dropped.
func (s *Switches) TakeDrop() bool {
	return s.take(func(f *Faults) *int { return &f.DropAnswers })
}

// TakeLateWrite tells whether this append takes effect late, and when.
func (s *Switches) TakeLateWrite() (time.Duration, bool) {
	late := s.take(func(f *Faults) *int { return &f.LateWrites })
	return time.Duration(s.Get().LateWriteMS) * time.Millisecond, late
}

func (s *Switches) take(counter func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := counter(&s.now)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// Gate applies the faults that all calls have in common: a hang, then a delay.
// It returns false once ctx ended.
func (s *Switches) Gate(ctx context.Context) bool {
	for {
		s.mu.Lock()
		f, changed := s.now, s.changed
		s.mu.Unlock()
		if !f.Hang {
			return sleep(ctx, time.Duration(f.DelayMS)*time.Millisecond)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// Factor returns the slow-down in force, at least 0.01.
func (f Faults) Factor() float64 {
	if f.Slow <= 0 {
		return 1
	}
	return max(f.Slow, 0.01)
}

// Abort cuts the connection of a call without an answer.
func Abort() { panic(http.ErrAbortHandler) }
