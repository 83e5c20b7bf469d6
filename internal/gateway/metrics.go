package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/secondattempt"
	"github.com/magnoliawheel/magnoliawheel/internal/upstream"
)

const (
	// The duration histograms have 20 buckets from 5 ms up, each 1.5 times as long as
	// the one before.
	smallestBucket = 5 * time.Millisecond
	bucketGrowth   = 1.5
	bucketCount    = 20
)

// metrics holds the gateway's counters and histograms.
type metrics struct {
	scope             tally.Scope
	answered          tally.Counter
	clientDisconnects tally.Counter
	streamsAborted    tally.Counter
	// endedBeforeEvent counts the streams that a server ended after the head of its answer
	// and before the first event.
	endedBeforeEvent tally.Counter
	// interrupted counts the attempts under which servers may have crashed.
	interrupted tally.Counter
	retries     tally.Counter
	// secondAttemptsMade counts the attempts that were given up because their first event was
	// overdue, secondAttemptsWon those after which another server sent the first event.
	secondAttemptsMade, secondAttemptsWon tally.Counter
	// resumedByClients counts the streams that clients take up again, resumedByEntry those
	// that the entry tries to resume within one response.
	resumedByClients, resumedByEntry tally.Counter
	// limits counts the responses in which servers named a limit.
	limits tally.Counter
	// cooldowns counts the responses with which servers asked for no requests,
	// serversLeaving the servers that first said in a response that they are leaving.
	cooldowns, serversLeaving tally.Counter
	// zonesEvacuated is the number of evacuated zones, serversCold that of servers which are
	// presumed to be cold. grantsExpired counts the requests that were placed on a cold server
	// and could not be sent there in time.
	zonesEvacuated, serversCold tally.Gauge
	grantsExpired               tally.Counter
	// falseLoads counts the answers of plain services that contradict what their
	// server reported about its load.
	falseLoads tally.Counter
	// requestTime is the time to the end of a response, firstEventTime that to the first
	// event of a stream, placementTime that of the placement.
	requestTime, firstEventTime, placementTime tally.Histogram
}

func newMetrics(scope tally.Scope) *metrics {
	buckets := tally.MustMakeExponentialDurationBuckets(smallestBucket, bucketGrowth, bucketCount)
	return &metrics{
		secondAttemptsMade: scope.Tagged(map[string]string{"result": "made"}).Counter("second_attempts"),
		secondAttemptsWon:  scope.Tagged(map[string]string{"result": "won"}).Counter("second_attempts"),
		scope:              scope,
		answered:           scope.Counter("requests_answered"),
		clientDisconnects:  scope.Counter("clients_left"),
		streamsAborted:     scope.Counter("streams_broken_off"),
		endedBeforeEvent:   scope.Counter("streams_ended_before_event"),
		interrupted:        scope.Counter("attempts_interrupted"),
		retries:            scope.Counter("requests_repeated"),
		resumedByClients:   scope.Tagged(map[string]string{"by": "client"}).Counter("streams_resumed"),
		resumedByEntry:     scope.Tagged(map[string]string{"by": "entry"}).Counter("streams_resumed"),
		limits:             scope.Counter("server_limits"),
		cooldowns:          scope.Counter("server_cooldowns"),
		serversLeaving:     scope.Counter("servers_leaving"),
		zonesEvacuated:     scope.Gauge("zones_evacuated"),
		serversCold:        scope.Gauge("servers_cold"),
		grantsExpired:      scope.Counter("cold_grants_expired"),
		falseLoads:         scope.Counter("server_load_contradictions"),
		requestTime:        scope.Histogram("request_seconds", buckets),
		firstEventTime:     scope.Histogram("first_event_seconds", buckets),
		placementTime:      scope.Histogram("placement_seconds", buckets),
	}
}

func (m *metrics) countRefusal(code result.Code) {
	info, _ := result.Lookup(code)
	m.scope.Tagged(map[string]string{"code": info.Name}).Counter("requests_refused").Inc(1)
}

// countDeniedSecondAttempt counts an overdue attempt that is not given up.
func (m *metrics) countDeniedSecondAttempt(d secondattempt.Denial) {
	m.scope.Tagged(map[string]string{"reason": d.String()}).Counter("second_attempts_denied").Inc(1)
}

// countFraming counts a server's response by the way in which it marks its end.
func (m *metrics) countFraming(f upstream.Framing) {
	m.scope.Tagged(map[string]string{"framing": f.String()}).Counter("server_responses").Inc(1)
}
