package fairqueue

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// popCosts pops up to n items and returns the served cost per customer.
func popCosts(q *Queue, n int) map[string]float64 {
	served := map[string]float64{}
	for range n {
		it, ok := q.Pop(epoch)
		if !ok {
			break
		}
		served[it.Customer] += it.Cost
	}
	return served
}

// TestOrderByWeight checks that customers are served in proportion to their weights.
func TestOrderByWeight(t *testing.T) {
	q := New(Fair, 100)
	for i := range 30 {
		assert.Assert(t, q.Push(epoch, Item{Key: i, Customer: "large", Weight: 2, Cost: 10}))
	}
	for i := range 10 {
		assert.Assert(t, q.Push(epoch, Item{Key: 100 + i, Customer: "small", Weight: 1, Cost: 10}))
	}
	served := popCosts(q, 15)
	assert.Equal(t, served["large"], 100.0)
	assert.Equal(t, served["small"], 50.0)
}

// TestFIFO checks that items are served in order of arrival and that a full queue
// refuses a new item instead of displacing one.
func TestFIFO(t *testing.T) {
	q := New(FIFO, 3)
	for i, c := range []string{"a", "b", "a"} {
		assert.Assert(t, q.Push(epoch, Item{Key: i, Customer: c, Cost: 1}))
	}
	assert.Assert(t, !q.Push(epoch, Item{Key: 3, Customer: "c", Cost: 1}))
	assert.Equal(t, q.CostAhead("c", 1), 3.0)
	for i := range 3 {
		it, ok := q.Pop(epoch)
		assert.Assert(t, ok)
		assert.Equal(t, it.Key, i)
	}
}

// TestExpiredAndDisplaced checks that expired and displaced items are returned by
// TakeDropped with their reason and are not served.
func TestExpiredAndDisplaced(t *testing.T) {
	q := New(Fair, 2)
	q.Push(epoch, Item{Key: "expiring", Customer: "a", Cost: 1, Deadline: epoch.Add(time.Second)})
	q.Push(epoch, Item{Key: "displaced", Customer: "a", Cost: 1})
	assert.Assert(t, q.Push(epoch, Item{Key: "other", Customer: "b", Cost: 1}))
	dropped := q.TakeDropped(epoch, nil)
	assert.Equal(t, len(dropped), 1)
	assert.Equal(t, dropped[0].Key, "displaced")
	assert.Equal(t, dropped[0].Reason, Displaced)
	at, ok := q.NextDeadline()
	assert.Assert(t, ok && at.Equal(epoch.Add(time.Second)))
	dropped = q.TakeDropped(epoch.Add(time.Second), nil)
	assert.Equal(t, len(dropped), 1)
	assert.Equal(t, dropped[0].Reason, Expired)
	it, ok := q.Pop(epoch.Add(time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, it.Key, "other")
	assert.Equal(t, q.Len(), 0)
}

func TestPriorityWithinCustomer(t *testing.T) {
	q := New(Fair, 9)
	q.Push(epoch, Item{Key: "low", Customer: "a", Cost: 1})
	q.Push(epoch, Item{Key: "high", Customer: "a", Cost: 1, Priority: 5})
	it, _ := q.Pop(epoch)
	assert.Equal(t, it.Key, "high")
	assert.Assert(t, q.Remove("low"))
	assert.Assert(t, !q.Remove("low"))
}

// TestEachItemLeavesOnce checks that each accepted item leaves the queue exactly once
// and that no expired item is served.
func TestEachItemLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom([]Policy{Fair, FIFO}).Draw(t, "policy")
		q := New(policy, rapid.IntRange(1, 20).Draw(t, "limit"))
		now, accepted, removed := epoch, map[any]bool{}, map[any]bool{}
		recordRemoval := func(key any) {
			if !accepted[key] || removed[key] {
				t.Fatalf("item %v left twice or was never accepted", key)
			}
			removed[key] = true
		}
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0, 1:
				it := Item{Key: i, Customer: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "customer")),
					Weight: rapid.IntRange(0, 3).Draw(t, "weight"), Cost: float64(rapid.IntRange(0, 9).Draw(t, "cost")),
					Deadline: now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "deadline")) * time.Millisecond)}
				if q.Push(now, it) {
					accepted[i] = true
				}
			case 2:
				if it, ok := q.Pop(now); ok {
					recordRemoval(it.Key)
					if !it.Deadline.After(now) {
						t.Fatal("an expired item was served")
					}
				}
			case 3:
				key := rapid.IntRange(0, 200).Draw(t, "key")
				if q.Remove(key) {
					recordRemoval(key)
				}
			}
			for _, d := range q.TakeDropped(now, nil) {
				recordRemoval(d.Key)
			}
		}
		if q.Len() != len(accepted)-len(removed) {
			t.Fatalf("length %d, want %d", q.Len(), len(accepted)-len(removed))
		}
	})
}

