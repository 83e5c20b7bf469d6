package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"storj.io/drpc/drpcmux"

	"github.com/magnoliawheel/magnoliawheel/internal/rpc"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
	"github.com/magnoliawheel/magnoliawheel/test/meter"
)

// modelsVersion is the version of the list of models that all members have.
const modelsVersion = 1 << 40

// fleet stands in for all other processes of a deployment: each answers probes
// and exchanges on its own address, and all bytes are counted.
type fleet struct {
	conf   *tls.Config
	models []string

	bytes     atomic.Uint64
	probes    atomic.Uint64
	exchanges atomic.Uint64
	offset    atomic.Uint64

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
}

func newFleet(secret []byte, models []string) (*fleet, error) {
	conf, err := rpc.TLSConfig(secret)
	if err != nil {
		return nil, err
	}
	f := &fleet{conf: conf, models: models}
	f.ctx, f.stop = context.WithCancel(context.Background())
	return f, nil
}

// start adds one process and returns its address.
func (f *fleet) start(id string, incarnation uint64) (addr string, err error) {
	m := &member{fleet: f, id: id, incarnation: incarnation}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterAgent(mux, m); err != nil {
		return "", err
	}
	if err := wire.DRPCRegisterPeer(mux, m); err != nil {
		return "", err
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("member %s: %w", id, err)
	}
	f.wg.Go(func() { _ = rpc.Serve(f.ctx, &meter.Listener{Listener: lis, Bytes: &f.bytes}, f.conf, mux) })
	return lis.Addr().String(), nil
}

func (f *fleet) close() {
	f.stop()
	f.wg.Wait()
}

// member is one process of the fleet.
type member struct {
	wire.DRPCAgentUnimplementedServer
	fleet       *fleet
	id          string
	incarnation uint64
}

// Probe answers with an idle load.
func (m *member) Probe(_ context.Context, in *wire.ProbeRequest) (*wire.ProbeReply, error) {
	m.fleet.probes.Add(1)
	load := &wire.Load{
		Instance: m.id, Incarnation: m.incarnation, Limit: 16, ServiceUs: 200_000,
		ConfigOffset: m.fleet.offset.Load(), ModelsVersion: modelsVersion,
	}
	if in.ModelsVersion != modelsVersion {
		load.Models = m.fleet.models
	}
	return &wire.ProbeReply{Load: load}, nil
}

// Exchange answers that this process has the offset of the asker, and no records.
func (m *member) Exchange(_ context.Context, in *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	m.fleet.exchanges.Add(1)
	m.fleet.offset.Store(max(m.fleet.offset.Load(), in.ConfigOffset))
	return &wire.ExchangeReply{Instance: m.id, Incarnation: m.incarnation, ConfigOffset: in.ConfigOffset}, nil
}
