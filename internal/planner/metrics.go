package planner

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/magnoliawheel/magnoliawheel/core/placement"
)

const (
	// The duration histograms have 16 buckets from 10 ms up, each 1.5 times as long as the
	// one before.
	smallestBucket = 10 * time.Millisecond
	bucketGrowth   = 1.5
	bucketCount    = 16
	// lateFactor is the ratio to the expected time from which a first event counts as later
	// than expected.
	lateFactor = 1.5
)

// metrics holds the planner's counters and histograms.
type metrics struct {
	// firstEvents counts the measured first events, lateFirstEvents those that took
	// lateFactor times the expected time.
	firstEvents, lateFirstEvents tally.Counter
	// longPrompts counts the prompts that make other responses late on any server,
	// reservedUses the other requests that were placed on a server kept for such prompts.
	longPrompts, reservedUses tally.Counter
	// speedsLearned counts the speeds of servers that were learned from other entries.
	speedsLearned tally.Counter
	// viewsConfirmed and viewsUnconfirmed count the confirmations of the servers for resumed
	// streams, by whether the store gave them in time.
	viewsConfirmed, viewsUnconfirmed tally.Counter
	// expectedFirstEvent and measuredFirstEvent are the times to the first event,
	// expectedPause the pauses that placed requests were expected to cause, and longestPause
	// the longest pauses of responses.
	expectedFirstEvent, measuredFirstEvent, expectedPause, longestPause tally.Histogram
}

func newMetrics(scope tally.Scope) *metrics {
	buckets := tally.MustMakeExponentialDurationBuckets(smallestBucket, bucketGrowth, bucketCount)
	return &metrics{
		firstEvents:        scope.Counter("first_events_measured"),
		lateFirstEvents:    scope.Counter("first_events_later_than_expected"),
		longPrompts:        scope.Counter("long_prompts_placed"),
		reservedUses:       scope.Counter("reserved_servers_used_by_others"),
		speedsLearned:      scope.Counter("server_speeds_learned"),
		viewsConfirmed:     scope.Tagged(map[string]string{"confirmed": "true"}).Counter("server_views_checked"),
		viewsUnconfirmed:   scope.Tagged(map[string]string{"confirmed": "false"}).Counter("server_views_checked"),
		expectedFirstEvent: scope.Histogram("expected_first_event_seconds", buckets),
		measuredFirstEvent: scope.Histogram("measured_first_event_seconds", buckets),
		expectedPause:      scope.Histogram("expected_pause_seconds", buckets),
		longestPause:       scope.Histogram("longest_pause_seconds", buckets),
	}
}

// SetScope sets the scope that receives the planner's metrics, before its first use.
func (p *Planner) SetScope(scope tally.Scope) { p.metrics = newMetrics(scope) }

func (m *metrics) countPlacement(c *placement.Choice) {
	m.expectedPause.RecordDuration(c.ExpectedPause)
	switch {
	case c.Long:
		m.longPrompts.Inc(1)
	case c.Reserved:
		m.reservedUses.Inc(1)
	}
}

func (m *metrics) countConfirmation(confirmed bool) {
	if confirmed {
		m.viewsConfirmed.Inc(1)
		return
	}
	m.viewsUnconfirmed.Inc(1)
}

func (m *metrics) countFirstEvent(took, expected time.Duration) {
	m.firstEvents.Inc(1)
	m.measuredFirstEvent.RecordDuration(took)
	m.expectedFirstEvent.RecordDuration(expected)
	if float64(took) > lateFactor*float64(expected) {
		m.lateFirstEvents.Inc(1)
	}
}
