package engine

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// sendGate decides, immediately before the first byte of a call is sent, whether the
// call may be sent. The decision is made once for all connections of the call.
type sendGate struct {
	beforeSend func() result.Code

	mu     sync.Mutex
	called bool
	code   result.Code
}

type sendGateKey struct{}

func withSendGate(ctx context.Context, g *sendGate) context.Context {
	return context.WithValue(ctx, sendGateKey{}, g)
}

var errSendNotAllowed = errors.New("engine: the call must not be sent")

// allow calls beforeSend on first use and returns an error if nothing may be sent.
func (g *sendGate) allow() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.called {
		g.called = true
		if g.beforeSend != nil {
			g.code = g.beforeSend()
		}
	}
	if g.code != result.OK {
		return errSendNotAllowed
	}
	return nil
}

// status reports whether bytes may have been sent; code is not OK if sending was not
// allowed.
func (g *sendGate) status() (sent bool, code result.Code) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.called && g.code == result.OK, g.code
}

// gatedConn writes only if its gate allows the call to be sent.
type gatedConn struct {
	net.Conn
	gate *sendGate
}

func (c *gatedConn) Write(b []byte) (int, error) {
	if err := c.gate.allow(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// dialGated opens a connection that uses the sendGate in ctx, if there is one.
func dialGated(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: DialTimeout}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if g, ok := ctx.Value(sendGateKey{}).(*sendGate); ok {
		return &gatedConn{conn, g}, nil
	}
	return conn, nil
}
