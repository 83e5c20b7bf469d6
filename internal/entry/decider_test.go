package entry

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/membership"
	"github.com/magnoliawheel/magnoliawheel/core/routing"
)

func TestHomeOfASlot(t *testing.T) {
	const slot = 7
	servers := []routing.Status{
		{Server: routing.Server{ID: "a"}, State: routing.StateUsable},
		{Server: routing.Server{ID: "b"}, State: routing.StateUsable},
		{Server: routing.Server{ID: "c"}, State: routing.StateUsable},
	}
	first, ok := home(servers, slot, nil)
	assert.Assert(t, ok)
	reversed := []routing.Status{servers[2], servers[1], servers[0]}
	again, _ := home(reversed, slot, nil)
	assert.Equal(t, again.ID, first.ID, "the order of the servers matters")
	second, _ := home(servers, slot, []string{first.ID})
	assert.Assert(t, second.ID != first.ID)
	mark := func(state routing.State) {
		for i := range servers {
			if servers[i].ID == first.ID {
				servers[i].State = state
			}
		}
	}
	for _, state := range []routing.State{routing.StateUnresponsive, routing.StateEjected, routing.StateLeaving} {
		mark(state)
		got, _ := home(servers, slot, nil)
		assert.Equal(t, got.ID, second.ID, state)
	}
	for i := range servers {
		servers[i].State = routing.StateUnresponsive
	}
	got, ok := home(servers, slot, nil)
	assert.Assert(t, ok)
	assert.Equal(t, got.ID, first.ID)
	for i := range servers {
		servers[i].State = routing.StateLeaving
	}
	_, ok = home(servers, slot, nil)
	assert.Assert(t, !ok)
}

func TestAgentsThatAreNotListedAreForgotten(t *testing.T) {
	a := newAgents(nil)
	for i := range 5 {
		id := fmt.Sprint("agent-", i)
		a.byID[id], a.models[id] = 1, modelList{version: 1}
	}
	a.prune(nil)
	assert.Equal(t, len(a.byID), 5, "an empty list tells nothing")
	a.prune([]membership.Instance{{ID: "agent-1"}, {ID: "agent-9"}})
	assert.DeepEqual(t, a.byID, map[string]uint64{"agent-1": 1})
	assert.Equal(t, len(a.models), 1)
}
