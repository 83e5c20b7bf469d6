// Package cutserver is a server for tests that answers requests with any bytes and ends its
// connections anywhere.
package cutserver

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// End is what the server does after it has written an answer.
type End uint8

// The ends of an answer.
const (
	// Close closes the connection in order.
	Close End = iota
	// Reset resets the connection.
	Reset
	// Keep waits for the next request on the connection.
	Keep
)

// Ends are the two ways in which a connection ends.
var Ends = []End{Close, Reset}

// String implements fmt.Stringer.
func (e End) String() string { return [...]string{"closed", "reset", "kept"}[e] }

// Answer is what the server sends for one request.
type Answer struct {
	Bytes string
	// Rest is sent after Pause.
	Rest  string
	Pause time.Duration
	End   End
}

// Start starts a server and returns its address. It calls answer for each request, of which the
// body was read; n counts the requests of a connection from 1.
func Start(t testing.TB, answer func(r *http.Request, n int) Answer) string {
	t.Helper()
	return listen(t, func(conn *net.TCPConn) { serve(conn, answer) })
}

// Early is what a server sends before it has read the body of a request.
type Early struct {
	Answer
	// BodyBytes is the part of the body that it reads before.
	BodyBytes int64
	// ReceiveBuffer is the size of the buffer for what it has not read; 0 selects the usual one.
	ReceiveBuffer int
}

// StartEarly starts a server that answers the first request of each connection as e says, and
// returns its address. After the answer it waits for the pause and ends the connection.
func StartEarly(t testing.TB, e Early) string {
	t.Helper()
	return listen(t, func(conn *net.TCPConn) { e.serve(conn) })
}

func (e *Early) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	if e.ReceiveBuffer > 0 {
		_ = conn.SetReadBuffer(e.ReceiveBuffer)
	}
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, r.Body, e.BodyBytes)
	_, _ = io.WriteString(conn, e.Bytes)
	time.Sleep(e.Pause)
	if e.End == Reset {
		_ = conn.SetLinger(0)
	}
}

// StartEndless starts a server that answers the first request of each connection with begin and then
// with the blocks that more returns, until the caller closes the connection or size bytes are
// written. It returns its address, and whether the caller closed each of the connections.
func StartEndless(t testing.TB, begin string, more func(i int) []byte, size int) (address string, cut <-chan bool) {
	t.Helper()
	const maxConnections = 1000
	outcomes := make(chan bool, maxConnections)
	return listen(t, func(conn *net.TCPConn) {
		defer func() { _ = conn.Close() }()
		_, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, err = io.WriteString(conn, begin)
		for i, written := 0, 0; err == nil && written < size; i++ {
			n, writeErr := conn.Write(more(i))
			written, err = written+n, writeErr
		}
		outcomes <- err != nil
	}), outcomes
}

// Repeat returns blocks of about 64 KiB that repeat a text.
func Repeat(text string) func(int) []byte {
	const blockBytes = 64 << 10
	block := bytes.Repeat([]byte(text), max(1, blockBytes/len(text)))
	return func(int) []byte { return block }
}

// listen serves each connection to a new address, which it returns.
func listen(t testing.TB, serve func(conn *net.TCPConn)) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	return lis.Addr().String()
}

// serve answers the requests of a connection.
func serve(conn *net.TCPConn, answer func(r *http.Request, n int) Answer) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		a := answer(r, n)
		_, _ = io.WriteString(conn, a.Bytes)
		if a.Rest != "" {
			time.Sleep(a.Pause)
			_, _ = io.WriteString(conn, a.Rest)
		}
		switch a.End {
		case Keep:
			continue
		case Reset:
			_ = conn.SetLinger(0)
		}
		return
	}
}
