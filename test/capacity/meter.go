package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// meter is a TCP relay that counts the bytes in both directions.
type meter struct {
	lis    net.Listener
	target string
	bytes  *atomic.Uint64

	mu    sync.Mutex
	conns []net.Conn
	wg    sync.WaitGroup
}

func startMeter(target string, bytes *atomic.Uint64) (*meter, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &meter{lis: lis, target: target, bytes: bytes}
	m.wg.Go(m.accept)
	return m, nil
}

func (m *meter) addr() string { return m.lis.Addr().String() }

func (m *meter) accept() {
	for {
		near, err := m.lis.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", m.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		m.mu.Lock()
		m.conns = append(m.conns, near, far)
		m.mu.Unlock()
		counted := &countingConn{Conn: near, bytes: m.bytes}
		m.wg.Go(func() { pipe(far, counted) })
		m.wg.Go(func() { pipe(counted, far) })
	}
}

func pipe(dst, src net.Conn) {
	_, _ = io.Copy(dst, src)
	_ = dst.Close()
	_ = src.Close()
}

func (m *meter) close() {
	_ = m.lis.Close()
	m.mu.Lock()
	for _, c := range m.conns {
		_ = c.Close()
	}
	m.mu.Unlock()
	m.wg.Wait()
}
