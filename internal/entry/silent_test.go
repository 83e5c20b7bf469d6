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

// blackHole accepts connections and never answers, as a paused process does.
func blackHole(t *testing.T) (addr string) {
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

// replace puts a paused server in the place of a pool's first one.
func (b *bench) replace(pool string, s routing.Server) {
	b.view.mu.Lock()
	defer b.view.mu.Unlock()
	b.view.servers[pool] = append([]routing.Server{s}, b.view.servers[pool]...)
	b.view.version++
}

// TestServerPausedBeforeTheAttempt: nothing reaches a process that does not even
// finish a handshake, so another server takes the stage, also one with effects.
func TestServerPausedBeforeTheAttempt(t *testing.T) {
	for _, pool := range []string{"encoders", "filers"} {
		t.Run(pool, func(t *testing.T) {
			b := startBench(t)
			b.replace(pool, routing.Server{ID: "paused", Addr: blackHole(t), Zone: "z1", Region: "r1"})
			for range 4 {
				assert.DeepEqual(t, b.call("draft").answer(t), wholeDraft)
			}
			assert.Equal(t, len(b.filer.runs()), 4)
		})
	}
}

func TestOnlyServerIsPaused(t *testing.T) {
	b := startBench(t)
	addr := blackHole(t)
	b.view.mu.Lock()
	b.view.servers["filers"] = []routing.Server{{ID: "paused", Addr: addr, Zone: "z1", Region: "r1"}}
	b.view.version++
	b.view.mu.Unlock()
	e := b.call("draft").err(t)
	assert.Equal(t, e.Effects, "no", e.Message)
	assert.Assert(t, e.RetryAfterMS > 0)
}

func TestSilentOwnerIsTakenOver(t *testing.T) {
	b := startBench(t)
	other := b.second()
	b.engine.gate()
	s := b.open("ask")
	s.until("chunk")
	addr := blackHole(t)
	b.view.mu.Lock()
	b.view.entries = []membership.Instance{{ID: "entry-1", Role: membership.RoleEntry, Addr: addr}}
	b.view.mu.Unlock()
	b.engine.resume("generate")
	b.engine.knows(found(s.id, 0, 1, "ask", wire.AttemptState_ATTEMPT_STATE_RUNNING))
	again := other.read(other.get(s.id, s.seq))
	again.until("done")
	assert.Equal(t, s.texts.String()+again.texts.String(), wholeDraft["generate"])
	req := other.get("entry-1~unknown.x", 0)
	assert.Equal(t, result.Code(other.do(req).err(t).Code), result.UnknownRequest)
}
