package node

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

const (
	// crashingText is in the body of the request, or in the key of its pieces, that ends each
	// server which runs it.
	crashingText = "deadbeef"
	// requestCrashes is the number of servers that may end by one request before it is held
	// back, and lateRepeats the number of repeats that may reach servers afterwards.
	requestCrashes = 3
	lateRepeats    = 3
)

// newRequestFleet returns a fleet in which the servers of one service end by one request, which
// its client repeats under new IDs. Sound requests have the same caller and route, and their
// prompts begin with the same parts, which are sound. The parts vary from repeat to repeat.
func newRequestFleet(t *testing.T, path, service string) *crashFleet {
	f := newCrashFleet(t, service, 4, func(s *standin.Server, onCrash func()) { s.CrashOnBody(crashingText, service == "model", onCrash) })
	// A server that crashed takes longer to start than the entries to know of it.
	f.awaitRestarts = true
	f.newCall = func(n int, crashing bool) clientCall {
		c := keyedCall(path, fmt.Sprint("r", n), "key-1")
		c.body = fmt.Sprint("sound ", n)
		if crashing {
			c.body = crashingText
		}
		c.PieceKey = c.body
		switch path {
		case standin.PathStream:
			c.PieceCounts = "1,1"
			fallthrough
		case standin.PathResumable:
			c.PromptParts = fmt.Sprintf("515:10,d0c%d:10,0%d:10", n/2%4, n)
		}
		return c
	}
	return f
}

// TestRequestThatCrashesServersIsHeldBack guards against one request that ends server after
// server: its client repeats it under new IDs at other entries, each of which takes the end
// for a fault of the server. Sound requests of the same caller and route are served all the
// while.
func TestRequestThatCrashesServersIsHeldBack(t *testing.T) {
	tests := []struct{ name, path, service string }{
		{"plain", standin.PathSafe, "plain"},
		{"unsafe", standin.PathUnsafe, "plain"},
		{"staged_stream", standin.PathStream, "model"},
		{"stream", standin.PathResumable, "model"},
		{"stage_call", standin.PathStream, "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newRequestFleet(t, tt.path, tt.service)
			f.assertHeldBack(f.sendPairs(20, f.startEntries("e1", "e2", "e3")...), requestCrashes+lateRepeats)
		})
	}
}

// TestHeldBackRequestStaysSoAfterRestarts guards against a request that ends more servers
// after the entry that places requests was lost, and after a restart of all.
func TestHeldBackRequestStaysSoAfterRestarts(t *testing.T) {
	f := newRequestFleet(t, standin.PathSafe, "plain")
	entries := f.startEntries("e1", "e2")
	f.assertHeldBack(f.sendPairs(8, entries...), requestCrashes+lateRepeats)
	before := f.crashes.Load()
	eventually(t, "the store knows the request", func() bool { return f.store.Mentions("request:") })

	entries[0].stop()
	<-entries[0].done
	f.sendPairs(4, entries[1])
	entries[1].stop()
	<-entries[1].done
	f.sendPairs(4, f.startEntries("e3", "e4")...)
	assert.Equal(t, f.crashes.Load(), before)
}

// TestEvidenceOutlivesPlacingEntry guards against the ends of servers that are forgotten with
// the entry that places requests: with each of its losses a request could end more servers.
func TestEvidenceOutlivesPlacingEntry(t *testing.T) {
	f := newRequestFleet(t, standin.PathUnsafe, "plain")
	entries := f.startEntries("e1", "e2", "e3", "e4")
	last := entries[len(entries)-1]
	for _, e := range entries[:len(entries)-1] {
		f.call(last, true)
		e.stop()
		<-e.done
	}
	f.assertHeldBack(f.call(last, true), requestCrashes)
}

// TestSoundRequestsAreServedWhileOneCrashesServers guards against a request that ends all
// servers of a service within a moment, so that no other request is served until they are
// back: a client repeats it at once, and so does the entry.
func TestSoundRequestsAreServedWhileOneCrashesServers(t *testing.T) {
	f := newFleet(t)
	var ended atomic.Int64
	for i := range 3 {
		s := f.startServer("plain", fmt.Sprint("plain", i), 0)
		s.CrashOnBody(crashingText, false, func() {
			ended.Add(1)
			go s.Close()
		})
	}
	f.putConfig()
	entries := []*runningEntry{f.startEntry("e1", 0).waitReady().waitRegistered(), f.startEntry("e2", 0).waitReady().waitRegistered()}
	for i := range 6 {
		crashing := keyedCall(standin.PathSafe, fmt.Sprint("c", i), "key-1")
		crashing.body = crashingText
		entries[i%2].do(crashing)
		eventually(t, "all entries hold the request back", func() bool {
			return len(entries[0].planner.Patterns()) > 0 && len(entries[1].planner.Patterns()) > 0
		})
	}
	assert.Assert(t, ended.Load() < 3, "all servers ended")
	sound := keyedCall(standin.PathUnsafe, "sound", "key-1")
	sound.body = "sound"
	got := entries[0].do(sound)
	assert.Equal(t, got.status, http.StatusOK, got.body)
}
