package confsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
	"github.com/magnoliawheel/magnoliawheel/internal/platform"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

const (
	// exchangeInterval is the mean time between two exchanges while a schema is in force.
	exchangeInterval = 2 * time.Second
	// initialExchangeInterval is the same before a schema is in force.
	initialExchangeInterval = 300 * time.Millisecond
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 2 * time.Second
	// minPushInterval is the minimum time between two rounds of pushing to neighbors.
	minPushInterval = 100 * time.Millisecond
)

// Exchange implements wire.DRPCPeerServer.
func (s *Sync) Exchange(_ context.Context, req *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	s.applyRecords(recordsFromWire(req.Records))
	s.compareDigest(req.Instance, req.ConfigOffset, req.ConfigDigest)
	if req.Address != "" {
		s.ObserveOffset(req.Address, req.ConfigOffset)
	}
	return s.newReply(req)
}

// newReply returns the records that the requester lacks, or the whole state if some of
// those records are no longer in memory or the requester requested the state.
func (s *Sync) newReply(req *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	s.mu.Lock()
	snap := s.current.Load()
	records, ok := s.recent.after(req.ConfigOffset)
	s.mu.Unlock()
	reply := &wire.ExchangeReply{
		Instance: s.opts.InstanceID, Incarnation: s.opts.Incarnation,
		ConfigOffset: snap.Offset, ConfigDigest: snap.Digest(),
	}
	if req.ConfigOffset >= snap.Offset {
		return reply, nil
	}
	if ok && !req.WantState {
		reply.Records = records
		return reply, nil
	}
	state, err := snap.EncodeCheckpoint()
	if err != nil {
		return nil, errors.Wrap(err, "encode checkpoint")
	}
	reply.State, reply.StateOffset = state, snap.Offset
	return reply, nil
}

// compareDigest reports a mismatch if a peer has another digest at an offset that is
// known here.
func (s *Sync) compareDigest(peer string, offset, digest uint64) {
	s.mu.Lock()
	ownDigest, ok := s.digests.at(offset)
	s.mu.Unlock()
	if ok && digest != ownDigest {
		s.reportMismatch("peer "+peer, offset, digest, ownDigest)
	}
}

// exchangeWith synchronizes with one peer. The side with the lower offset receives the
// missing records, or the state. If the peer must get the state, it receives the address
// from which to request it. It returns the configuration
// offset of the peer.
func (s *Sync) exchangeWith(ctx context.Context, addr string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	conn := s.opts.Pool.Conn(ctx, addr)
	defer func() { _ = conn.Close() }()
	peer := wire.NewDRPCPeerClient(conn)
	reply, err := s.sendExchange(ctx, peer, &wire.ExchangeRequest{})
	if err != nil || reply.ConfigOffset >= s.Current().Offset {
		return reply.GetConfigOffset(), errors.Wrapf(err, "exchange with %s", addr)
	}
	s.mu.Lock()
	records, ok := s.recent.after(reply.ConfigOffset)
	s.mu.Unlock()
	offer := &wire.ExchangeRequest{Records: records}
	if !ok {
		offer.Address = s.opts.Address
	}
	reply, err = s.sendExchange(ctx, peer, offer)
	return reply.GetConfigOffset(), errors.Wrapf(err, "exchange with %s", addr)
}

// sendExchange sends one request and applies the reply.
func (s *Sync) sendExchange(ctx context.Context, peer wire.DRPCPeerClient, req *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	snap := s.Current()
	req.Instance, req.Incarnation = s.opts.InstanceID, s.opts.Incarnation
	req.ConfigOffset, req.ConfigDigest = snap.Offset, snap.Digest()
	req.WantState = snap.Offset == 0
	reply, err := peer.Exchange(ctx, req)
	if err != nil {
		return nil, err
	}
	s.applyRecords(recordsFromWire(reply.Records))
	if len(reply.State) > 0 {
		s.installState(reply)
	}
	s.compareDigest(reply.Instance, reply.ConfigOffset, reply.ConfigDigest)
	return reply, nil
}

// installState installs the state in a reply.
func (s *Sync) installState(reply *wire.ExchangeReply) {
	snap, err := configlog.DecodeCheckpoint(reply.State)
	if err != nil {
		s.log.Error(err, "Invalid state from a peer.", "peer", reply.Instance)
		return
	}
	s.installSnapshot(snap)
}

// exchangeLoop synchronizes with the neighbors in turn, and immediately with a peer
// that is known to have a higher offset.
func (s *Sync) exchangeLoop(ctx context.Context) {
	timer := time.NewTimer(jitter(s.currentInterval()))
	defer timer.Stop()
	for {
		var addr string
		select {
		case <-ctx.Done():
			return
		case addr = <-s.peerAhead:
		case <-timer.C:
			timer.Reset(jitter(s.currentInterval()))
			addr = s.neighbors.next(s.opts.Peers())
		}
		if addr == "" {
			continue
		}
		if _, err := s.exchangeWith(ctx, addr); err != nil && ctx.Err() == nil {
			s.neighbors.remove(addr)
			s.log.V(1).Info("Exchange with a peer failed.", "peer", addr, "error", err.Error())
		}
	}
}

// currentInterval returns the mean time to the next exchange.
func (s *Sync) currentInterval() time.Duration {
	if s.Current().Schema == nil {
		return initialExchangeInterval
	}
	return exchangeInterval
}

// pushLoop sends new records to the neighbors. A neighbor that does not respond delays
// neither the others nor later records.
func (s *Sync) pushLoop(ctx context.Context) {
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.recordsApplied:
		}
		for _, addr := range s.neighbors.all(s.opts.Peers()) {
			exchanges.Go(func() {
				if _, err := s.exchangeWith(ctx, addr); err != nil {
					s.neighbors.remove(addr)
				}
			})
		}
		if !clock.Sleep(ctx, minPushInterval) {
			return
		}
	}
}

// OffsetOf returns the configuration offset of the instance at an address.
func (s *Sync) OffsetOf(ctx context.Context, addr string) (uint64, error) {
	if addr == s.opts.Address {
		return s.Current().Offset, nil
	}
	return s.exchangeWith(ctx, addr)
}

func recordsFromWire(list []*wire.ConfigRecord) []platform.Record {
	records := make([]platform.Record, len(list))
	for i, r := range list {
		records[i] = platform.Record{Offset: r.Offset, Data: r.Data}
	}
	return records
}

// jitter returns a random duration from d/2 to 3d/2.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
