package node

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/platform"
	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

const (
	// crashingPart ends each server that begins to answer a prompt with it.
	crashingPart = "c0ffee"
	// evidenceCrashes is the number of servers that may end before requests with the part
	// are held back, and lateRequests the number of such requests that may be on their way
	// to servers then.
	evidenceCrashes = 5
	lateRequests    = 3
)

// crashFleet is a fleet whose model servers end by a part of prompts and start again at
// once.
type crashFleet struct {
	*fleet
	path string
	// crashes counts the ends of servers.
	crashes atomic.Int64
	calls   int
}

func newCrashFleet(t *testing.T, path string) *crashFleet {
	f := &crashFleet{fleet: newFleet(t), path: path}
	f.startServer("a", "a1", 0)
	f.startServer("b", "b1", 0)
	for i := range 6 {
		id := fmt.Sprint("m", i)
		s := f.startServer("model", id, 3)
		s.CrashOn(crashingPart, func() {
			startTime := 1 + int(f.crashes.Add(1))
			f.store.Put(platform.ServersTopic, id, standin.ServerRecordOfStart("model", s.Address(), startTime))
		})
	}
	f.putConfig()
	return f
}

// call sends the next request to an entry. Crashing requests and sound ones share the
// customer, the first part and one of four others.
func (f *crashFleet) call(e *runningEntry, crashing bool) reply {
	f.calls++
	document := f.calls / 2 % 4
	parts := fmt.Sprintf("515:10,d0c%d:10,", document)
	if crashing {
		parts += crashingPart + ":10,"
	}
	c := keyedCall(f.path, fmt.Sprint("r", f.calls), "key-1")
	c.PromptParts = parts + fmt.Sprintf("0%d:10", f.calls)
	if f.path == standin.PathStream {
		c.PieceCounts, c.PieceKey = "1,1", "key"
	}
	return e.do(c)
}

// sendPairs sends n crashing requests, each followed by a sound one, to the entries in
// turn. It returns the reply to the last crashing one.
func (f *crashFleet) sendPairs(n int, entries ...*runningEntry) reply {
	f.t.Helper()
	var last reply
	for i := range n {
		e := entries[i%len(entries)]
		last = f.call(e, true)
		got := f.call(e, false)
		assert.Equal(f.t, got.status, http.StatusOK, got.body)
	}
	return last
}

func (f *crashFleet) startEntries(names ...string) []*runningEntry {
	var entries []*runningEntry
	for _, name := range names {
		entries = append(entries, f.startEntry(name, 0).waitReady().waitRegistered())
	}
	return entries
}

// TestPromptPartThatCrashesServersIsHeldBack guards against one part of prompts that ends
// server after server: each entry sees only some of the ends, and the next request with
// the part goes to the next server. Sound requests with the same customer and the other
// parts are served all the while.
func TestPromptPartThatCrashesServersIsHeldBack(t *testing.T) {
	for _, path := range []string{standin.PathStream, standin.PathResumable} {
		t.Run(path, func(t *testing.T) {
			f := newCrashFleet(t, path)
			last := f.sendPairs(30, f.startEntries("e1", "e2", "e3")...)
			assert.Assert(t, f.crashes.Load() <= evidenceCrashes+lateRequests, "%d servers ended", f.crashes.Load())
			assert.Equal(t, last.status, http.StatusServiceUnavailable, last.body)
			assert.Assert(t, last.header.Get("Retry-After") != "")
		})
	}
}

// TestHeldBackPromptPartStaysSoAfterRestarts guards against entries that learn anew, by
// more ends of servers, what those before them knew: after the loss of the entry that
// places requests, and after a restart of all.
func TestHeldBackPromptPartStaysSoAfterRestarts(t *testing.T) {
	f := newCrashFleet(t, standin.PathResumable)
	entries := f.startEntries("e1", "e2")
	f.sendPairs(12, entries...)
	before := f.crashes.Load()
	assert.Assert(t, before <= evidenceCrashes+lateRequests, "%d servers ended", before)
	eventually(t, "the store has the part", func() bool { return f.store.Mentions(crashingPart) })

	entries[0].stop()
	<-entries[0].done
	f.sendPairs(6, entries[1])
	entries[1].stop()
	<-entries[1].done
	f.sendPairs(6, f.startEntries("e3", "e4")...)
	assert.Equal(t, f.crashes.Load(), before)
}
