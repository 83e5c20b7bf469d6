// Package rpc connects the project's own processes: drpc over mutual TLS with a
// shared secret. A connection carries one stream at a time, so connections are
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

// Limits of connections between own processes.
const (
	// MaxMessageBytes bounds one message.
	MaxMessageBytes = 20 << 20
	// DialTimeout bounds connecting, with the TLS handshake.
	DialTimeout = 2 * time.Second
	// IdleExpiration is how long an unused connection is kept.
	IdleExpiration = 30 * time.Second
	// IdlePerAddress bounds the unused connections kept per address.
	IdlePerAddress = 8
	// HeartbeatInterval is the time between heartbeats on an open stream.
	HeartbeatInterval = 250 * time.Millisecond
	// SilenceTimeout is how long a stream may be silent before its connection is
	// presumed lost: three heartbeats.
	SilenceTimeout = 3 * HeartbeatInterval
)

// ErrNotConnected marks errors of calls for which no connection could be made,
// so that nothing was sent.
var ErrNotConnected = errors.New("rpc: not connected")

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes}}
}

// Serve accepts connections until ctx ends. It returns nil after ctx ended.
func Serve(ctx context.Context, lis net.Listener, conf *tls.Config, handler drpc.Handler) error {
	srv := drpcserver.NewWithOptions(handler, drpcserver.Options{Manager: managerOptions()})
	err := srv.Serve(ctx, &serverListener{lis, conf})
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Pool keeps connections to other processes, by address. Cancelling the context
// of a stream closes the connection that carries it.
type Pool struct {
	conf *tls.Config

	sent, received atomic.Uint64

	mu     sync.Mutex
	byAddr map[string]*drpcpool.Pool[string, drpcpool.Conn]
}

// NewPool returns an empty pool.
func NewPool(conf *tls.Config) *Pool {
	return &Pool{conf: conf, byAddr: map[string]*drpcpool.Pool[string, drpcpool.Conn]{}}
}

// Conn returns a connection for RPCs to addr. It dials on the first use.
func (p *Pool) Conn(ctx context.Context, addr string) drpc.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.byAddr[addr]
	if pool == nil {
		pool = drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration: IdleExpiration, Capacity: IdlePerAddress, KeyCapacity: IdlePerAddress,
		})
		p.byAddr[addr] = pool
	}
	return pool.Get(ctx, addr, p.dial)
}

// Forget closes the unused connections to addr, for use when the address was
// silent or its process was replaced.
func (p *Pool) Forget(addr string) {
	p.mu.Lock()
	pool := p.byAddr[addr]
	delete(p.byAddr, addr)
	p.mu.Unlock()
	if pool != nil {
		_ = pool.Close()
	}
}

// Close closes all unused connections.
func (p *Pool) Close() error {
	p.mu.Lock()
	pools := p.byAddr
	p.byAddr = map[string]*drpcpool.Pool[string, drpcpool.Conn]{}
	p.mu.Unlock()
	var all error
	for _, pool := range pools {
		all = errors.CombineErrors(all, pool.Close())
	}
	return all
}

// Bytes returns the bytes sent and received over all connections of the pool,
// including TLS.
func (p *Pool) Bytes() (sent, received uint64) { return p.sent.Load(), p.received.Load() }

func (p *Pool) dial(ctx context.Context, addr string) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "dial %s", addr), ErrNotConnected)
	}
	conn := tls.Client(&countingConn{Conn: raw, pool: p}, p.conf)
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, errors.Mark(errors.Wrapf(err, "handshake with %s", addr), ErrNotConnected)
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

type countingConn struct {
	net.Conn
	pool *Pool
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.pool.received.Add(uint64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.pool.sent.Add(uint64(n))
	return n, err
}
