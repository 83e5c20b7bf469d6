//go:build review

package fleet

import (
	"io"
	"net"
	"sync"
)

// relay passes connections on to an address. While it is cut, it resets all connections.
type relay struct {
	target string
	lis    net.Listener

	mu    sync.Mutex
	isCut bool
	open  map[net.Conn]bool
}

func startRelay(target string) *relay {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("relay: %v", err)
	}
	r := &relay{target: target, lis: lis, open: map[net.Conn]bool{}}
	go r.acceptAll()
	return r
}

func (r *relay) address() string { return r.lis.Addr().String() }

func (r *relay) acceptAll() {
	for {
		c, err := r.lis.Accept()
		if err != nil {
			return
		}
		go r.pass(c)
	}
}

// pass relays a connection until one of its ends closes, or the relay is cut.
func (r *relay) pass(c net.Conn) {
	if !r.add(c) {
		return
	}
	defer r.remove(c)
	out, err := net.Dial("tcp", r.target)
	if err != nil || !r.add(out) {
		return
	}
	defer r.remove(out)
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{c, out}, {out, c}} {
		go func() {
			_, _ = io.Copy(pair[0], pair[1])
			done <- struct{}{}
		}()
	}
	<-done
}

// add adds a connection. While the relay is cut, it resets it and returns false.
func (r *relay) add(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isCut {
		reset(c)
		return false
	}
	r.open[c] = true
	return true
}

func (r *relay) remove(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, c)
	_ = c.Close()
}

// setCut begins or ends the cut, and resets all connections.
func (r *relay) setCut(isCut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isCut = isCut
	for c := range r.open {
		reset(c)
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
