package agent

import (
	"github.com/uber-go/tally/v4"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// metrics holds the counters, gauges and timers of an agent.
type metrics struct {
	scope            tally.Scope
	accepted         tally.Counter
	attached         tally.Counter
	running          tally.Gauge
	queued           tally.Gauge
	limit            tally.Gauge
	keptBytes        tally.Gauge
	recordedAttempts tally.Gauge
	serviceTime      tally.Timer
}

func newMetrics(s tally.Scope) metrics {
	if s == nil {
		s = tally.NoopScope
	}
	return metrics{
		scope:            s,
		accepted:         s.Counter("agent_accepted"),
		attached:         s.Counter("agent_attached"),
		running:          s.Gauge("agent_running"),
		queued:           s.Gauge("agent_queued"),
		limit:            s.Gauge("agent_limit"),
		keptBytes:        s.Gauge("agent_kept_bytes"),
		recordedAttempts: s.Gauge("agent_known_attempts"),
		serviceTime:      s.Timer("agent_service_time"),
	}
}

// countEnded counts an attempt that was refused or ended, by its result code.
func (m *metrics) countEnded(code result.Code) {
	info, _ := result.Lookup(code)
	m.scope.Tagged(map[string]string{"code": info.Name}).Counter("agent_ended").Inc(1)
}
