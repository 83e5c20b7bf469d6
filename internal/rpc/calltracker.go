package rpc

import (
	"context"
	"sync"

	"storj.io/drpc"
)

// CallTracker counts the calls in progress at a handler, so that a process can wait for
// them before it exits.
type CallTracker struct {
	handler drpc.Handler

	mu    sync.Mutex
	calls int
	// idle is closed and replaced whenever the number of calls drops to 0.
	idle chan struct{}
}

// NewCallTracker returns a CallTracker that passes calls on to h.
func NewCallTracker(h drpc.Handler) *CallTracker {
	return &CallTracker{handler: h, idle: make(chan struct{})}
}

// HandleRPC implements drpc.Handler. It returns once the reply has been sent.
func (t *CallTracker) HandleRPC(stream drpc.Stream, name string) error {
	t.mu.Lock()
	t.calls++
	t.mu.Unlock()
	defer t.finishCall()
	return t.handler.HandleRPC(stream, name)
}

func (t *CallTracker) finishCall() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls--
	if t.calls == 0 {
		close(t.idle)
		t.idle = make(chan struct{})
	}
}

// Wait returns once no call is in progress or ctx ends.
func (t *CallTracker) Wait(ctx context.Context) {
	t.mu.Lock()
	calls, idle := t.calls, t.idle
	t.mu.Unlock()
	if calls == 0 {
		return
	}
	select {
	case <-idle:
	case <-ctx.Done():
	}
}
