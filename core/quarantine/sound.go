package quarantine

// soundGeneration is the number of elements after which the oldest ones are forgotten.
const soundGeneration = 4096

// soundElements are the elements of requests that completed. Parts and identities are kept
// apart, since each request adds an identity, and few of them add a part.
type soundElements struct {
	parts, identities recentSet
}

func newSoundElements() soundElements {
	return soundElements{parts: newRecentSet(), identities: newRecentSet()}
}

// set returns the set that an element belongs to.
func (s *soundElements) set(element string) *recentSet {
	if isIdentity(element) {
		return &s.identities
	}
	return &s.parts
}

func (s *soundElements) has(element string) bool { return s.set(element).has(element) }

func (s *soundElements) add(element string) { s.set(element).add(element) }

// recentSet holds at least the newest soundGeneration of the elements that were added.
type recentSet struct {
	newer, older map[string]bool
}

func newRecentSet() recentSet { return recentSet{newer: map[string]bool{}} }

func (s *recentSet) has(element string) bool { return s.newer[element] || s.older[element] }

func (s *recentSet) add(element string) {
	s.newer[element] = true
	if len(s.newer) >= soundGeneration {
		s.newer, s.older = map[string]bool{}, s.newer
	}
}
