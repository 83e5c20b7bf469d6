package harness

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/schema"
	"github.com/magnoliawheel/magnoliawheel/internal/load"
	"github.com/magnoliawheel/magnoliawheel/test/standin"
)

var testSchema = &schema.Schema{
	Pipelines: []schema.Pipeline{{Name: "p", Stages: []schema.Stage{
		{Name: "encode", ServerCall: "encode", Idempotent: true},
		{Name: "file", ServerCall: "file", InAnswer: true},
	}}},
	Calls: []schema.Call{{Name: "c", Pipeline: "p"}},
}

func execution(call string, outcome standin.Outcome) standin.Execution {
	return standin.Execution{ID: "q/1/1", Call: call, Nonce: "run-1", Outcome: outcome}
}

// TestCheckOutcomes checks how outcomes and executions of a single request are counted.
func TestCheckOutcomes(t *testing.T) {
	body := []byte(`{"nonce":"run-1"}`)
	correct := ExpectedAnswer(testSchema.Pipeline("p"), body)
	other := ExpectedAnswer(testSchema.Pipeline("p"), []byte(`{"nonce":"run-2"}`))
	completedFile := execution("file", standin.Completed)
	for _, tc := range []struct {
		name       string
		outcome    load.Outcome
		executions []standin.Execution
		want       Ledger
	}{
		{"complete", load.Outcome{Class: load.Complete, Texts: correct}, []standin.Execution{completedFile}, Ledger{Complete: 1}},
		{"failed executions have no effect", load.Outcome{Class: load.Complete, Texts: correct},
			[]standin.Execution{execution("file", standin.Failed), completedFile}, Ledger{Complete: 1}},
		{"doubled", load.Outcome{Class: load.Complete, Texts: correct}, []standin.Execution{completedFile, completedFile}, Ledger{Complete: 1, Doubled: 1}},
		{"doubled, one execution unfinished", load.Outcome{Class: load.Unknown, Ran: "unknown", Effects: "unknown"},
			[]standin.Execution{execution("file", standin.Started), completedFile}, Ledger{Unknown: 1, Doubled: 1}},
		{"complete answer without an execution", load.Outcome{Class: load.Complete, Texts: correct}, nil, Ledger{Complete: 1, Lost: 1}},
		{"truncated answer", load.Outcome{Class: load.Complete, Texts: map[string]string{"file": correct["file"][:9]}},
			[]standin.Execution{completedFile}, Ledger{Complete: 1, Lost: 1}},
		{"wrong checksum", load.Outcome{Class: load.Complete, Defect: "checksum"}, []standin.Execution{completedFile}, Ledger{Complete: 1, Lost: 1}},
		{"answer of another request", load.Outcome{Class: load.Complete, Texts: other}, []standin.Execution{completedFile}, Ledger{Complete: 1, Misdelivered: 1}},
		{"no outcome", load.Outcome{Class: load.NoOutcome}, nil, Ledger{Unknown: 1, Lost: 1}},
		{"refused", load.Outcome{Class: load.Refused, Ran: "no", Effects: "no"}, nil, Ledger{Refused: 1}},
		{"told not run, but executed", load.Outcome{Class: load.Refused, RequestID: "q", Ran: "no", Effects: "no"},
			[]standin.Execution{execution("encode", standin.Cancelled)}, Ledger{Refused: 1, FalseNotRun: 1}},
		{"told no effects, but executed", load.Outcome{Class: load.Refused, RequestID: "q", Ran: "yes", Effects: "no"},
			[]standin.Execution{execution("file", standin.Started)}, Ledger{Refused: 1, FalseNotRun: 1}},
		{"told no effects, only an idempotent stage executed", load.Outcome{Class: load.Refused, RequestID: "q", Ran: "yes", Effects: "no"},
			[]standin.Execution{execution("encode", standin.Completed)}, Ledger{Refused: 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sent := []SentRequest{{Request: load.Request{Nonce: "run-1", Call: "c", Body: body}, Outcome: tc.outcome}}
			got := CheckOutcomes(testSchema, sent, tc.executions)
			tc.want.Requests = 1
			assert.Equal(t, got.String(), tc.want.String())
		})
	}
}
