// Package standin holds what the stand-ins for the platform and for backend
// servers have in common: listening, fault switches, the record of executions,
// and the texts that they produce.
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

// maxControlBytes bounds the body of a control call.
const maxControlBytes = 8 << 20

// Server is one stand-in on a listener of its own.
type Server struct {
	Switches *Switches
	Recorder *Recorder
	// OnCommand is called after the switches changed; it may be nil.
	OnCommand func(Command) error

	http *http.Server
	lis  *listener
}

// Serve starts a stand-in. The mux gets POST /control and GET /record.
func Serve(addr string, s *Server, mux *http.ServeMux) error {
	raw, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.lis = &listener{Listener: raw, open: map[*conn]struct{}{}}
	mux.HandleFunc("POST /control", s.control)
	mux.HandleFunc("GET /record", s.record)
	s.http = &http.Server{
		Handler:     mux,
		ErrorLog:    log.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	go func() { _ = s.http.Serve(s.lis) }()
	return nil
}

// Addr returns the address that the stand-in listens on.
func (s *Server) Addr() string { return s.lis.Addr().String() }

// Close stops the stand-in and cuts its connections.
func (s *Server) Close() error {
	err := s.http.Close()
	_ = s.lis.Close()
	return err
}

type connKey struct{}

func (s *Server) control(w http.ResponseWriter, r *http.Request) {
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
	if c.Silence {
		own, _ := r.Context().Value(connKey{}).(*conn)
		s.lis.silence(own)
	}
	if s.OnCommand != nil {
		if err := s.OnCommand(c); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	WriteJSON(w, struct{}{})
}

func (s *Server) record(w http.ResponseWriter, _ *http.Request) {
	if s.Recorder == nil {
		WriteJSON(w, []Execution{})
		return
	}
	WriteJSON(w, s.Recorder.All())
}

// WriteJSON writes v as a JSON body.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// listener keeps the open connections, so that they can be made silent.
type listener struct {
	net.Listener
	mu   sync.Mutex
	open map[*conn]struct{}
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, lis: l, closed: make(chan struct{})}
	l.mu.Lock()
	l.open[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

func (l *listener) silence(except *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if c != except {
			c.silent.Store(true)
		}
	}
}

// conn is a connection that can go silent: nothing that the peer sends arrives,
// nothing that is written leaves, and neither end is told.
type conn struct {
	net.Conn
	lis    *listener
	silent atomic.Bool
	once   sync.Once
	closed chan struct{}
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

// Close closes the connection; a silent one stays open towards the peer.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.lis.mu.Lock()
		delete(c.lis.open, c)
		c.lis.mu.Unlock()
	})
	if c.silent.Load() {
		return nil
	}
	return c.Conn.Close()
}
