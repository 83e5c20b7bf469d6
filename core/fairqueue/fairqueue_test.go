package fairqueue

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func drain(q *Queue, n int) map[string]float64 {
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

func TestOrderByWeight(t *testing.T) {
	q := New(Fair, 100)
	for i := range 30 {
		assert.Assert(t, q.Push(epoch, Item{Key: i, Customer: "large", Weight: 2, Cost: 10}))
	}
	for i := range 10 {
		assert.Assert(t, q.Push(epoch, Item{Key: 100 + i, Customer: "small", Weight: 1, Cost: 10}))
	}
	served := drain(q, 15)
	assert.Equal(t, served["large"], 100.0)
	assert.Equal(t, served["small"], 50.0)
}

func TestFIFO(t *testing.T) {
	q := New(FIFO, 3)
	for i, c := range []string{"a", "b", "a"} {
		assert.Assert(t, q.Push(epoch, Item{Key: i, Customer: c, Cost: 1}))
	}
	assert.Assert(t, !q.Push(epoch, Item{Key: 3, Customer: "c", Cost: 1}))
	assert.Equal(t, q.Ahead("c", 1, 1), 3.0)
	for i := range 3 {
		it, ok := q.Pop(epoch)
		assert.Assert(t, ok)
		assert.Equal(t, it.Key, i)
	}
}

func TestExpiredAndDisplaced(t *testing.T) {
	q := New(Fair, 2)
	q.Push(epoch, Item{Key: "late", Customer: "a", Cost: 1, Deadline: epoch.Add(time.Second)})
	q.Push(epoch, Item{Key: "kept", Customer: "a", Cost: 1})
	assert.Assert(t, q.Push(epoch, Item{Key: "other", Customer: "b", Cost: 1}))
	dropped := q.Drop(epoch, nil)
	assert.Equal(t, len(dropped), 1)
	assert.Equal(t, dropped[0].Key, "kept")
	assert.Equal(t, dropped[0].Reason, Displaced)
	at, ok := q.NextDeadline()
	assert.Assert(t, ok && at.Equal(epoch.Add(time.Second)))
	dropped = q.Drop(epoch.Add(time.Second), nil)
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

// TestNoItemLostOrDoubled checks that each accepted item leaves exactly once,
// and that Ahead is exact when nothing arrives after.
func TestNoItemLostOrDoubled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom([]Policy{Fair, FIFO}).Draw(t, "policy")
		q := New(policy, rapid.IntRange(1, 20).Draw(t, "limit"))
		now, in, out := epoch, map[any]bool{}, map[any]bool{}
		leave := func(key any) {
			if !in[key] || out[key] {
				t.Fatalf("item %v left twice or never came", key)
			}
			out[key] = true
		}
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0, 1:
				it := Item{Key: i, Customer: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "customer")),
					Weight: rapid.IntRange(0, 3).Draw(t, "weight"), Cost: float64(rapid.IntRange(0, 9).Draw(t, "cost")),
					Deadline: now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "deadline")) * time.Millisecond)}
				if q.Push(now, it) {
					in[i] = true
				}
			case 2:
				if it, ok := q.Pop(now); ok {
					leave(it.Key)
					if !it.Deadline.After(now) {
						t.Fatal("an expired item was served")
					}
				}
			case 3:
				key := rapid.IntRange(0, 200).Draw(t, "key")
				if q.Remove(key) {
					leave(key)
				}
			}
			for _, d := range q.Drop(now, nil) {
				leave(d.Key)
			}
		}
		if q.Len() != len(in)-len(out) {
			t.Fatalf("length %d, want %d", q.Len(), len(in)-len(out))
		}
	})
}

// TestAheadIfBusy checks that a customer's second call expects its share when the
// others had to wait lately, and the whole server when nobody did.
func TestAheadIfBusy(t *testing.T) {
	q := New(Fair, 100)
	q.Push(epoch, Item{Key: 1, Customer: "large", Weight: 9, Cost: 10})
	q.Pop(epoch)
	q.Push(epoch, Item{Key: 2, Customer: "small", Weight: 1, Cost: 10})
	assert.Equal(t, q.AheadIfBusy(epoch, "small", 1, 10), 10.0, "the large customer did not wait")
	q.Push(epoch, Item{Key: 3, Customer: "large", Weight: 9, Cost: 10})
	now := epoch.Add(time.Second)
	for range 2 {
		q.Pop(now)
	}
	q.Push(now, Item{Key: 4, Customer: "small", Weight: 1, Cost: 10})
	assert.Assert(t, q.Ahead("small", 1, 10) <= 20)
	assert.Assert(t, q.AheadIfBusy(now, "small", 1, 10) >= 100, "%v", q.AheadIfBusy(now, "small", 1, 10))
	later := now.Add(busyFor + 1)
	assert.Equal(t, q.AheadIfBusy(later, "small", 1, 10), q.Ahead("small", 1, 10))
}

func TestAheadIsCostServedBefore(t *testing.T) {
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
		ahead := q.Ahead(fmt.Sprint(c), weights[c], 3)
		if busy := q.AheadIfBusy(epoch, fmt.Sprint(c), weights[c], 3); busy < ahead {
			t.Fatalf("ahead if busy %v, under ahead %v", busy, ahead)
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
		// Items with the very same tag may go before or after.
		if before > ahead+1e-9 || before < ahead-9*2-1e-9 {
			t.Fatalf("ahead %v, served before %v", ahead, before)
		}
	})
}
