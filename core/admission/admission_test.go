package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

const ms = time.Millisecond

var epoch = time.Unix(1_000_000, 0)

// TestAdmit checks single decisions on a customer that has used its whole share.
func TestAdmit(t *testing.T) {
	cases := []struct {
		name           string
		policy         Policy
		request        Request
		code           result.Code
		wantRetryAfter bool
	}{
		{"idle", Feasible, Request{Budget: time.Second, ExpectedTime: 300 * ms, UnloadedTime: 300 * ms}, result.OK, false},
		{"nothing measured", Feasible, Request{Budget: time.Second}, result.OK, false},
		{"no budget", Feasible, Request{}, result.DeadlineTooShort, false},
		{"shorter than without load", Feasible, Request{Budget: 200 * ms, ExpectedTime: 300 * ms, UnloadedTime: 300 * ms}, result.DeadlineTooShort, false},
		{"queues too long", Feasible, Request{Budget: time.Second, ExpectedTime: 2 * time.Second, UnloadedTime: 300 * ms}, result.Overloaded, true},
		{"margin", Feasible, Request{Budget: time.Second, ExpectedTime: 900 * ms, UnloadedTime: 300 * ms}, result.Overloaded, true},
		{"baseline", AdmitAll, Request{Budget: time.Second, ExpectedTime: 2 * time.Second, UnloadedTime: 300 * ms}, result.OK, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctl := New(Options{Policy: c.policy})
			// The customer has already used its whole share.
			ctl.Admit(epoch, &Request{Budget: time.Second})
			d := ctl.Admit(epoch, &c.request)
			assert.Equal(t, d.Code, c.code)
			assert.Equal(t, d.RetryAfter > 0, c.wantRetryAfter)
		})
	}
}

// simulatedServer models the backlog of a server that processes one request at a time.
type simulatedServer struct {
	backlog      time.Duration
	unloadedTime time.Duration
}

// request returns a request that expects to wait for the whole backlog.
func (s *simulatedServer) request(customer string, weight int) *Request {
	return &Request{Customer: customer, Weight: weight, Budget: time.Second, ExpectedTime: s.unloadedTime + s.backlog, UnloadedTime: s.unloadedTime}
}

// TestSharesUnderOverload offers 2.5 times the capacity, most of it from one customer,
// and checks that the customers below their share are still admitted.
func TestSharesUnderOverload(t *testing.T) {
	c := New(Options{Policy: Feasible})
	server := &simulatedServer{unloadedTime: 50 * ms}
	offered, admitted := map[string]int{}, map[string]int{}
	const tick, service = ms, 10 * ms // capacity 100 per second
	for i := range 10_000 {
		now := epoch.Add(time.Duration(i) * tick)
		server.backlog = max(0, server.backlog-tick)
		var arrivals []string
		if i%5 == 0 {
			arrivals = append(arrivals, "greedy") // 200 per second
		}
		if i%80 == 0 {
			arrivals = append(arrivals, "a", "b", "c", "d") // 12.5 per second each
		}
		for _, customer := range arrivals {
			offered[customer]++
			if c.Admit(now, server.request(customer, 1)).Code == result.OK {
				admitted[customer]++
				server.backlog += service
			}
		}
	}
	total := 0
	for _, customer := range []string{"a", "b", "c", "d"} {
		total += admitted[customer]
		assert.Assert(t, admitted[customer]*100 >= offered[customer]*99, "%s: %d of %d", customer, admitted[customer], offered[customer])
	}
	total += admitted["greedy"]
	assert.Assert(t, total >= 900, "admitted %d, want at least 900 of a capacity of 1000", total)
}

// TestUnderShareAdmittedWhenOverloaded checks that a customer below its share is
// admitted while others have filled the queues, but only up to a limit.
func TestUnderShareAdmittedWhenOverloaded(t *testing.T) {
	c := New(Options{Policy: Feasible})
	admit := func(customer string, wait time.Duration) result.Code {
		return c.Admit(epoch, &Request{Customer: customer, Budget: time.Second, ExpectedTime: 50*ms + wait, UnloadedTime: 50 * ms}).Code
	}
	for range 20 {
		assert.Equal(t, admit("greedy", 0), result.OK)
	}
	assert.Equal(t, admit("greedy", 900*ms), result.Overloaded)
	assert.Equal(t, admit("small", 900*ms), result.OK)
	assert.Equal(t, admit("small", 3*time.Second), result.Overloaded)
}

// TestSharesFollowWeights checks that customers are admitted roughly in proportion to
// their weights under overload.
func TestSharesFollowWeights(t *testing.T) {
	c := New(Options{Policy: Feasible})
	server := &simulatedServer{unloadedTime: 50 * ms}
	admitted := map[string]int{}
	for i := range 20_000 {
		server.backlog = max(0, server.backlog-ms)
		for _, customer := range []struct {
			name   string
			weight int
		}{{"large", 3}, {"small", 1}} {
			if i%5 == 0 && c.Admit(epoch.Add(time.Duration(i)*ms), server.request(customer.name, customer.weight)).Code == result.OK {
				admitted[customer.name]++
				server.backlog += 10 * ms
			}
		}
	}
	ratio := float64(admitted["large"]) / float64(admitted["small"])
	assert.Assert(t, ratio > 2 && ratio < 4, "ratio %.2f, %v", ratio, admitted)
}

