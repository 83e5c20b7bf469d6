package notice

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestServerRetryAfterEnds(t *testing.T) {
	table := NewPauses()
	a, restarted, b := Server{"a", 1}, Server{"a", 2}, Server{"b", 1}
	assert.Assert(t, !table.Active(0, a))
	table.Start(time.Second, a, 2*time.Second)
	table.Start(1500*time.Millisecond, a, 100*time.Millisecond)
	assert.Assert(t, table.Active(time.Second, a) && table.Active(3*time.Second-1, a))
	assert.Assert(t, !table.Active(3*time.Second, a))
	assert.Assert(t, !table.Active(time.Second, restarted), "another start has said nothing")

	assert.Equal(t, table.Remaining(time.Second, nil), time.Duration(0))
	assert.Equal(t, table.Remaining(time.Second, []Server{a, b}), time.Duration(0))
	table.Start(time.Second, b, 5*time.Second)
	assert.Equal(t, table.Remaining(2*time.Second, []Server{b, a}), time.Second, "the first of all that may be called again")
	table.Start(time.Minute, b, time.Second)
	assert.Equal(t, len(table.ends), 1, "the state of past times is not kept")
}
