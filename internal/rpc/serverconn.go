package rpc

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"
)

// Limits of the connections that a process serves.
const (
	// HandshakeTimeout bounds the TLS handshake of a connection that was accepted.
	HandshakeTimeout = 5 * time.Second
	// WriteTimeout bounds one write to a peer that does not read.
	WriteTimeout = 10 * time.Second
	// ServerIdleTimeout is how long a connection may bring nothing. It is over the
	// longest budget of a request, during which a peer only listens.
	ServerIdleTimeout = 11 * time.Minute
)

// serverListener accepts TLS connections with deadlines.
type serverListener struct {
	net.Listener
	conf *tls.Config
}

// Accept returns a connection whose handshake happens at its first use.
func (l *serverListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &serverConn{Conn: tls.Server(&deadlineConn{raw}, l.conf)}, nil
}

// serverConn bounds the handshake.
type serverConn struct {
	*tls.Conn
	once sync.Once
	err  error
}

func (c *serverConn) handshake() error {
	c.once.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), HandshakeTimeout)
		defer cancel()
		c.err = c.Conn.HandshakeContext(ctx)
	})
	return c.err
}

func (c *serverConn) Read(b []byte) (int, error) {
	if err := c.handshake(); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

func (c *serverConn) Write(b []byte) (int, error) {
	if err := c.handshake(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// deadlineConn sets a deadline before each read and write.
type deadlineConn struct{ net.Conn }

func (c *deadlineConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(ServerIdleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

func (c *deadlineConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