// TestRetriesCauseNoSecondPeak refuses a burst and lets all callers obey RetryAfter.
// The retries in any second must not exceed the capacity, and all must be admitted.
func TestRetriesCauseNoSecondPeak(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := New(Options{Policy: Feasible, Seed: seed})
			server := &simulatedServer{unloadedTime: 50 * ms}
			var pending []time.Time
			for range 400 {
				pending = append(pending, epoch)
			}
			retriesPerSecond := map[int]int{}
			admitted, lastAdmitted := 0, time.Duration(0)
			for i := range 30_000 {
				now := epoch.Add(time.Duration(i) * ms)
				server.backlog = max(0, server.backlog-ms)
				var stillPending []time.Time
				for _, at := range pending {
					if at.After(now) {
						stillPending = append(stillPending, at)
						continue
					}
					if i > 0 {
						retriesPerSecond[i/1000]++
					}
					d := c.Admit(now, server.request("a", 1))
					if d.Code == result.OK {
						admitted++
						lastAdmitted = now.Sub(epoch)
						server.backlog += 10 * ms
						continue
					}
					stillPending = append(stillPending, now.Add(d.RetryAfter))
				}
				pending = stillPending
			}
			assert.Equal(t, admitted, 400)
			for s, n := range retriesPerSecond {
				assert.Assert(t, n <= 100, "second %d: %d retries", s, n)
			}
			assert.Assert(t, lastAdmitted < 20*time.Second, "the last request was admitted after %v", lastAdmitted)
		})
	}
}

// TestRateSplit checks that the entries together keep a customer's rate however the
// load balancer distributes its requests.
func TestRateSplit(t *testing.T) {
	cases := []struct {
		name            string
		requestsPerTick []int // one element per entry
		exchanges       bool
		minAdmitted     int
	}{
		{"even", []int{1, 1, 1}, true, 900},
		{"even without exchange", []int{1, 1, 1}, false, 900},
		{"uneven", []int{3, 1, 0}, true, 850},
		{"uneven without exchange", []int{3, 1, 0}, false, 600},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var entries []*Controller
			for range c.requestsPerTick {
				e := New(Options{Policy: Feasible})
				e.SetEntryCount(len(c.requestsPerTick))
				entries = append(entries, e)
			}
			admitted := 0
			for i := range 2000 {
				now := epoch.Add(time.Duration(i) * 5 * ms)
				for j, e := range entries {
					for range c.requestsPerTick[j] {
						if e.Admit(now, &Request{Customer: "a", Rate: 100, Budget: time.Second}).Code == result.OK {
							admitted++
						}
					}
				}
				if c.exchanges && i%200 == 0 {
					exchangeDemand(now, entries)
				}
			}
			assert.Assert(t, admitted <= 1150 && admitted >= c.minAdmitted, "%d admitted at a rate of 100 per second for 10 s", admitted)
		})
	}
}

// exchangeDemand reports the demand of each entry to all others.
func exchangeDemand(now time.Time, entries []*Controller) {
	for i, from := range entries {
		demand := from.AppendDemand(now, nil)
		for j, to := range entries {
			if i != j {
				to.SetPeerDemand(now, fmt.Sprint(i), demand)
			}
		}
	}
}

// TestMarginFollowsDeadlineMisses checks that missed deadlines raise the margin and
// that successes lower it to its minimum.
func TestMarginFollowsDeadlineMisses(t *testing.T) {
	c := New(Options{Policy: Feasible})
	for range 10 {
		c.Finish(result.DeadlineExceeded)
	}
	raised := c.Margin()
	assert.Assert(t, raised > initialMargin)
	for range 10_000 {
		c.Finish(result.OK)
	}
	assert.Equal(t, c.Margin(), minMargin)
}

// TestDecisionsAreReproducible checks that controllers with the same seed decide alike,
// and that RetryAfter and the demand report keep their bounds and order.
func TestDecisionsAreReproducible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		a, b := New(Options{Seed: seed}), New(Options{Seed: seed})
		now := epoch
		for range rapid.IntRange(1, 100).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * ms)
			req := &Request{
				Customer: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "customer")), Weight: rapid.IntRange(0, 3).Draw(t, "weight"),
				Rate:         float64(rapid.IntRange(0, 5).Draw(t, "rate")),
				Budget:       time.Duration(rapid.IntRange(-10, 2000).Draw(t, "budget")) * ms,
				UnloadedTime: time.Duration(rapid.IntRange(0, 1000).Draw(t, "unloaded")) * ms,
			}
			req.ExpectedTime = req.UnloadedTime + time.Duration(rapid.IntRange(0, 1000).Draw(t, "wait"))*ms
			first, second := a.Admit(now, req), b.Admit(now, req)
			if first != second {
				t.Fatalf("decisions differ: %+v and %+v", first, second)
			}
			if first.Code == result.OK && req.UnloadedTime > req.Budget {
				t.Fatal("admitted a request that cannot be served")
			}
			if first.RetryAfter < 0 || first.RetryAfter > maxRetryAfter && first.Code == result.Overloaded {
				t.Fatalf("RetryAfter out of bounds: %v", first.RetryAfter)
			}
		}
		if !slices.IsSortedFunc(a.AppendDemand(now, nil), func(x, y CustomerDemand) int {
			if x.Customer < y.Customer {
				return -1
			}
			return 1
		}) {
			t.Fatal("the demand is not sorted by customer")
		}
	})
}

// BenchmarkAdmit admits requests of 640 customers in turn.
func BenchmarkAdmit(b *testing.B) {
	c := New(Options{Policy: Feasible})
	names := make([]string, 640)
	for i := range names {
		names[i] = fmt.Sprintf("customer-%03d", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		req := Request{Customer: names[i%640], Weight: 1, Budget: time.Second, ExpectedTime: time.Duration(i%900) * ms, UnloadedTime: 50 * ms}
		c.Admit(epoch.Add(time.Duration(i)*ms), &req)
	}
}
