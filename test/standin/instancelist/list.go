// Package instancelist is the stand-in for the platform's instance list.
package instancelist

import (
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

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
	write(w, r, a)
}

// write answers with an entity tag of the rows, which does not depend on the time
// of the answer, and compresses where the client accepts that.
func write(w http.ResponseWriter, r *http.Request, a answer) {
	rows, err := json.Marshal(a.Instances)
	if err != nil {
		panic(err)
	}
	tag := fmt.Sprintf(`"%016x"`, xxhash.Sum64(rows))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	var out io.Writer = w
	if strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.Header().Set("Content-Encoding", "gzip")
		z := gzip.NewWriter(w)
		defer func() { _ = z.Close() }()
		out = z
	}
	_ = json.NewEncoder(out).Encode(a)
}
