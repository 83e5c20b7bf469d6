package confsync

import (
	"context"
	"math/rand/v2"
	"sync"
)

// maxInitialPeers is the number of peers that are queried for their state at startup.
const maxInitialPeers = 3

// Run synchronizes the configuration until ctx ends. It returns nil.
func (s *Sync) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){s.loadInitialState, s.readLoop, s.exchangeLoop, s.pushLoop, s.checkpointLoop} {
		loops.Go(func() { loop(ctx) })
	}
	loops.Wait()
	return nil
}

// loadInitialState gets the state from a peer, or from the log if no peer has one.
func (s *Sync) loadInitialState(ctx context.Context) {
	peers := s.opts.Peers()
	for _, i := range rand.Perm(len(peers))[:min(maxInitialPeers, len(peers))] {
		if _, err := s.exchangeWith(ctx, peers[i]); err == nil && s.Current().Offset > 0 {
			return
		}
	}
	if err := s.CatchUp(ctx, 0); err != nil && ctx.Err() == nil {
		s.log.Error(err, "Log unavailable at startup; waiting for peers or the log.")
	}
}
