package node

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/magnoliawheel/magnoliawheel/core/quarantine"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/platform"
	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// TestPatternOutlivesStoreFaults guards against a pattern that is lost because the store
// was away when it was found, or was restored from an older copy afterwards.
func TestPatternOutlivesStoreFaults(t *testing.T) {
	store := standin.NewStore()
	defer store.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client := platform.NewStore(store.Address())
	w := newQuarantineWriter(client, logr.Discard())
	go w.run(ctx)

	older := store.Copy()
	var refused atomic.Int64
	store.SetStatusOverride(func(string) int {
		refused.Add(1)
		return http.StatusServiceUnavailable
	})
	w.add([]quarantine.Change{{Pattern: quarantine.Pattern{Elements: []string{crashingPart}, Crashes: 3, Until: clock.Now() + time.Hour}}})
	eventually(t, "the write is tried", func() bool { return refused.Load() > 0 })
	store.SetStatusOverride(nil)
	eventually(t, "the pattern is written once the store is back", func() bool { return store.Mentions(crashingPart) })

	store.Restore(older)
	eventually(t, "the pattern is written again", func() bool {
		// Any response tells the new era.
		_, _, _ = client.Newest(ctx, platform.QuarantineTopic)
		return store.Mentions(crashingPart)
	})
}
