package confsync

import (
	"context"
	"math/rand/v2"
	"sync"
)

// startPeers is the number of peers asked for their state at the start.
const startPeers = 3

// Run keeps the configuration in step until ctx ends. It returns nil.
func (s *Sync) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){s.start, s.readLoop, s.exchangeLoop, s.pushLoop, s.checkpointLoop} {
		loops.Go(func() { loop(ctx) })
	}
	loops.Wait()
	return nil
}

// start takes the state of a peer, or else what the log holds.
func (s *Sync) start(ctx context.Context) {
	peers := s.opts.Peers()
	for _, i := range rand.Perm(len(peers))[:min(startPeers, len(peers))] {
		if _, err := s.meet(ctx, peers[i]); err == nil && s.Current().Offset > 0 {
			return
		}
	}
	if err := s.CatchUp(ctx, 0); err != nil && ctx.Err() == nil {
		s.log.Error(err, "Log unavailable at the start; peers are asked.")
	}
}
