package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/magnoliawheel/magnoliawheel/internal/clock"
)

// Faults configures the faults that a stand-in simulates.
type Faults struct {
	// DelayMS delays each call, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// SlowFactor multiplies the duration of each execution; 0 means 1.
	SlowFactor float64 `json:"slow"`
	// Down rejects calls with status 503 before they take effect.
	Down bool `json:"down"`
	// Hang blocks each call, before it takes effect, until Hang is switched off.
	Hang bool `json:"hang"`
	// Fail makes each call fail immediately with status 500, or 503 from the platform log
	// and the instance list.
	Fail bool `json:"fail"`
	// NotRun rejects each call with status 503 and the header Not-Run.
	NotRun bool `json:"not_run"`
	// DropResponses is the number of next calls that take effect but get no response:
	// their connections are closed.
	DropResponses int `json:"drop_answers"`
	// DelayedAppends is the number of next appends to the platform log that get no
	// response and take effect after AppendDelayMS milliseconds.
	DelayedAppends int `json:"late_writes"`
	AppendDelayMS  int `json:"late_write_ms"`
	// IgnoreFencingNumbers makes an engine accept orders with outdated fencing numbers.
	IgnoreFencingNumbers bool `json:"ignore_fences"`
	// CacheEventLagMS delays the publication of cache events, in milliseconds.
	CacheEventLagMS int `json:"cache_event_lag_ms"`
	// CacheEventLossRatio is the fraction of cache events that are never published.
	CacheEventLossRatio float64 `json:"cache_event_gap"`
	// LoadReportAgeMS is the age of load reports, in milliseconds.
	LoadReportAgeMS int `json:"load_lag_ms"`
	// StaleInstanceList makes the instance list return the instances of the moment when it
	// was switched on.
	StaleInstanceList bool `json:"stale"`
}

// Command is the body of POST /control. Besides these one-time actions, the body may
// hold the fields of Faults to change; faults that are absent keep their values.
type Command struct {
	// Reset restores the initial faults before the other fields are applied.
	Reset bool `json:"reset,omitempty"`
	// SilenceConnections makes all open connections, except the one that carries the
	// command, stop sending and receiving without being closed.
	SilenceConnections bool `json:"silence,omitempty"`
	// TruncateTo deletes the oldest records of each log stream until this many remain.
	TruncateTo *int `json:"truncate_to,omitempty"`
	// Instances replaces the instance list.
	Instances json.RawMessage `json:"instances,omitempty"`
}

// FaultSwitches holds the current faults of a stand-in.
type FaultSwitches struct {
	mu      sync.Mutex
	initial Faults
	current Faults
	changed chan struct{}
}

// NewFaultSwitches returns switches set to the initial faults.
func NewFaultSwitches(initial Faults) *FaultSwitches {
	return &FaultSwitches{initial: initial, current: initial, changed: make(chan struct{})}
}

// Get returns the current faults.
func (s *FaultSwitches) Get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Apply updates the faults from the body of a control request and returns its command.
func (s *FaultSwitches) Apply(body []byte) (Command, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var c Command
	if err := json.Unmarshal(body, &c); err != nil {
		return c, err
	}
	next := s.current
	if c.Reset {
		next = s.initial
	}
	if err := json.Unmarshal(body, &next); err != nil {
		return c, err
	}
	s.current = next
	close(s.changed)
	s.changed = make(chan struct{})
	return c, nil
}

// ConsumeResponseDrop decrements DropResponses if it is positive, and reports whether
// to drop the response of the current call.
func (s *FaultSwitches) ConsumeResponseDrop() bool {
	return s.consume(func(f *Faults) *int { return &f.DropResponses })
}

// ConsumeDelayedAppend decrements DelayedAppends if it is positive, and reports whether
// to delay the current append and by how much.
func (s *FaultSwitches) ConsumeDelayedAppend() (time.Duration, bool) {
	delayed := s.consume(func(f *Faults) *int { return &f.DelayedAppends })
	return time.Duration(s.Get().AppendDelayMS) * time.Millisecond, delayed
}

// consume decrements a counter if it is positive, and reports whether it did.
func (s *FaultSwitches) consume(counter func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := counter(&s.current)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// WaitHangAndDelay blocks while Hang is set and then for DelayMS. It returns false if
// ctx ends first.
func (s *FaultSwitches) WaitHangAndDelay(ctx context.Context) bool {
	for {
		s.mu.Lock()
		f, changed := s.current, s.changed
		s.mu.Unlock()
		if !f.Hang {
			return clock.Sleep(ctx, time.Duration(f.DelayMS)*time.Millisecond)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// EffectiveSlowFactor returns SlowFactor, or 1 if it is not set, but at least 0.01.
func (f Faults) EffectiveSlowFactor() float64 {
	if f.SlowFactor <= 0 {
		return 1
	}
	return max(f.SlowFactor, 0.01)
}

// AbortConnection closes the connection of the current call without a response.
func AbortConnection() { panic(http.ErrAbortHandler) }
