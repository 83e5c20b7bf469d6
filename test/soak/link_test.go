package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// linkBuffer is the number of bytes that a link passes on at once.
const linkBuffer = 16 << 10

// direction is one way through a link.
type direction int

const (
	// up goes from the end that connected.
	up direction = iota
	// down goes back to it.
	down
	directions
)

// link is a TCP proxy in front of an address. Its connections can be delayed, reset
// and silenced in one direction or both.
type link struct {
	target string
	lis    net.Listener
	delay  atomic.Int64
	// silent makes the connections that carry bytes in a direction silent in it for
	// good: what was lost can't be made up for later.
	silent [directions]atomic.Bool

	mu    sync.Mutex
	pairs map[*pair]bool
}

// pair is one connection through a link.
type pair struct {
	ends [directions]net.Conn
	dead [directions]atomic.Bool
}

// newLink starts a link to an address.
func newLink(t testing.TB, target string) *link {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &link{target: target, lis: lis, pairs: map[*pair]bool{}}
	go l.accept()
	t.Cleanup(func() {
		_ = lis.Close()
		l.reset()
	})
	return l
}

func (l *link) address() string { return l.lis.Addr().String() }

func (l *link) accept() {
	for {
		near, err := l.lis.Accept()
		if err != nil {
			return
		}
		go l.connect(near)
	}
}

func (l *link) connect(near net.Conn) {
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		abort(near)
		return
	}
	p := &pair{ends: [directions]net.Conn{near, far}}
	l.mu.Lock()
	l.pairs[p] = true
	l.mu.Unlock()
	go l.pass(p, up)
	go l.pass(p, down)
}

// pass passes on what comes in one direction until either end is closed. A silent
// direction loses the end of the connection, too.
func (l *link) pass(p *pair, d direction) {
	from, to := p.ends[d], p.ends[1-d]
	buf := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buf)
		time.Sleep(time.Duration(l.delay.Load()))
		if l.silent[d].Load() {
			p.dead[d].Store(true)
		}
		if p.dead[d].Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			l.forget(p)
			_ = from.Close()
			_ = to.Close()
			return
		}
	}
}

func (l *link) forget(p *pair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pairs, p)
}

// reset resets all connections that are open, silent ones included.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		abort(p.ends[up])
		abort(p.ends[down])
		delete(l.pairs, p)
	}
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// silence silences the directions given for the time that silent is set.
func (l *link) silence(on bool, ways ...direction) {
	for _, d := range ways {
		l.silent[d].Store(on)
	}
}
