// Package meter counts the bytes that measurements transfer over their connections.
package meter

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// Listener counts the bytes that its accepted connections send and receive.
type Listener struct {
	net.Listener
	Bytes *atomic.Uint64
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, bytes: l.Bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Uint64
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(uint64(n))
	return n, err
}

// Relay is a TCP relay that counts the bytes that it forwards in both directions.
type Relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns []net.Conn
	wg    sync.WaitGroup
}

// StartRelay starts a relay to the target on a free port of 127.0.0.1. It adds the
// transferred bytes to the counter.
func StartRelay(target string, bytes *atomic.Uint64) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: &Listener{Listener: listener, Bytes: bytes}, target: target}
	r.wg.Go(r.acceptConns)
	return r, nil
}

// Addr returns the listen address of the relay.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

func (r *Relay) acceptConns() {
	for {
		clientConn, err := r.listener.Accept()
		if err != nil {
			return
		}
		targetConn, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = clientConn.Close()
			continue
		}
		r.mu.Lock()
		r.conns = append(r.conns, clientConn, targetConn)
		r.mu.Unlock()
		r.wg.Go(func() { copyAndClose(targetConn, clientConn) })
		r.wg.Go(func() { copyAndClose(clientConn, targetConn) })
	}
}

// copyAndClose copies one direction and then closes both connections.
func copyAndClose(dst, src net.Conn) {
	_, _ = io.Copy(dst, src)
	_ = dst.Close()
	_ = src.Close()
}

// Close closes all connections and stops the relay.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}
