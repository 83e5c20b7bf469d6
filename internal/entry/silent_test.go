package entry

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/membership"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/routing"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

// startUnresponsiveServer accepts connections and never answers, like a paused
// process.
func startUnresponsiveServer(t *testing.T) (addr string) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, conn) }()
		}
	}()
	t.Cleanup(func() {
		_ = lis.Close()
		<-done
	})
	return lis.Addr().String()
}

// prependServer adds a server at the head of a pool.
func (b *testBench) prependServer(pool string, s routing.Server) {
	b.view.mu.Lock()
	defer b.view.mu.Unlock()
	b.view.servers[pool] = append([]routing.Server{s}, b.view.servers[pool]...)
	b.view.version++
}

// TestStageRetriedWhenServerPaused checks that a stage is sent to another server if
// the first one never completes the handshake. No data reached the paused process,
// so this also holds for stages that are not idempotent.
func TestStageRetriedWhenServerPaused(t *testing.T) {
	for _, pool := range []string{"encoders", "filers"} {
		t.Run(pool, func(t *testing.T) {
			b := startTestBench(t)
			b.prependServer(pool, routing.Server{ID: "paused", Addr: startUnresponsiveServer(t), Zone: "z1", Region: "r1"})
			for range 4 {
				assert.DeepEqual(t, b.call("draft").answer(t), draftAnswer)
			}
			assert.Equal(t, len(b.filer.runs()), 4)
		})
	}
}

func TestOnlyServerIsPaused(t *testing.T) {
	b := startTestBench(t)
	addr := startUnresponsiveServer(t)
	b.view.mu.Lock()
	b.view.servers["filers"] = []routing.Server{{ID: "paused", Addr: addr, Zone: "z1", Region: "r1"}}
	b.view.version++
	b.view.mu.Unlock()
	e := b.call("draft").errorData(t)
	assert.Equal(t, e.Effects, "no", e.Message)
	assert.Assert(t, e.RetryAfterMS > 0)
}

// TestTakeoverFromSilentEntry checks that a request is taken over when its entry
// accepts connections but never answers.
func TestTakeoverFromSilentEntry(t *testing.T) {
	b := startTestBench(t)
	other := b.startSecondEntry()
	b.engine.pauseAfterFirstChunk()
	s := b.openCall("ask")
	s.readUntil("chunk")
	addr := startUnresponsiveServer(t)
	b.view.mu.Lock()
	b.view.entries = []membership.Instance{{ID: "entry-1", Role: membership.RoleEntry, Addr: addr}}
	b.view.mu.Unlock()
	b.engine.resumeOnAttach("generate")
	b.engine.setFoundAttempts(newFoundAttempt(s.id, 0, 1, "ask", wire.AttemptState_ATTEMPT_STATE_RUNNING))
	rest := other.openStream(other.newAnswerRequest(s.id, s.seq))
	rest.readUntil("done")
	assert.Equal(t, s.text.String()+rest.text.String(), draftAnswer["generate"])
	req := other.newAnswerRequest("entry-1~unknown.x", 0)
	assert.Equal(t, result.Code(other.do(req).errorData(t).Code), result.UnknownRequest)
}
