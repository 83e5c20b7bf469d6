package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

// Bounds of noticing that the process was stopped for a while.
const (
	// pauseTick is the time between two signs of life.
	pauseTick = 100 * time.Millisecond
	// pauseLimit is the gap between signs of life that counts as a pause.
	pauseLimit = time.Second
	// refreshTimeout bounds the look at the platform's list after a pause.
	refreshTimeout = time.Second
)

// pauseGuard notices that the process was stopped and went on. What peers sent
// meanwhile is old, and the list may say by now that the instance leaves; so
// nothing is taken until the list was looked at once, with or without success.
type pauseGuard struct {
	log     logr.Logger
	refresh func(ctx context.Context)
	started time.Time
	// alive is the last sign of life, as the time since started; 0 before the first.
	alive      atomic.Int64
	refreshing atomic.Bool
}

func newPauseGuard(log logr.Logger, refresh func(ctx context.Context)) *pauseGuard {
	return &pauseGuard{log: log, refresh: refresh, started: time.Now()}
}

// paused tells whether nothing is to be taken now. A nil guard never is.
func (g *pauseGuard) paused(now time.Time) bool {
	if g == nil {
		return false
	}
	return g.refreshing.Load() || g.gap(now) > pauseLimit
}

// gap returns the time since the last sign of life; 0 before the first.
func (g *pauseGuard) gap(now time.Time) time.Duration {
	alive := time.Duration(g.alive.Load())
	if alive == 0 {
		return 0
	}
	return now.Sub(g.started) - alive
}

// run gives signs of life until ctx ends.
func (g *pauseGuard) run(ctx context.Context) error {
	for ok := true; ok; ok = wait(ctx, pauseTick) {
		g.beat(ctx, time.Now())
	}
	return nil
}

// beat gives a sign of life. After a pause it refreshes first: refreshing is set
// before the sign, so that paused is true throughout.
func (g *pauseGuard) beat(ctx context.Context, now time.Time) {
	gap := g.gap(now)
	if gap <= pauseLimit {
		g.alive.Store(max(int64(now.Sub(g.started)), 1))
		return
	}
	g.refreshing.Store(true)
	g.alive.Store(int64(now.Sub(g.started)))
	g.log.Info("The process was stopped for a while; the instance list is looked at first.", "gap", gap.String())
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	g.refresh(ctx)
	g.alive.Store(int64(time.Since(g.started)))
	g.refreshing.Store(false)
}
