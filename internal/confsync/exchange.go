package confsync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
	"github.com/magnoliawheel/magnoliawheel/internal/platform"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

const (
	// exchangeInterval is the mean time between two exchanges with a random peer.
	exchangeInterval = 3 * time.Second
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 2 * time.Second
	// fanout is the number of peers that are told of new records at once.
	fanout = 3
	// pushInterval is the least time between two rounds of telling peers.
	pushInterval = 100 * time.Millisecond
)

// Exchange implements wire.DRPCPeerServer.
func (s *Sync) Exchange(_ context.Context, req *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	s.fold(fromWire(req.Records))
	s.compare(req.Instance, req.ConfigOffset, req.ConfigDigest)
	if len(req.Records) == 0 && req.Address != "" {
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

// compare raises an alarm if a peer at the same offset has another content.
func (s *Sync) compare(peer string, offset, digest uint64) {
	snap := s.Current()
	if offset == snap.Offset && offset > 0 && digest != snap.Digest() {
		s.alarm("peer "+peer, offset, digest, snap.Digest())
	}
}

// call exchanges with one peer and takes in what it answers.
func (s *Sync) call(ctx context.Context, addr string, records []*wire.ConfigRecord) (*wire.ExchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	snap := s.Current()
	conn := s.opts.Pool.Conn(ctx, addr)
	defer func() { _ = conn.Close() }()
	reply, err := wire.NewDRPCPeerClient(conn).Exchange(ctx, &wire.ExchangeRequest{
		Instance: s.opts.Self, Incarnation: s.opts.Incarnation, Address: s.opts.Address,
		ConfigOffset: snap.Offset, ConfigDigest: snap.Digest(),
		WantState: snap.Offset == 0, Records: records,
	})
	if err != nil {
		return nil, errors.Wrapf(err, "exchange with %s", addr)
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

// exchangeLoop exchanges with a random peer now and then, and at once with a
// peer that is known to be ahead.
func (s *Sync) exchangeLoop(ctx context.Context) {
	timer := time.NewTimer(jitter(exchangeInterval))
	defer timer.Stop()
	for {
		var addr string
		select {
		case <-ctx.Done():
			return
		case addr = <-s.behind:
		case <-timer.C:
			timer.Reset(jitter(exchangeInterval))
			peers := s.opts.Peers()
			if len(peers) == 0 {
				continue
			}
			addr = peers[rand.IntN(len(peers))]
		}
		if _, err := s.call(ctx, addr, nil); err != nil {
			s.log.V(1).Info("Exchange failed.", "peer", addr, "error", err.Error())
		}
	}
}

// pushLoop tells a few random peers of new records.
func (s *Sync) pushLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.advanced:
		}
		peers := s.opts.Peers()
		for _, i := range rand.Perm(len(peers))[:min(fanout, len(peers))] {
			s.push(ctx, peers[i])
		}
		if !sleep(ctx, pushInterval) {
			return
		}
	}
}

// push tells a peer the offset in force and, if the peer is behind, sends it the
// records it misses.
func (s *Sync) push(ctx context.Context, addr string) {
	reply, err := s.call(ctx, addr, nil)
	if err != nil || reply.ConfigOffset >= s.Current().Offset {
		return
	}
	s.mu.Lock()
	records, ok := s.recent.after(reply.ConfigOffset)
	s.mu.Unlock()
	if ok && len(records) > 0 {
		_, _ = s.call(ctx, addr, records)
	}
}

func fromWire(list []*wire.ConfigRecord) []platform.Record {
	records := make([]platform.Record, len(list))
	for i, r := range list {
		records[i] = platform.Record{Offset: r.Offset, Data: r.Data}
	}
	return records
}

// OffsetOf asks the instance at an address for its offset in force.
func (s *Sync) OffsetOf(ctx context.Context, addr string) (uint64, error) {
	if addr == s.opts.Address {
		return s.Current().Offset, nil
	}
	reply, err := s.call(ctx, addr, nil)
	if err != nil {
		return 0, err
	}
	return reply.ConfigOffset, nil
}
