package harness

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const relayBufferBytes = 32 << 10

// Way is a direction through a relay.
type Way int

// The ways through a relay: Up goes from the end that connected, Down back to it.
const (
	Up Way = iota
	Down
	ways
)

// Relay is a TCP relay in front of an address. Its connections can be delayed, reset
// and made silent for good, all that are open or those that carry something meanwhile.
type Relay struct {
	target string
	lis    net.Listener
	wg     sync.WaitGroup
	delay  atomic.Int64
	// silent silences a connection in a direction with the next bytes or its end.
	silent [ways]atomic.Bool

	mu    sync.Mutex
	pairs map[*pair]struct{}
	// accepted counts the connections so far.
	accepted int
}

// pair is one relayed connection, by the way that begins at each end.
type pair struct {
	ends   [ways]net.Conn
	silent [ways]atomic.Bool
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
	for p := range r.pairs {
		p.silent[Up].Store(true)
		p.silent[Down].Store(true)
	}
	return len(r.pairs)
}

// SetSilent sets whether connections that carry something in a direction fall silent
// in it for good.
func (r *Relay) SetSilent(on bool, in ...Way) {
	for _, w := range in {
		r.silent[w].Store(on)
	}
}

// Delay delays what passes by that much more, or less if by is negative.
func (r *Relay) Delay(by time.Duration) { r.delay.Add(int64(by)) }

// Reset resets all connections, silent ones included.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		for _, c := range p.ends {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	}
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
		p.close()
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
		p := &pair{ends: [ways]net.Conn{near, far}}
		r.mu.Lock()
		r.pairs[p] = struct{}{}
		r.accepted++
		r.mu.Unlock()
		r.wg.Go(func() { r.serve(p) })
	}
}

// serve relays a connection until both ways have ended.
func (r *Relay) serve(p *pair) {
	var both sync.WaitGroup
	for w := range ways {
		both.Go(func() { r.pass(p, w) })
	}
	both.Wait()
	p.close()
	r.mu.Lock()
	delete(r.pairs, p)
	r.mu.Unlock()
}

// pass passes bytes on in one way until either end is closed.
func (r *Relay) pass(p *pair, w Way) {
	from, to := p.ends[w], p.ends[1-w]
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(buf)
		time.Sleep(time.Duration(r.delay.Load()))
		if r.silent[w].Load() {
			p.silent[w].Store(true)
		}
		silent := p.silent[w].Load()
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

func (p *pair) close() {
	for _, c := range p.ends {
		_ = c.Close()
	}
}
