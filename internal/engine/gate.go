package engine

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// gate is passed once, immediately before the first byte of a call is sent.
type gate struct {
	begin func() result.Code

	mu     sync.Mutex
	called bool
	code   result.Code
}

type gateKey struct{}

func withGate(ctx context.Context, g *gate) context.Context {
	return context.WithValue(ctx, gateKey{}, g)
}

var errGateShut = errors.New("engine: the call must not begin")

func (g *gate) pass() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.called {
		g.called = true
		if g.begin != nil {
			g.code = g.begin()
		}
	}
	if g.code != result.OK {
		return errGateShut
	}
	return nil
}

// passed tells whether bytes may have been sent; code is not OK if the gate was shut.
func (g *gate) passed() (sent bool, code result.Code) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.called && g.code == result.OK, g.code
}

// gatedConn passes the gate before its first write.
type gatedConn struct {
	net.Conn
	gate *gate
}

func (c *gatedConn) Write(b []byte) (int, error) {
	if err := c.gate.pass(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: DialTimeout}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if g, ok := ctx.Value(gateKey{}).(*gate); ok {
		return &gatedConn{conn, g}, nil
	}
	return conn, nil
}
