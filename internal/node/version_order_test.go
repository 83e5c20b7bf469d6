package node

import (
	"context"
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

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
	r.serversLoaded = func() bool { return loaded }
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
