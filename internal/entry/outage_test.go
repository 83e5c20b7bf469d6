package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

// TestKeyedCallsRefusedBeforeFirstStageDuringLogOutage makes the home server of the
// keys refuse an attempt because it cannot record claims. After that, calls with a
// key must be refused before any stage runs, while calls without a key succeed.
func TestKeyedCallsRefusedBeforeFirstStageDuringLogOutage(t *testing.T) {
	b := startTestBench(t)
	b.filer.mu.Lock()
	b.filer.runFunc = func(req *wire.RunRequest, out wire.DRPCAgent_RunStream) error {
		if req.IdempotencyKey != "" {
			return sendRefused(out, result.ClaimUnavailable, wire.Ran_RAN_NO)
		}
		return b.filer.complete(req, out)
	}
	b.filer.mu.Unlock()
	first := b.call("draft", "Idempotency-Key", newIdempotencyKey(t)).errorData(t)
	assert.Equal(t, result.Code(first.Code), result.ClaimUnavailable)
	assert.Equal(t, first.Ran, "yes")
	assert.Equal(t, first.Effects, "no")
	waitFor(t, func() bool {
		encoderRuns := len(b.encoder.runs())
		next := b.call("draft", "Idempotency-Key", newIdempotencyKey(t)).errorData(t)
		assert.Equal(t, result.Code(next.Code), result.ClaimUnavailable)
		assert.Equal(t, next.Effects, "no")
		assert.Assert(t, next.RetryAfterMS > 0)
		return next.Ran == "no" && len(b.encoder.runs()) == encoderRuns
	})
	assert.DeepEqual(t, b.call("draft").answer(t), draftAnswer)
}
