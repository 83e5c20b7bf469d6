package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/internal/planner"
	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// TestCachesAreReadAtTakeover guards against prompts that are processed again on other servers
// because the entry that takes over from a lost one, or starts after all were killed, knows of no
// cache. A server without such a list is used all the same.
func TestCachesAreReadAtTakeover(t *testing.T) {
	f := newFleet(t)
	for i := range 4 {
		f.startServer("model", fmt.Sprint("model", i), 1)
	}
	holder := f.servers["model2"]
	holder.SetCachedParts("doc")
	f.servers["model3"].SetCachedParts()
	f.putConfig()
	// On a busy machine a second attempt would put the part into the cache of another server.
	f.expectedFirstEvent = func(planner.Placement) time.Duration { return 0 }
	partsRead := make(chan int, 100)
	f.onLog = func(line string) {
		var read struct {
			Message string `json:"msg"`
			Parts   int    `json:"parts"`
		}
		if json.Unmarshal([]byte(line), &read) == nil && read.Message == "Prompt caches read." {
			partsRead <- read.Parts
		}
	}
	start := func(name string) *runningEntry { return f.startEntry(name, 0).waitReady().waitRegistered() }
	placing, next := start("e1"), start("e2")
	n := 0
	send := func(e *runningEntry, part string) {
		n++
		c := keyedCall(standin.PathResumable, fmt.Sprint("r", n), "key-1")
		c.PromptParts, c.TokenCount = fmt.Sprintf("%s:13000,own%d:10", part, n), "13010,5"
		got := e.do(c)
		assert.Equal(t, got.status, http.StatusOK, got.body)
	}
	// stopPlacing stops the entry that places requests, so that the next one takes over.
	stopPlacing := func(i int) {
		placing.stop()
		<-placing.done
		placing, next = next, start(fmt.Sprint("e", 3+i))
	}
	assertCachesUsed := func() {
		// On a busy machine the list may come too late to be used.
		send(placing, "other")
		for i := 0; <-partsRead == 0; i++ {
			stopPlacing(10 + i)
			send(placing, "other")
		}
		before := len(holder.ExecutedRequests())
		for range 5 {
			send(placing, "doc")
		}
		assert.Equal(t, len(holder.ExecutedRequests()), before+5, "requests go where their part is cached")
	}
	assertCachesUsed()
	stopPlacing(0)
	assertCachesUsed()
}
