package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/limit"
	"github.com/magnoliawheel/magnoliawheel/core/schema"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
	"github.com/magnoliawheel/magnoliawheel/internal/settings"
)

// TestSimulateRegionDelay checks that only calls from other regions are
// delayed, and that the delay is subtracted from their budget.
func TestSimulateRegionDelay(t *testing.T) {
	cases := []struct {
		name   string
		delay  time.Duration
		origin string
		budget uint64
	}{
		{"none set", 0, "aqaba", 5000},
		{"same region", time.Millisecond, "amman", 5000},
		{"other region", time.Millisecond, "aqaba", 4000},
		{"longer than the budget", 6 * time.Millisecond, "aqaba", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := &Process{settings: &settings.Agent{
				Instance:   settings.Instance{Region: "amman"},
				Experiment: settings.Experiment{RegionDelay: schema.Duration(c.delay)},
			}}
			req := &wire.RunRequest{BudgetUs: 5000, OriginRegion: c.origin}
			p.simulateRegionDelay(t.Context(), req)
			assert.Equal(t, req.BudgetUs, c.budget)
		})
	}
}

// TestLatestStart checks that a queued call is not started if it cannot end
// before its deadline. A call that need not wait is started regardless, since
// the expected service time may be out of date.
func TestLatestStart(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := []struct {
		name    string
		running int
		service time.Duration
		want    time.Duration
	}{
		{"does not wait", 0, 400 * time.Millisecond, time.Second},
		{"waits", 1, 400 * time.Millisecond, 600 * time.Millisecond},
		{"waits, nothing measured", 1, 0, time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := &worker{runningCount: c.running, limiter: limit.New(limit.Options{Min: 1, Max: 1}), timing: timing{perCall: c.service}}
			at := w.latestStart(&task{req: &wire.RunRequest{}, deadline: now.Add(time.Second)})
			assert.Equal(t, at.Sub(now), c.want)
		})
	}
}
