package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// mortalListener stands for the listener of a process: exit closes it and its connections, as
// the end of the process would.
type mortalListener struct {
	net.Listener
	// writeDelay is the time before each write, as on a busy machine.
	writeDelay time.Duration

	mu    sync.Mutex
	conns []net.Conn
	// exited is set by exit.
	exited bool
}

// Accept implements net.Listener.
func (l *mortalListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.exited {
		_ = c.Close()
	}
	l.conns = append(l.conns, c)
	return &delayedConn{Conn: c, writeDelay: l.writeDelay}, nil
}

func (l *mortalListener) exit() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.exited = true
	for _, c := range l.conns {
		_ = c.Close()
	}
}

// delayedConn is a connection that waits before each write.
type delayedConn struct {
	net.Conn
	writeDelay time.Duration
}

// Write implements net.Conn.
func (c *delayedConn) Write(p []byte) (int, error) {
	time.Sleep(c.writeDelay)
	return c.Conn.Write(p)
}

// startMortalEntry starts an entry whose client connections end with its Run method.
func (f *fleet) startMortalEntry(writeDelay time.Duration) *runningEntry {
	l := &mortalListener{writeDelay: writeDelay}
	f.wrapClients = func(inner net.Listener) net.Listener {
		l.Listener = inner
		return l
	}
	e := f.startEntry("e1", 0).waitReady()
	go func() {
		<-e.done
		l.exit()
	}()
	return e
}

// doAll sends n requests at once and returns the replies.
func (e *runningEntry) doAll(n int, call func(i int) clientCall) <-chan []reply {
	replies := make([]reply, n)
	var clients sync.WaitGroup
	for i := range n {
		clients.Go(func() { replies[i] = e.do(call(i)) })
	}
	all := make(chan []reply, 1)
	go func() {
		clients.Wait()
		all <- replies
	}()
	return all
}

// TestStreamWithoutServerIsRefusedBeforeProcessEnds guards against a stream that is accepted and
// still waits for a server when the process ends: its client would get neither an answer nor a
// refusal.
func TestStreamWithoutServerIsRefusedBeforeProcessEnds(t *testing.T) {
	f := newFleet(t)
	release := make(chan struct{})
	stageCalled := make(chan struct{}, 8)
	f.startServer("a", "a1", 0).SetHandler(blockUntil(release, stageCalled))
	t.Cleanup(func() { close(release) })
	f.startServer("b", "b1", 0)
	model := f.startServer("model", "m1", 3)
	f.putConfig()
	f.shutdownGrace = shutdownReserve + 2*time.Second
	e := f.startMortalEntry(0)
	replies := e.doAll(4, func(i int) clientCall { return stagedCall(fmt.Sprint("r", i)) })
	<-stageCalled
	e.stop()
	for _, got := range <-replies {
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
		assert.Assert(t, got.header.Get("Retry-After") != "")
	}
	assert.Equal(t, len(model.ExecutedRequests()), 0)
}

// TestRequestAtServerIsAnsweredBeforeProcessEnds guards against a request whose server has not
// begun to respond when the process ends: its client would get no answer.
func TestRequestAtServerIsAnsweredBeforeProcessEnds(t *testing.T) {
	for _, path := range []string{standin.PathStream, standin.PathResumable, standin.PathSafe, standin.PathUnsafe} {
		t.Run(path, func(t *testing.T) {
			f := newFleet(t)
			release := make(chan struct{})
			sent := make(chan struct{}, 8)
			handler := blockUntil(release, sent)
			f.startServer("model", "m1", 3).SetHandler(handler)
			f.startServer("plain", "p1", 0).SetHandler(handler)
			t.Cleanup(func() { close(release) })
			f.putConfig()
			f.shutdownGrace = shutdownReserve + time.Second
			e := f.startMortalEntry(0)
			replies := e.doAll(1, func(int) clientCall { return keyedCall(path, "r", "key-1") })
			<-sent
			e.stop()
			got := (<-replies)[0]
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusBadGateway, got.body)
		})
	}
}

