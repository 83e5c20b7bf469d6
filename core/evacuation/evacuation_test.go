package evacuation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEvacuationsFollowTheStore guards against an evacuation that is missed or kept when the
// instance reads the whole list instead of single changes.
func TestEvacuationsFollowTheStore(t *testing.T) {
	s := New(3 * time.Second)
	assert.Assert(t, s.Begin("a") && !s.Begin("a") && s.Begin("b"))
	assert.DeepEqual(t, s.Zones(), []string{"a", "b"})
	assert.Assert(t, s.End("a") && !s.End("a"))
	began, ended := s.Listed([]string{"c", "d"})
	assert.DeepEqual(t, began, []string{"c", "d"})
	assert.DeepEqual(t, ended, []string{"b"})
	assert.DeepEqual(t, s.Zones(), []string{"c", "d"})
}

// TestRestoredStoreDoesNotEndEvacuation guards against requests that reach an evacuated zone
// because the store came back from a copy that is older than the evacuation.
func TestRestoredStoreDoesNotEndEvacuation(t *testing.T) {
	s := New(3 * time.Second)
	s.Begin("kept")
	s.Begin("dropped")
	assert.DeepEqual(t, s.Restored(time.Second, []string{"old"}), []string{"old"})
	assert.DeepEqual(t, s.Zones(), []string{"dropped", "kept", "old"})
	s.Begin("kept")
	assert.Equal(t, len(s.RemoveUnconfirmed(4*time.Second-1)), 0)
	assert.DeepEqual(t, s.RemoveUnconfirmed(4*time.Second), []string{"dropped"})
	assert.DeepEqual(t, s.Zones(), []string{"kept", "old"})
}
