package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/backends"
	"github.com/magnoliawheel/magnoliawheel/platform"
	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// storeRelay forwards calls to a store, but those of the entries' registry to another one, so
// that its entry knows no other. While it stands still, calls wait.
type storeRelay struct {
	address string
	mu      sync.Mutex
	// free is closed unless the relay stands still.
	free chan struct{}
}

// startRelay starts a relay to the fleet's store.
func (f *fleet) startRelay() *storeRelay {
	registry := standin.NewStore()
	f.t.Cleanup(registry.Close)
	toStore, toRegistry := newStoreProxy(f.t, f.store), newStoreProxy(f.t, registry)
	r := &storeRelay{free: make(chan struct{})}
	close(r.free)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		select {
		case <-r.gate():
		case <-req.Context().Done():
			return
		}
		if req.URL.Query().Get("topic") == platform.EntriesTopic {
			toRegistry.ServeHTTP(w, req)
			return
		}
		toStore.ServeHTTP(w, req)
	}))
	f.t.Cleanup(srv.Close)
	f.t.Cleanup(r.release)
	r.address = strings.TrimPrefix(srv.URL, "http://")
	return r
}

func newStoreProxy(t *testing.T, s *standin.Store) *httputil.ReverseProxy {
	target, err := url.Parse(s.URL)
	assert.NilError(t, err)
	return httputil.NewSingleHostReverseProxy(target)
}

// gate returns a channel that is closed while calls pass.
func (r *storeRelay) gate() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.free
}

// stand makes later calls wait until release.
func (r *storeRelay) stand() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.free = make(chan struct{})
}

// release lets all calls pass.
func (r *storeRelay) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.free:
	default:
		close(r.free)
	}
}

// drainServer writes the record of a server that leaves.
func (f *fleet) drainServer(id, version string) {
	f.store.Put(platform.ServersTopic, id, standin.VersionedServerRecord("model", f.servers[id].Address(), version, true))
}

// outOfStepFleet is a fleet whose entry "late" knows no other entry and reaches the store
// through a relay, with the server "old" of version v1.
type outOfStepFleet struct {
	*fleet
	inStep, late *runningEntry
	relay        *storeRelay
}

func newOutOfStepFleet(t *testing.T) *outOfStepFleet {
	f := &outOfStepFleet{fleet: newFleet(t)}
	f.putConfig()
	f.startVersion("old", "v1")
	f.inStep = f.startEntry("e1", 0).waitReady().waitRegistered()
	f.waitVersionsStored()
	f.relay = f.startRelay()
	f.storeAddress = f.relay.address
	f.late = f.startEntry("e2", 0).waitReady().waitRegistered()
	f.storeAddress = ""
	f.waitServers(1, f.inStep, f.late)
	eventually(t, "the late entry continues streams of the only version", func() bool {
		return f.late.do(resumeCall("before", "unknown")).status == http.StatusOK
	})
	return f
}

// assertNotJoined resumes the stream "r", which no server can continue, at the late entry.
func (f *outOfStepFleet) assertNotJoined() {
	f.t.Helper()
	began := time.Now()
	got := f.late.do(resumeCall("s", "r"))
	assert.NilError(f.t, got.err)
	for id, server := range f.servers {
		assert.Assert(f.t, !slices.Contains(server.ExecutedRequests(), "s"), "the stream went on at %s, status %d", id, got.status)
	}
	assert.Equal(f.t, got.status, http.StatusServiceUnavailable, got.body)
	assert.Assert(f.t, strings.Contains(got.body, "2019"), got.body)
	assert.Assert(f.t, got.header.Get("Retry-After") != "")
	assert.Assert(f.t, time.Since(began) < 2*time.Second, "refused only after %v", time.Since(began))
}

// beginAtNewVersion replaces the server of v1 by one of v2 while the relay stands still, and
// begins the stream "r" there through the entry that is in step.
func (f *outOfStepFleet) beginAtNewVersion() {
	f.relay.stand()
	f.startBreakingServer("new", "v2", nil)
	f.waitServers(2, f.inStep)
	f.drainServer("old", "v1")
	f.waitServers(1, f.inStep)
	f.inStep.beginStream("r", func() {})
}

