package entry

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/internal/answer"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

// finishWithLargeAnswer makes Run wait until the returned function is called, and then send
// count chunks of size bytes.
func (a *fakeAgent) finishWithLargeAnswer(count, size int) (resume func()) {
	released := make(chan struct{})
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runFunc = func(_ *wire.RunRequest, out wire.DRPCAgent_RunStream) error {
		if err := a.accept(out); err != nil {
			return err
		}
		if err := a.heartbeatUntil(out, released); err != nil {
			return err
		}
		chunks := make([]string, count)
		for i := range chunks {
			chunks[i] = strings.Repeat("x", size)
		}
		return a.sendChunksFrom(out, 1, chunks)
	}
	return func() { close(released) }
}

// TestDrainFinishesAnswersReadByOtherEntry guards against an entry that exits before another
// entry, which relays one of its answers to a caller, has read the whole answer. The answer is
// larger than the buffers of the connection, and the other entry begins to read it only once
// the request has ended.
func TestDrainFinishesAnswersReadByOtherEntry(t *testing.T) {
	const chunks, chunkBytes = 15, 1 << 20
	b := startTestBench(t)
	large := *b.source.Current()
	large.Schema = parseSchema(t)
	for i := range large.Schema.Calls {
		large.Schema.Calls[i].MaxAnswerBytes = 2 * chunks * chunkBytes
	}
	b.source.set(&large)
	resume := b.filer.finishWithLargeAnswer(chunks, chunkBytes)
	s := b.openCall("draft")
	s.readUntil("chunk")
	pool := rpc.NewPool(testTLS(t))
	defer func() { _ = pool.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	relayed, err := wire.NewDRPCEntryClient(pool.Conn(ctx, b.p.opts.Settings.Listen.Peers)).
		Relay(ctx, &wire.RelayRequest{RequestId: s.id, Customer: "acme", FromSeq: 1})
	assert.NilError(t, err)
	_, err = relayed.Recv()
	assert.NilError(t, err)
	s.close()
	b.stop()
	waitFor(t, func() bool { return b.p.table.drainRefusal() != nil })
	resume()
	waitFor(t, func() bool { return b.p.table.activeCount() == 0 })
	time.Sleep(closeTimeout / 5)
	received := 0
	for {
		ev, err := relayed.Recv()
		assert.NilError(t, err, "after %d bytes", received)
		received += len(ev.Data)
		if ev.Last {
			assert.Equal(t, ev.Kind, string(answer.KindDone), "%s", ev.Data)
			break
		}
	}
	assert.Assert(t, received > chunks*chunkBytes)
}
