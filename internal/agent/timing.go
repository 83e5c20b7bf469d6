package agent

import (
	"time"

	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

// timingWeight is the weight of a new sample in a smoothed time.
const timingWeight = 0.1

// timing holds the smoothed times of calls at the server.
type timing struct {
	// service is the time of one call.
	service time.Duration
	// token is the time for each token asked for; only for engines.
	token time.Duration
	// tokensPerSecond is the token rate of one generation.
	tokensPerSecond float64
}

// expect returns the expected time of a call at the server, 0 if nothing is known.
func (t *timing) expect(req *wire.RunRequest) time.Duration {
	if req.MaxTokens > 0 && t.token > 0 {
		return t.token * time.Duration(req.MaxTokens)
	}
	return t.service
}

// observe takes in a call that ended.
func (t *timing) observe(req *wire.RunRequest, took time.Duration, tokens uint64) {
	smooth(&t.service, took)
	if req.MaxTokens == 0 || tokens == 0 {
		return
	}
	smooth(&t.token, took/time.Duration(req.MaxTokens))
	rate := float64(tokens) / max(took.Seconds(), 1e-6)
	if t.tokensPerSecond == 0 {
		t.tokensPerSecond = rate
	}
	t.tokensPerSecond += timingWeight * (rate - t.tokensPerSecond)
}

func smooth(value *time.Duration, sample time.Duration) {
	if *value == 0 {
		*value = sample
		return
	}
	*value += time.Duration(timingWeight * float64(sample-*value))
}
