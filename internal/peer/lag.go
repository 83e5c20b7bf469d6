package peer

import (
	"sync"
	"time"
)

// lagInterval is the time over which the greatest age of a message is reported.
const lagInterval = time.Second

// lagGauge holds the greatest age of the messages handled lately.
type lagGauge struct {
	mu sync.Mutex
	// current is the greatest age since startedAt, previous that of the interval before.
	current, previous time.Duration
	startedAt         time.Duration
}

// record records the age of a message.
func (g *lagGauge) record(now, age time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	g.current = max(g.current, age)
}

// read returns the greatest age of the last one to two intervals.
func (g *lagGauge) read(now time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	return max(g.current, g.previous)
}

func (g *lagGauge) advance(now time.Duration) {
	elapsed := now - g.startedAt
	if elapsed < lagInterval {
		return
	}
	g.previous = 0
	if elapsed < 2*lagInterval {
		g.previous = g.current
	}
	g.current, g.startedAt = 0, now
}
