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

func TestAdmit(t *testing.T) {
	cases := []struct {
		name   string
		policy Policy
		ask    Ask
		code   result.Code
		retry  bool
	}{
		{"idle", Feasible, Ask{Budget: time.Second, Expected: 300 * ms, Least: 300 * ms}, result.OK, false},
		{"nothing measured", Feasible, Ask{Budget: time.Second}, result.OK, false},
		{"no budget", Feasible, Ask{}, result.DeadlineTooShort, false},
		{"shorter than without load", Feasible, Ask{Budget: 200 * ms, Expected: 300 * ms, Least: 300 * ms}, result.DeadlineTooShort, false},
		{"queues too long", Feasible, Ask{Budget: time.Second, Expected: 2 * time.Second, Least: 300 * ms}, result.Overloaded, true},
		{"margin", Feasible, Ask{Budget: time.Second, Expected: 900 * ms, Least: 300 * ms}, result.Overloaded, true},
		{"baseline", Everything, Ask{Budget: time.Second, Expected: 2 * time.Second, Least: 300 * ms}, result.OK, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctl := New(Options{Policy: c.policy})
			// The customer has used its whole share before.
			ctl.Admit(epoch, &Ask{Budget: time.Second})
			d := ctl.Admit(epoch, &c.ask)
			assert.Equal(t, d.Code, c.code)
			assert.Equal(t, d.RetryAfter > 0, c.retry)
		})
	}
}

// queue is a server that works off what is admitted at a rate.
type queue struct {
	backlog time.Duration
	least   time.Duration
}

func (q *queue) ask(customer string, weight int) *Ask {
	return &Ask{Customer: customer, Weight: weight, Budget: time.Second, Expected: q.least + q.backlog, Least: q.least}
}

// TestSharesUnderOverload offers 2.5 times the capacity, most of it from one
// customer, and checks that the others, which stay under their share, get in.
func TestSharesUnderOverload(t *testing.T) {
	c := New(Options{Policy: Feasible})
	q := &queue{least: 50 * ms}
	offered, admitted := map[string]int{}, map[string]int{}
	const tick, service = ms, 10 * ms // capacity 100 a second
	for i := range 10_000 {
		now := epoch.Add(time.Duration(i) * tick)
		q.backlog = max(0, q.backlog-tick)
		var from []string
		if i%5 == 0 {
			from = append(from, "greedy") // 200 a second
		}
		if i%80 == 0 {
			from = append(from, "a", "b", "c", "d") // 12.5 a second each
		}
		for _, customer := range from {
			offered[customer]++
			if c.Admit(now, q.ask(customer, 1)).Code == result.OK {
				admitted[customer]++
				q.backlog += service
			}
		}
	}
	total := 0
	for _, customer := range []string{"a", "b", "c", "d"} {
		total += admitted[customer]
		assert.Assert(t, admitted[customer]*100 >= offered[customer]*99, "%s: %d of %d", customer, admitted[customer], offered[customer])
	}
	total += admitted["greedy"]
	assert.Assert(t, total >= 900, "admitted %d of a capacity of 1000", total)
}

// TestUnderShareWhileFull checks that a customer under its share gets in while
// others have filled the queues, and that there is an end to that.
func TestUnderShareWhileFull(t *testing.T) {
	c := New(Options{Policy: Feasible})
	ask := func(customer string, wait time.Duration) result.Code {
		return c.Admit(epoch, &Ask{Customer: customer, Budget: time.Second, Expected: 50*ms + wait, Least: 50 * ms}).Code
	}
	for range 20 {
		assert.Equal(t, ask("greedy", 0), result.OK)
	}
	assert.Equal(t, ask("greedy", 900*ms), result.Overloaded)
	assert.Equal(t, ask("small", 900*ms), result.OK)
	assert.Equal(t, ask("small", 3*time.Second), result.Overloaded)
}

func TestSharesFollowWeights(t *testing.T) {
	c := New(Options{Policy: Feasible})
	q := &queue{least: 50 * ms}
	admitted := map[string]int{}
	for i := range 20_000 {
		q.backlog = max(0, q.backlog-ms)
		for _, customer := range []struct {
			name   string
			weight int
		}{{"large", 3}, {"small", 1}} {
			if i%5 == 0 && c.Admit(epoch.Add(time.Duration(i)*ms), q.ask(customer.name, customer.weight)).Code == result.OK {
				admitted[customer.name]++
				q.backlog += 10 * ms
			}
		}
	}
	ratio := float64(admitted["large"]) / float64(admitted["small"])
	assert.Assert(t, ratio > 2 && ratio < 4, "ratio %.2f, %v", ratio, admitted)
}

