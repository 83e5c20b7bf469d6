package staging

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/loadreport"
)

const (
	// slownessWeight is the weight of the newest call in a server's slowness ratio. Each
	// call counts with at least minSlowness and at most maxSlowness.
	slownessWeight = 0.4
	minSlowness    = 0.3
	maxSlowness    = 20.0
	// slownessHalfTime is the idle time after which a server's slowness ratio is
	// halved.
	slownessHalfTime = 2 * time.Second
)

// slowness returns the expected time of a call relative to the time in the pool's
// description, by the server's calls and by what it reports.
func (m *server) slowness(now time.Duration) float64 {
	return m.pace.Estimate(now, m.decayed(m.slownessRatio, now), m.decayed(m.pace.Usual(), now))
}

// decayed returns a slowness ratio that was measured with the last call. Above 1 it decays
// while the server is idle, so that a server which was slow is tried again.
func (m *server) decayed(ratio float64, now time.Duration) float64 {
	if ratio <= 1 || len(m.calls) > 0 {
		return ratio
	}
	halfTimes := float64(now-m.lastCallEnd) / float64(slownessHalfTime)
	return max(1, ratio/(1+halfTimes))
}

// forecast returns the expected slowness of a call that is sent now.
func (m *server) forecast(now time.Duration) loadreport.Forecast {
	return m.pace.Forecast(now, m.decayed(m.slownessRatio, now), m.decayed(m.pace.Usual(), now))
}

// updateSlowness includes the duration of an answered call in the slowness ratio, and
// compares it with what the server reported.
func (m *server) updateSlowness(c *call, now time.Duration, load *loadreport.Report) {
	normalTime := m.pool.normalCallTime(len(c.pieces))
	elapsed := now - max(c.expectedStart, m.lastCallEnd)
	if c.expectedStart > now {
		elapsed = normalTime
	}
	sample := min(max(float64(elapsed)/float64(normalTime), minSlowness), maxSlowness)
	m.slownessRatio += slownessWeight * (sample - m.slownessRatio)
	m.pace.CallAnswered(c.forecast, sample, load)
}

// ObserveLoad handles what a server told about its load in a response to anything but a call.
func (s *Scheduler) ObserveLoad(now time.Duration, def Server, load loadreport.Report) {
	for _, p := range s.sortedPools {
		if m := p.findServer(def.ID); m != nil && m.def == def {
			m.pace.Observe(now, load, m.slownessRatio)
		}
	}
}
