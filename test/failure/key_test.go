package failure

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/claims"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/load"
	"github.com/magnoliawheel/magnoliawheel/internal/platform"
	"github.com/magnoliawheel/magnoliawheel/test/standin"
	"github.com/magnoliawheel/magnoliawheel/test/standin/spec"
)

// filingCount returns the number of filings for a request that may have had an effect. A
// filing is an execution of the server call "file", which is not idempotent.
func (f *fleet) filingCount(r load.Request) int {
	return len(f.matchingExecutions(func(e standin.Execution) bool {
		return e.Nonce == r.Nonce && e.Call == "file" && e.Outcome != standin.Failed
	}))
}

// TestSameKeyThroughBothEntries sends copies of a request with one idempotency key through
// both entries, at the same time and after the first have completed. All complete, and the
// call is executed once.
func TestSameKeyThroughBothEntries(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nil)
	for name, work := range map[string]string{"short": `"work_ms":0`, "long": longWork} {
		r := f.request("file-only", withIdempotencyKey, withBodyFields(work))
		var copies []<-chan load.Outcome
		for i := range 6 {
			copies = append(copies, f.send(r, i))
		}
		for _, c := range copies {
			out := <-c
			assert.Equal(t, out.Class, load.Complete, "%s: %+v", name, out)
		}
		repeated := <-f.send(r, 1)
		assert.Equal(t, repeated.Class, load.Complete, "%s: %+v", name, repeated)
		assert.Equal(t, f.filingCount(r), 1)
	}
	f.checkOutcomes()
}

// TestSameKeyOtherBody checks that an idempotency key is refused for a request with another
// body.
func TestSameKeyOtherBody(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nil)
	r := f.request("file-only", withIdempotencyKey)
	assert.Equal(t, (<-f.send(r, 0)).Class, load.Complete)
	reused := f.request("file-only")
	reused.IdempotencyKey = r.IdempotencyKey
	out := <-f.send(reused, 1)
	assert.Equal(t, out.Code, result.KeyReused, "%+v", out)
	assert.Equal(t, f.filingCount(reused), 0)
	f.checkOutcomes()
}

// TestKeyAfterHolderKilled sends a request again, with the same idempotency key, after the
// agent whose server executed its call was killed and restarted. The outcome is reported as
// unknown, and nothing is executed again.
func TestKeyAfterHolderKilled(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nil)
	r := f.request("file-only", withIdempotencyKey)
	assert.Equal(t, (<-f.send(r, 0)).Class, load.Complete)
	a := f.agentOf(f.awaitExecution(r, "file"))
	a.Kill()
	assert.NilError(t, f.Restart(a))
	assert.NilError(t, f.WaitReady(f.ctx))
	// The second entry has not seen the key before.
	f.await("an answer about the key", func() bool {
		out := <-f.send(r, 1)
		return out.Class == load.Unknown && out.Effects == "unknown"
	})
	assert.Equal(t, f.filingCount(r), 1)
	f.checkOutcomes()
}

// TestKeysWhileTheLogFails sends two copies of a request with an idempotency key during
// each fault of the log. The call is executed once. It either completes during the fault,
// or is refused with nothing run and completes afterwards.
func TestKeysWhileTheLogFails(t *testing.T) {
	for _, tc := range []struct {
		name     string
		switches map[string]any
		// mustComplete is true if the fault must not prevent the call from completing.
		mustComplete bool
	}{
		{"down", map[string]any{"down": true}, false},
		{"answer lost after the write took effect", map[string]any{"drop_answers": 1}, true},
		{"two answers lost", map[string]any{"drop_answers": 2}, true},
		{"write applied late", map[string]any{"late_writes": 1, "late_write_ms": 1000}, true},
		{"slow", map[string]any{"delay_ms": 300}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, nil)
			f.sendUntilComplete("file-only", 0, withIdempotencyKey)
			f.control(tc.switches, spec.KindPlatformLog)
			r := f.request("file-only", withIdempotencyKey)
			first, second := f.send(r, 0), f.send(r, 1)
			for _, out := range []load.Outcome{<-first, <-second} {
				if tc.mustComplete {
					assert.Equal(t, out.Class, load.Complete, "%+v", out)
					continue
				}
				assert.Equal(t, out.Code, result.ClaimUnavailable, "%+v", out)
				assert.Equal(t, out.Ran, "no")
				assert.Assert(t, out.RetryAfter > 0)
			}
			// Calls without a key do not depend on the log.
			f.sendUntilComplete("file-only", 0)
			f.control(map[string]any{"reset": true}, spec.KindPlatformLog)
			f.await("the key's call to complete", func() bool {
				return (<-f.send(r, 0)).Class == load.Complete
			})
			assert.Equal(t, f.filingCount(r), 1)
			f.checkOutcomes()
		})
	}
}

// TestClaimAppliedAfterRefusal delays the write that claims an idempotency key until after
// the caller was told that nothing ran. The release of the claim voids it, so that the next
// copy of the request is executed, once.
func TestClaimAppliedAfterRefusal(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nil)
	f.control(map[string]any{"late_writes": 1000, "late_write_ms": 10_000}, spec.KindPlatformLog)
	r := f.request("file-only", withIdempotencyKey)
	out := <-f.send(r, 0)
	assert.Equal(t, out.Code, result.ClaimUnavailable, "%+v", out)
	assert.Equal(t, f.claimRecordCount(), 0)
	f.control(map[string]any{"reset": true}, spec.KindPlatformLog)
	f.await("the late claim and its release", func() bool { return f.claimRecordCount() > 1 })
	f.await("the key's call to complete", func() bool { return (<-f.send(r, 1)).Class == load.Complete })
	assert.Equal(t, f.filingCount(r), 1)
	f.checkOutcomes()
}

// claimRecordCount returns the number of records in all claim streams.
func (f *fleet) claimRecordCount() int {
	f.t.Helper()
	log := platform.NewHTTPLog("http://" + f.StandinAddrs[spec.KindPlatformLog])
	n := 0
	for i := range claims.NumPartitions {
		b, err := log.Read(f.ctx, platform.ClaimStreamPrefix+strconv.Itoa(i), 1, 1, 0)
		assert.NilError(f.t, err)
		n += int(b.NextOffset) - 1
	}
	return n
}
