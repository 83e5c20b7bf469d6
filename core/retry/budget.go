package retry

import "github.com/magnoliawheel/magnoliawheel/core/result"

const (
	// reserve is the number of retries that an entry may make at once.
	reserve = 10.0
	// hedgeLevel is the share of the reserve that hedges leave for retries.
	hedgeLevel = 0.5
	// defaultShare applies if Options names no share.
	defaultShare = 0.1
)

// bucket holds the repeats allowed; first attempts fill it.
type bucket struct {
	tokens, share float64
}

func (b *bucket) fill() { b.tokens = min(reserve, b.tokens+b.share) }

// take takes out one repeat unless fewer than floor would be left.
func (b *bucket) take(floor float64) bool {
	if b.tokens-1 < floor {
		return false
	}
	b.tokens--
	return true
}

// repeatable tells whether another server may give another outcome.
func repeatable(code result.Code) bool {
	switch code {
	case result.ServerLeaving, result.QueueFull, result.WrongIncarnation, result.ResultsFull,
		result.Tombstoned, result.ModelNotLoaded, result.ConfigTooOld, result.NotReady, result.Paused,
		result.Overloaded, result.ServerFailed, result.AgentLost, result.PayloadLost,
		result.ChecksumMismatch, result.ResultExpired:
		return true
	}
	return false
}
