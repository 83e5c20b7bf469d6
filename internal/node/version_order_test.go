package node

import (
	"context"
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/placement"
	"github.com/magnoliawheel/magnoliawheel/internal/planner"
	"github.com/magnoliawheel/magnoliawheel/platform"
	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// TestVersionsAreReadAfterTheServers guards against a process that counts what it knows as
// complete, although a version came and left between its reading of the stored versions and that
// of the servers: at its start, and where it missed servers while it read the versions.
func TestVersionsAreReadAfterTheServers(t *testing.T) {
	store := standin.NewStore()
	defer store.Close()
	reads, loaded := 0, false
	r := newVersionRecorder(platform.NewStore(store.Address()), planner.New(nil, nil, logr.Discard()), logr.Discard())
	r.places = func() bool { return false }
	r.serversLoaded, r.serversOverdue = func() bool { return loaded }, func() bool { return false }
	store.SetStatusOverride(func(string) int {
		if reads++; reads == 1 {
			r.serversMissed()
		}
		return 0
	})
	assert.NilError(t, r.sync(context.Background()))
	assert.Assert(t, reads == 0 && !r.known.Load())
	loaded = true
	assert.ErrorIs(t, r.sync(context.Background()), errServersMissed)
	assert.Assert(t, !r.known.Load())
	assert.NilError(t, r.sync(context.Background()))
	assert.Assert(t, r.known.Load())
}

// TestVersionsAreNotStoredByAnOldView guards against a process that stood still and takes a version
// that came back meanwhile out of the stored ones, where a process that starts later misses it.
func TestVersionsAreNotStoredByAnOldView(t *testing.T) {
	store := standin.NewStore()
	defer store.Close()
	p := planner.New(nil, nil, logr.Discard())
	p.ObservedFromStart()
	p.SetPools([]planner.Pool{{Name: "m", HasResumableStreams: true, ModelServers: []placement.Server{{ID: "m1", SoftwareVersion: "v1"}}}})
	client := platform.NewStore(store.Address())
	r := newVersionRecorder(client, p, logr.Discard())
	overdue := true
	r.places, r.serversLoaded, r.serversOverdue = func() bool { return true }, func() bool { return true }, func() bool { return overdue }
	r.onUsable = func() {}
	stored := func() int {
		assert.NilError(t, r.sync(t.Context()))
		records, _, err := client.Newest(t.Context(), platform.VersionsTopic)
		assert.NilError(t, err)
		return len(records)
	}
	assert.Equal(t, stored(), 0)
	assert.Assert(t, r.known.Load(), "the stored versions are read all the same")
	overdue = false
	assert.Equal(t, stored(), 1)
}
