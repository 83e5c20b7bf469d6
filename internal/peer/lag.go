package peer

import (
	"sync"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/overload"
)

// lagGauge measures how late an entry is with the messages of others. It is safe for
// concurrent use.
type lagGauge struct {
	mu   sync.Mutex
	mean overload.MeanAge
}

// record records the age of a message.
func (g *lagGauge) record(age time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mean.Add(age)
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
