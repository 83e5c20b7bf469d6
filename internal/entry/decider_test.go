package entry

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/membership"
	"github.com/magnoliawheel/magnoliawheel/core/routing"
)

// TestHomeServer checks that the home server of a slot does not depend on the order
// of the servers, that a server that is unresponsive, ejected, leaving or excluded
// is replaced by the next one, and that an unresponsive server is still selected if
// there is no other.
func TestHomeServer(t *testing.T) {
	const slot = 7
	servers := []routing.Status{
		{Server: routing.Server{ID: "a"}, State: routing.StateUsable},
		{Server: routing.Server{ID: "b"}, State: routing.StateUsable},
		{Server: routing.Server{ID: "c"}, State: routing.StateUsable},
	}
	first, ok := homeServer(servers, slot, nil)
	assert.Assert(t, ok)
	reversed := []routing.Status{servers[2], servers[1], servers[0]}
	reordered, _ := homeServer(reversed, slot, nil)
	assert.Equal(t, reordered.ID, first.ID, "the home server depends on the order of the list")
	second, _ := homeServer(servers, slot, []string{first.ID})
	assert.Assert(t, second.ID != first.ID)
	setState := func(state routing.State) {
		for i := range servers {
			if servers[i].ID == first.ID {
				servers[i].State = state
			}
		}
	}
	for _, state := range []routing.State{routing.StateUnresponsive, routing.StateEjected, routing.StateLeaving} {
		setState(state)
		got, _ := homeServer(servers, slot, nil)
		assert.Equal(t, got.ID, second.ID, state)
	}
	for i := range servers {
		servers[i].State = routing.StateUnresponsive
	}
	got, ok := homeServer(servers, slot, nil)
	assert.Assert(t, ok)
	assert.Equal(t, got.ID, first.ID)
	for i := range servers {
		servers[i].State = routing.StateLeaving
	}
	_, ok = homeServer(servers, slot, nil)
	assert.Assert(t, !ok)
}

func TestPruneDropsUnlistedAgents(t *testing.T) {
	a := newAgentTracker(nil)
	for i := range 5 {
		id := fmt.Sprint("agent-", i)
		a.incarnations[id], a.models[id] = 1, modelList{version: 1}
	}
	a.prune(nil)
	assert.Equal(t, len(a.incarnations), 5, "an empty list must not remove agents")
	a.prune([]membership.Instance{{ID: "agent-1"}, {ID: "agent-9"}})
	assert.DeepEqual(t, a.incarnations, map[string]uint64{"agent-1": 1})
	assert.Equal(t, len(a.models), 1)
}
