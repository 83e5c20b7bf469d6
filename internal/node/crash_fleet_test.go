package node

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/platform"
	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// crashFleet is a fleet in which the servers of one service end by some requests and start
// again.
type crashFleet struct {
	*fleet
	// newCall returns the next request of a client: one that crashes servers, or a sound one
	// of the same customer. n is the number of requests before it.
	newCall func(n int, crashing bool) clientCall
	calls   int
	// awaitRestarts makes the client wait after an end until the entries know the next start.
	awaitRestarts bool
	// crashes counts the ends of servers.
	crashes atomic.Int64

	startsMu sync.Mutex
	// startTimes are the newest starts of the servers that ended.
	startTimes map[string]int64
}

// newCrashFleet returns a fleet whose service has n servers that crash. arm makes one of them
// call onCrash and end when it runs a crashing request.
func newCrashFleet(t *testing.T, service string, n int, arm func(s *standin.Server, onCrash func())) *crashFleet {
	f := &crashFleet{fleet: newFleet(t), startTimes: map[string]int64{}}
	for other, events := range map[string]int{"a": 0, "b": 0, "plain": 0, "model": 3} {
		if other != service {
			f.startServer(other, other+"1", events)
			continue
		}
		for i := range n {
			s := f.startServer(service, fmt.Sprint(service, i), events)
			arm(s, func() { f.restarted(service, s) })
		}
	}
	f.putConfig()
	return f
}

// restarted records that a server ended, and writes the record of its next start.
func (f *crashFleet) restarted(service string, s *standin.Server) {
	startTime := 1 + int(f.crashes.Add(1))
	f.startsMu.Lock()
	f.startTimes[s.ID] = int64(startTime)
	f.startsMu.Unlock()
	f.store.Put(platform.ServersTopic, s.ID, standin.ServerRecordOfStart(service, s.Address(), startTime))
}

func (f *crashFleet) startEntries(names ...string) []*runningEntry {
	var entries []*runningEntry
	for _, name := range names {
		entries = append(entries, f.startEntry(name, 0).waitReady().waitRegistered())
	}
	return entries
}

// call sends the next request to an entry.
func (f *crashFleet) call(e *runningEntry, crashing bool) reply {
	f.calls++
	return e.do(f.newCall(f.calls, crashing))
}

// sendPairs sends n crashing requests, each followed by a sound one, to the entries in turn.
// It returns the reply to the last crashing one.
func (f *crashFleet) sendPairs(n int, entries ...*runningEntry) reply {
	f.t.Helper()
	var last reply
	for i := range n {
		e := entries[i%len(entries)]
		last = f.call(e, true)
		if f.awaitRestarts {
			f.waitRestarted(entries)
		}
		got := f.call(e, false)
		assert.Equal(f.t, got.status, http.StatusOK, got.body)
	}
	return last
}

// waitRestarted waits until the entries know the starts of all servers.
func (f *crashFleet) waitRestarted(entries []*runningEntry) {
	f.t.Helper()
	f.startsMu.Lock()
	defer f.startsMu.Unlock()
	for id, startTime := range f.startTimes {
		for _, e := range entries {
			eventually(f.t, "the entry knows the restart", func() bool { return e.servers.StartTime(id) == startTime })
		}
	}
}

// assertHeldBack checks that few enough servers ended and that a crashing request is refused.
func (f *crashFleet) assertHeldBack(last reply, mostCrashes int64) {
	f.t.Helper()
	crashes := f.crashes.Load()
	assert.Assert(f.t, crashes <= mostCrashes, "%d servers ended", crashes)
	assert.Equal(f.t, last.status, http.StatusServiceUnavailable, last.body)
	assert.Assert(f.t, last.header.Get("Retry-After") != "")
}
