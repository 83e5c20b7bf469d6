package routing

import "slices"

// Home returns the home server of a slot: the one with the highest rendezvous hashing
// score among those that are neither leaving nor excluded. ok is false if there is
// none. All processes with the same server list get the same result.
func Home(servers []Server, slot uint64, exclude []string) (best Server, ok bool) {
	var bestScore uint64
	for i := range servers {
		s := &servers[i]
		if s.Leaving || slices.Contains(exclude, s.ID) {
			continue
		}
		score := mix(hashString(s.ID) ^ mix(slot))
		if !ok || score > bestScore || (score == bestScore && s.ID < best.ID) {
			best, bestScore, ok = *s, score, true
		}
	}
	return best, ok
}
