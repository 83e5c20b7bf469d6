package confsync

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// maxNeighbors is the number of peers to which a process keeps connections. They are
// contacted in turn, so that each is contacted before its idle connection expires.
const maxNeighbors = 6

// neighbors is a random subset of the peers that changes slowly.
type neighbors struct {
	mu    sync.Mutex
	list  []string
	index int
}

// next returns the next neighbor in turn, or "" if there are no peers. After each full
// round one neighbor is replaced by another peer.
func (n *neighbors) next(peers []string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.index >= len(n.list) {
		n.index = 0
		if len(n.list) > 0 && len(peers) > len(n.list) {
			n.list = slices.Delete(n.list, 0, 1)
		}
	}
	n.fill(peers)
	if len(n.list) == 0 {
		return ""
	}
	n.index++
	return n.list[n.index-1]
}

// all returns the current neighbors.
func (n *neighbors) all(peers []string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fill(peers)
	return slices.Clone(n.list)
}

// remove removes a neighbor that did not respond.
func (n *neighbors) remove(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if i := slices.Index(n.list, addr); i >= 0 {
		n.list = slices.Delete(n.list, i, i+1)
	}
}

// fill removes neighbors that are no longer peers and adds random peers up to
// maxNeighbors. The caller holds the mutex.
func (n *neighbors) fill(peers []string) {
	n.list = slices.DeleteFunc(n.list, func(addr string) bool { return !slices.Contains(peers, addr) })
	target := min(maxNeighbors, len(peers))
	for tries := 0; len(n.list) < target && tries < 4*maxNeighbors; tries++ {
		addr := peers[rand.IntN(len(peers))]
		if !slices.Contains(n.list, addr) {
			n.list = append(n.list, addr)
		}
	}
}
