package failure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/client"
	"github.com/magnoliawheel/magnoliawheel/internal/load"
	"github.com/magnoliawheel/magnoliawheel/test/harness"
)

// burstRequests is far more than the servers can execute within the deadline.
const burstRequests = 600

// TestBurst sends more requests at once than can be served in time. Each is answered or
// refused, a refusal has a Retry-After, and afterwards requests complete again.
func TestBurst(t *testing.T) {
	t.Parallel()
	f := newFleet(t, func(s *harness.Server) { s.Spec.Slots = 4 })
	var pending []<-chan load.Outcome
	for i := range burstRequests {
		call, options := "draft", []func(*load.Request){withStream, withBodyFields(`"tokens":60`)}
		if i%2 == 0 {
			call, options = "file-only", []func(*load.Request){withIdempotencyKey, withBodyFields(`"work_ms":300`)}
		}
		pending = append(pending, f.send(f.request(call, options...), i))
	}
	for _, p := range pending {
		out := <-p
		if out.Class == load.Refused {
			assert.Assert(t, out.RetryAfter > 0, "%+v", out)
		}
	}
	for entry := range f.Entries {
		f.sendUntilComplete("draft", entry, withStream)
		f.sendUntilComplete("file-only", entry, withIdempotencyKey)
	}
	ledger := f.checkOutcomes()
	assert.Assert(t, ledger.Refused > 0, "no request of the burst was refused: the test did not cause an overload")
}

// TestClientSurvivesEntryCrash makes idempotent calls with the public client while the
// entry that serves them is killed. All calls must return their answers.
func TestClientSurvivesEntryCrash(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nil)
	c, err := client.New(client.Options{Entries: f.CallerURLs(), Customer: "burj-consult", Key: "burj-consult-key"})
	assert.NilError(t, err)
	defer c.Close()
	const calls = 12
	type done struct {
		nonce  string
		answer *client.Answer
		err    error
	}
	results := make(chan done, calls)
	for range calls {
		r := f.request("read", withBodyFields(`"work_ms":400`))
		go func() {
			answer, err := c.Do(f.ctx, &client.Call{Name: r.Call, Body: r.Body, Idempotent: true, Timeout: requestTimeout})
			results <- done{r.Nonce, answer, err}
		}()
	}
	f.await("work of all calls", func() bool { return f.executionCount() >= calls })
	f.Entries[0].Kill()
	time.AfterFunc(time.Second, func() { _ = f.Restart(f.Entries[0]) })
	for range calls {
		d := <-results
		assert.NilError(t, d.err, d.nonce)
		want := harness.ExpectedAnswer(f.schema.Pipeline("reading"), []byte(`{"nonce":"`+d.nonce+`","work_ms":400}`))
		assert.Equal(t, len(d.answer.Stages), 1)
		assert.Equal(t, d.answer.Stages[0].Text, want["encode"])
	}
}
