package agent

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
)

func TestPauseGuard(t *testing.T) {
	var during []bool
	var g *pauseGuard
	now := time.Now()
	g = newPauseGuard(logr.Discard(), func(context.Context) { during = append(during, g.paused(now)) })
	assert.Assert(t, !g.paused(now.Add(time.Hour)), "paused before the first sign of life")
	ctx := context.Background()
	g.beat(ctx, now)
	now = now.Add(pauseLimit)
	assert.Assert(t, !g.paused(now))
	now = now.Add(time.Millisecond)
	assert.Assert(t, g.paused(now), "the pause counts before anything else has run")
	g.beat(ctx, now)
	assert.DeepEqual(t, during, []bool{true})
	assert.Assert(t, !g.refreshing.Load())
	assert.Assert(t, !(*pauseGuard)(nil).paused(now))
}
