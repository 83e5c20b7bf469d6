package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLimit holds the limiter against a server of a given width, whose latency
// grows in proportion to the calls beyond it.
func TestLimit(t *testing.T) {
	cases := []struct {
		name           string
		width          int
		slow           float64
		failed         bool
		atLeast, below int
	}{
		{"server as wide as the limit", 32, 1, false, 32, 33},
		{"server a quarter as wide", 8, 1, false, 8, 24},
		{"server turns ten times slower", 32, 10, false, 2, 4},
		{"server fails every call", 32, 1, true, 2, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := New(Options{Min: 2, Max: 32})
			now := time.Unix(0, 0)
			serve := func(slow float64, inflight int, failed bool) {
				took := 100 * time.Millisecond * time.Duration(max(inflight, c.width)) / time.Duration(c.width)
				now = now.Add(50 * time.Millisecond)
				l.Observe(now, time.Duration(float64(took)*slow), inflight, failed)
			}
			for range 20 {
				serve(1, 1, false)
			}
			for range 400 {
				serve(c.slow, l.Limit(), c.failed)
			}
			assert.Assert(t, l.Limit() >= c.atLeast && l.Limit() < c.below, "limit %d", l.Limit())
		})
	}
}

func TestLimitRecovers(t *testing.T) {
	l := New(Options{Min: 1, Max: 16})
	now := time.Unix(0, 0)
	for i := range 600 {
		now = now.Add(50 * time.Millisecond)
		l.Observe(now, 100*time.Millisecond, l.Limit(), i < 200)
	}
	assert.Equal(t, l.Limit(), 16)
}
