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

// filings counts the executions of file for a request that may have had effect.
func (f *fleet) filings(r load.Request) int {
	return len(f.executions(func(e standin.Execution) bool {
		return e.Nonce == r.Nonce && e.Call == "file" && e.Outcome != standin.Failed
	}))
}

func TestSameKeyThroughBothEntries(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nil)
	for name, work := range map[string]string{"short": `"work_ms":0`, "long": longWork} {
		r := f.request("file-only", keyed, body(work))
		var copies []<-chan load.Outcome
		for i := range 6 {
			copies = append(copies, f.send(r, i))
		}
		for _, c := range copies {
			out := <-c
			assert.Equal(t, out.Class, load.Complete, "%s: %+v", name, out)
		}
		late := <-f.send(r, 1)
		assert.Equal(t, late.Class, load.Complete, "%s: %+v", name, late)
		assert.Equal(t, f.filings(r), 1)
	}
	f.check()
}

func TestSameKeyOtherBody(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nil)
	r := f.request("file-only", keyed)
	assert.Equal(t, (<-f.send(r, 0)).Class, load.Complete)
	reused := f.request("file-only")
	reused.IdempotencyKey = r.IdempotencyKey
	out := <-f.send(reused, 1)
	assert.Equal(t, out.Code, result.KeyReused, "%+v", out)
	assert.Equal(t, f.filings(reused), 0)
	f.check()
}

// TestKeyOfDeadHolder repeats a key after the agent that executed it was killed and
// came back: the outcome is not known any more, and nothing runs again.
func TestKeyOfDeadHolder(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nil)
	r := f.request("file-only", keyed)
	assert.Equal(t, (<-f.send(r, 0)).Class, load.Complete)
	a := f.agentOf(f.awaitExecution(r, "file"))
	a.Kill()
	assert.NilError(t, f.Restart(a))
	assert.NilError(t, f.WaitReady(f.ctx))
	// The other entry never saw the key.
	f.await("an answer about the key", func() bool {
		out := <-f.send(r, 1)
		return out.Class == load.Unknown && out.Effects == "unknown"
	})
	assert.Equal(t, f.filings(r), 1)
	f.check()
}

func TestKeysWhileTheLogFails(t *testing.T) {
	for _, tc := range []struct {
		name     string
		switches map[string]any
		// complete tells whether the call must complete under the fault.
		complete bool
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
			f.complete("file-only", 0, keyed)
			f.control(tc.switches, spec.KindLog)
			r := f.request("file-only", keyed)
			first, second := f.send(r, 0), f.send(r, 1)
			for _, out := range []load.Outcome{<-first, <-second} {
				if tc.complete {
					assert.Equal(t, out.Class, load.Complete, "%+v", out)
					continue
				}
				assert.Equal(t, out.Code, result.ClaimUnavailable, "%+v", out)
				assert.Equal(t, out.Ran, "no")
				assert.Assert(t, out.RetryAfter > 0)
			}
			// Calls without a key need no log.
			f.complete("file-only", 0)
			f.control(map[string]any{"reset": true}, spec.KindLog)
			f.await("the key's call to complete", func() bool {
				return (<-f.send(r, 0)).Class == load.Complete
			})
			assert.Equal(t, f.filings(r), 1)
			f.check()
		})
	}
}

// TestClaimAppliedAfterRefusal lets the claim of a key take effect only after the
// caller was told that nothing ran. Its release makes it void: the key's next copy
// runs, once.
func TestClaimAppliedAfterRefusal(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nil)
	f.control(map[string]any{"late_writes": 1000, "late_write_ms": 4000}, spec.KindLog)
	r := f.request("file-only", keyed)
	out := <-f.send(r, 0)
	assert.Equal(t, out.Code, result.ClaimUnavailable, "%+v", out)
	assert.Equal(t, f.claims(), 0)
	f.control(map[string]any{"reset": true}, spec.KindLog)
	f.await("the late claim and its release", func() bool { return f.claims() > 1 })
	f.await("the key's call to complete", func() bool { return (<-f.send(r, 1)).Class == load.Complete })
	assert.Equal(t, f.filings(r), 1)
	f.check()
}

// claims counts the records in the streams of claims.
func (f *fleet) claims() int {
	f.t.Helper()
	log := platform.NewHTTPLog("http://" + f.Addrs[spec.KindLog])
	n := 0
	for i := range claims.NumPartitions {
		b, err := log.Read(f.ctx, platform.ClaimStreamPrefix+strconv.Itoa(i), 1, 1, 0)
		assert.NilError(f.t, err)
		n += int(b.NextOffset) - 1
	}
	return n
}
