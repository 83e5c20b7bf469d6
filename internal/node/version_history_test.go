package node

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/platform"
	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// historyFleet is a fleet in which a stream began at the server "old" of version v1, with a
// server "new" of version v2 beside it.
type historyFleet struct {
	*fleet
	entries []*runningEntry
	// copy is the content of the store before the new server appeared.
	copy standin.StoreCopy
}

// newHistoryFleet starts the given number of entries and begins the stream "r" at the last
// one. The new server appears while the stream is open.
func newHistoryFleet(t *testing.T, entryCount int) *historyFleet {
	f := &historyFleet{fleet: newFleet(t)}
	f.putConfig()
	f.startBreakingServer("old", "v1", nil)
	for i := range entryCount {
		f.entries = append(f.entries, f.startEntry(fmt.Sprint("e", i), 0).waitReady().waitRegistered())
	}
	f.waitServers(1, f.entries...)
	f.waitVersionsStored()
	f.copy = f.store.Copy()
	f.entries[entryCount-1].beginStream("r", func() {
		f.startVersion("new", "v2")
		f.waitServers(2, f.entries...)
	})
	return f
}

// stopEntries stops entries and waits until they have ended.
func stopEntries(entries ...*runningEntry) {
	for _, e := range entries {
		e.stop()
		<-e.done
	}
}

// restart stops all entries, calls meanwhile, and starts them anew.
func (f *historyFleet) restart(meanwhile func()) {
	stopEntries(f.entries...)
	meanwhile()
	for i := range f.entries {
		f.entries[i] = f.startEntry(fmt.Sprint("e", i), 0).waitReady().waitRegistered()
	}
}

// removeServer deletes the record of a server.
func (f *historyFleet) removeServer(id string) { f.store.Delete(platform.ServersTopic, id) }

// assertRefused resumes the stream twice at each entry and checks that it is refused at once,
// and that no server of another version ran it.
func (f *historyFleet) assertRefused() {
	f.t.Helper()
	for i, e := range f.entries {
		for attempt := range 2 {
			got := e.do(resumeCall(fmt.Sprint("s", i, "-", attempt), "r"))
			assert.NilError(f.t, got.err)
			assert.Equal(f.t, len(f.servers["new"].ExecutedRequests()), 0, "the stream went on at another version")
			assert.Equal(f.t, got.status, http.StatusServiceUnavailable, got.body)
			assert.Assert(f.t, got.header.Get("Retry-After") != "")
		}
	}
}

// TestStreamOfAnEarlierVersionIsNotContinuedAfterALossOfAllEntries guards against entries
// that take the versions they have seen since their start for all that ever served: the last
// server of the version that began the stream leaves before, while or after all entries are
// replaced, and its record may be missing because the store was away.
func TestStreamOfAnEarlierVersionIsNotContinuedAfterALossOfAllEntries(t *testing.T) {
	tests := []struct {
		name                  string
		before, during, after func(f *historyFleet)
	}{
		{"old server leaves before", func(f *historyFleet) {
			f.removeServer("old")
			f.waitServers(1, f.entries...)
		}, nil, nil},
		{"old server leaves during", nil, func(f *historyFleet) { f.removeServer("old") }, nil},
		{"old server leaves after", nil, nil, func(f *historyFleet) {
			f.removeServer("old")
			f.waitServers(1, f.entries...)
		}},
		{"records expire with the outage of the store", nil, func(f *historyFleet) {
			f.removeServer("old")
			f.store.ExpireRecords(platform.ServersTopic)
		}, nil},
		{"entries are lost twice", nil, func(f *historyFleet) { f.removeServer("old") }, func(f *historyFleet) { f.restart(func() {}) }},
		{"the store comes back from a copy of before the release", nil, func(f *historyFleet) {
			f.store.Restore(f.copy)
			f.startVersion("new", "v2")
			f.removeServer("old")
		}, nil},
		{"the store does not tell single streams", nil, func(f *historyFleet) {
			f.removeServer("old")
			f.store.RefuseTopic(platform.StreamsTopic)
		}, nil},
		{"the store turns the entries away", nil, func(f *historyFleet) {
			f.removeServer("old")
			f.store.RefuseTopic(platform.VersionsTopic)
		}, nil},
		{"old server starts again as the new version", nil, func(f *historyFleet) {
			f.store.Put(platform.ServersTopic, "old", standin.VersionedServerRecord("model", f.servers["new"].Address(), "v2", false))
		}, nil},
	}
	for _, tt := range tests {
		for _, entryCount := range []int{1, 4} {
			t.Run(fmt.Sprint(tt.name, ", entries=", entryCount), func(t *testing.T) {
				f := newHistoryFleet(t, entryCount)
				call := func(step func(*historyFleet)) {
					if step != nil {
						step(f)
					}
				}
				call(tt.before)
				f.restart(func() { call(tt.during) })
				call(tt.after)
				f.assertRefused()
			})
		}
	}
}