// TestCostAheadIfBusy checks that a customer is expected to get only its share when
// others recently had to wait, and the whole server otherwise.
func TestCostAheadIfBusy(t *testing.T) {
	q := New(Fair, 100)
	q.Push(epoch, Item{Key: 1, Customer: "large", Weight: 9, Cost: 10})
	q.Pop(epoch)
	q.Push(epoch, Item{Key: 2, Customer: "small", Weight: 1, Cost: 10})
	assert.Equal(t, q.CostAheadIfBusy(epoch, "small", 1), 10.0, "the large customer did not wait")
	q.Push(epoch, Item{Key: 3, Customer: "large", Weight: 9, Cost: 10})
	now := epoch.Add(time.Second)
	for range 2 {
		q.Pop(now)
	}
	q.Push(now, Item{Key: 4, Customer: "small", Weight: 1, Cost: 10})
	assert.Assert(t, q.CostAhead("small", 1) <= 20)
	assert.Assert(t, q.CostAheadIfBusy(now, "small", 1) >= 100, "%v", q.CostAheadIfBusy(now, "small", 1))
	later := now.Add(busyDuration + 1)
	assert.Equal(t, q.CostAheadIfBusy(later, "small", 1), q.CostAhead("small", 1))
}

// TestCostAheadMatchesServiceOrder checks that CostAhead equals the cost that is
// actually served before a new item.
func TestCostAheadMatchesServiceOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(rapid.SampledFrom([]Policy{Fair, FIFO}).Draw(t, "policy"), 1000)
		weights := []int{1, 2, 5}
		for i := range rapid.IntRange(0, 60).Draw(t, "items") {
			c := rapid.IntRange(0, 2).Draw(t, "customer")
			q.Push(epoch, Item{Key: i, Customer: fmt.Sprint(c), Weight: weights[c], Cost: float64(rapid.IntRange(1, 9).Draw(t, "cost"))})
			if rapid.IntRange(0, 3).Draw(t, "pop") == 0 {
				q.Pop(epoch)
			}
		}
		c := rapid.IntRange(0, 2).Draw(t, "new")
		ahead := q.CostAhead(fmt.Sprint(c), weights[c])
		if busy := q.CostAheadIfBusy(epoch, fmt.Sprint(c), weights[c]); busy < ahead {
			t.Fatalf("CostAheadIfBusy %v is less than CostAhead %v", busy, ahead)
		}
		q.Push(epoch, Item{Key: "new", Customer: fmt.Sprint(c), Weight: weights[c], Cost: 3})
		before := 0.0
		for {
			it, _ := q.Pop(epoch)
			if it.Key == "new" {
				break
			}
			before += it.Cost
		}
		// Items with equal start tags may be served in either order.
		if before > ahead+1e-9 || before < ahead-9*2-1e-9 {
			t.Fatalf("CostAhead %v, served before %v", ahead, before)
		}
	})
}
