package rpc

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/magnoliawheel/magnoliawheel/internal/inbound"
)

// Limits of the connections that a process accepts.
const (
	// HandshakeTimeout limits the TLS handshake of an accepted connection.
	HandshakeTimeout = 5 * time.Second
	// WriteTimeout limits each write, so that a peer that does not read cannot block it.
	WriteTimeout = 10 * time.Second
	// ServerIdleTimeout is how long a connection may receive nothing. It is longer than
	// the maximum time budget of a request, during which the peer only reads.
	ServerIdleTimeout = 11 * time.Minute
)

// serverListener accepts TLS connections that have handshake, read and write timeouts.
type serverListener struct {
	net.Listener
	tlsConfig *tls.Config
}

// Accept returns a connection that does its TLS handshake on the first read or write.
func (l *serverListener) Accept() (net.Conn, error) {
	rawConn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &serverConn{Conn: tls.Server(&deadlineConn{rawConn}, l.tlsConfig), raw: rawConn}, nil
}

// serverConn does the TLS handshake on first use, limited by HandshakeTimeout.
type serverConn struct {
	*tls.Conn
	raw           net.Conn
	handshakeOnce sync.Once
	handshakeErr  error
}

func (c *serverConn) handshake() error {
	c.handshakeOnce.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), HandshakeTimeout)
		defer cancel()
		if c.handshakeErr = c.Conn.HandshakeContext(ctx); c.handshakeErr == nil {
			inbound.Establish(c.raw)
		}
	})
	return c.handshakeErr
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
