package backoff

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPauses(t *testing.T) {
	p := Pauses{First: 300 * time.Millisecond, Longest: time.Second}
	for others, want := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, time.Second, time.Second} {
		assert.Equal(t, p.After(others), want)
	}
	assert.Equal(t, p.After(math.MaxInt), time.Second)
	assert.Equal(t, Pauses{First: 2, Longest: 1}.After(0), time.Duration(1))
}
