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
		name    string
		attempt FailedAttempt
		wait    time.Duration
		ok      bool
	}{
		{"refused, not idempotent", FailedAttempt{result.QueueFull, result.RanNo, false, 1, 500 * ms, 100 * ms}, 0, true},
		{"failed, not idempotent", FailedAttempt{result.ServerFailed, result.RanYes, false, 1, 500 * ms, 100 * ms}, 0, false},
		{"agent lost, not idempotent", FailedAttempt{result.AgentLost, result.RanUnknown, false, 1, 500 * ms, 100 * ms}, 0, false},
		{"ran unspecified, not idempotent", FailedAttempt{result.AgentLost, result.RanUnspecified, false, 1, 500 * ms, 100 * ms}, 0, false},
		{"failed, idempotent", FailedAttempt{result.ServerFailed, result.RanYes, true, 1, 500 * ms, 100 * ms}, 0, true},
		{"second retry waits", FailedAttempt{result.ServerFailed, result.RanYes, true, 2, 500 * ms, 100 * ms}, 10 * ms, true},
		{"too many attempts", FailedAttempt{result.ServerFailed, result.RanYes, true, 3, 500 * ms, 100 * ms}, 0, false},
		{"too little time left", FailedAttempt{result.ServerFailed, result.RanYes, true, 1, 99 * ms, 100 * ms}, 0, false},
		{"too little time left after the wait", FailedAttempt{result.ServerFailed, result.RanYes, true, 2, 105 * ms, 100 * ms}, 0, false},
		{"cancelled", FailedAttempt{result.Cancelled, result.RanNo, true, 1, 500 * ms, 100 * ms}, 0, false},
		{"deadline exceeded", FailedAttempt{result.DeadlineExceeded, result.RanNo, true, 1, 500 * ms, 100 * ms}, 0, false},
		{"key reused", FailedAttempt{result.KeyReused, result.RanNo, true, 1, 500 * ms, 100 * ms}, 0, false},
		{"bad body", FailedAttempt{result.BadBody, result.RanNo, true, 1, 500 * ms, 100 * ms}, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			wait, ok := New(Options{Policy: Budgeted}).Retry(time.Time{}, &c.attempt)
			assert.Equal(t, ok, c.ok)
			assert.Equal(t, wait, c.wait)
		})
	}
}

// TestRetriesStayWithinBudget checks for random events that stages that are not
// idempotent are retried only if the attempt did not run, and that retries and hedges
// stay within the bucket's capacity plus the retry share.
func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(Options{Policy: Budgeted, RetryShare: new(0.1), HedgingEnabled: true})
		requests, retries := 0, 0
		codes := result.All()
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				b.RecordRequest(time.Time{})
				requests++
			case 1:
				if b.AllowHedge(time.Time{}) {
					retries++
				}
			default:
				a := &FailedAttempt{
					Code:       codes[rapid.IntRange(0, len(codes)-1).Draw(t, "code")].Code,
					Ran:        result.Ran(rapid.IntRange(0, 3).Draw(t, "ran")),
					Idempotent: rapid.Bool().Draw(t, "idempotent"),
					Attempts:   rapid.IntRange(1, 4).Draw(t, "attempts"),
					TimeLeft:   time.Second,
				}
				_, ok := b.Retry(time.Time{}, a)
				if !ok {
					continue
				}
				retries++
				if !a.Idempotent && a.Ran != result.RanNo {
					t.Fatalf("retry allowed after %+v", a)
				}
			}
			if float64(retries) > bucketCapacity+0.1*float64(requests)+1e-6 {
				t.Fatalf("%d retries and hedges for %d requests", retries, requests)
			}
		}
	})
}

func TestThreeTimesNeverRetriesNonIdempotentThatMayHaveRun(t *testing.T) {
	b := New(Options{Policy: ThreeTimes})
	_, ok := b.Retry(time.Time{}, &FailedAttempt{Code: result.AgentLost, Ran: result.RanUnknown, Attempts: 1})
	assert.Assert(t, !ok)
	for range 100 {
		_, ok = b.Retry(time.Time{}, &FailedAttempt{Code: result.AgentLost, Ran: result.RanUnknown, Idempotent: true, Attempts: 2})
		assert.Assert(t, ok)
	}
}

