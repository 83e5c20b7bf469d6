package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

const (
	// shortestBucket and buckets set up the histograms of times: 20 buckets, each
	// half as long again as the one before, from 5 ms up.
	shortestBucket = 5 * time.Millisecond
	bucketGrowth   = 1.5
	buckets        = 20
)

// metrics are the gateway's counters and histograms.
type metrics struct {
	scope    tally.Scope
	answered tally.Counter
	left     tally.Counter
	broken   tally.Counter
	repeats  tally.Counter
	// held is the time to the end of an answer, first that to the first event of a
	// stream, placing that of the placement.
	held, first, placing tally.Histogram
}

func newMetrics(scope tally.Scope) *metrics {
	times := tally.MustMakeExponentialDurationBuckets(shortestBucket, bucketGrowth, buckets)
	return &metrics{
		scope:    scope,
		answered: scope.Counter("requests_answered"),
		left:     scope.Counter("clients_left"),
		broken:   scope.Counter("streams_broken_off"),
		repeats:  scope.Counter("requests_repeated"),
		held:     scope.Histogram("request_seconds", times),
		first:    scope.Histogram("first_event_seconds", times),
		placing:  scope.Histogram("placement_seconds", times),
	}
}

func (m *metrics) refused(code result.Code) {
	info, _ := result.Lookup(code)
	m.scope.Tagged(map[string]string{"code": info.Name}).Counter("requests_refused").Inc(1)
}
