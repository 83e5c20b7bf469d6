package confsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
	"github.com/magnoliawheel/magnoliawheel/internal/platform"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

const (
	// exchangeInterval is the mean time between two exchanges with a neighbor.
	exchangeInterval = 2 * time.Second
	// firstInterval is the same while no schema is in force.
	firstInterval = 300 * time.Millisecond
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 2 * time.Second
	// pushInterval is the least time between two rounds of telling neighbors.
	pushInterval = 100 * time.Millisecond
)

// Exchange implements wire.DRPCPeerServer.
func (s *Sync) Exchange(_ context.Context, req *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	s.fold(fromWire(req.Records))
	s.compare(req.Instance, req.ConfigOffset, req.ConfigDigest)
	if req.Address != "" {
		s.Learn(req.Address, req.ConfigOffset)
	}
	return s.reply(req)
}

func (s *Sync) reply(req *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	s.mu.Lock()
	snap := s.current.Load()
	records, ok := s.recent.after(req.ConfigOffset)
	s.mu.Unlock()
	reply := &wire.ExchangeReply{
		Instance: s.opts.Self, Incarnation: s.opts.Incarnation,
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
		return nil, errors.Wrap(err, "encode state")
	}
	reply.State, reply.StateOffset = state, snap.Offset
	return reply, nil
}

// compare raises an alarm if a peer has another content at an offset that was
// folded here.
func (s *Sync) compare(peer string, offset, digest uint64) {
	s.mu.Lock()
	own, ok := s.digests.at(offset)
	s.mu.Unlock()
	if ok && digest != own {
		s.alarm("peer "+peer, offset, digest, own)
	}
}

// meet exchanges with one peer until the one that was behind has what the other
// has, or was told where to get it. It returns the offset in force at the peer.
func (s *Sync) meet(ctx context.Context, addr string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	conn := s.opts.Pool.Conn(ctx, addr)
	defer func() { _ = conn.Close() }()
	peer := wire.NewDRPCPeerClient(conn)
	reply, err := s.call(ctx, peer, &wire.ExchangeRequest{})
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
	reply, err = s.call(ctx, peer, offer)
	return reply.GetConfigOffset(), errors.Wrapf(err, "exchange with %s", addr)
}

// call sends one request and takes in what the peer answers.
func (s *Sync) call(ctx context.Context, peer wire.DRPCPeerClient, req *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	snap := s.Current()
	req.Instance, req.Incarnation = s.opts.Self, s.opts.Incarnation
	req.ConfigOffset, req.ConfigDigest = snap.Offset, snap.Digest()
	req.WantState = snap.Offset == 0
	reply, err := peer.Exchange(ctx, req)
	if err != nil {
		return nil, err
	}
	s.fold(fromWire(reply.Records))
	if len(reply.State) > 0 {
		s.takeState(reply)
	}
	s.compare(reply.Instance, reply.ConfigOffset, reply.ConfigDigest)
	return reply, nil
}

func (s *Sync) takeState(reply *wire.ExchangeReply) {
	snap, err := configlog.DecodeCheckpoint(reply.State)
	if err != nil {
		s.log.Error(err, "State of a peer unusable.", "peer", reply.Instance)
		return
	}
	s.install(snap)
}

// exchangeLoop exchanges with the neighbors in turn, and at once with a peer
// that is known to be ahead.
func (s *Sync) exchangeLoop(ctx context.Context) {
	timer := time.NewTimer(jitter(s.interval()))
	defer timer.Stop()
	for {
		var addr string
		select {
		case <-ctx.Done():
			return
		case addr = <-s.behind:
		case <-timer.C:
			timer.Reset(jitter(s.interval()))
			addr = s.neighbors.next(s.opts.Peers())
		}
		if addr == "" {
			continue
		}
		if _, err := s.meet(ctx, addr); err != nil && ctx.Err() == nil {
			s.neighbors.drop(addr)
			s.log.V(1).Info("Exchange failed.", "peer", addr, "error", err.Error())
		}
	}
}

func (s *Sync) interval() time.Duration {
	if s.Current().Schema == nil {
		return firstInterval
	}
	return exchangeInterval
}

// pushLoop tells the neighbors of new records. A neighbor that does not answer
// does not hold up the others or the next records.
func (s *Sync) pushLoop(ctx context.Context) {
	var meetings sync.WaitGroup
	defer meetings.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.advanced:
		}
		for _, addr := range s.neighbors.all(s.opts.Peers()) {
			meetings.Go(func() {
				if _, err := s.meet(ctx, addr); err != nil {
					s.neighbors.drop(addr)
				}
			})
		}
		if !sleep(ctx, pushInterval) {
			return
		}
	}
}

// OffsetOf asks the instance at an address for its offset in force.
func (s *Sync) OffsetOf(ctx context.Context, addr string) (uint64, error) {
	if addr == s.opts.Address {
		return s.Current().Offset, nil
	}
	return s.meet(ctx, addr)
}

func fromWire(list []*wire.ConfigRecord) []platform.Record {
	records := make([]platform.Record, len(list))
	for i, r := range list {
		records[i] = platform.Record{Offset: r.Offset, Data: r.Data}
	}
	return records
}

// jitter returns a duration between half of d and one and a half times d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
