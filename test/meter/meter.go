// Package meter counts the bytes of connections, for measurements.
package meter

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// Listener counts the bytes, in both directions, of the connections it accepts.
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

// Relay is a TCP relay that counts the bytes in both directions.
type Relay struct {
	lis    net.Listener
	target string

	mu    sync.Mutex
	conns []net.Conn
	wg    sync.WaitGroup
}

// StartRelay listens on a free port of the loopback address.
func StartRelay(target string, bytes *atomic.Uint64) (*Relay, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{lis: &Listener{Listener: lis, Bytes: bytes}, target: target}
	r.wg.Go(r.accept)
	return r, nil
}

// Addr returns the address of the relay.
func (r *Relay) Addr() string { return r.lis.Addr().String() }

func (r *Relay) accept() {
	for {
		near, err := r.lis.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		r.mu.Lock()
		r.conns = append(r.conns, near, far)
		r.mu.Unlock()
		r.wg.Go(func() { pipe(far, near) })
		r.wg.Go(func() { pipe(near, far) })
	}
}

func pipe(dst, src net.Conn) {
	_, _ = io.Copy(dst, src)
	_ = dst.Close()
	_ = src.Close()
}

// Close cuts all connections and stops.
func (r *Relay) Close() {
	_ = r.lis.Close()
	r.mu.Lock()
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}
