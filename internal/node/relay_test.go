package node

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// startReaderAndFollower starts an entry that reads the store and one that follows it. The
// returned functions cut each of them off from the store.
func startReaderAndFollower(f *fleet) (reader, follower *runningEntry, cutReader, cutFollower func()) {
	var cuts []func()
	var entries []*runningEntry
	for _, name := range []string{"e1", "e2"} {
		address, cut := f.startStoreProxy()
		f.storeAddress = address
		entries = append(entries, f.startEntry(name, time.Hour).waitReady().waitRegistered())
		cuts = append(cuts, func() { cut.Store(true) })
	}
	eventually(f.t, "the second entry follows the first", func() bool {
		return !entries[1].config.Topic().State().Direct && !entries[1].servers.Topic().State().Direct
	})
	return entries[0], entries[1], cuts[0], cuts[1]
}

// TestFollowerLearnsFromReader cuts an entry off from the store, but not from the entry
// that reads it. It must learn the changes, and its configuration must stay confirmed.
func TestFollowerLearnsFromReader(t *testing.T) {
	f := newFleet(t)
	f.startServer("plain", "p1", 0)
	f.startServer("plain", "p2", 0)
	f.putConfig()
	_, follower, _, cutFollower := startReaderAndFollower(f)
	cutFollower()
	f.apiKeys = []string{"key-2"}
	f.putConfig()
	f.putServerRecord("plain", "p1", f.servers["p1"].Address(), true)
	eventually(t, "the new key is known", func() bool { return follower.do(keyedCall(standin.PathSafe, "r", "key-2")).status == http.StatusOK })
	assert.Equal(t, follower.do(keyedCall(standin.PathSafe, "r", "key-1")).status, http.StatusUnauthorized)
	eventually(t, "the leaving server is known", func() bool { return !follower.servers.Takes("p1") })
	assert.Assert(t, follower.servers.Takes("p2"))
	assert.Assert(t, follower.config.StoreReachable() && follower.gateway.CanPlan())
}

// TestFollowerReadsStoreOnceReaderCannot cuts the entry that reads the store off from it.
// The other one must read the store itself.
func TestFollowerReadsStoreOnceReaderCannot(t *testing.T) {
	f := newFleet(t)
	f.startServer("plain", "p1", 0)
	f.putConfig()
	_, follower, cutReader, _ := startReaderAndFollower(f)
	cutReader()
	eventually(t, "the follower reads the store", func() bool { return follower.config.Topic().State().Direct && follower.servers.Topic().State().Direct })
	f.apiKeys = []string{"key-2"}
	f.putConfig()
	eventually(t, "the new key is known", func() bool { return follower.do(keyedCall(standin.PathSafe, "r", "key-2")).status == http.StatusOK })
	assert.Equal(t, follower.do(keyedCall(standin.PathSafe, "r", "key-1")).status, http.StatusUnauthorized)
}

// TestStoreEraIsNotRelayedAcross restores the store while an entry follows another. It
// reads the restored store itself and then follows again, and learns what is written next.
func TestStoreEraIsNotRelayedAcross(t *testing.T) {
	f := newFleet(t)
	f.startServer("plain", "p1", 0)
	f.putConfig()
	older := f.store.Copy()
	_, follower, _, _ := startReaderAndFollower(f)
	f.putConfig()
	f.store.Restore(older)
	eventually(t, "the follower knows the era", func() bool {
		s := follower.servers.Topic().State()
		return s.Position.Era == 1 && !s.Direct
	})
	f.apiKeys = []string{"key-2"}
	f.putConfig()
	eventually(t, "the new key is known", func() bool { return follower.do(keyedCall(standin.PathSafe, "r", "key-2")).status == http.StatusOK })
}
