package worktime

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestManyOpenRequestsDoNotSlowDownExpectations guards against a stopping process that spends its
// processors on sorting the ages of its open requests, each time that it asks about one.
func TestManyOpenRequestsDoNotSlowDownExpectations(t *testing.T) {
	cost := func(open int) time.Duration {
		table, r := New(), &Request{Kind: Kind{Route: "r", Service: "s"}}
		for i := range sampleCount {
			table.End(time.Second, table.Begin(time.Duration(i)*time.Millisecond, r), true)
		}
		for range open {
			table.Begin(time.Second, r)
		}
		shortest := time.Hour
		for range 20 {
			start := time.Now()
			for range 20 {
				table.Expect(2*time.Second, r)
			}
			shortest = min(shortest, time.Since(start)/20)
		}
		return shortest
	}
	few, many := cost(10), cost(6000)
	t.Logf("10 open: %v, 6000 open: %v", few, many)
	assert.Assert(t, many < 5*few+20*time.Microsecond)
}
