package confsync

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// maxNeighbors is the number of peers that a process keeps connections to. They
// are visited in turn, so that each is visited before its connection expires.
const maxNeighbors = 6

// neighbors is a random set of peers that changes slowly.
type neighbors struct {
	mu    sync.Mutex
	list  []string
	index int
}

// next returns the neighbor whose turn it is. After each full turn one neighbor
// is replaced by another peer. It returns "" if there are no peers.
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

// all returns the neighbors.
func (n *neighbors) all(peers []string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fill(peers)
	return slices.Clone(n.list)
}

// drop removes a neighbor that did not answer.
func (n *neighbors) drop(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if i := slices.Index(n.list, addr); i >= 0 {
		n.list = slices.Delete(n.list, i, i+1)
	}
}

// fill drops neighbors that are no longer peers and adds others. The caller
// holds the mutex.
func (n *neighbors) fill(peers []string) {
	n.list = slices.DeleteFunc(n.list, func(addr string) bool { return !slices.Contains(peers, addr) })
	want := min(maxNeighbors, len(peers))
	for tries := 0; len(n.list) < want && tries < 4*maxNeighbors; tries++ {
		addr := peers[rand.IntN(len(peers))]
		if !slices.Contains(n.list, addr) {
			n.list = append(n.list, addr)
		}
	}
}
