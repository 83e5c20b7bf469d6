package loadreport

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

// playCalls plays calls of 100 ms, each sent when the one before ends. take returns the time of
// the i-th call relative to the pool's description, and told what its response reports.
func playCalls(p *Pace, from time.Duration, n int, take, told func(i int) float64) time.Duration {
	now := from
	for i := range n {
		f := p.Forecast(now, 1, p.Usual())
		now += time.Duration(take(i) * float64(100*ms))
		r := Report{Slots: 1, WorkTime: told(i)}
		p.CallAnswered(f, take(i), &r)
		p.Observe(now, r, 1)
	}
	return now
}

// alternating is the time of work of a machine that is slow in every other group of 3 calls.
func alternating(i int) float64 {
	if i/3%2 == 1 {
		return 2.5
	}
	return 1
}

func constant(v float64) func(int) float64 { return func(int) float64 { return v } }

// TestProvenReportsSetTheEstimate guards against reports that count before they have proved
// right, against right ones that are not used, and against old ones that are.
func TestProvenReportsSetTheEstimate(t *testing.T) {
	var p Pace
	assert.Equal(t, p.Estimate(0, 1.7, 0), 1.7, "without a report")
	p.Observe(0, Report{Slots: 1, WorkTime: 3}, 1)
	assert.Equal(t, p.Estimate(0, 1.7, p.Usual()), 1.7, "after the first report")
	assert.Equal(t, p.Excess(0), 0.0)
	p = Pace{}
	now := playCalls(&p, 0, 30, alternating, func(i int) float64 { return alternating(i + 1) })
	assert.Assert(t, p.Trust() > 0.8, "%v", p.Trust())
	p.Observe(now, Report{Slots: 1, WorkTime: 2.5}, 1)
	assert.Assert(t, p.Estimate(now, 1, p.Usual()) > 2, "%v", p.Estimate(now, 1, p.Usual()))
	assert.Assert(t, p.Excess(now) > 1)
	later := now + paceValidity
	assert.Assert(t, p.Estimate(later, 1, p.Usual()) < 1.2 && p.Excess(later) == 0, "an old report: %v", p.Estimate(later, 1, p.Usual()))
}

// TestFalseReportsLoseTheirWeight guards against a server that was truthful and then reports a
// machine that is slow, or fast, while its calls take their usual time.
func TestFalseReportsLoseTheirWeight(t *testing.T) {
	for _, lie := range []float64{0.1, 0.4, 2.5, 9} {
		var p Pace
		now := playCalls(&p, 0, 30, alternating, func(i int) float64 { return alternating(i + 1) })
		now = playCalls(&p, now, 10, constant(1), func(i int) float64 { return []float64{lie, 1}[i%2] })
		assert.Assert(t, p.Trust() < 0.35, "%v: %v", lie, p.Trust())
		now = playCalls(&p, now, 30, constant(1), constant(lie))
		got := p.Estimate(now, 1, p.Usual())
		assert.Assert(t, got > 0.75 && got < 1.35, "%v: %v", lie, got)
	}
}
