package routing

import "slices"

// Home returns the server with the highest rendezvous score for a slot, among
// those that are not leaving and not excluded; ok is false if there is none. All
// processes with the same servers get the same answer.
func Home(servers []Server, slot uint64, exclude []string) (best Server, ok bool) {
	var most uint64
	for i := range servers {
		s := &servers[i]
		if s.Leaving || slices.Contains(exclude, s.ID) {
			continue
		}
		score := mix(hashString(s.ID) ^ mix(slot))
		if !ok || score > most || (score == most && s.ID < best.ID) {
			best, most, ok = *s, score, true
		}
	}
	return best, ok
}
