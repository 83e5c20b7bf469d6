package retry

import "github.com/magnoliawheel/magnoliawheel/core/result"

const (
	// bucketCapacity is the largest burst of retries and hedges of an entry.
	bucketCapacity = 10.0
	// hedgeFloorShare is the share of the bucket's capacity that hedges leave for
	// retries.
	hedgeFloorShare = 0.5
	// defaultRetryShare applies if Options.RetryShare is not set.
	defaultRetryShare = 0.1
)

// tokenBucket limits retries and hedges: each takes one token, and each first attempt
// adds perRequest tokens.
type tokenBucket struct {
	tokens, perRequest float64
}

func (b *tokenBucket) refill() { b.tokens = min(bucketCapacity, b.tokens+b.perRequest) }

// take removes one token unless fewer than floor would remain.
func (b *tokenBucket) take(floor float64) bool {
	if b.tokens-1 < floor {
		return false
	}
	b.tokens--
	return true
}

// isRetryable reports whether an attempt at another server may have another outcome.
func isRetryable(code result.Code) bool {
	switch code {
	case result.ServerLeaving, result.QueueFull, result.WrongIncarnation, result.ResultsFull,
		result.Tombstoned, result.ModelNotLoaded, result.ConfigTooOld, result.NotReady, result.Paused,
		result.Overloaded, result.ServerFailed, result.AgentLost, result.PayloadLost,
		result.ChecksumMismatch, result.ResultExpired:
		return true
	}
	return false
}
