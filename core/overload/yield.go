package overload

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/backoff"
)

const (
	// yieldWindow is the time in which messages are counted.
	yieldWindow = 250 * time.Millisecond
	// yieldAge is the mean age of messages from which an instance counts as late.
	yieldAge = 200 * time.Millisecond
	// yieldRateShare is the part of its usual messages below which a late instance is slow
	// itself. One that handles more than usual has too many requests, which another instance
	// would not bear either.
	yieldRateShare = 0.95
	// usualWeight is the weight of the newest window in the usual number of messages, and
	// minUsual the least number from which an instance yields.
	usualWeight = 0.2
	minUsual    = 20
	// steadyTime is the time after which a yield does not count as one of several in a row.
	steadyTime = 30 * time.Second
)

// yieldPauses is how long an instance yields.
var yieldPauses = backoff.Policy{Initial: 4 * time.Second, Max: 16 * time.Second}

// Yield decides when an instance gives up placing requests for some time, because its
// machine has become slow: it is late although it handles fewer messages than usual. The
// zero value is ready for use.
type Yield struct {
	started     bool
	windowStart time.Duration
	count       int
	// usual is the number of messages per window while the instance is not late.
	usual float64
	// until is the end of the newest yield, valid if yields is over 0. yields counts those
	// in a row.
	until  time.Duration
	yields int
}

// Record counts a message; mean is the mean age of messages with it.
func (y *Yield) Record(now, mean time.Duration) {
	if !y.started {
		y.started, y.windowStart = true, now
	}
	if now-y.windowStart >= yieldWindow {
		y.endWindow(now, mean)
	}
	y.count++
}

// endWindow evaluates the window that ends now. It may have been longer than yieldWindow if
// no message came.
func (y *Yield) endWindow(now, mean time.Duration) {
	count := float64(y.count) * float64(yieldWindow) / float64(now-y.windowStart)
	y.windowStart, y.count = now, 0
	if mean < yieldAge {
		if y.usual == 0 {
			y.usual = count
		}
		y.usual += usualWeight * (count - y.usual)
		return
	}
	if y.Yielding(now) || y.usual < minUsual || count >= yieldRateShare*y.usual {
		return
	}
	if y.yields > 0 && now-y.until >= steadyTime {
		y.yields = 0
	}
	y.until = now + yieldPauses.Delay(y.yields)
	y.yields++
}

// Yielding reports whether the instance does not place requests now.
func (y *Yield) Yielding(now time.Duration) bool { return y.yields > 0 && now < y.until }
