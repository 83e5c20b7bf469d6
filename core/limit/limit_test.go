package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLimitConverges runs the limiter against a simulated server whose latency is
// constant up to its capacity and proportional to the concurrent calls beyond it.
func TestLimitConverges(t *testing.T) {
	cases := []struct {
		name                 string
		capacity             int
		slowdown             float64
		fails                bool
		minLimit, limitBelow int
	}{
		{"capacity equals the limit", 32, 1, false, 32, 33},
		{"capacity is a quarter of the limit", 8, 1, false, 8, 24},
		{"server becomes ten times slower", 32, 10, false, 2, 4},
		{"server fails every call", 32, 1, true, 2, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := New(Options{Min: 2, Max: 32})
			now := time.Unix(0, 0)
			serve := func(slow float64, inflight int, failed bool) {
				latency := 100 * time.Millisecond * time.Duration(max(inflight, c.capacity)) / time.Duration(c.capacity)
				now = now.Add(50 * time.Millisecond)
				l.Observe(now, time.Duration(float64(latency)*slow), inflight, failed)
			}
			for range 20 {
				serve(1, 1, false)
			}
			for range 400 {
				serve(c.slowdown, l.Limit(), c.fails)
			}
			assert.Assert(t, l.Limit() >= c.minLimit && l.Limit() < c.limitBelow, "limit %d", l.Limit())
		})
	}
}

func TestLimitRecoversAfterFailures(t *testing.T) {
	l := New(Options{Min: 1, Max: 16})
	now := time.Unix(0, 0)
	for i := range 600 {
		now = now.Add(50 * time.Millisecond)
		l.Observe(now, 100*time.Millisecond, l.Limit(), i < 200)
	}
	assert.Equal(t, l.Limit(), 16)
}
