package routing

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func TestHomeMovesOnlySlotsOfLeavingServer(t *testing.T) {
	const slots = 256
	var servers []Server
	for i := range 8 {
		servers = append(servers, Server{ID: fmt.Sprintf("s%d", i)})
	}
	before := map[uint64]string{}
	slotsPerServer := map[string]int{}
	for slot := range uint64(slots) {
		s, ok := Home(servers, slot, nil)
		assert.Assert(t, ok)
		before[slot] = s.ID
		slotsPerServer[s.ID]++
	}
	assert.Equal(t, len(slotsPerServer), len(servers))
	servers[3].Leaving = true
	for slot := range uint64(slots) {
		s, _ := Home(servers, slot, nil)
		if before[slot] != "s3" {
			assert.Equal(t, s.ID, before[slot])
			continue
		}
		excluded, _ := Home(servers, slot, []string{"s3"})
		assert.Equal(t, s.ID, excluded.ID)
	}
	_, ok := Home(servers[3:4], 1, nil)
	assert.Assert(t, !ok)
}
