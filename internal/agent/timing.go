package agent

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

// sampleWeight is the weight of a new sample in the moving averages.
const sampleWeight = 0.1

// timing holds moving averages of the service times of calls at the server.
type timing struct {
	// perCall is the service time of one call.
	perCall time.Duration
	// perToken is the service time divided by the requested number of tokens; it is
	// only set for engines.
	perToken time.Duration
	// tokensPerSecond is the generation rate of one call.
	tokensPerSecond float64
}

// expected returns the expected service time of a call; 0 if none was measured
// yet.
func (t *timing) expected(req *wire.RunRequest) time.Duration {
	if req.MaxTokens > 0 && t.perToken > 0 {
		return t.perToken * time.Duration(req.MaxTokens)
	}
	return t.perCall
}

// observe adds the measurements of a successful call.
func (t *timing) observe(req *wire.RunRequest, serviceTime time.Duration, tokens uint64) {
	updateAverage(&t.perCall, serviceTime)
	if req.MaxTokens == 0 || tokens == 0 {
		return
	}
	updateAverage(&t.perToken, serviceTime/time.Duration(req.MaxTokens))
	rate := float64(tokens) / max(serviceTime.Seconds(), 1e-6)
	if t.tokensPerSecond == 0 {
		t.tokensPerSecond = rate
	}
	t.tokensPerSecond += sampleWeight * (rate - t.tokensPerSecond)
}

// updateAverage adds a sample to a moving average. The first sample sets its
// value.
func updateAverage(value *time.Duration, sample time.Duration) {
	if *value == 0 {
		*value = sample
		return
	}
	*value += time.Duration(sampleWeight * float64(sample-*value))
}
