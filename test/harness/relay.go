package harness

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const relayBufferBytes = 32 << 10

// Direction is the direction of data through a relay.
type Direction int

// The directions of data: Upstream is from the connecting client to the target,
// Downstream is back to the client.
const (
	Upstream Direction = iota
	Downstream
	directions
)

// Relay is a TCP relay in front of an address that injects network faults. It can delay
// data, reset connections, and silence them: a silenced connection stays open, but the
// relay drops everything that arrives on it, as when a peer vanishes without a FIN or RST.
type Relay struct {
	target string
	lis    net.Listener
	wg     sync.WaitGroup
	delay  atomic.Int64
	// silenceOnData is set for the directions in which a connection is silenced as soon as
	// data, or the end of the connection, arrives.
	silenceOnData [directions]atomic.Bool

	// onForwarded, if set, receives data that was written to the other end; see OnForwarded.
	onForwarded atomic.Pointer[func(dir Direction, data []byte, began time.Time)]

	mu          sync.Mutex
	connections map[*connection]struct{}
	// accepted is the number of connections relayed so far.
	accepted int
	// cuts are the faults of some connections; see AddCut.
	cuts []*Cut
}

// connection is one relayed connection. The arrays are indexed by Direction: conns
// holds the end at which data in that direction arrives.
type connection struct {
	conns  [directions]net.Conn
	silent [directions]atomic.Bool
	// begin is what the client sent first.
	begin string
}

// StartRelay listens on a free port and relays connections to target.
func StartRelay(target string) (*Relay, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, lis: lis, connections: map[*connection]struct{}{}}
	r.wg.Add(1)
	go r.acceptLoop()
	return r, nil
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() string { return r.lis.Addr().String() }

// Silence silences all open connections in both directions and returns their number.
// Both ends stay connected, because the relay does not forward the close of a connection
// either.
func (r *Relay) Silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.connections {
		conn.silent[Upstream].Store(true)
		conn.silent[Downstream].Store(true)
	}
	return len(r.connections)
}

// SetSilent sets whether each connection is silenced in the given directions as soon as
// data arrives in that direction. A silenced connection stays silent after a later call
// with on = false.
func (r *Relay) SetSilent(on bool, dirs ...Direction) {
	for _, dir := range dirs {
		r.silenceOnData[dir].Store(on)
	}
}

// OnForwarded makes f receive all data after it was written to the end that it is for; began is when
// that write began. f must not keep the data.
func (r *Relay) OnForwarded(f func(dir Direction, data []byte, began time.Time)) {
	r.onForwarded.Store(&f)
}

// AddDelay adds d, which may be negative, to the delay of all data.
func (r *Relay) AddDelay(d time.Duration) { r.delay.Add(int64(d)) }

// Reset closes all connections with a TCP reset, including silenced ones.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.connections {
		for _, c := range conn.conns {
			reset(c)
		}
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Accepted returns the number of connections relayed so far.
func (r *Relay) Accepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

// Close stops listening, closes all connections and waits until the relay has stopped.
func (r *Relay) Close() {
	_ = r.lis.Close()
	r.mu.Lock()
	for conn := range r.connections {
		conn.close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

func (r *Relay) acceptLoop() {
	defer r.wg.Done()
	for {
		incoming, err := r.lis.Accept()
		if err != nil {
			return
		}
		outgoing, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = incoming.Close()
			continue
		}
		conn := &connection{conns: [directions]net.Conn{incoming, outgoing}}
		r.mu.Lock()
		r.connections[conn] = struct{}{}
		r.accepted++
		r.mu.Unlock()
		r.wg.Go(func() { r.serve(conn) })
	}
}

// serve relays a connection until both directions have ended.
func (r *Relay) serve(conn *connection) {
	var forwarders sync.WaitGroup
	for dir := range directions {
		forwarders.Go(func() { r.forward(conn, dir) })
	}
	forwarders.Wait()
	conn.close()
	r.mu.Lock()
	delete(r.connections, conn)
	r.mu.Unlock()
}

// forward copies data in one direction until either end is closed. A reset is passed on as
// one, since an orderly end may mean that a response is complete.
func (r *Relay) forward(conn *connection, dir Direction) {
	from, to := conn.conns[dir], conn.conns[1-dir]
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(buf)
		time.Sleep(time.Duration(r.delay.Load()))
		r.passCuts(conn, dir, buf[:n])
		if r.silenceOnData[dir].Load() {
			conn.silent[dir].Store(true)
		}
		silent := conn.silent[dir].Load()
		if silent && err == nil {
			continue
		}
		if err != nil {
			if !silent && errors.Is(err, syscall.ECONNRESET) {
				reset(to)
			} else if !silent {
				_ = to.Close()
			}
			return
		}
		began := time.Now()
		if _, err := to.Write(buf[:n]); err != nil {
			_ = from.Close()
			return
		}
		if f := r.onForwarded.Load(); f != nil {
			(*f)(dir, buf[:n], began)
		}
	}
}

func (conn *connection) close() {
	for _, c := range conn.conns {
		_ = c.Close()
	}
}
