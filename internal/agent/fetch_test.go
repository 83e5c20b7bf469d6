package agent

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
	"github.com/magnoliawheel/magnoliawheel/test/harness"
	"github.com/magnoliawheel/magnoliawheel/test/standin/service"
)

// runByReference runs a call whose result of the given size is kept at the
// agent and answered by a reference.
func (f *fixture) runByReference(t testing.TB, request string, size string) (*wire.RunRequest, *wire.PayloadRef) {
	req := f.runRequest(request)
	req.Payload = []byte(`{"nonce":"` + request + `","size":` + size + `}`)
	req.KeepOverBytes = 1000
	a := f.run(t, req)
	assert.Assert(t, a.done != nil && a.done.Ref != nil, "%v", a.events)
	assert.Equal(t, a.text, "")
	return req, a.done.Ref
}

func TestInputsAreFetchedFromTheAgentThatKeepsThem(t *testing.T) {
	srv := startService(t, service.Config{})
	a, b := startAgent(t, testSettings(t, "a", "http://"+srv.Addr())), startAgent(t, testSettings(t, "b", "http://"+srv.Addr()))
	_, ref := a.runByReference(t, "e~1", "300000")
	assert.Assert(t, ref.SizeBytes > 300000)

	next := b.runRequest("e~1")
	next.Attempt.Stage, next.Payload, next.Ref = 1, nil, ref
	got := b.run(t, next)
	assert.Assert(t, got.done != nil, "%v", got.events)
	assert.Equal(t, got.done.FetchedBytes, ref.SizeBytes)
	assert.Equal(t, got.done.FetchedRegion, "amman")
	assert.Assert(t, strings.Contains(got.text, `"nonce":"e~1"`))
	assert.Equal(t, srv.Recorder.Executions()[1].InputBytes, int(ref.SizeBytes))

	// The agent that keeps the result fetches nothing.
	atKeeper := a.runRequest("e~1")
	atKeeper.Attempt.Stage, atKeeper.Payload, atKeeper.Ref = 2, nil, ref
	got = a.run(t, atKeeper)
	assert.Assert(t, got.done != nil, "%v", got.events)
	assert.Equal(t, got.done.FetchedBytes, uint64(0))

	small := a.runRequest("e~2")
	small.KeepOverBytes = 1000
	got = a.run(t, small)
	assert.Assert(t, got.done.Ref == nil && got.text != "")
}

func TestInvalidInputReferences(t *testing.T) {
	srv := startService(t, service.Config{})
	a, b := startAgent(t, testSettings(t, "a", "http://"+srv.Addr())), startAgent(t, testSettings(t, "b", "http://"+srv.Addr()))
	cases := []struct {
		name       string
		invalidate func(*wire.RunRequest, *wire.PayloadRef)
	}{
		{"acknowledged", func(req *wire.RunRequest, _ *wire.PayloadRef) { a.ack(t, req) }},
		{"other incarnation", func(_ *wire.RunRequest, ref *wire.PayloadRef) { ref.Incarnation++ }},
		{"holder gone", func(_ *wire.RunRequest, ref *wire.PayloadRef) { ref.Address = "127.0.0.1:1" }},
		{"checksum differs", func(_ *wire.RunRequest, ref *wire.PayloadRef) { ref.Checksum++ }},
		{"size differs", func(_ *wire.RunRequest, ref *wire.PayloadRef) { ref.SizeBytes-- }},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request := "e~" + string(rune('a'+i))
			req, ref := a.runByReference(t, request, "5000")
			c.invalidate(req, ref)
			next := b.runRequest(request)
			next.Attempt.Stage, next.Payload, next.Ref = 1, nil, ref
			executed := len(srv.Recorder.Executions())
			got := b.run(t, next)
			assert.Assert(t, got.failed != nil, "%v", got.events)
			assert.Equal(t, result.Code(got.failed.Code), result.PayloadLost)
			assert.Equal(t, got.failed.Ran, wire.Ran_RAN_NO)
			assert.Equal(t, len(srv.Recorder.Executions()), executed)
		})
	}
}

func TestInputsOverTheLimitAreRefused(t *testing.T) {
	srv := startService(t, service.Config{})
	f := startAgent(t, testSettings(t, "a", "http://"+srv.Addr()))
	req := f.runRequest("e~1")
	req.Ref = &wire.PayloadRef{SizeBytes: 1 << 40}
	got := f.run(t, req)
	assert.Equal(t, result.Code(got.refused.Code), result.BodyTooLarge)
	req = f.runRequest("e~2")
	req.Payload = make([]byte, 17<<20)
	req.BudgetUs = uint64(time.Minute.Microseconds())
	got = f.run(t, req)
	assert.Equal(t, result.Code(got.refused.Code), result.BodyTooLarge)
	assert.Equal(t, len(srv.Recorder.Executions()), 0)
}

// TestFetchOverSilentConnections checks that an input is fetched over a new
// connection when the existing connection to its agent carries no more data
// without being closed.
func TestFetchOverSilentConnections(t *testing.T) {
	srv := startService(t, service.Config{})
	a, b := startAgent(t, testSettings(t, "a", "http://"+srv.Addr())), startAgent(t, testSettings(t, "b", "http://"+srv.Addr()))
	relay, err := harness.StartRelay(a.address)
	assert.NilError(t, err)
	defer relay.Close()
	runWithFetchedInput := func(request string) *runResponse {
		_, ref := a.runByReference(t, request, "200000")
		ref.Address = relay.Addr()
		next := b.runRequest(request)
		next.Attempt.Stage, next.Payload, next.Ref = 1, nil, ref
		return b.run(t, next)
	}
	assert.Assert(t, runWithFetchedInput("e~1").done != nil)
	assert.Assert(t, relay.Silence() > 0)
	got := runWithFetchedInput("e~2")
	assert.Assert(t, got.done != nil, "%v", got.events)
	assert.Equal(t, relay.Accepted(), 2)
}