// TestStreamContinuesAfterALossOfAllEntriesAmongOneVersion guards against entries that refuse
// streams after their start although the servers have had one version all along.
func TestStreamContinuesAfterALossOfAllEntriesAmongOneVersion(t *testing.T) {
	for _, losses := range []int{1, 2} {
		t.Run(fmt.Sprint("losses=", losses), func(t *testing.T) {
			f := newFleet(t)
			f.putConfig()
			f.startVersion("m1", "v1")
			start := func() *runningEntry {
				e := f.startEntry("e0", 0).waitReady().waitRegistered()
				f.waitServers(1, e)
				return e
			}
			e := start()
			f.waitVersionsStored()
			for range losses {
				stopEntries(e)
				e = start()
			}
			eventually(t, "the stream continues", func() bool {
				got := e.do(resumeCall("s", "unknown"))
				return got.status == http.StatusOK && got.body == restOfStream("s")
			})
		})
	}
}

// TestStreamContinuesAfterALossOfSomeEntries guards against entries that forget versions
// that the ones beside them know.
func TestStreamContinuesAfterALossOfSomeEntries(t *testing.T) {
	f := newHistoryFleet(t, 4)
	f.startVersion("old2", "v1")
	f.waitServers(3, f.entries...)
	f.removeServer("old")
	f.waitServers(2, f.entries...)
	// The stream was served by the last entry and placed by the first one.
	stopEntries(f.entries[1], f.entries[2])
	for _, e := range []*runningEntry{f.entries[0], f.entries[3]} {
		got := e.do(resumeCall("s-"+e.opts.Settings.Node, "r"))
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, restOfStream("s-"+e.opts.Settings.Node))
	}
	assert.Equal(t, len(f.servers["new"].ExecutedRequests()), 0)
}

// TestStreamContinuesAtItsVersionAfterALossOfAllEntries guards against entries that refuse each
// stream after a loss of all of them while servers of several versions serve, although servers
// of its version are there.
func TestStreamContinuesAtItsVersionAfterALossOfAllEntries(t *testing.T) {
	for _, losses := range []int{1, 2} {
		t.Run(fmt.Sprint("losses=", losses), func(t *testing.T) {
			f := newHistoryFleet(t, 4)
			// "r" began before there was a second version, "during" begins beside it.
			f.entries[1].beginStream("during", func() {})
			f.startVersion("old2", "v1")
			f.waitServers(3, f.entries...)
			f.removeServer("old")
			f.waitStreamStored("r")
			f.waitStreamStored("during")
			version := "v1"
			if ids := f.servers["new"].ExecutedRequests(); len(ids) > 0 {
				version = "v2"
			}
			for range losses {
				f.restart(func() {})
			}
			f.waitServers(2, f.entries...)
			for _, e := range f.entries {
				name := e.opts.Settings.Node
				f.assertContinuesAt(e, "r", "s-"+name, "v1")
				f.assertContinuesAt(e, "during", "u-"+name, version)
			}
		})
	}
}

// assertContinuesAt resumes a stream and checks that a server of the version continued it.
func (f *historyFleet) assertContinuesAt(e *runningEntry, stream, requestID, version string) {
	f.t.Helper()
	var got reply
	eventually(f.t, "the stream continues", func() bool {
		got = e.do(resumeCall(requestID, stream))
		return got.status == http.StatusOK
	})
	assert.Equal(f.t, got.body, restOfStream(requestID))
	server := map[string]string{"v1": "old2", "v2": "new"}[version]
	assert.Assert(f.t, slices.Contains(f.servers[server].ExecutedRequests(), requestID), "%s did not continue at %s", stream, version)
}

// waitStreamStored waits until the store holds the version of a stream.
func (f *fleet) waitStreamStored(stream string) {
	eventually(f.t, "the stream is stored", func() bool { return f.store.Mentions(fmt.Sprintf(`"stream":%q`, stream)) })
}

// waitVersionsStored waits until the store holds the versions of the model servers.
func (f *fleet) waitVersionsStored() {
	eventually(f.t, "the versions are stored", func() bool { return f.store.Mentions(`"versions"`) })
}

// TestNewVersionIsUsedWhileTheStoreTakesNoWrites guards against servers of a new version that stay
// idle during an outage of the store, because it cannot hold their version.
func TestNewVersionIsUsedWhileTheStoreTakesNoWrites(t *testing.T) {
	f := newFleet(t)
	f.putConfig()
	full := f.startVersion("m1", "v1")
	e := f.startEntry("e0", 0).waitReady().waitRegistered()
	f.waitServers(1, e)
	f.waitVersionsStored()
	full.SetHandler(func(w http.ResponseWriter, _ *http.Request) bool {
		standin.SetNotExecuted(w.Header())
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	f.store.RefuseTopic(platform.VersionsTopic)
	f.startVersion("m2", "v2")
	f.waitServers(2, e)
	start := time.Now()
	for i := 0; ; i++ {
		if got := e.do(keyedCall(standin.PathResumable, fmt.Sprint("r", i), "key-1")); got.status == http.StatusOK {
			break
		}
		assert.Assert(t, time.Since(start) < 10*time.Second, "the new server is not used")
		time.Sleep(100 * time.Millisecond)
	}
}
