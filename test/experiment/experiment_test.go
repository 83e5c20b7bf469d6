package main

import (
	"math"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/burn"
	"github.com/magnoliawheel/magnoliawheel/core/schema"
	"github.com/magnoliawheel/magnoliawheel/internal/load"
	"github.com/magnoliawheel/magnoliawheel/test/standin"
)

// TestSchemaMatchesCells checks that the schema has the customers and weights
// that the loads assume.
func TestSchemaMatchesCells(t *testing.T) {
	text, err := os.ReadFile("schema.toml")
	assert.NilError(t, err)
	s, err := schema.Parse(text)
	assert.NilError(t, err)
	for _, c := range customers {
		found := s.Customer(c.name)
		assert.Assert(t, found != nil, c.name)
		assert.Equal(t, float64(found.Weight), c.weight, c.name)
	}
	assert.Equal(t, s.Pool("engines").ConcurrencyLimit, slots)
}

// TestGreedyLoad checks that the greedy customer sends ten shares and that the
// others stay under theirs.
func TestGreedyLoad(t *testing.T) {
	for _, c := range cells {
		if c.greedy == "" {
			continue
		}
		sum, total := 0.0, 0.0
		for _, cust := range customers {
			total += cust.weight
		}
		for _, cust := range customers {
			w := c.weight(cust.name, cust.weight)
			sum += w
			share := cust.weight / total
			if cust.name == c.greedy {
				assert.Assert(t, math.Abs(w-10*share) < 1e-9)
				continue
			}
			assert.Assert(t, w > 0 && w < share, "%s sends %.3f, share %.3f", cust.name, w, share)
		}
		assert.Assert(t, math.Abs(sum-c.load) < 1e-9, "%.3f", sum)
	}
}

func TestMeasure(t *testing.T) {
	start := time.Unix(1000, 0)
	request := func(nonce, customer string, at time.Duration, class load.Class, total time.Duration) sent {
		return sent{
			Request: load.Request{Nonce: nonce, Customer: customer, ScheduledAt: at},
			Outcome: load.Outcome{Class: class, TotalLatency: total, FirstTextLatency: total / 2}, tries: 1, last: at,
		}
	}
	refused := request("x-3", "a", 4*time.Second, load.Refused, 5*time.Millisecond)
	refused.refusals = []time.Duration{5 * time.Millisecond}
	execution := func(nonce, id, server string, at, took time.Duration) standin.Execution {
		return standin.Execution{Nonce: nonce, ID: id, Call: "generate", Server: server, Start: start.Add(at), End: start.Add(at + took), Tokens: 16}
	}
	m := measure{
		cell: cell{load: 0.7, fault: slow, greedy: "a"}, span: 6 * time.Second, started: start, victim: "v",
		sent: []sent{
			request("x-1", "a", time.Second, load.Complete, 2*time.Second),
			request("x-2", "b", 4*time.Second, load.Complete, 4*time.Second),
			refused,
			request("x-4", "b", 4*time.Second, load.Complete, time.Second),
		},
		executions: []standin.Execution{
			execution("x-1", "e~1/0/1", "s", time.Second, time.Second),
			// The first attempt was refused, so that the second adds nothing.
			execution("x-2", "e~2/0/2", "v", 4*time.Second, 2*time.Second),
			execution("x-4", "e~4/0/1", "s", 4*time.Second, time.Second),
			execution("x-4", "e~4/0/2", "s", 5*time.Second, time.Second),
		},
		before: &burn.Report{}, after: &burn.Report{Stages: []burn.StageCost{{Cost: burn.Cost{
			Requests: 10, Attempts: 13, Hedges: 1, CrossRegionBytes: 1000,
		}}}},
	}
	r := m.row()
	assert.Equal(t, r.Attainment, 0.5)
	assert.Equal(t, r.Others, 0.5)
	assert.Equal(t, r.AfterFault, 1.0/3)
	assert.Equal(t, r.Goodput, 0.5)
	assert.Equal(t, r.Refused, 1)
	assert.Equal(t, r.ServerSeconds, 2.5)
	assert.Equal(t, r.Wasted, 0.4)
	assert.Equal(t, r.Added, 0.2)
	assert.Equal(t, r.CrossBytes, 500.0)
	assert.Equal(t, r.Hedges, 0.1)
	assert.Assert(t, math.Abs(r.Retries-0.2) < 1e-9)
	assert.Equal(t, r.VictimShare, 1.0/3)
}