// TestReturnsWithoutSecondPeak refuses a burst and lets all callers obey
// RetryAfter: no second of their return may exceed the capacity, and all get in.
func TestReturnsWithoutSecondPeak(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := New(Options{Policy: Feasible, Seed: seed})
			q := &queue{least: 50 * ms}
			var due []time.Time
			for range 400 {
				due = append(due, epoch)
			}
			perSecond := map[int]int{}
			done, last := 0, time.Duration(0)
			for i := range 30_000 {
				now := epoch.Add(time.Duration(i) * ms)
				q.backlog = max(0, q.backlog-ms)
				var later []time.Time
				for _, at := range due {
					if at.After(now) {
						later = append(later, at)
						continue
					}
					if i > 0 {
						perSecond[i/1000]++
					}
					d := c.Admit(now, q.ask("a", 1))
					if d.Code == result.OK {
						done++
						last = now.Sub(epoch)
						q.backlog += 10 * ms
						continue
					}
					later = append(later, now.Add(d.RetryAfter))
				}
				due = later
			}
			assert.Equal(t, done, 400)
			for s, n := range perSecond {
				assert.Assert(t, n <= 100, "second %d: %d returns", s, n)
			}
			assert.Assert(t, last < 20*time.Second, "the last got in after %v", last)
		})
	}
}

// TestRateSplit checks that the entries together keep a customer's rate, however
// the balancer spreads its requests.
func TestRateSplit(t *testing.T) {
	cases := []struct {
		name     string
		spread   []int // requests per tick at each entry
		exchange bool
		least    int
	}{
		{"even", []int{1, 1, 1}, true, 900},
		{"even without exchange", []int{1, 1, 1}, false, 900},
		{"uneven", []int{3, 1, 0}, true, 850},
		{"uneven without exchange", []int{3, 1, 0}, false, 600},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var entries []*Controller
			for range c.spread {
				e := New(Options{Policy: Feasible})
				e.SetEntries(len(c.spread))
				entries = append(entries, e)
			}
			admitted := 0
			for i := range 2000 {
				now := epoch.Add(time.Duration(i) * 5 * ms)
				for j, e := range entries {
					for range c.spread[j] {
						if e.Admit(now, &Ask{Customer: "a", Rate: 100, Budget: time.Second}).Code == result.OK {
							admitted++
						}
					}
				}
				if c.exchange && i%200 == 0 {
					exchange(now, entries)
				}
			}
			assert.Assert(t, admitted <= 1150 && admitted >= c.least, "%d admitted at 100 a second for 10 s", admitted)
		})
	}
}

func exchange(now time.Time, entries []*Controller) {
	for i, from := range entries {
		use := from.AppendUse(now, nil)
		for j, to := range entries {
			if i != j {
				to.SetPeerUse(now, fmt.Sprint(i), use)
			}
		}
	}
}

func TestMarginFollowsMisses(t *testing.T) {
	c := New(Options{Policy: Feasible})
	for range 10 {
		c.Finish(epoch, "a", result.DeadlineExceeded, time.Second)
	}
	high := c.Margin()
	assert.Assert(t, high > marginStart)
	for range 10_000 {
		c.Finish(epoch, "a", result.OK, time.Second)
	}
	assert.Equal(t, c.Margin(), marginLeast)
}

func TestDecisionsAreReproducible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		a, b := New(Options{Seed: seed}), New(Options{Seed: seed})
		now := epoch
		for range rapid.IntRange(1, 100).Draw(t, "asks") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * ms)
			ask := &Ask{
				Customer: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "customer")), Weight: rapid.IntRange(0, 3).Draw(t, "weight"),
				Rate:   float64(rapid.IntRange(0, 5).Draw(t, "rate")),
				Budget: time.Duration(rapid.IntRange(-10, 2000).Draw(t, "budget")) * ms,
				Least:  time.Duration(rapid.IntRange(0, 1000).Draw(t, "least")) * ms,
			}
			ask.Expected = ask.Least + time.Duration(rapid.IntRange(0, 1000).Draw(t, "wait"))*ms
			x, y := a.Admit(now, ask), b.Admit(now, ask)
			if x != y {
				t.Fatalf("%+v and %+v", x, y)
			}
			if x.Code == result.OK && ask.Least > ask.Budget {
				t.Fatal("admitted a request that cannot be served")
			}
			if x.RetryAfter < 0 || x.RetryAfter > returnLatest && x.Code == result.Overloaded {
				t.Fatalf("retry after %v", x.RetryAfter)
			}
		}
		if !slices.IsSortedFunc(a.AppendUse(now, nil), func(x, y Use) int {
			if x.Customer < y.Customer {
				return -1
			}
			return 1
		}) {
			t.Fatal("use not sorted")
		}
	})
}

func BenchmarkAdmit(b *testing.B) {
	c := New(Options{Policy: Feasible})
	names := make([]string, 640)
	for i := range names {
		names[i] = fmt.Sprintf("customer-%03d", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		a := Ask{Customer: names[i%640], Weight: 1, Budget: time.Second, Expected: time.Duration(i%900) * ms, Least: 50 * ms}
		c.Admit(epoch.Add(time.Duration(i)*ms), &a)
	}
}
