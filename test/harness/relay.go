package harness

import (
	"net"
	"sync"
)

const relayBufferBytes = 32 << 10

// Relay is a TCP relay in front of an address. Its open connections can go silent
// for good while new ones work.
type Relay struct {
	target string
	lis    net.Listener
	wg     sync.WaitGroup

	mu    sync.Mutex
	pairs map[*pair]struct{}
	// accepted counts the connections so far.
	accepted int
}

// pair is one relayed connection.
type pair struct {
	near, far net.Conn
	mu        sync.Mutex
	silent    bool
}

// StartRelay listens on a free port and relays to target.
func StartRelay(target string) (*Relay, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, lis: lis, pairs: map[*pair]struct{}{}}
	r.wg.Add(1)
	go r.accept()
	return r, nil
}

// Addr returns the address of the relay.
func (r *Relay) Addr() string { return r.lis.Addr().String() }

// Silence makes the connections that are open silent: both ends stay connected and
// nothing passes, the end of a connection included. It returns their number.
func (r *Relay) Silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for p := range r.pairs {
		p.mu.Lock()
		p.silent = true
		p.mu.Unlock()
		n++
	}
	return n
}

// Accepted returns the number of connections so far.
func (r *Relay) Accepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

// Close cuts all connections and stops.
func (r *Relay) Close() {
	_ = r.lis.Close()
	r.mu.Lock()
	for p := range r.pairs {
		_ = p.near.Close()
		_ = p.far.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

func (r *Relay) accept() {
	defer r.wg.Done()
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
		p := &pair{near: near, far: far}
		r.mu.Lock()
		r.pairs[p] = struct{}{}
		r.accepted++
		r.mu.Unlock()
		var both sync.WaitGroup
		both.Add(2)
		r.wg.Add(1)
		go p.copy(near, far, &both)
		go p.copy(far, near, &both)
		go func() {
			defer r.wg.Done()
			both.Wait()
			_ = near.Close()
			_ = far.Close()
			r.mu.Lock()
			delete(r.pairs, p)
			r.mu.Unlock()
		}()
	}
}

// copy passes bytes on until either end is closed.
func (p *pair) copy(to, from net.Conn, both *sync.WaitGroup) {
	defer both.Done()
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		silent := p.silent
		p.mu.Unlock()
		if silent && err == nil {
			continue
		}
		if err != nil {
			if !silent {
				_ = to.Close()
			}
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			_ = from.Close()
			return
		}
	}
}
