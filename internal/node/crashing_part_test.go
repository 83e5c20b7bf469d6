package node

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

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

// newPartFleet returns a fleet whose model servers end by a part of prompts. Crashing requests
// and sound ones share the customer, the first part and one of four others.
func newPartFleet(t *testing.T, path string) *crashFleet {
	f := newCrashFleet(t, "model", 6, func(s *standin.Server, onCrash func()) { s.CrashOn(crashingPart, onCrash) })
	f.newCall = func(n int, crashing bool) clientCall {
		parts := fmt.Sprintf("515:10,d0c%d:10,", n/2%4)
		if crashing {
			parts += crashingPart + ":10,"
		}
		c := keyedCall(path, fmt.Sprint("r", n), "key-1")
		c.PromptParts = parts + fmt.Sprintf("0%d:10", n)
		if path == standin.PathStream {
			c.PieceCounts, c.PieceKey = "1,1", "key"
		}
		return c
	}
	return f
}

// TestPromptPartThatCrashesServersIsHeldBack guards against one part of prompts that ends
// server after server: each entry sees only some of the ends, and the next request with
// the part goes to the next server. Sound requests with the same customer and the other
// parts are served all the while.
func TestPromptPartThatCrashesServersIsHeldBack(t *testing.T) {
	for _, path := range []string{standin.PathStream, standin.PathResumable} {
		t.Run(path, func(t *testing.T) {
			f := newPartFleet(t, path)
			f.assertHeldBack(f.sendPairs(30, f.startEntries("e1", "e2", "e3")...), evidenceCrashes+lateRequests)
		})
	}
}

// TestHeldBackPromptPartStaysSoAfterRestarts guards against entries that learn anew, by
// more ends of servers, what those before them knew: after the loss of the entry that
// places requests, and after a restart of all.
func TestHeldBackPromptPartStaysSoAfterRestarts(t *testing.T) {
	f := newPartFleet(t, standin.PathResumable)
	entries := f.startEntries("e1", "e2")
	f.assertHeldBack(f.sendPairs(12, entries...), evidenceCrashes+lateRequests)
	before := f.crashes.Load()
	eventually(t, "the store has the part", func() bool { return f.store.Mentions(crashingPart) })

	entries[0].stop()
	<-entries[0].done
	f.sendPairs(6, entries[1])
	entries[1].stop()
	<-entries[1].done
	f.sendPairs(6, f.startEntries("e3", "e4")...)
	assert.Equal(t, f.crashes.Load(), before)
}
