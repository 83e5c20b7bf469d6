package rpc

import (
	"context"
	"sync"

	"storj.io/drpc"
)

// InFlight counts the calls that a handler answers, so that a process can end
// between them.
type InFlight struct {
	handler drpc.Handler

	mu    sync.Mutex
	calls int
	// idle is closed and replaced whenever no call is left.
	idle chan struct{}
}

// NewInFlight counts the calls of a handler.
func NewInFlight(h drpc.Handler) *InFlight {
	return &InFlight{handler: h, idle: make(chan struct{})}
}

// HandleRPC implements drpc.Handler. It returns after the answer was sent.
func (f *InFlight) HandleRPC(stream drpc.Stream, name string) error {
	f.mu.Lock()
	f.calls++
	f.mu.Unlock()
	defer f.end()
	return f.handler.HandleRPC(stream, name)
}

func (f *InFlight) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls--
	if f.calls == 0 {
		close(f.idle)
		f.idle = make(chan struct{})
	}
}

// Wait returns once no call is in flight or ctx ends.
func (f *InFlight) Wait(ctx context.Context) {
	f.mu.Lock()
	calls, idle := f.calls, f.idle
	f.mu.Unlock()
	if calls == 0 {
		return
	}
	select {
	case <-idle:
	case <-ctx.Done():
	}
}
