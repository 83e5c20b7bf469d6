package loadreport

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

// alternating is the time of work of a machine that is slow in every other group of 3 calls.
func alternating(i int) float64 {
	if i/3%2 == 1 {
		return 2.5
	}
	return 1
}

// TestProvenReportsSetTheEstimate guards against reports that count before they have proved
// right, against right ones that are not used, and against old ones that are.
func TestProvenReportsSetTheEstimate(t *testing.T) {
	var p Pace
	assert.Equal(t, p.Estimate(0, 1.7, 0), 1.7, "without a report")
	p.Observe(0, Report{Slots: 1, WorkTime: 3}, 1)
	assert.Equal(t, p.Estimate(0, 1.7, p.Usual()), 1.7, "after the first report")
	assert.Equal(t, p.Excess(0), 0.0)
	p = Pace{}
	now := time.Duration(0)
	for i := range 30 {
		f := p.Forecast(now, 1, p.Usual())
		now += time.Duration(alternating(i) * float64(100*ms))
		r := Report{Slots: 1, WorkTime: alternating(i + 1)}
		p.CallAnswered(f, alternating(i), &r)
		p.Observe(now, r, 1)
	}
	assert.Assert(t, p.Trust() > 0.8, "%v", p.Trust())
	p.Observe(now, Report{Slots: 1, WorkTime: 2.5}, 1)
	assert.Assert(t, p.Estimate(now, 1, p.Usual()) > 2, "%v", p.Estimate(now, 1, p.Usual()))
	assert.Assert(t, p.Excess(now) > 1)
	later := now + paceValidity
	assert.Assert(t, p.Estimate(later, 1, p.Usual()) < 1.2 && p.Excess(later) == 0, "an old report: %v", p.Estimate(later, 1, p.Usual()))
}
