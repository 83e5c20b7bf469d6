package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/magnoliawheel/magnoliawheel/internal/clock"
)

// Timing of the detection of pauses, in which the whole process was suspended.
const (
	// heartbeatInterval is the time between two heartbeats.
	heartbeatInterval = 100 * time.Millisecond
	// pauseThreshold is the gap between two heartbeats that counts as a pause.
	pauseThreshold = time.Second
	// refreshTimeout limits the refresh of the instance list after a pause.
	refreshTimeout = time.Second
)

// pauseGuard detects that the process was suspended and resumed. Requests that
// arrived in the meantime are out of date, and the instance may be marked as
// leaving by now. No call is accepted until one refresh of the instance list
// has ended, whether or not it succeeded.
type pauseGuard struct {
	log         logr.Logger
	refreshList func(ctx context.Context)
	started     time.Time
	// lastHeartbeat is the time of the last heartbeat in nanoseconds since started;
	// 0 before the first one.
	lastHeartbeat atomic.Int64
	refreshing    atomic.Bool
}

func newPauseGuard(log logr.Logger, refreshList func(ctx context.Context)) *pauseGuard {
	return &pauseGuard{log: log, refreshList: refreshList, started: time.Now()}
}

// paused tells whether calls must be refused now. It returns false for a nil
// guard.
func (g *pauseGuard) paused(now time.Time) bool {
	if g == nil {
		return false
	}
	return g.refreshing.Load() || g.sinceHeartbeat(now) > pauseThreshold
}

// sinceHeartbeat returns the time since the last heartbeat; 0 before the first
// one.
func (g *pauseGuard) sinceHeartbeat(now time.Time) time.Duration {
	last := time.Duration(g.lastHeartbeat.Load())
	if last == 0 {
		return 0
	}
	return now.Sub(g.started) - last
}

// run records heartbeats until ctx ends.
func (g *pauseGuard) run(ctx context.Context) error {
	for ok := true; ok; ok = clock.Sleep(ctx, heartbeatInterval) {
		g.heartbeat(ctx, time.Now())
	}
	return nil
}

// heartbeat records a heartbeat. After a pause it refreshes the instance list
// first; refreshing is set before the heartbeat is stored, so that paused never
// returns false in between.
func (g *pauseGuard) heartbeat(ctx context.Context, now time.Time) {
	gap := g.sinceHeartbeat(now)
	if gap <= pauseThreshold {
		g.lastHeartbeat.Store(max(int64(now.Sub(g.started)), 1))
		return
	}
	g.refreshing.Store(true)
	g.lastHeartbeat.Store(int64(now.Sub(g.started)))
	g.log.Info("The process was suspended. Calls are refused until the instance list is refreshed.", "gap", gap.String())
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	g.refreshList(ctx)
	g.lastHeartbeat.Store(int64(time.Since(g.started)))
	g.refreshing.Store(false)
}
