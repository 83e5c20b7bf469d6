package fairshare

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// load is the rate of a customer's requests, per second, at a time.
type load func(at time.Duration) float64

// play sends the requests of all customers at random times. It returns for each customer
// the number of requests in the given span, and how many of these counted as a flood.
func play(loads []load, from, to time.Duration) (sent, flooding []int) {
	const step = time.Millisecond
	random := rand.New(rand.NewPCG(7, 7))
	tracker := New()
	sent, flooding = make([]int, len(loads)), make([]int, len(loads))
	for at := time.Duration(0); at < to; at += step {
		for i, rate := range loads {
			if random.Float64() >= rate(at)*step.Seconds() {
				continue
			}
			floods := tracker.Add(at, fmt.Sprint(i))
			if at < from {
				continue
			}
			sent[i]++
			if floods {
				flooding[i]++
			}
		}
	}
	return sent, flooding
}

func constant(rate float64) load { return func(time.Duration) float64 { return rate } }

func during(from, to time.Duration, factor float64, usual load) load {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return factor * usual(at)
		}
		return usual(at)
	}
}

// TestOnlyTheFloodingCustomerCounts plays one or two floods among customers of very
// different sizes.
func TestOnlyTheFloodingCustomerCounts(t *testing.T) {
	const from, to = 10 * time.Second, 16 * time.Second
	tests := []struct {
		name  string
		rates []float64
		// floods maps customers to the factor of their flood.
		floods map[int]float64
	}{
		{"the largest of five", []float64{6, 3, 2, 1.5, 1.5}, map[int]float64{0: 6}},
		{"a small one of forty", append([]float64{90, 60, 30, 20}, repeat(4, 36)...), map[int]float64{20: 30}},
		{"a large one of forty", append([]float64{90, 60, 30, 20}, repeat(4, 36)...), map[int]float64{1: 7.5}},
		{"two of forty", append([]float64{90, 60, 30, 20}, repeat(4, 36)...), map[int]float64{2: 8, 3: 12}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			loads := make([]load, len(tt.rates))
			for i, rate := range tt.rates {
				loads[i] = constant(rate)
				if factor := tt.floods[i]; factor > 0 {
					loads[i] = during(from, to, factor, loads[i])
				}
			}
			sent, flooding := play(loads, from+time.Second, to)
			for i := range loads {
				if tt.floods[i] > 0 {
					assert.Assert(t, flooding[i] > sent[i]*8/10, "customer %d: %d of %d", i, flooding[i], sent[i])
				} else {
					assert.Assert(t, flooding[i] <= sent[i]/50+1, "customer %d: %d of %d", i, flooding[i], sent[i])
				}
			}
		})
	}
}

func repeat(rate float64, n int) []float64 {
	rates := make([]float64, n)
	for i := range rates {
		rates[i] = rate
	}
	return rates
}

// TestBurstOfAllIsNoFlood plays a burst of all customers, and a new customer of usual size.
func TestBurstOfAllIsNoFlood(t *testing.T) {
	const from, to = 10 * time.Second, 16 * time.Second
	var loads []load
	for _, rate := range []float64{6, 3, 2, 1.5, 1.5} {
		loads = append(loads, during(from, to, 2.5, constant(rate)))
	}
	loads = append(loads, during(0, 8*time.Second, 0, constant(1)))
	sent, flooding := play(loads, from, to)
	total, flagged := 0, 0
	for i := range loads {
		total += sent[i]
		flagged += flooding[i]
	}
	assert.Assert(t, flagged <= total/50, "%v of %v", flooding, sent)
}

func TestIdleCustomersAreForgotten(t *testing.T) {
	tracker := New()
	for i := range 100 {
		tracker.Add(time.Duration(i)*time.Second, fmt.Sprint(i))
	}
	tracker.Add(forgottenAfter+200*time.Second, "late")
	assert.Equal(t, len(tracker.customers), 1)
}
