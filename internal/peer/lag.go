package peer

import (
	"sync"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/overload"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
)

// lagGauge measures how late an entry is with the messages of others, and decides when it
// yields. It is safe for concurrent use.
type lagGauge struct {
	mu    sync.Mutex
	mean  overload.MeanAge
	yield overload.Yield
}

// record records the age of a message.
func (g *lagGauge) record(age time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mean.Add(age)
	g.yield.Record(clock.Now(), g.mean.Value())
}

// yielding reports whether this entry does not place requests for now, because its machine
// is slow.
func (g *lagGauge) yielding() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.yield.Yielding(clock.Now())
}

// lag returns the mean age of the messages handled lately.
func (g *lagGauge) lag() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mean.Value()
}

// shouldRefuse reports whether a request is refused because this entry is late with its
// work.
func (g *lagGauge) shouldRefuse(age time.Duration, priority int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mean.ShouldRefuse(age, priority)
}
