package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

const ms = time.Millisecond

func TestRetry(t *testing.T) {
	cases := []struct {
		name string
		ask  Ask
		wait time.Duration
		ok   bool
	}{
		{"refused, not idempotent", Ask{result.QueueFull, result.RanNo, false, 1, 500 * ms, 100 * ms}, 0, true},
		{"failed, not idempotent", Ask{result.ServerFailed, result.RanYes, false, 1, 500 * ms, 100 * ms}, 0, false},
		{"lost, not idempotent", Ask{result.AgentLost, result.RanUnknown, false, 1, 500 * ms, 100 * ms}, 0, false},
		{"unspecified, not idempotent", Ask{result.AgentLost, result.RanUnspecified, false, 1, 500 * ms, 100 * ms}, 0, false},
		{"failed, idempotent", Ask{result.ServerFailed, result.RanYes, true, 1, 500 * ms, 100 * ms}, 0, true},
		{"second repeat waits", Ask{result.ServerFailed, result.RanYes, true, 2, 500 * ms, 100 * ms}, 10 * ms, true},
		{"third repeat", Ask{result.ServerFailed, result.RanYes, true, 3, 500 * ms, 100 * ms}, 0, false},
		{"too little left", Ask{result.ServerFailed, result.RanYes, true, 1, 99 * ms, 100 * ms}, 0, false},
		{"too little left with the wait", Ask{result.ServerFailed, result.RanYes, true, 2, 105 * ms, 100 * ms}, 0, false},
		{"cancelled", Ask{result.Cancelled, result.RanNo, true, 1, 500 * ms, 100 * ms}, 0, false},
		{"deadline", Ask{result.DeadlineExceeded, result.RanNo, true, 1, 500 * ms, 100 * ms}, 0, false},
		{"key reused", Ask{result.KeyReused, result.RanNo, true, 1, 500 * ms, 100 * ms}, 0, false},
		{"bad body", Ask{result.BadBody, result.RanNo, true, 1, 500 * ms, 100 * ms}, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			wait, ok := New(Options{Policy: Budgeted}).Retry(time.Time{}, &c.ask)
			assert.Equal(t, ok, c.ok)
			assert.Equal(t, wait, c.wait)
		})
	}
}

// TestBounds checks over any events that what is not idempotent is repeated only
// after ran=no, and that repeats stay within the reserve and the share.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(Options{Policy: Budgeted, Share: 0.1, Hedge: true})
		requests, repeats := 0, 0
		codes := result.All()
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				b.Request(time.Time{})
				requests++
			case 1:
				if b.HedgeSent(time.Time{}) {
					repeats++
				}
			default:
				a := &Ask{
					Code:       codes[rapid.IntRange(0, len(codes)-1).Draw(t, "code")].Code,
					Ran:        result.Ran(rapid.IntRange(0, 3).Draw(t, "ran")),
					Idempotent: rapid.Bool().Draw(t, "idempotent"),
					Attempts:   rapid.IntRange(1, 4).Draw(t, "attempts"),
					Remaining:  time.Second,
				}
				_, ok := b.Retry(time.Time{}, a)
				if !ok {
					continue
				}
				repeats++
				if !a.Idempotent && a.Ran != result.RanNo {
					t.Fatalf("repeat of %+v", a)
				}
			}
			if float64(repeats) > reserve+0.1*float64(requests)+1e-6 {
				t.Fatalf("%d repeats of %d requests", repeats, requests)
			}
		}
	})
}

func TestBaselineNeverRepeatsWhatMayHaveRun(t *testing.T) {
	b := New(Options{Policy: ThreeTimes})
	_, ok := b.Retry(time.Time{}, &Ask{Code: result.AgentLost, Ran: result.RanUnknown, Attempts: 1})
	assert.Assert(t, !ok)
	for range 100 {
		_, ok = b.Retry(time.Time{}, &Ask{Code: result.AgentLost, Ran: result.RanUnknown, Idempotent: true, Attempts: 2})
		assert.Assert(t, ok)
	}
}