func TestHedgeDelay(t *testing.T) {
	b := New(Options{Policy: Budgeted, HedgingEnabled: true})
	for i := range 100 {
		_, ok := b.HedgeDelay(time.Time{}, "generate", time.Second)
		assert.Equal(t, ok, i >= minSamples, "after %d latencies", i)
		b.RecordLatency("generate", time.Duration(i*37%100+1)*ms)
	}
	delay, ok := b.HedgeDelay(time.Time{}, "generate", time.Second)
	assert.Assert(t, ok)
	// Two medians of latencies spread over 1 to 100 ms.
	assert.Assert(t, delay >= 96*ms && delay <= 108*ms, "delay %v", delay)
	_, ok = b.HedgeDelay(time.Time{}, "generate", 120*ms)
	assert.Assert(t, !ok, "hedge with too little time left")
	_, ok = New(Options{}).HedgeDelay(time.Time{}, "generate", time.Second)
	assert.Assert(t, !ok)
}

// TestHedgeDelayForEvenAndUnevenLatencies checks that the hedge delay is at least two
// medians, both for a stage with even latencies and for one with a slow server.
func TestHedgeDelayForEvenAndUnevenLatencies(t *testing.T) {
	b := New(Options{Policy: Budgeted, HedgingEnabled: true})
	for i := range 128 {
		b.RecordLatency("even", time.Duration(95+i%10)*ms)
		b.RecordLatency("slow server", time.Duration(100+900*((i%12)/11))*ms)
	}
	delay, ok := b.HedgeDelay(time.Time{}, "even", time.Second)
	assert.Assert(t, ok && delay >= 190*ms, "delay %v", delay)
	delay, ok = b.HedgeDelay(time.Time{}, "slow server", 2*time.Second)
	assert.Assert(t, ok && delay >= 200*ms, "delay %v", delay)
}

// TestNoHedgingWhileQueueing checks that hedging stops when most calls of a stage get
// slower, continues when only a few do, and resumes after the new latency has lasted.
func TestNoHedgingWhileQueueing(t *testing.T) {
	cases := []struct {
		name    string
		latency func(i int) time.Duration
		ok      bool
	}{
		{"unchanged", func(int) time.Duration { return 100 * ms }, true},
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
			b := New(Options{Policy: Budgeted, HedgingEnabled: true})
			for range 100 {
				b.RecordLatency("generate", 100*ms)
			}
			for i := range 300 {
				b.RecordLatency("generate", c.latency(i))
			}
			_, ok := b.HedgeDelay(time.Time{}, "generate", 10*time.Second)
			assert.Equal(t, ok, c.ok)
		})
	}
	b := New(Options{Policy: Budgeted, HedgingEnabled: true})
	for i := range 3 * medianPeriod * recomputeInterval {
		b.RecordLatency("generate", time.Duration(100+100*min(i/100, 1))*ms)
	}
	_, ok := b.HedgeDelay(time.Time{}, "generate", 10*time.Second)
	assert.Assert(t, ok, "no hedging long after the usual latency changed")
}

// TestHedgesLeaveTokensForRetries checks that hedges alone cannot empty the token
// bucket.
func TestHedgesLeaveTokensForRetries(t *testing.T) {
	b := New(Options{Policy: Budgeted, HedgingEnabled: true})
	hedges := 0
	for b.AllowHedge(time.Time{}) {
		hedges++
	}
	assert.Equal(t, hedges, 5)
	_, ok := b.Retry(time.Time{}, &FailedAttempt{Code: result.ServerFailed, Idempotent: true, Attempts: 1, TimeLeft: ms})
	assert.Assert(t, ok)
}

func BenchmarkRecordLatency(b *testing.B) {
	budget := New(Options{HedgingEnabled: true})
	budget.RecordLatency("generate", ms)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		budget.RecordLatency("generate", time.Duration(i%1000)*ms)
	}
}

// TestNoRetriesWithShareZero guards against 0 being taken for a share that is not set.
func TestNoRetriesWithShareZero(t *testing.T) {
	b := New(Options{Policy: Budgeted, RetryShare: new(0.0)})
	for range 1000 {
		b.RecordRequest(time.Time{})
	}
	_, ok := b.Retry(time.Time{}, &FailedAttempt{result.ServerFailed, result.RanYes, true, 1, 500 * ms, 100 * ms})
	assert.Assert(t, !ok)
}
