// Package cutserver is a server for tests that answers requests with any bytes and ends its
// connections anywhere.
package cutserver

import (
	"bufio"
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
			go serve(conn.(*net.TCPConn), answer)
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
