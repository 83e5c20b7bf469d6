package backoff

import (
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
