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

func TestRequestClassification(t *testing.T) {
	cases := []struct {
		code    result.Code
		elapsed time.Duration
		want    Counts
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
		t.Run(c.code.String()+"/"+c.elapsed.String(), func(t *testing.T) {
			tracker := NewTracker("e1")
			tracker.Record(epoch, &Request{Call: "a", Code: c.code, Elapsed: c.elapsed, Deadline: 2 * time.Second})
			assert.Equal(t, tracker.Report(epoch).All.Windows[Last5Minutes], c.want)
		})
	}
}

func TestWindowsAndAlerts(t *testing.T) {
	tracker := NewTracker("e1")
	for i := range 7 * 60 {
		now := epoch.Add(time.Duration(i) * time.Minute)
		code := result.OK
		if i >= 7*60-60 {
			code = result.ServerFailed // all requests of the last hour fail
		}
		tracker.Record(now, &Request{Call: "a", Customer: "c", Objective: 0.99, Code: code, Deadline: 1})
	}
	now := epoch.Add((7*60 - 1) * time.Minute)
	level := tracker.Report(now).Calls[0]
	assert.Equal(t, level.Windows[Last5Minutes].Total, uint64(5))
	assert.Equal(t, level.Windows[LastHour], Counts{Total: 60, Failed: 60})
	assert.Equal(t, level.Windows[Last30Minutes].Good, uint64(0))
	assert.Equal(t, level.Windows[Last6Hours], Counts{Total: 360, Good: 300, Failed: 60})
	assert.Equal(t, level.Alert(), Page)
	assert.Assert(t, level.ErrorBudgetRemaining() < 0)
	later := tracker.Report(now.Add(40 * time.Minute)).Calls[0]
	assert.Equal(t, later.Windows[Last30Minutes].Total, uint64(0))
	assert.Equal(t, later.Alert(), NoAlert)
	assert.Equal(t, len(tracker.Report(now.Add(7*time.Hour)).Calls), 0)
}

// TestLateRequestsAreChargedToLongestStage records a late and a good request, of
// which only the late one may count as a deadline spent by its longest stage.
func TestLateRequestsAreChargedToLongestStage(t *testing.T) {
	tracker := NewTracker("e1")
	stages := []Stage{
		{Name: "encode", Attempts: 1, Elapsed: 20 * time.Millisecond, ServiceTime: 10 * time.Millisecond},
		{Name: "generate", Attempts: 2, Hedges: 1, Elapsed: 900 * time.Millisecond, QueueTime: 700 * time.Millisecond,
			ServiceTime: 200 * time.Millisecond, Tokens: 64, CrossRegionBytes: 1000},
	}
	tracker.Record(epoch, &Request{Call: "a", Code: result.DeadlineExceeded, Stages: stages})
	tracker.Record(epoch, &Request{Call: "a", Code: result.OK, Elapsed: 1, Deadline: 2, Stages: stages})
	got := tracker.Report(epoch).Stages
	assert.Equal(t, got[0].Stage, "encode")
	assert.Equal(t, got[0].SpentDeadline, uint64(0))
	assert.DeepEqual(t, got[1].Cost, Cost{
		Requests: 2, Attempts: 4, Hedges: 2, ElapsedSeconds: 1.8, QueueSeconds: 1.4, ServerSeconds: 0.4, Tokens: 128,
		CrossRegionBytes: 2000, Late: 1, SpentDeadline: 1, WastedServerSeconds: 0.2, Good: 1,
	})
}

// TestMergedReportsEqualSingleTracker checks that requests spread over several
// entries give the same merged report as the same requests at one entry, in any
// order of merging.
func TestMergedReportsEqualSingleTracker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		single := NewTracker("all")
		perEntry := []*Tracker{NewTracker("a"), NewTracker("b"), NewTracker("c")}
		now := epoch
		for range rapid.IntRange(0, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "s")) * time.Second)
			r := &Request{
				Call: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "call")), Customer: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "customer")),
				Objective: 0.9, Code: rapid.SampledFrom([]result.Code{result.OK, result.Overloaded, result.DeadlineExceeded}).Draw(t, "code"),
				Stages: []Stage{{Name: "x", Elapsed: time.Second, Tokens: 3}, {Name: "y", Tokens: 1}},
			}
			single.Record(now, r)
			perEntry[rapid.IntRange(0, 2).Draw(t, "entry")].Record(now, r)
		}
		var reports []*Report
		for _, i := range rapid.Permutation([]int{0, 1, 2}).Draw(t, "order") {
			reports = append(reports, perEntry[i].Report(now))
		}
		got, want := Merge(reports...), Merge(single.Report(now))
		got.Entries, want.Entries = nil, nil
		gotJSON, _ := json.Marshal(got)
		wantJSON, _ := json.Marshal(want)
		if string(gotJSON) != string(wantJSON) {
			t.Fatalf("merged\n%s\nwant\n%s", gotJSON, wantJSON)
		}
	})
}

func BenchmarkRecord(b *testing.B) {
	tracker := NewTracker("e1")
	r := &Request{Call: "a", Customer: "c", Stages: make([]Stage, 5)}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		tracker.Record(epoch.Add(time.Duration(i)*time.Millisecond), r)
	}
}