func TestHedge(t *testing.T) {
	b := New(Options{Policy: Budgeted, Hedge: true})
	for i := range 100 {
		_, ok := b.HedgeAfter(time.Time{}, "generate", time.Second)
		assert.Equal(t, ok, i >= samplesNeeded, "after %d times", i)
		b.Took("generate", time.Duration(i*37%100+1)*ms)
	}
	after, ok := b.HedgeAfter(time.Time{}, "generate", time.Second)
	assert.Assert(t, ok)
	// Two medians of times spread over 1 to 100 ms.
	assert.Assert(t, after >= 96*ms && after <= 108*ms, "after %v", after)
	_, ok = b.HedgeAfter(time.Time{}, "generate", 120*ms)
	assert.Assert(t, !ok, "hedge with too little left")
	_, ok = New(Options{}).HedgeAfter(time.Time{}, "generate", time.Second)
	assert.Assert(t, !ok)
}

// TestFewHedgesOfEvenTimes checks that a stage with even times is hedged only
// well after them, and one with a slow server at its late quantile.
func TestFewHedgesOfEvenTimes(t *testing.T) {
	b := New(Options{Policy: Budgeted, Hedge: true})
	for i := range 128 {
		b.Took("even", time.Duration(95+i%10)*ms)
		b.Took("slow server", time.Duration(100+900*((i%12)/11))*ms)
	}
	after, ok := b.HedgeAfter(time.Time{}, "even", time.Second)
	assert.Assert(t, ok && after >= 190*ms, "after %v", after)
	after, ok = b.HedgeAfter(time.Time{}, "slow server", 2*time.Second)
	assert.Assert(t, ok && after >= 200*ms, "after %v", after)
}

// TestNoHedgesWhileQueueing checks that hedges stop when most calls of a stage
// take longer, and go on when only some do.
func TestNoHedgesWhileQueueing(t *testing.T) {
	cases := []struct {
		name string
		took func(i int) time.Duration
		ok   bool
	}{
		{"usual", func(int) time.Duration { return 100 * ms }, true},
		{"one in ten slow", func(i int) time.Duration {
			if i%10 == 0 {
				return time.Second
			}
			return 100 * ms
		}, true},
		{"all slower", func(int) time.Duration { return 200 * ms }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := New(Options{Policy: Budgeted, Hedge: true})
			for range 100 {
				b.Took("generate", 100*ms)
			}
			for i := range 300 {
				b.Took("generate", c.took(i))
			}
			_, ok := b.HedgeAfter(time.Time{}, "generate", 10*time.Second)
			assert.Equal(t, ok, c.ok)
		})
	}
	b := New(Options{Policy: Budgeted, Hedge: true})
	for i := range 3 * medianKept * samplesBetween {
		b.Took("generate", time.Duration(100+100*min(i/100, 1))*ms)
	}
	_, ok := b.HedgeAfter(time.Time{}, "generate", 10*time.Second)
	assert.Assert(t, ok, "a lasting change of the usual time is accepted after a while")
}

// TestHedgesLeaveReserveForRetries checks that hedges alone cannot use up the
// reserve.
func TestHedgesLeaveReserveForRetries(t *testing.T) {
	b := New(Options{Policy: Budgeted, Hedge: true})
	hedges := 0
	for b.HedgeSent(time.Time{}) {
		hedges++
	}
	assert.Equal(t, hedges, 5)
	_, ok := b.Retry(time.Time{}, &Ask{Code: result.ServerFailed, Idempotent: true, Attempts: 1, Remaining: ms})
	assert.Assert(t, ok)
}

func BenchmarkTook(b *testing.B) {
	budget := New(Options{Hedge: true})
	budget.Took("generate", ms)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		budget.Took("generate", time.Duration(i%1000)*ms)
	}
}
