// Package instancelist is the stand-in for the platform's instance list.
package instancelist

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/magnoliawheel/magnoliawheel/test/standin"
)

// Instance is one row of the list.
type Instance struct {
	ID      string `json:"id"`
	Role    string `json:"role"`
	Pool    string `json:"pool,omitempty"`
	Addr    string `json:"addr"`
	Admin   string `json:"admin"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Leaving bool   `json:"leaving"`
}

type answer struct {
	AsOf      time.Time  `json:"as_of"`
	Instances []Instance `json:"instances"`
}

type service struct {
	switches *standin.Switches

	mu     sync.Mutex
	now    []Instance
	shown  answer
	frozen bool
}

// Start serves the list on addr. The rows are set by POST /control.
func Start(addr string, faults standin.Faults) (*standin.Server, error) {
	s := &service{switches: standin.NewSwitches(faults), now: []Instance{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", s.list)
	srv := &standin.Server{Switches: s.switches, OnCommand: s.command}
	return srv, standin.Serve(addr, srv, mux)
}

func (s *service) command(c standin.Command) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stale := s.switches.Get().Stale; stale != s.frozen {
		s.frozen = stale
		s.shown = answer{AsOf: time.Now(), Instances: s.now}
	}
	if c.Instances == nil {
		return nil
	}
	var rows []Instance
	if err := json.Unmarshal(c.Instances, &rows); err != nil {
		return err
	}
	s.now = rows
	return nil
}

func (s *service) list(w http.ResponseWriter, r *http.Request) {
	if !s.switches.Gate(r.Context()) {
		return
	}
	if f := s.switches.Get(); f.Down || f.Fail {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	if s.switches.TakeDrop() {
		standin.Abort()
	}
	s.mu.Lock()
	a := answer{AsOf: time.Now(), Instances: s.now}
	if s.frozen {
		a = s.shown
	}
	s.mu.Unlock()
	standin.WriteJSON(w, a)
}
