package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/notice"
)

// TestReportedPartsAreUsedAfterTakeover guards against prompts that are processed again after all
// instances were restarted, because the one that places requests knows of no cache. Pattern: a
// busy server has the shared part, all others are idle.
func TestReportedPartsAreUsedAfterTakeover(t *testing.T) {
	doc := PromptPart{ID: "doc", Tokens: 13_000}
	emptyTable := func() *Table { return newTable("x", "x", "x", "x", "x", "x") }
	holder := "s4"
	for _, other := range []string{"s0", "s1", "s2"} {
		tab := emptyTable()
		assert.Assert(t, tab.LearnCached(0, notice.Server{ID: holder}, []string{"doc", other}))
		assert.Equal(t, choose(t, tab, 0, request("r1", doc, PromptPart{ID: "q1", Tokens: 400})), holder)
		got, ok := tab.Choose(0, request("r2", doc, PromptPart{ID: "q2", Tokens: 400}))
		assert.Assert(t, ok)
		assert.Equal(t, got.ID, holder)
		assert.Equal(t, got.UncachedTokens, 400)
	}
	assert.Assert(t, !emptyTable().LearnCached(0, notice.Server{ID: holder, StartTime: 7}, nil), "another start")
}

// TestReportedPartsExpire guards against a report that is believed after the server has evicted
// the parts, or lost them with a connection.
func TestReportedPartsExpire(t *testing.T) {
	doc := PromptPart{ID: "doc", Tokens: 13_000}
	uncached := func(tab *Table, now time.Duration, id string) int {
		c, ok := tab.Choose(now, request(id, doc, PromptPart{ID: id, Tokens: 1}))
		assert.Assert(t, ok)
		tab.Finish(now, id, Unreached)
		return c.UncachedTokens
	}
	tab := newTable("x")
	tab.LearnCached(0, notice.Server{ID: "s0"}, []string{"doc"})
	assert.Equal(t, uncached(tab, reportRetention-1, "in time"), 1)
	assert.Equal(t, uncached(tab, reportRetention-1, "after a lost connection"), 13_001)
	tab.LearnCached(0, notice.Server{ID: "s0"}, []string{"doc"})
	assert.Equal(t, uncached(tab, reportRetention, "late"), 13_001)
}

// TestReportedPartsAreBounded guards against growth with the number of servers and their parts.
func TestReportedPartsAreBounded(t *testing.T) {
	parts := make([]string, 2*maxReportedParts)
	for i := range parts {
		parts[i] = fmt.Sprint(i)
	}
	for servers, want := range map[int]int{1: maxReportedParts, 3000: maxPoolReportedParts / 3000} {
		tab := newTable(make([]string, servers)...)
		assert.Assert(t, tab.LearnCached(0, notice.Server{ID: "s0"}, parts))
		assert.Equal(t, len(tab.serversByPool["p"][0].reported.parts), want)
	}
}
