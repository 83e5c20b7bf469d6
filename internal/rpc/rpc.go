// Package rpc connects entries and agents with each other: drpc over mutual TLS, based
// on a shared secret. A connection carries one stream at a time, so connections are
// pooled per address.
package rpc

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

// Limits of connections between entries and agents.
const (
	// MaxMessageBytes is the maximum size of one message.
	MaxMessageBytes = 20 << 20
	// DialTimeout limits the time to connect, including the TLS handshake.
	DialTimeout = 2 * time.Second
	// IdleTimeout is how long an idle connection is kept in the pool.
	IdleTimeout = 30 * time.Second
	// MaxIdlePerAddress is the maximum number of idle connections per address.
	MaxIdlePerAddress = 8
	// HeartbeatInterval is the time between heartbeats on an open stream.
	HeartbeatInterval = 250 * time.Millisecond
	// SilenceTimeout is how long a stream may receive nothing before its connection is
	// considered lost: three heartbeat intervals.
	SilenceTimeout = 3 * HeartbeatInterval
)

// ErrNotConnected marks the errors of calls that could not connect, so that no part of
// the call was sent.
var ErrNotConnected = errors.New("rpc: not connected")

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes}}
}

// Serve accepts connections and serves their calls until ctx ends, and then returns nil.
func Serve(ctx context.Context, lis net.Listener, tlsConfig *tls.Config, handler drpc.Handler) error {
	srv := drpcserver.NewWithOptions(handler, drpcserver.Options{Manager: managerOptions()})
	err := srv.Serve(ctx, &serverListener{lis, tlsConfig})
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Pool pools connections to other processes by address. Cancelling the context of a
// stream closes the connection that carries it.
type Pool struct {
	tlsConfig *tls.Config

	sentBytes, receivedBytes atomic.Uint64

	mu          sync.Mutex
	poolsByAddr map[string]*drpcpool.Pool[string, drpcpool.Conn]
}

// NewPool returns an empty pool.
func NewPool(tlsConfig *tls.Config) *Pool {
	return &Pool{tlsConfig: tlsConfig, poolsByAddr: map[string]*drpcpool.Pool[string, drpcpool.Conn]{}}
}

// Conn returns a connection for RPCs to addr. It takes an idle connection from the pool
// or dials when the first call is made.
func (p *Pool) Conn(ctx context.Context, addr string) drpc.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.poolsByAddr[addr]
	if pool == nil {
		pool = drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration: IdleTimeout, Capacity: MaxIdlePerAddress, KeyCapacity: MaxIdlePerAddress,
		})
		p.poolsByAddr[addr] = pool
	}
	return pool.Get(ctx, addr, p.dial)
}

// CloseIdle closes the idle connections to addr. It is called when the address stopped
// responding or its process was replaced.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	pool := p.poolsByAddr[addr]
	delete(p.poolsByAddr, addr)
	p.mu.Unlock()
	if pool != nil {
		_ = pool.Close()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() error {
	p.mu.Lock()
	pools := p.poolsByAddr
	p.poolsByAddr = map[string]*drpcpool.Pool[string, drpcpool.Conn]{}
	p.mu.Unlock()
	var combinedErr error
	for _, pool := range pools {
		combinedErr = errors.CombineErrors(combinedErr, pool.Close())
	}
	return combinedErr
}

// BytesTransferred returns the bytes sent and received over all connections of the pool,
// including the overhead of TLS.
func (p *Pool) BytesTransferred() (sent, received uint64) {
	return p.sentBytes.Load(), p.receivedBytes.Load()
}

func (p *Pool) dial(ctx context.Context, addr string) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	rawConn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "dial %s", addr), ErrNotConnected)
	}
	conn := tls.Client(&countingConn{Conn: rawConn, pool: p}, p.tlsConfig)
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = rawConn.Close()
		return nil, errors.Mark(errors.Wrapf(err, "handshake with %s", addr), ErrNotConnected)
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

// countingConn adds the bytes read and written to the counters of its pool.
type countingConn struct {
	net.Conn
	pool *Pool
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.pool.receivedBytes.Add(uint64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.pool.sentBytes.Add(uint64(n))
	return n, err
}
