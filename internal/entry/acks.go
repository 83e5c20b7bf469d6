package entry

import (
	"context"
	"sync"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/pipeline"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

// ackInterval is the time over which acknowledgements to an agent are batched.
const ackInterval = 100 * time.Millisecond

// acker sends acknowledgements in one batch per agent. A lost batch only makes the
// agent hold the results in memory until they expire.
type acker struct {
	p *Process

	mu      sync.Mutex
	pending map[ackTarget][]*wire.AttemptID
}

// ackTarget is the incarnation of an agent that receives acknowledgements.
type ackTarget struct {
	addr        string
	incarnation uint64
}

func newAcker(p *Process) *acker {
	return &acker{p: p, pending: map[ackTarget][]*wire.AttemptID{}}
}

func (r *request) ack(a pipeline.Ack) {
	s := r.streams[a.Attempt]
	if s == nil {
		return
	}
	r.p.acks.add(ackTarget{addr: a.Server.Addr, incarnation: s.incarnation.Load()}, s.attemptID())
}

func (k *acker) add(t ackTarget, id *wire.AttemptID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pending[t] = append(k.pending[t], id)
}

func (k *acker) run(ctx context.Context) {
	tick := time.NewTicker(ackInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			k.flush(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// flush sends the pending acknowledgements and waits for the replies.
func (k *acker) flush(ctx context.Context) {
	k.mu.Lock()
	pending := k.pending
	k.pending = map[ackTarget][]*wire.AttemptID{}
	k.mu.Unlock()
	var wg sync.WaitGroup
	for t, ids := range pending {
		wg.Go(func() { k.send(ctx, t, ids) })
	}
	wg.Wait()
}

func (k *acker) send(ctx context.Context, t ackTarget, ids []*wire.AttemptID) {
	ctx, cancel := context.WithTimeout(ctx, rpc.SilenceTimeout)
	defer cancel()
	client := wire.NewDRPCAgentClient(k.p.pool.Conn(ctx, t.addr))
	if _, err := client.Ack(ctx, &wire.AckRequest{Attempts: ids, Incarnation: t.incarnation}); err != nil {
		k.p.log.V(1).Info("Sending acknowledgements failed.", "agent", t.addr, "error", err.Error())
	}
}
