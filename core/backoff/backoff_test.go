package backoff

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestDelay(t *testing.T) {
	p := Policy{Initial: 300 * time.Millisecond, Max: time.Second}
	for previousFailures, want := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, time.Second, time.Second} {
		assert.Equal(t, p.Delay(previousFailures), want)
	}
	assert.Equal(t, p.Delay(math.MaxInt), time.Second)
	assert.Equal(t, Policy{Initial: 2, Max: 1}.Delay(0), time.Duration(1))
}

// TestSpreadDelayBreaksHerds guards against a herd: 300 instances lose the same one, and all
// dial it again at the same moments, so that its queue of new connections overflows each
// time.
func TestSpreadDelayBreaksHerds(t *testing.T) {
	const instances, failures = 300, 5
	const window = 10 * time.Millisecond
	p := Policy{Initial: 500 * time.Millisecond, Max: 4 * time.Second}
	next := make([]time.Duration, instances)
	for f := range failures {
		inWindow := map[time.Duration]int{}
		for i := range next {
			delay := p.SpreadDelay(f, fmt.Sprint("entry-", i))
			assert.Assert(t, delay >= p.Delay(f)/2 && delay <= p.Delay(f)*3/2, "%v", delay)
			next[i] += delay
			inWindow[next[i]/window]++
		}
		for at, n := range inWindow {
			assert.Assert(t, n <= instances/10, "%d attempts after %d failures at %v", n, f+1, at*window)
		}
	}
	assert.Equal(t, p.SpreadDelay(2, "a"), p.SpreadDelay(2, "a"))
}