// TestBegunStreamIsBrokenOffWhenProcessEnds guards against a stream that looks complete although
// the process ended before its last event, and against the loss of events that had arrived.
func TestBegunStreamIsBrokenOffWhenProcessEnds(t *testing.T) {
	f := newFleet(t)
	release := make(chan struct{})
	begun := make(chan struct{})
	model := f.startServer("model", "m1", 3)
	model.SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
		model.BeginResponse(w, r)
		_, _ = io.WriteString(w, model.Event(1, "r"))
		w.(http.Flusher).Flush()
		close(begun)
		<-release
		return true
	})
	t.Cleanup(func() { close(release) })
	f.putConfig()
	f.shutdownGrace = shutdownReserve + time.Second
	e := f.startMortalEntry(0)
	replies := e.doAll(1, func(int) clientCall { return keyedCall(standin.PathStream, "r", "key-1") })
	<-begun
	e.stop()
	got := (<-replies)[0]
	assert.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, model.Event(1, "r"))
}

// blockUntil returns a handler that blocks each request until release is closed. It sends to
// begun before.
func blockUntil(release <-chan struct{}, begun chan<- struct{}) func(http.ResponseWriter, *http.Request) bool {
	return func(http.ResponseWriter, *http.Request) bool {
		begun <- struct{}{}
		<-release
		return false
	}
}

// TestAnswersAreWrittenBeforeProcessEnds guards against a process that ends between the end of a
// request's handler and the last write of its answer, which takes long on a busy machine.
func TestAnswersAreWrittenBeforeProcessEnds(t *testing.T) {
	for _, path := range []string{standin.PathUnsafe, standin.PathStream} {
		t.Run(path, func(t *testing.T) {
			f := newFleet(t)
			release := make(chan struct{})
			sent := make(chan struct{}, 8)
			handler := blockUntil(release, sent)
			f.startServer("plain", "p1", 0).SetHandler(handler)
			f.startServer("model", "m1", 3).SetHandler(handler)
			f.putConfig()
			e := f.startMortalEntry(150 * time.Millisecond)
			replies := e.doAll(4, func(i int) clientCall { return keyedCall(path, fmt.Sprint("r", i), "key-1") })
			for range 4 {
				<-sent
			}
			e.stop()
			eventually(t, "the entry is stopping", e.gateway.Stopping)
			close(release)
			for _, got := range <-replies {
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK, got.body)
			}
		})
	}
}

// TestRefusalIsWrittenBeforeProcessEnds guards against a request that arrives when all others have
// been handled, and gets no refusal because the process does not wait for it.
func TestRefusalIsWrittenBeforeProcessEnds(t *testing.T) {
	f := newFleet(t)
	release := make(chan struct{})
	sent := make(chan struct{}, 8)
	f.startServer("plain", "p1", 0).SetHandler(blockUntil(release, sent))
	f.putConfig()
	e := f.startMortalEntry(time.Second)
	first := e.doAll(1, func(int) clientCall { return keyedCall(standin.PathUnsafe, "r1", "key-1") })
	<-sent
	e.stop()
	eventually(t, "the entry is stopping", e.gateway.Stopping)
	close(release)
	eventually(t, "the first request is handled", func() bool { return e.gateway.InFlight() == 0 })
	time.Sleep(2 * drainPollInterval)
	second := e.do(keyedCall(standin.PathUnsafe, "r2", "key-1"))
	assert.NilError(t, second.err)
	assert.Equal(t, second.status, http.StatusServiceUnavailable, second.body)
	assert.Assert(t, second.header.Get("Retry-After") != "")
	got := (<-first)[0]
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK, got.body)
}

// TestRequestOnNewConnectionIsAnsweredBeforeProcessEnds guards against a request whose head a busy
// process has not read yet when it ends, although its client had connected in time.
func TestRequestOnNewConnectionIsAnsweredBeforeProcessEnds(t *testing.T) {
	f := newFleet(t)
	f.startServer("plain", "p1", 0)
	f.putConfig()
	e := f.startMortalEntry(0)
	conn, err := net.Dial("tcp", strings.TrimPrefix(e.baseURL, "http://"))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	time.Sleep(drainPollInterval)
	e.stop()
	eventually(t, "the entry is stopping", e.gateway.Stopping)
	time.Sleep(3 * drainPollInterval)
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Assert(t, resp.StatusCode >= http.StatusBadRequest)
}
