//go:build review

package fleet

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/magnoliawheel/magnoliawheel/platform"
	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// ServerOptions says what a server does.
type ServerOptions struct {
	ID, Service, Version, Zone string
	Slots                      int
	// Events is the number of events of a stream; 0 for a plain server. Work is the time before
	// each event, or of a plain request.
	Events int
	Work   time.Duration
}

// Server is a sound backend server: the stand-in of the project, with a listener of its own. It
// writes its entry in the store itself.
type Server struct {
	ServerOptions
	Address string

	fleet   *Fleet
	standin *standin.Server
	http    *http.Server
	born    int64
	stopped chan struct{}

	mu       sync.Mutex
	draining bool
	seq      int64
	arrivals []Arrival
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
	s := &Server{
		ServerOptions: o, Address: lis.Addr().String(), fleet: f, standin: standin.NewServer(o.ID, o.Events),
		born: time.Now().UnixMilli(), stopped: make(chan struct{}),
	}
	s.standin.SetDelay(o.Work)
	s.standin.SetVersion("version " + o.Version)
	s.standin.SetHandler(s.arrive)
	s.http = &http.Server{Handler: s.standin.Config.Handler}
	go func() { _ = s.http.Serve(lis) }()
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	f.Note("server %s (%s %s) starts at %s", s.ID, s.Service, s.Version, s.Address)
	s.Beat()
	go s.beatUntilStopped()
	return s
}

// arrive records a request before the stand-in runs it.
func (s *Server) arrive(w http.ResponseWriter, r *http.Request) bool {
	id := standin.RequestID(r.Header)
	s.mu.Lock()
	s.arrivals = append(s.arrivals, Arrival{id, time.Now()})
	draining := s.draining
	s.mu.Unlock()
	if draining {
		standin.SetLeaving(w.Header())
		w.Header().Set("Connection", "close")
	}
	s.fleet.Note("server %s of version %s runs %s after event %d", s.ID, s.Version, id, standin.LastEventID(r.Header))
	return false
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
	s.standin.Close()
	s.fleet.Note("server %s has ended", s.ID)
}

// Leave ends the server and removes its entry.
func (s *Server) Leave() {
	s.Crash()
	s.fleet.Store.Delete(platform.ServersTopic, s.ID)
}

// UntilPhase returns the time until the given time after the next heartbeat of the servers that were
// started at the beginning.
func (f *Fleet) UntilPhase(after time.Duration) time.Duration {
	return Heartbeat - f.Elapsed()%Heartbeat + after
}
