package rpc

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmux"

	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

// testPeer answers Exchange so that a test can recognize the reply.
type testPeer struct {
	wire.DRPCPeerUnimplementedServer
}

func (testPeer) Exchange(_ context.Context, in *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	return &wire.ExchangeReply{Instance: "answering " + in.Instance, ConfigOffset: in.ConfigOffset + 1}, nil
}

// startServer starts a server with the secret and returns its address.
func startServer(t testing.TB, secret string) string {
	tlsConfig, err := TLSConfig([]byte(secret))
	assert.NilError(t, err)
	mux := drpcmux.New()
	assert.NilError(t, wire.DRPCRegisterPeer(mux, testPeer{}))
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = Serve(ctx, lis, tlsConfig, mux) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return lis.Addr().String()
}

// exchange makes one call to addr. It checks the reply and that the pool counts bytes.
func exchange(t testing.TB, tlsConfig *tls.Config, addr string) error {
	pool := NewPool(tlsConfig)
	defer func() { assert.NilError(t, pool.Close()) }()
	ctx := context.Background()
	reply, err := wire.NewDRPCPeerClient(pool.Conn(ctx, addr)).Exchange(ctx, &wire.ExchangeRequest{Instance: "a", ConfigOffset: 6})
	if err != nil {
		return err
	}
	assert.Equal(t, reply.Instance, "answering a")
	assert.Equal(t, reply.ConfigOffset, uint64(7))
	sent, received := pool.BytesTransferred()
	assert.Assert(t, sent > 0 && received > 0)
	return nil
}

func TestPeersMustShareTheSecret(t *testing.T) {
	const secret = "0123456789abcdef"
	addr := startServer(t, secret)
	sameSecret, err := TLSConfig([]byte(secret))
	assert.NilError(t, err)
	otherSecret, err := TLSConfig([]byte("fedcba9876543210"))
	assert.NilError(t, err)
	cases := []struct {
		name      string
		tlsConfig *tls.Config
		accepted  bool
	}{
		{"same secret", sameSecret, true},
		{"other secret", otherSecret, false},
		{"no certificate", &tls.Config{InsecureSkipVerify: true}, false},
		{"other secret, server not verified", &tls.Config{InsecureSkipVerify: true, Certificates: otherSecret.Certificates}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := exchange(t, c.tlsConfig, addr)
			assert.Equal(t, err == nil, c.accepted, "%v", err)
		})
	}
}

func TestShortSecretIsRejected(t *testing.T) {
	_, err := TLSConfig([]byte("short"))
	assert.ErrorContains(t, err, "at least 16")
}

func TestPoolRedialsAfterCloseIdle(t *testing.T) {
	const secret = "0123456789abcdef"
	tlsConfig, err := TLSConfig([]byte(secret))
	assert.NilError(t, err)
	addr := startServer(t, secret)
	pool := NewPool(tlsConfig)
	defer func() { assert.NilError(t, pool.Close()) }()
	ctx := context.Background()
	for range 3 {
		_, err := wire.NewDRPCPeerClient(pool.Conn(ctx, addr)).Exchange(ctx, &wire.ExchangeRequest{})
		assert.NilError(t, err)
		pool.CloseIdle(addr)
	}
}

func BenchmarkExchange(b *testing.B) {
	const secret = "0123456789abcdef"
	tlsConfig, err := TLSConfig([]byte(secret))
	assert.NilError(b, err)
	addr := startServer(b, secret)
	pool := NewPool(tlsConfig)
	defer func() { _ = pool.Close() }()
	ctx := context.Background()
	b.ReportAllocs()
	sentBefore, receivedBefore := pool.BytesTransferred()
	for b.Loop() {
		_, err := wire.NewDRPCPeerClient(pool.Conn(ctx, addr)).Exchange(ctx, &wire.ExchangeRequest{Instance: "entry-1", ConfigOffset: 7})
		if err != nil {
			b.Fatal(err)
		}
	}
	sent, received := pool.BytesTransferred()
	b.ReportMetric(float64(sent-sentBefore+received-receivedBefore)/float64(b.N), "wire-B/op")
}

func BenchmarkHandshake(b *testing.B) {
	const secret = "0123456789abcdef"
	tlsConfig, err := TLSConfig([]byte(secret))
	assert.NilError(b, err)
	addr := startServer(b, secret)
	b.ReportAllocs()
	for b.Loop() {
		conn, err := tls.Dial("tcp", addr, tlsConfig)
		if err != nil {
			b.Fatal(err)
		}
		_ = conn.Close()
	}
}

// TestClientWithoutHandshakeIsDisconnected checks that the server closes a connection on
// which the client never starts the TLS handshake.
func TestClientWithoutHandshakeIsDisconnected(t *testing.T) {
	addr := startServer(t, "0123456789abcdef")
	conn, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}
