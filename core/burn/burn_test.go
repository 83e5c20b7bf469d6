package burn

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

var epoch = time.Unix(1_000_000_200, 0)

func TestClass(t *testing.T) {
	cases := []struct {
		code result.Code
		took time.Duration
		want Counts
	}{
		{result.OK, time.Second, Counts{Total: 1, Good: 1}},
		{result.OK, 3 * time.Second, Counts{Total: 1, Late: 1}},
		{result.DeadlineExceeded, 2 * time.Second, Counts{Total: 1, Late: 1}},
		{result.Overloaded, 0, Counts{Total: 1, Refused: 1}},
		{result.CustomerOverShare, 0, Counts{Total: 1, Refused: 1}},
		{result.AgentLost, 0, Counts{Total: 1, Failed: 1}},
		{result.ClaimUnavailable, 0, Counts{Total: 1, Failed: 1}},
		{result.Cancelled, 0, Counts{}},
		{result.BadBody, 0, Counts{}},
	}
	for _, c := range cases {
		t.Run(c.code.String()+"/"+c.took.String(), func(t *testing.T) {
			tr := NewTracker("e1")
			tr.Record(epoch, &Request{Call: "a", Code: c.code, Took: c.took, Deadline: 2 * time.Second})
			assert.Equal(t, tr.Report(epoch).All.Windows[Minutes5], c.want)
		})
	}
}

func TestWindows(t *testing.T) {
	tr := NewTracker("e1")
	for i := range 7 * 60 {
		now := epoch.Add(time.Duration(i) * time.Minute)
		code := result.OK
		if i >= 7*60-60 {
			code = result.ServerFailed // the last hour fails
		}
		tr.Record(now, &Request{Call: "a", Customer: "c", Objective: 0.99, Code: code, Deadline: 1})
	}
	now := epoch.Add((7*60 - 1) * time.Minute)
	l := tr.Report(now).Calls[0]
	assert.Equal(t, l.Windows[Minutes5].Total, uint64(5))
	assert.Equal(t, l.Windows[Hour1], Counts{Total: 60, Failed: 60})
	assert.Equal(t, l.Windows[Minutes30].Good, uint64(0))
	assert.Equal(t, l.Windows[Hours6], Counts{Total: 360, Good: 300, Failed: 60})
	assert.Equal(t, l.Alert(), Page)
	assert.Assert(t, l.BudgetLeft() < 0)
	later := tr.Report(now.Add(40 * time.Minute)).Calls[0]
	assert.Equal(t, later.Windows[Minutes30].Total, uint64(0))
	assert.Equal(t, later.Alert(), NoAlert)
	assert.Equal(t, len(tr.Report(now.Add(7*time.Hour)).Calls), 0)
}

func TestStageThatSpentTheDeadline(t *testing.T) {
	tr := NewTracker("e1")
	stages := []Stage{
		{Name: "encode", Attempts: 1, Took: 20 * time.Millisecond, Service: 10 * time.Millisecond},
		{Name: "generate", Attempts: 2, Hedges: 1, Took: 900 * time.Millisecond, Queue: 700 * time.Millisecond,
			Service: 200 * time.Millisecond, Tokens: 64, CrossRegionBytes: 1000},
	}
	tr.Record(epoch, &Request{Call: "a", Code: result.DeadlineExceeded, Stages: stages})
	tr.Record(epoch, &Request{Call: "a", Code: result.OK, Took: 1, Deadline: 2, Stages: stages})
	got := tr.Report(epoch).Stages
	assert.Equal(t, got[0].Stage, "encode")
	assert.Equal(t, got[0].Spent, uint64(0))
	assert.DeepEqual(t, got[1].Cost, Cost{
		Requests: 2, Attempts: 4, Hedges: 2, Seconds: 1.8, Queue: 1.4, Server: 0.4, Tokens: 128,
		CrossRegionBytes: 2000, Late: 1, Spent: 1, Wasted: 0.2, Good: 1,
	})
}

// TestMerge checks that requests spread over entries give the same figures as
// all at one, in whatever order reports are merged.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one := NewTracker("all")
		parts := []*Tracker{NewTracker("a"), NewTracker("b"), NewTracker("c")}
		now := epoch
		for range rapid.IntRange(0, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "s")) * time.Second)
			r := &Request{
				Call: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "call")), Customer: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "customer")),
				Objective: 0.9, Code: rapid.SampledFrom([]result.Code{result.OK, result.Overloaded, result.DeadlineExceeded}).Draw(t, "code"),
				Stages: []Stage{{Name: "x", Took: time.Second, Tokens: 3}, {Name: "y", Tokens: 1}},
			}
			one.Record(now, r)
			parts[rapid.IntRange(0, 2).Draw(t, "entry")].Record(now, r)
		}
		var reports []*Report
		for _, i := range rapid.Permutation([]int{0, 1, 2}).Draw(t, "order") {
			reports = append(reports, parts[i].Report(now))
		}
		got, want := Merge(reports...), Merge(one.Report(now))
		got.Entries, want.Entries = nil, nil
		x, _ := json.Marshal(got)
		y, _ := json.Marshal(want)
		if string(x) != string(y) {
			t.Fatalf("merged\n%s\nwant\n%s", x, y)
		}
	})
}

func BenchmarkRecord(b *testing.B) {
	tr := NewTracker("e1")
	r := &Request{Call: "a", Customer: "c", Stages: make([]Stage, 5)}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		tr.Record(epoch.Add(time.Duration(i)*time.Millisecond), r)
	}
}
