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

// TestSchemaHasAssumedCustomers checks that the schema has the customers, weights and
// concurrency limit that the scenarios assume.
func TestSchemaHasAssumedCustomers(t *testing.T) {
	text, err := os.ReadFile("schema.toml")
	assert.NilError(t, err)
	s, err := schema.Parse(text)
	assert.NilError(t, err)
	for _, c := range customers {
		customer := s.Customer(c.name)
		assert.Assert(t, customer != nil, c.name)
		assert.Equal(t, float64(customer.Weight), c.weight, c.name)
	}
	assert.Equal(t, s.Pool("engines").ConcurrencyLimit, slotsPerEngine)
}

// TestGreedyCustomerArrivals checks that the greedy customer sends ten times its share and
// that all others stay below theirs.
func TestGreedyCustomerArrivals(t *testing.T) {
	for _, s := range scenarios {
		if s.greedyCustomer == "" {
			continue
		}
		sum, total := 0.0, 0.0
		for _, cust := range customers {
			total += cust.weight
		}
		for _, cust := range customers {
			weight := s.arrivalWeight(cust.name, cust.weight)
			sum += weight
			share := cust.weight / total
			if cust.name == s.greedyCustomer {
				assert.Assert(t, math.Abs(weight-10*share) < 1e-9)
				continue
			}
			assert.Assert(t, weight > 0 && weight < share, "%s sends %.3f, share %.3f", cust.name, weight, share)
		}
		assert.Assert(t, math.Abs(sum-s.relativeLoad) < 1e-9, "%.3f", sum)
	}
}

// TestMeasurementResultRow checks the results of four requests: one due when the fault
// starts, one late, one refused, and one whose stage was executed twice.
func TestMeasurementResultRow(t *testing.T) {
	start := time.Unix(1000, 0)
	request := func(nonce, customer string, at time.Duration, class load.Class, total time.Duration) sentRequest {
		return sentRequest{
			Request: load.Request{Nonce: nonce, Customer: customer, ScheduledAt: at},
			Outcome: load.Outcome{Class: class, TotalLatency: total, FirstTextLatency: total / 2}, attempts: 1, lastSentAt: at,
		}
	}
	refused := request("x-3", "a", 4*time.Second, load.Refused, 5*time.Millisecond)
	refused.refusalLatencies = []time.Duration{5 * time.Millisecond}
	execution := func(nonce, id, server string, at, duration time.Duration) standin.Execution {
		return standin.Execution{Nonce: nonce, ID: id, Call: "generate", Server: server, Start: start.Add(at), End: start.Add(at + duration), Tokens: 16}
	}
	m := measurement{
		scenario: scenario{relativeLoad: 0.7, fault: slowServer, greedyCustomer: "a"}, loadDuration: 6 * time.Second, start: start, faultyServer: "v",
		sent: []sentRequest{
			request("x-1", "a", time.Second, load.Complete, 2*time.Second),
			request("x-2", "b", 4*time.Second, load.Complete, 4*time.Second),
			refused,
			request("x-4", "b", 4*time.Second, load.Complete, time.Second),
		},
		executions: []standin.Execution{
			execution("x-1", "e~1/0/1", "s", time.Second, time.Second),
			// The first attempt was refused and not executed, so the second counts as the first.
			execution("x-2", "e~2/0/2", "v", 4*time.Second, 2*time.Second),
			execution("x-4", "e~4/0/1", "s", 4*time.Second, time.Second),
			execution("x-4", "e~4/0/2", "s", 5*time.Second, time.Second),
		},
		costsBefore: &burn.Report{}, costsAfter: &burn.Report{Stages: []burn.StageCost{{Cost: burn.Cost{
			Requests: 10, Attempts: 13, Hedges: 1, CrossRegionBytes: 1000,
		}}}},
	}
	r := m.resultRow()
	assert.Equal(t, r.Attainment, 0.5)
	assert.Equal(t, r.OthersAttainment, 0.5)
	assert.Equal(t, r.AttainmentAfterFault, 1.0/3)
	assert.Equal(t, r.Goodput, 0.5)
	assert.Equal(t, r.Refusals, 1)
	assert.Equal(t, r.ServerSecondsPerGood, 2.5)
	assert.Equal(t, r.WastedShare, 0.4)
	assert.Equal(t, r.RepeatedWorkShare, 0.2)
	assert.Equal(t, r.CrossRegionBytesPerGood, 500.0)
	assert.Equal(t, r.HedgesPerStage, 0.1)
	assert.Assert(t, math.Abs(r.RetriesPerStage-0.2) < 1e-9)
	assert.Equal(t, r.FaultyServerShare, 1.0/3)
}
