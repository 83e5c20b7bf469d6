//go:build review

package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/magnoliawheel/magnoliawheel/platform"
)

// ServerOptions says what a server does.
type ServerOptions struct {
	ID, Service, Version, Zone string
	Slots                      int
	// Events is the number of events of a stream; 0 for a plain server. Gap is the time before
	// each event, Work the time of a plain request.
	Events    int
	Gap, Work time.Duration
}

// Server is a sound backend server. It writes its entry in the store itself.
type Server struct {
	ServerOptions
	Address string

	fleet *Fleet
	http  *http.Server

	mu       sync.Mutex
	draining bool
	born     int64
	seq      int64
	arrivals []Arrival
	stopped  chan struct{}
	isDown   bool
}

// Arrival is a request that reached a server.
type Arrival struct {
	ID string
	At time.Time
}

// Arrivals returns the requests that reached the server, but not health probes, other calls of the
// system and what it answered 421.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrivals)
}

// StartServer starts a server, which registers itself.
func (f *Fleet) StartServer(o ServerOptions) *Server { return f.startServerAt(o, "127.0.0.1:0") }

// StartAgain starts a server that has ended again under its ID and address, with another version of
// its software.
func (s *Server) StartAgain(version string) *Server {
	o := s.ServerOptions
	o.Version = version
	return s.fleet.startServerAt(o, s.Address)
}

func (f *Fleet) startServerAt(o ServerOptions, address string) *Server {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		fail("%v", err)
	}
	s := &Server{ServerOptions: o, Address: lis.Addr().String(), fleet: f, born: time.Now().UnixMilli(), stopped: make(chan struct{})}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.http.Serve(lis) }()
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	f.Note("server %s (%s %s) starts at %s", s.ID, s.Service, s.Version, s.Address)
	s.Beat()
	go s.beatUntilStopped()
	return s
}

func (s *Server) beatUntilStopped() {
	ticker := time.NewTicker(Heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-s.stopped:
			return
		case <-ticker.C:
			s.Beat()
		}
	}
}

// EntryFields returns the server's entry in the store.
func (s *Server) EntryFields() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := "ready"
	if s.draining {
		state = "draining"
	}
	return map[string]any{
		"service": s.Service, "address": s.Address, "zone": s.Zone, "version": s.Version, "slots": s.Slots, "state": state,
		"cold_remaining_ms": 0, "seq": s.seq, "born": s.born,
	}
}

// Beat writes the entry.
func (s *Server) Beat() {
	s.mu.Lock()
	down := s.isDown
	s.seq++
	s.mu.Unlock()
	if !down {
		s.fleet.PutServerEntry(s.ID, s.EntryFields())
	}
}

// PutServerEntry writes an entry among those of the servers.
func (f *Fleet) PutServerEntry(id string, fields map[string]any) {
	value, err := json.Marshal(fields)
	if err != nil {
		fail("%v", err)
	}
	f.Store.Put(platform.ServersTopic, id, value)
}

// Drain reports to the store that the server is draining. It returns the time of the store's
// acknowledgement.
func (s *Server) Drain() time.Time {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.Beat()
	s.fleet.Note("server %s is draining, acknowledged by the store", s.ID)
	return time.Now()
}

// Crash ends the server: its listener and all its connections close, and it writes nothing more.
func (s *Server) Crash() {
	s.mu.Lock()
	if s.isDown {
		s.mu.Unlock()
		return
	}
	s.isDown = true
	close(s.stopped)
	s.mu.Unlock()
	_ = s.http.Close()
	s.fleet.Note("server %s has ended", s.ID)
}

// Leave ends the server and removes its entry.
func (s *Server) Leave() {
	s.Crash()
	s.fleet.Store.Delete(platform.ServersTopic, s.ID)
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if s.isDraining() {
		h.Set("Server-Leaving", "1")
		h.Set("Connection", "close")
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.ID {
		h.Set("X-Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("X-Request-Id")
	switch {
	case r.URL.Path == platform.CacheListPath:
		h.Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"epoch":1,"next":0,"held":[]}`)
		return
	case id == "":
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, Arrival{id, time.Now()})
	s.mu.Unlock()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	h.Set("X-Request-Id", id)
	h.Set("X-Response-Seal", "seal."+s.ID+"."+id)
	s.fleet.Note("server %s runs %s (tenant %q, after event %q)", s.ID, id, r.Header.Get("X-Tenant"), r.Header.Get("Last-Event-Id"))
	if s.Events == 0 {
		s.servePlain(w, r, id)
		return
	}
	s.serveStream(w, r, id)
}

func (s *Server) servePlain(w http.ResponseWriter, r *http.Request, id string) {
	select {
	case <-time.After(s.Work):
	case <-r.Context().Done():
		s.fleet.Note("server %s drops %s: its connection was closed", s.ID, id)
		return
	}
	_, _ = fmt.Fprintf(w, "%s by %s", id, s.ID)
}

func (s *Server) serveStream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= s.Events; i++ {
		select {
		case <-time.After(s.Gap):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s by version %s\n\n", i, i, id, s.Version); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}

// UntilPhase returns the time until the given time after the next heartbeat of the servers that were
// started at the beginning.
func (f *Fleet) UntilPhase(after time.Duration) time.Duration {
	return Heartbeat - f.Elapsed()%Heartbeat + after
}
