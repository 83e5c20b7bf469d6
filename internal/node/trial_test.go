package node

import (
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// newHeldFleet returns a fleet with three entries that hold one plain request back.
func newHeldFleet(t *testing.T) (*crashFleet, []*runningEntry) {
	f := newRequestFleet(t, standin.PathUnsafe, "plain")
	entries := f.startEntries("e1", "e2", "e3")
	f.assertHeldBack(f.sendPairs(6, entries...), requestCrashes)
	return f, entries
}

// callAll sends the crashing request to all entries at the same time, and returns the number of
// those that did not refuse it.
func (f *crashFleet) callAll(entries []*runningEntry) int {
	var calls sync.WaitGroup
	replies := make([]reply, len(entries))
	for i, e := range entries {
		f.calls++
		c := f.newCall(f.calls, true)
		calls.Go(func() { replies[i] = e.do(c) })
	}
	calls.Wait()
	sent := 0
	for _, got := range replies {
		if got.status != http.StatusServiceUnavailable {
			sent++
		}
	}
	return sent
}

// TestOneEntryGrantsTrials guards against a request that is held back and that each entry tries
// again by itself: as many servers as there are entries would end at once.
func TestOneEntryGrantsTrials(t *testing.T) {
	f, entries := newHeldFleet(t)
	before := f.crashes.Load()
	eventually(t, "a trial is granted", func() bool { return f.callAll(entries) > 0 })
	assert.Equal(t, f.crashes.Load(), before+1)
	for _, e := range entries {
		assert.Equal(t, e.links.PlanningPeer() == nil, e == entries[0])
	}
}

// TestTrialReleasesRequest guards against a request that stays held back although the servers
// run it by now: a trial through an entry that does not grant trials must release it at all.
func TestTrialReleasesRequest(t *testing.T) {
	f, entries := newHeldFleet(t)
	for _, s := range f.servers {
		s.SetHandler(nil)
	}
	eventually(t, "a trial is granted", func() bool { return f.callAll(entries[1:]) > 0 })
	for _, e := range entries {
		eventually(t, "the request is released", func() bool { return f.call(e, true).status == http.StatusOK })
	}
}
