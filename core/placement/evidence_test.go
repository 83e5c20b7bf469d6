package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPausesCountWhereResponsesAreLateByThem guards against a pool whose servers interleave
// prompts with streams, so that no pause is late, and that loses the use of its cached prompts
// because long ones are kept away from streams.
func TestPausesCountWhereResponsesAreLateByThem(t *testing.T) {
	e := &pauseEvidence{}
	for range 1000 {
		e.observe(false)
	}
	assert.Equal(t, e.weight(), 0.0)
	for range 2 {
		e.observe(true)
	}
	assert.Assert(t, e.weight() > 0.9, "%g", e.weight())
	for range 2000 {
		e.observe(false)
	}
	assert.Assert(t, e.weight() < 0.01, "%g", e.weight())

	// Responses tell the table, by the pool that they were placed in.
	tab := newTable("x", "x")
	doc := PromptPart{ID: "doc", Tokens: 6300}
	first := choose(t, tab, 0, request("first", doc, PromptPart{ID: "q", Tokens: 1}))
	tab.Finish(0, "first", Complete)
	long := func(id string) string {
		got := stream(t, tab, id, maxPause, doc, PromptPart{ID: id, Tokens: 30_000})
		tab.Finish(0, id, Complete)
		return got
	}
	running := func(id string) {
		assert.Equal(t, stream(t, tab, id, maxPause, doc, PromptPart{ID: id, Tokens: 1}), first)
		tab.RequestStarted(0, id)
	}
	for i := range 3 {
		running(fmt.Sprint("running", i))
	}
	assert.Equal(t, long("before"), first, "no pause was late so far")
	for i := range 3 {
		tab.ObservePause(fmt.Sprint("running", i), maxPause+time.Millisecond)
	}
	assert.Assert(t, long("after") != first, "three were")
}
