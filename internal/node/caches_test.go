package node

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

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
	entries := []*runningEntry{f.startEntry("e1", 0).waitReady().waitRegistered(), f.startEntry("e2", 0).waitReady().waitRegistered()}
	n := 0
	send := func(e *runningEntry, part string) {
		n++
		c := keyedCall(standin.PathResumable, fmt.Sprint("r", n), "key-1")
		c.PromptParts, c.TokenCount = fmt.Sprintf("%s:13000,own%d:10", part, n), "13010,5"
		got := e.do(c)
		assert.Equal(t, got.status, http.StatusOK, got.body)
	}
	takeover := func(e *runningEntry, listsBefore int) {
		send(e, "other")
		eventually(t, "the caches are read", func() bool { return holder.CacheLists() > listsBefore })
		eventually(t, "requests go where their part is cached", func() bool {
			before := len(holder.ExecutedRequests())
			for range 5 {
				send(e, "doc")
			}
			return len(holder.ExecutedRequests()) == before+5
		})
	}
	takeover(entries[0], 0)
	lists := holder.CacheLists()
	entries[0].stop()
	<-entries[0].done
	takeover(entries[1], lists)
}
