package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// copiesOf returns the number of servers that have the beginning of a prompt cached.
func copiesOf(tab *Table, part PromptPart) int {
	n := 0
	key := prefixesOf([]PromptPart{part})[0].key
	for _, s := range tab.serversByPool["p"] {
		if s.cache.has(key) {
			n++
		}
	}
	return n
}

// placeShort places a stream. Its first event comes after startTime, its end after streamTime.
func placeShort(t *testing.T, tab *Table, now time.Duration, name string, parts ...PromptPart) {
	const startTime, streamTime = 100 * ms, time.Second
	t.Helper()
	id := fmt.Sprint(name, now)
	choose(t, tab, now, request(id, append(parts, PromptPart{ID: id, Tokens: 3600})...))
	tab.RequestStarted(now, fmt.Sprint(name, now-startTime))
	tab.Finish(now, fmt.Sprint(name, now-streamTime), Complete)
}

// TestHotSharedPartIsKeptByAsManyServersAsNeeded guards against a shared part that all its streams
// share one server for until that is full, and against copies that remain in the memory of many
// servers once few requests need them. Pattern: a burst of one kind, with other prompts that
// need the memory. A restart of the servers in the burst must not keep the part from spreading.
func TestHotSharedPartIsKeptByAsManyServersAsNeeded(t *testing.T) {
	tab := newTable("x", "x", "x", "x", "x", "x", "x", "x")
	for _, s := range tab.serversByPool["p"] {
		s.def.Slots, s.def.CacheTokens = 64, 600_000
	}
	hot := PromptPart{ID: "hot", Tokens: 13_000}
	now := time.Duration(0)
	run := func(duration, interval time.Duration) int {
		for end := now + duration; now < end; now += 10 * ms {
			if now%interval == 0 {
				placeShort(t, tab, now, "hot", hot)
			}
			if now%(50*ms) == 0 {
				placeShort(t, tab, now, "other")
			}
		}
		return copiesOf(tab, hot)
	}
	assert.Equal(t, run(20*time.Second, time.Second), 1)
	// The burst takes the time of 1.2 servers, so three of them are half busy with it.
	burst := run(20*time.Second, 50*ms)
	assert.Assert(t, burst >= 3, "copies: %d", burst)
	latePauses(tab)
	burst = run(20*time.Second, 50*ms)
	assert.Assert(t, burst >= 6, "copies where pauses are late: %d", burst)

	restarted := make([]Server, 8)
	for i, s := range tab.serversByPool["p"] {
		restarted[i] = s.def
		restarted[i].StartTime = 1
	}
	tab.SetServers("p", restarted)
	burst = run(20*time.Second, 50*ms)
	assert.Assert(t, burst >= 6, "copies: %d", burst)

	later := run(2*time.Minute, time.Second)
	assert.Assert(t, later <= 2, "copies: %d", later)
	assert.Assert(t, len(tab.demands) <= maxDemands)
}

// TestDemandsAreBounded guards against growth with each shared part.
func TestDemandsAreBounded(t *testing.T) {
	tab := newTable("x")
	for i := range 2 * maxDemands {
		tab.recordDemand(time.Duration(i), newChoice(&Request{Pool: "p", Parts: []PromptPart{{ID: fmt.Sprint(i)}, {ID: "own"}}}))
	}
	assert.Equal(t, len(tab.demands), maxDemands)
}
