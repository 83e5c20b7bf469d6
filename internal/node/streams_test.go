package node

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/placement"
	"github.com/magnoliawheel/magnoliawheel/core/streamversion"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/planner"
	"github.com/magnoliawheel/magnoliawheel/platform"
	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// newTestStreamRecorder returns the recorder of an entry that places requests on servers of two
// versions.
func newTestStreamRecorder(store *standin.Store) *streamRecorder {
	p := planner.New(nil, nil, logr.Discard())
	servers := []placement.Server{{ID: "m1", SoftwareVersion: "v1"}, {ID: "m2", SoftwareVersion: "v2"}}
	p.SetPools([]planner.Pool{{Name: "model", ModelServers: servers, HasResumableStreams: true}})
	yes := func() bool { return true }
	return &streamRecorder{store: platform.NewStore(store.Address()), planner: p, log: logr.Discard(), places: yes, versionsKnown: yes}
}

// store stores which version began a stream.
func (r *streamRecorder) storeStream(t *testing.T, stream, version string) {
	t.Helper()
	r.planner.ReturnUnstoredStreams([]streamversion.Record{{Stream: stream, Version: version, Until: clock.Now() + time.Minute}})
	for attempts := 0; ; attempts++ {
		if err := r.sync(context.Background()); err == nil {
			return
		} else if attempts == 3 {
			assert.NilError(t, err)
		}
	}
}

// TestTwoEntriesThatPlaceRequestsKeepEachOthersStreams guards against two entries that both place
// requests, because they do not reach each other, and replace each other's records in the store:
// a stream that began anew at another version would continue at the one before.
func TestTwoEntriesThatPlaceRequestsKeepEachOthersStreams(t *testing.T) {
	for _, dropped := range []bool{false, true} {
		store := standin.NewStore()
		defer store.Close()
		a, b := newTestStreamRecorder(store), newTestStreamRecorder(store)
		a.storeStream(t, "s", "v1")
		assert.NilError(t, b.sync(context.Background()))
		if dropped {
			// The store writes a record, and its response is lost.
			left := 1
			store.DropResponses(func(path string) bool {
				left--
				return left == 0
			})
		}
		a.storeStream(t, "s", "v2")
		b.storeStream(t, "t", "v1")
		b.storeStream(t, "u", "v2")
		a.storeStream(t, "v", "v1")

		started := newTestStreamRecorder(store)
		assert.NilError(t, started.sync(context.Background()))
		for stream, version := range map[string]string{"s": "v2", "t": "v1", "u": "v2", "v": "v1"} {
			got := started.planner.StreamVersion(stream)
			assert.Assert(t, got != nil, "stream %s is lost", stream)
			assert.Equal(t, *got, version, stream)
		}
	}
}

// TestStreamsAreStoredAfterARestore guards against an entry that waits for ever for the end of
// records that a restored store does not have.
func TestStreamsAreStoredAfterARestore(t *testing.T) {
	store := standin.NewStore()
	defer store.Close()
	before := store.Copy()
	r := newTestStreamRecorder(store)
	r.storeStream(t, "s", "v1")
	store.Restore(before)
	r.storeStream(t, "t", "v2")

	started := newTestStreamRecorder(store)
	assert.NilError(t, started.sync(context.Background()))
	got := started.planner.StreamVersion("t")
	assert.Assert(t, got != nil && *got == "v2")
}
