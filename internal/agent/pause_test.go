package agent

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
)

// TestPauseGuard checks that a gap between heartbeats counts as a pause until
// the instance list has been refreshed.
func TestPauseGuard(t *testing.T) {
	var pausedDuringRefresh []bool
	var g *pauseGuard
	now := time.Now()
	g = newPauseGuard(logr.Discard(), func(context.Context) { pausedDuringRefresh = append(pausedDuringRefresh, g.paused(now)) })
	assert.Assert(t, !g.paused(now.Add(time.Hour)), "paused before the first heartbeat")
	ctx := context.Background()
	g.heartbeat(ctx, now)
	now = now.Add(pauseThreshold)
	assert.Assert(t, !g.paused(now))
	now = now.Add(time.Millisecond)
	assert.Assert(t, g.paused(now), "the pause is detected before the next heartbeat")
	g.heartbeat(ctx, now)
	assert.DeepEqual(t, pausedDuringRefresh, []bool{true})
	assert.Assert(t, !g.refreshing.Load())
	assert.Assert(t, !(*pauseGuard)(nil).paused(now))
}
