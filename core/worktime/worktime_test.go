package worktime

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	ms  = time.Millisecond
	day = 24 * time.Hour
)

// addSamples adds n samples of the same time.
func addSamples(t *Table, now time.Duration, r *Request, n int, took time.Duration) {
	for range n {
		t.End(now, t.Begin(now-took, r), true)
	}
}

// TestPriorAppliesUntilTimesAreLearnt guards against a stop that takes work of which nothing is
// known, or knows a time after a single sample.
func TestPriorAppliesUntilTimesAreLearnt(t *testing.T) {
	table, r := New(), &Request{Kind: Kind{"r", "s"}, Prior: time.Second}
	assert.Equal(t, table.Expect(day, r), time.Second)
	addSamples(table, day, r, minSamples-1, 100*ms)
	assert.Equal(t, table.Expect(day, r), time.Second)
	addSamples(table, day, r, 1, 100*ms)
	assert.Equal(t, table.Expect(day, r), 100*ms)
	assert.Equal(t, table.Expect(day, &Request{Kind: Kind{"r", "other"}, Prior: time.Second}), time.Second)
	assert.Equal(t, table.Expect(day+retention, r), time.Second)
	addSamples(table, day, r, 1, 3*time.Second)
	assert.Equal(t, table.Expect(day+retention, r), time.Second)
}

// TestCarefulTimesAreLonger guards against a request that may not be repeated and is taken because
// most others are quick.
func TestCarefulTimesAreLonger(t *testing.T) {
	table, r := New(), &Request{Kind: Kind{"r", "s"}}
	addSamples(table, day, r, 97, 100*ms)
	addSamples(table, day, r, 3, 5*time.Second)
	assert.Equal(t, table.Expect(day, r), 100*ms)
	assert.Equal(t, table.Expect(day, &Request{Kind: r.Kind, Careful: true}), 5*time.Second)
}

// TestOpenWorkShowsASlowdown guards against servers that have become slow, which completed requests
// show only after they would have been sent.
func TestOpenWorkShowsASlowdown(t *testing.T) {
	table, r := New(), &Request{Kind: Kind{"r", "s"}}
	addSamples(table, day, r, sampleCount, 100*ms)
	var open []*Work
	for range 20 {
		open = append(open, table.Begin(day, r))
	}
	assert.Equal(t, table.Expect(day+2*time.Second, r), 2*time.Second)
	for _, w := range open {
		table.End(day+2*time.Second, w, false)
		table.End(day+3*time.Second, w, true)
	}
	assert.Equal(t, table.Expect(day+2*time.Second, r), 100*ms, "what failed early says nothing")
}

// TestLongerResponsesAreExpectedToTakeLonger guards against a long stream that is taken because
// short ones were quick.
func TestLongerResponsesAreExpectedToTakeLonger(t *testing.T) {
	table := New()
	request := func(length int) *Request { return &Request{Kind: Kind{"r", "s"}, Length: length, Prior: ms} }
	addSamples(table, day, request(100), minSamples, time.Second)
	addSamples(table, day, request(2000), minSamples, 9*time.Second)
	assert.Equal(t, table.Expect(day, request(100)), time.Second)
	assert.Equal(t, table.Expect(day, request(2000)), 9*time.Second)
	assert.Equal(t, table.Expect(day, request(300)), 9*time.Second)
	assert.Equal(t, table.Expect(day, request(0)), time.Second)
	assert.Equal(t, table.Expect(day, request(8000)), 36*time.Second)
	assert.Equal(t, table.Expect(day, request(1<<62)), maxExpected)
	assert.Equal(t, New().Expect(day, &Request{Length: 10, Prior: time.Second, PriorPerLength: 500 * ms}), 6*time.Second)
	assert.Equal(t, New().Expect(day, &Request{Length: math.MaxInt, PriorPerLength: time.Hour}), maxExpected)
}

// TestExpectedTimesAreBounded guards against memory that grows with the routes and lengths of
// requests, and against times that were never seen.
func TestExpectedTimesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now, longest := New(), day, ms
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			r := &Request{Kind: Kind{Route: rapid.StringN(0, 1, 1).Draw(t, "route")}, Careful: rapid.Bool().Draw(t, "careful"), Prior: ms}
			took := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "took"))
			w := table.Begin(now, r)
			now += took
			longest = max(longest, took)
			table.End(now, w, rapid.Bool().Draw(t, "counts"))
			expected := table.Expect(now, r)
			assert.Assert(t, expected >= 0 && expected <= longest)
		}
	})
	table := New()
	for i := range 2 * maxClasses {
		r := &Request{Kind: Kind{Service: string(rune(i))}}
		table.End(day, table.Begin(day, r), true)
	}
	assert.Assert(t, len(table.classes) <= maxClasses)
}

// TestLatestStart guards against work that begins in a stop without a margin before its end, above
// all once the load balancer sends no more of it, and against a stop that takes nothing.
func TestLatestStart(t *testing.T) {
	stop := Stop{Since: day, LastAnswer: day + 7200*ms}
	for _, c := range []struct{ expected, latest time.Duration }{
		{10 * time.Second, -3800 * ms},
		{4 * time.Second, 2800 * ms},
		{3 * time.Second, 3 * time.Second},
		{time.Second, 5200 * ms},
		{10 * ms, 6890 * ms},
		{0, 6900 * ms},
	} {
		assert.Equal(t, stop.LatestStart(c.expected)-day, c.latest, "%v", c.expected)
	}
}

// TestLatestStartFallsWithTheExpectedTime guards against longer work that may begin later.
func TestLatestStartFallsWithTheExpectedTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := rapid.Int64Range(0, int64(time.Minute))
		stop := Stop{Since: day, LastAnswer: day + time.Duration(duration.Draw(t, "left"))}
		expected, more := time.Duration(duration.Draw(t, "expected")), time.Duration(duration.Draw(t, "more"))
		latest := stop.LatestStart(expected)
		assert.Assert(t, stop.LatestStart(expected+more) <= latest)
		assert.Assert(t, latest+expected < stop.LastAnswer)
	})
}