// TestStreamIsNotContinuedByAnEntryOutOfStep guards against an entry that has not heard of a
// version for as long as its view of the servers stands still, and continues a stream of that
// version at the only one that it knows.
func TestStreamIsNotContinuedByAnEntryOutOfStep(t *testing.T) {
	for _, stillFor := range []time.Duration{0, 1500 * time.Millisecond, 4 * time.Second} {
		for _, released := range []bool{false, true} {
			t.Run(fmt.Sprint("still for ", stillFor, ", released=", released), func(t *testing.T) {
				f := newOutOfStepFleet(t)
				f.beginAtNewVersion()
				time.Sleep(stillFor)
				if released {
					f.relay.release()
				}
				f.assertNotJoined()
			})
		}
	}
}

// TestVersionThatCameAndLeftIsNotOverlooked guards against an entry that reads at once that a
// version joined and left, and continues its streams at the only version that is usable then.
func TestVersionThatCameAndLeftIsNotOverlooked(t *testing.T) {
	tests := []struct {
		name  string
		leave func(f *outOfStepFleet)
	}{
		{"deleted", func(f *outOfStepFleet) { f.store.Delete(platform.ServersTopic, "new") }},
		{"draining", func(f *outOfStepFleet) { f.drainServer("new", "v2") }},
		{"started again as the other version", func(f *outOfStepFleet) {
			f.store.Put(platform.ServersTopic, "new", standin.VersionedServerRecord("model", f.servers["new"].Address(), "v1", false))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newOutOfStepFleet(t)
			f.beginAtNewVersion()
			f.startVersion("old2", "v1")
			tt.leave(f)
			time.Sleep(1500 * time.Millisecond)
			f.relay.release()
			f.assertNotJoined()
		})
	}
}

// TestVersionLostWithARestoredStoreIsNotOverlooked guards against an entry that keeps what it
// knew before the store was restored, although a version came and left since that neither it nor
// the copy has.
func TestVersionLostWithARestoredStoreIsNotOverlooked(t *testing.T) {
	f := newOutOfStepFleet(t)
	older := f.store.Copy()
	f.beginAtNewVersion()
	time.Sleep(2500 * time.Millisecond)
	stopEntries(f.inStep)
	f.store.Restore(older)
	f.relay.release()
	eventually(t, "the late entry has read the restored store", func() bool {
		state := f.late.servers.Topic().State()
		return state.Known && state.Position.Era == 1 && f.late.versions.known.Load()
	})
	time.Sleep(backends.ExpiryGracePeriod)
	f.assertNotJoined()
}

// TestKnownStreamIsNotContinuedAtARestartedServer guards against an entry that has not heard that
// a server started again with another version, and continues a stream of the version before there.
func TestKnownStreamIsNotContinuedAtARestartedServer(t *testing.T) {
	f := newOutOfStepFleet(t)
	f.late.beginStream("r", func() {})
	f.relay.stand()
	f.store.Put(platform.ServersTopic, "old", standin.VersionedServerRecord("model", f.servers["old"].Address(), "v2", false))
	time.Sleep(4 * time.Second)
	f.relay.release()
	f.assertNotJoined()
}

// TestKnownStreamGoesOnWhileTheStoreIsAway guards against streams that are refused or held up
// because the store does not answer, although the entry knows their version.
func TestKnownStreamGoesOnWhileTheStoreIsAway(t *testing.T) {
	f := newOutOfStepFleet(t)
	f.late.beginStream("r", func() {})
	f.relay.stand()
	time.Sleep(3 * time.Second)
	began := time.Now()
	got := f.late.do(resumeCall("s", "r"))
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, restOfStream("s"))
	assert.Assert(t, time.Since(began) < time.Second, "continued only after %v", time.Since(began))
}
