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

// modelsVersion is the version of the model list on every simulated peer.
const modelsVersion = 1 << 40

// fleet simulates all other processes of a deployment. Each peer serves probes and
// exchanges on its own address. The fleet counts the bytes of all connections.
type fleet struct {
	tlsConfig *tls.Config
	models    []string

	bytes        atomic.Uint64
	probes       atomic.Uint64
	exchanges    atomic.Uint64
	configOffset atomic.Uint64

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// newFleet returns a fleet without peers. All peers serve the models.
func newFleet(secret []byte, models []string) (*fleet, error) {
	tlsConfig, err := rpc.TLSConfig(secret)
	if err != nil {
		return nil, err
	}
	f := &fleet{tlsConfig: tlsConfig, models: models}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	return f, nil
}

// startPeer starts one peer and returns its address.
func (f *fleet) startPeer(id string, incarnation uint64) (addr string, err error) {
	p := &peer{fleet: f, id: id, incarnation: incarnation}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterAgent(mux, p); err != nil {
		return "", err
	}
	if err := wire.DRPCRegisterPeer(mux, p); err != nil {
		return "", err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("start peer %s: %w", id, err)
	}
	f.wg.Go(func() { _ = rpc.Serve(f.ctx, &meter.Listener{Listener: listener, Bytes: &f.bytes}, f.tlsConfig, mux) })
	return listener.Addr().String(), nil
}

// close stops all peers.
func (f *fleet) close() {
	f.cancel()
	f.wg.Wait()
}

// peer is one simulated process of the fleet.
type peer struct {
	wire.DRPCAgentUnimplementedServer
	fleet       *fleet
	id          string
	incarnation uint64
}

// Probe reports an idle instance.
func (p *peer) Probe(_ context.Context, in *wire.ProbeRequest) (*wire.ProbeReply, error) {
	p.fleet.probes.Add(1)
	load := &wire.Load{
		Instance: p.id, Incarnation: p.incarnation, Limit: 16, ServiceUs: 200_000,
		ConfigOffset: p.fleet.configOffset.Load(), ModelsVersion: modelsVersion,
	}
	if in.ModelsVersion != modelsVersion {
		load.Models = p.fleet.models
	}
	return &wire.ProbeReply{Load: load}, nil
}

// Exchange reports the same configuration offset as the caller, and sends no records.
func (p *peer) Exchange(_ context.Context, in *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	p.fleet.exchanges.Add(1)
	p.fleet.configOffset.Store(max(p.fleet.configOffset.Load(), in.ConfigOffset))
	return &wire.ExchangeReply{Instance: p.id, Incarnation: p.incarnation, ConfigOffset: in.ConfigOffset}, nil
}
