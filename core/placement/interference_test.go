package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const maxPause = 400 * ms

// latePauses makes the costs of pauses count whole in a pool.
func latePauses(tab *Table) { tab.evidenceFor("p").lateShare = fullEvidence }

// stream places a request with a longest on-time pause.
func stream(t *testing.T, tab *Table, id string, maxPause time.Duration, parts ...PromptPart) string {
	t.Helper()
	r := request(id, parts...)
	r.MaxPause = maxPause
	return choose(t, tab, 0, r)
}

// TestPauseOfRunningStreamsIsCharged guards against long prompts that are placed beside running
// streams because part of them is cached there, and against a shared part that is processed
// again although the rest harms nobody.
func TestPauseOfRunningStreamsIsCharged(t *testing.T) {
	doc := PromptPart{ID: "doc", Tokens: 6300}
	for _, tt := range []struct {
		name     string
		tokens   int
		maxPause time.Duration
		cached   bool
	}{
		{"short rest", 3000, maxPause, true},
		{"long rest", 30_000, maxPause, false},
		{"long rest, pauses do not count", 30_000, 0, true},
	} {
		tab := newTable("x", "x")
		latePauses(tab)
		first := choose(t, tab, 0, request("first", doc, PromptPart{ID: "q", Tokens: 1}))
		tab.Finish(0, "first", Complete)
		for i := range 3 {
			id := fmt.Sprint("running", i)
			assert.Equal(t, stream(t, tab, id, tt.maxPause, doc, PromptPart{ID: id, Tokens: 1}), first)
			tab.RequestStarted(0, id)
		}
		got := stream(t, tab, "r", tt.maxPause, doc, PromptPart{ID: "own", Tokens: tt.tokens})
		assert.Equal(t, got == first, tt.cached, tt.name)
	}
}

// TestStreamAvoidsPendingLongPrompt guards against streams that are placed beside a prompt in
// prefill and pause for it, although waiting for it alone would cost less than another prefill.
func TestStreamAvoidsPendingLongPrompt(t *testing.T) {
	for _, tt := range []struct {
		maxPause          time.Duration
		started, atPrompt bool
	}{
		{0, false, true},
		{maxPause, false, false},
		{maxPause, true, true},
	} {
		tab := newTable("x", "x")
		latePauses(tab)
		doc := PromptPart{ID: "doc", Tokens: 24_000}
		first := choose(t, tab, 0, request("first", doc, PromptPart{ID: "q", Tokens: 1}))
		if tt.started {
			tab.RequestStarted(0, "first")
		}
		got := stream(t, tab, "r", tt.maxPause, doc, PromptPart{ID: "own", Tokens: 1})
		assert.Equal(t, got == first, tt.atPrompt, "%v", tt)
	}
}

// TestUnevenServers guards against constant speeds: the slow server gets fewer requests, but the
// fast one not all, and a request that takes its usual time on the slow one is not overdue.
func TestUnevenServers(t *testing.T) {
	const rate = 60.0
	tab := newTable("x", "x")
	defs := []Server{{ID: "fast", Zone: "x"}, {ID: "slow", Zone: "x"}}
	tab.SetServers("p", defs)
	avoid := map[string][]string{"fast": {"slow"}, "slow": {"fast"}}
	now := time.Duration(0)
	place := func(id, server string) Choice {
		r := request(id, PromptPart{ID: id, Tokens: 30_000})
		r.Avoid = avoid[server]
		c, ok := tab.Choose(now, r)
		assert.Assert(t, ok)
		return c
	}
	serve := func(id, server string, perMS float64) {
		place(id, server)
		took := 130*ms + time.Duration(30_000/perMS*float64(ms))
		now += took
		tab.ObserveFirstEvent(now, id, took)
		tab.RequestStarted(now, id)
		tab.Finish(now, id, Complete)
	}
	for i := range 60 {
		serve(fmt.Sprint("f", i), "fast", rate)
		serve(fmt.Sprint("s", i), "slow", rate/3)
	}
	now += time.Second
	slow := place("wait", "slow")
	assert.Assert(t, slow.ExpectedFirstEvent > 1400*ms && slow.ExpectedFirstEvent < 1800*ms, "%v", slow.ExpectedFirstEvent)
	s := tab.requests["wait"].server
	fresh := newChoice(&Request{ID: "x", Pool: "p"})
	tab.countUncached(now, fresh)
	before := s.cost(now, fresh, false)
	assert.Assert(t, s.cost(now+1500*ms, fresh, false) < before+1)
	assert.Assert(t, s.cost(now+3*time.Second, fresh, false) >= before+overdueCostMS)
	tab.Finish(now, "wait", Cancelled)
	count := map[string]int{}
	for i := range 12 {
		count[place(fmt.Sprint("r", i), "").ID]++
	}
	assert.Assert(t, count["slow"] >= 2 && count["slow"] <= 4, "%v", count)

	// A restart makes another server of it, which starts with the median of the pool.
	defs[1].StartTime = 1
	tab.SetServers("p", defs)
	restarted := tab.serversByPool["p"][1].speed.Estimate(now, 0)
	assert.Assert(t, restarted.TokensPerMS > 1.5*slow.TokensPerMS, "%v", restarted)
}
