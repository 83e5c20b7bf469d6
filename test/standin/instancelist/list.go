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

// Instance is one item of the list.
type Instance struct {
	ID        string `json:"id"`
	Role      string `json:"role"`
	Pool      string `json:"pool,omitempty"`
	Addr      string `json:"addr"`
	AdminAddr string `json:"admin"`
	Zone      string `json:"zone"`
	Region    string `json:"region"`
	Leaving   bool   `json:"leaving"`
}

// listResponse is the response to GET /v1/instances.
type listResponse struct {
	AsOf      time.Time  `json:"as_of"`
	Instances []Instance `json:"instances"`
}

// server holds the current instances and, while StaleInstanceList is set, the response
// that it returns instead.
type server struct {
	switches *standin.FaultSwitches

	mu             sync.Mutex
	instances      []Instance
	frozenResponse listResponse
	frozen         bool
}

// Start starts the instance list on addr. POST /control sets the instances.
func Start(addr string, faults standin.Faults) (*standin.Server, error) {
	s := &server{switches: standin.NewFaultSwitches(faults), instances: []Instance{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", s.handleList)
	srv := &standin.Server{Switches: s.switches, OnCommand: s.applyCommand}
	return srv, standin.Serve(addr, srv, mux)
}

// applyCommand freezes or unfreezes the list and replaces the instances.
func (s *server) applyCommand(c standin.Command) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stale := s.switches.Get().StaleInstanceList; stale != s.frozen {
		s.frozen = stale
		s.frozenResponse = listResponse{AsOf: time.Now(), Instances: s.instances}
	}
	if c.Instances == nil {
		return nil
	}
	var instances []Instance
	if err := json.Unmarshal(c.Instances, &instances); err != nil {
		return err
	}
	s.instances = instances
	return nil
}

// handleList returns the current instances, or the frozen ones.
func (s *server) handleList(w http.ResponseWriter, r *http.Request) {
	if !s.switches.WaitHangAndDelay(r.Context()) {
		return
	}
	if f := s.switches.Get(); f.Down || f.Fail {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	if s.switches.ConsumeResponseDrop() {
		standin.AbortConnection()
	}
	s.mu.Lock()
	response := listResponse{AsOf: time.Now(), Instances: s.instances}
	if s.frozen {
		response = s.frozenResponse
	}
	s.mu.Unlock()
	writeResponse(w, r, response)
}

// writeResponse writes the response, compressed if the client accepts gzip. The entity
// tag depends on the instances only, not on the time of the response.
func writeResponse(w http.ResponseWriter, r *http.Request, response listResponse) {
	instancesJSON, err := json.Marshal(response.Instances)
	if err != nil {
		panic(err)
	}
	etag := fmt.Sprintf(`"%016x"`, xxhash.Sum64(instancesJSON))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	var body io.Writer = w
	if strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.Header().Set("Content-Encoding", "gzip")
		z := gzip.NewWriter(w)
		defer func() { _ = z.Close() }()
		body = z
	}
	_ = json.NewEncoder(body).Encode(response)
}
