package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStopLimits guards against a stop that uses no part of a short grace period, or more than the
// whole.
func TestStopLimits(t *testing.T) {
	for _, grace := range []time.Duration{0, time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, time.Second, 2 * time.Second, 8 * time.Second, time.Minute} {
		l := stopLimitsOf(grace)
		assert.Assert(t, 2*l.answer >= grace, "%v: %+v", grace, l)
		assert.Assert(t, l.answer <= l.deliver && l.deliver <= l.write && l.write <= grace, "%v: %+v", grace, l)
	}
	assert.Equal(t, stopLimitsOf(8*time.Second), stopLimits{answer: 7300 * time.Millisecond, deliver: 7550 * time.Millisecond, write: 7600 * time.Millisecond})
}
