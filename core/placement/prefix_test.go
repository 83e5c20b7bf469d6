package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnoliawheel/magnoliawheel/core/notice"
)

// TestIndexAgreesWithCaches checks for random requests, lost connections, reports and changes of
// the servers that the index of a pool says the same as the caches of its servers.
func TestIndexAgreesWithCaches(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tab := New(map[string]string{"z0": "r0", "z1": "r1"})
		defs := make([]Server, 6)
		for i := range defs {
			defs[i] = Server{ID: fmt.Sprint("s", i), Zone: fmt.Sprint("z", i%2), CacheTokens: 3000}
		}
		tab.SetServers("p", defs)
		now := time.Duration(0)
		part := func(name string, most int) PromptPart {
			return PromptPart{ID: fmt.Sprint(name, rapid.IntRange(0, most).Draw(rt, name)), Tokens: rapid.IntRange(0, 600).Draw(rt, "tokens")}
		}
		for i := range 80 {
			now += time.Duration(rapid.IntRange(0, 800).Draw(rt, "ms")) * time.Millisecond
			id := fmt.Sprint("r", i)
			parts := []PromptPart{part("shared", 2), part("subject", 4), part("own", 8)}[:rapid.IntRange(1, 3).Draw(rt, "parts")]
			r := Request{ID: id, Pool: "p", Parts: parts}
			switch rapid.IntRange(0, 9).Draw(rt, "step") {
			case 0:
				n := rapid.IntRange(0, len(defs)).Draw(rt, "servers")
				shuffled := rapid.Permutation(defs).Draw(rt, "order")[:n]
				if n > 0 && rapid.Bool().Draw(rt, "restart") {
					shuffled = slices.Clone(shuffled)
					shuffled[0].StartTime = int64(i)
				}
				tab.SetServers("p", shuffled)
			case 1:
				server := rapid.SampledFrom(defs).Draw(rt, "reporter")
				tab.LearnCached(now, notice.Server{ID: server.ID}, []string{"shared0", "subject1"})
			default:
				tab.Choose(now, r)
				tab.Finish(now, id, Outcome(rapid.IntRange(0, 3).Draw(rt, "outcome")))
			}
			checkIndex(rt, tab, now, &r)
		}
	})
}

func checkIndex(t *rapid.T, tab *Table, now time.Duration, r *Request) {
	c := newChoice(r)
	tab.countUncached(now, c)
	listed := 0
	for i, s := range tab.serversByPool["p"] {
		assert.Equal(t, s.position, i)
		assert.Equal(t, c.uncached[i], s.uncachedTokens(c), "server %s, %v", s.def.ID, r.Parts)
		listed += s.cache.len()
		tokens := 0
		for position := s.cache.oldest; position != noEntry; position = s.cache.entries[position].newer {
			tokens += int(s.cache.entries[position].tokens)
		}
		assert.Equal(t, s.cache.tokens, tokens)
	}
	indexed := 0
	for key, holders := range tab.indexes["p"] {
		indexed += len(holders)
		for _, s := range holders {
			assert.Assert(t, s.cache.has(key))
		}
	}
	assert.Equal(t, indexed, listed)
}
