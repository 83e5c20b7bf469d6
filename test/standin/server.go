// Package standin contains what the stand-ins have in common. A stand-in is a fake of
// the platform log, the instance list or a backend server that tests and measurements
// run against. The package provides the HTTP server, simulated faults, execution
// records and deterministic outputs.
package standin

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// maxControlBytes limits the body of a control request.
const maxControlBytes = 8 << 20

// Server is the HTTP server of one stand-in.
type Server struct {
	Switches *FaultSwitches
	Recorder *Recorder
	// OnCommand is called after the faults were updated; it may be nil.
	OnCommand func(Command) error

	httpServer *http.Server
	listener   *listener
}

// Serve starts a stand-in. It adds POST /control and GET /record to the mux.
func Serve(addr string, s *Server, mux *http.ServeMux) error {
	netListener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.listener = &listener{Listener: netListener, conns: map[*conn]struct{}{}}
	mux.HandleFunc("POST /control", s.handleControl)
	mux.HandleFunc("GET /record", s.handleRecord)
	s.httpServer = &http.Server{
		Handler:  mux,
		ErrorLog: log.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, c)
		},
	}
	go func() { _ = s.httpServer.Serve(s.listener) }()
	return nil
}

// Addr returns the listen address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops the stand-in and closes its connections, except silent ones.
func (s *Server) Close() error {
	err := s.httpServer.Close()
	_ = s.listener.Close()
	return err
}

// connContextKey is the key of the connection in the context of a request.
type connContextKey struct{}

// handleControl updates the faults and executes the command in the request body.
func (s *Server) handleControl(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c, err := s.Switches.Apply(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if c.SilenceConnections {
		controlConn, _ := r.Context().Value(connContextKey{}).(*conn)
		s.listener.silence(controlConn)
	}
	if s.OnCommand != nil {
		if err := s.OnCommand(c); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	WriteJSON(w, struct{}{})
}

// handleRecord returns the execution records.
func (s *Server) handleRecord(w http.ResponseWriter, _ *http.Request) {
	if s.Recorder == nil {
		WriteJSON(w, []Execution{})
		return
	}
	WriteJSON(w, s.Recorder.Executions())
}

// WriteJSON writes v as a JSON body.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// listener tracks the open connections, so that they can be made silent.
type listener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	netConn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: netConn, listener: l, closed: make(chan struct{})}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

// silence makes all open connections but one silent.
func (l *listener) silence(except *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c != except {
			c.silent.Store(true)
		}
	}
}

// conn is a connection that can be made silent: it then discards what is written and
// delivers nothing that the peer sends, and neither end gets an error.
type conn struct {
	net.Conn
	listener  *listener
	silent    atomic.Bool
	closeOnce sync.Once
	closed    chan struct{}
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection. A silent connection stays open for the peer.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.listener.mu.Lock()
		delete(c.listener.conns, c)
		c.listener.mu.Unlock()
	})
	if c.silent.Load() {
		return nil
	}
	return c.Conn.Close()
}
