// Package platformlog is the stand-in for the platform's append-only log.
package platformlog

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/magnoliawheel/magnoliawheel/test/standin"
)

const maxReadWait = 30 * time.Second

// Config sets up the log.
type Config struct {
	// Retention is how long records are kept; 0 keeps them for good.
	Retention time.Duration
	Faults    standin.Faults
}

// Record is one record as it is read.
type Record struct {
	Offset uint64    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// Batch is the answer to a read.
type Batch struct {
	Records []Record `json:"records"`
	First   uint64   `json:"first"`
	Next    uint64   `json:"next"`
}

type appendRequest struct {
	Records [][]byte `json:"records"`
}

type appendAnswer struct {
	First uint64 `json:"first"`
}

type stream struct {
	first   uint64
	records []Record
	changed chan struct{}
}

func (s *stream) next() uint64 { return s.first + uint64(len(s.records)) }

type service struct {
	conf     Config
	switches *standin.Switches

	mu      sync.Mutex
	streams map[string]*stream
}

// Start serves the log on addr.
func Start(addr string, conf Config) (*standin.Server, error) {
	s := &service{conf: conf, switches: standin.NewSwitches(conf.Faults), streams: map[string]*stream{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", s.append)
	mux.HandleFunc("GET /v1/streams/{stream}/records", s.read)
	srv := &standin.Server{Switches: s.switches, OnCommand: s.command}
	return srv, standin.Serve(addr, srv, mux)
}

func (s *service) command(c standin.Command) error {
	if c.TruncateTo == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.streams {
		st.drop(len(st.records) - *c.TruncateTo)
	}
	return nil
}

func (s *stream) drop(n int) {
	if n <= 0 {
		return
	}
	s.records = append([]Record(nil), s.records[n:]...)
	s.first += uint64(n)
}

// get returns a stream without expired records. The caller holds the mutex.
func (s *service) get(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{first: 1, changed: make(chan struct{})}
		s.streams[name] = st
	}
	if s.conf.Retention > 0 {
		oldest := time.Now().Add(-s.conf.Retention)
		n := 0
		for n < len(st.records) && st.records[n].Time.Before(oldest) {
			n++
		}
		st.drop(n)
	}
	return st
}

func (s *service) add(name string, records [][]byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.get(name)
	first := st.next()
	for _, data := range records {
		st.records = append(st.records, Record{Offset: st.next(), Time: time.Now(), Data: data})
	}
	close(st.changed)
	st.changed = make(chan struct{})
	return first
}

func (s *service) append(w http.ResponseWriter, r *http.Request) {
	var req appendRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.available(w, r) {
		return
	}
	name := r.PathValue("stream")
	if after, late := s.switches.TakeLateWrite(); late {
		time.AfterFunc(after, func() { s.add(name, req.Records) })
		standin.Abort()
	}
	first := s.add(name, req.Records)
	if s.switches.TakeDrop() {
		standin.Abort()
	}
	standin.WriteJSON(w, appendAnswer{First: first})
}

func (s *service) available(w http.ResponseWriter, r *http.Request) bool {
	if !s.switches.Gate(r.Context()) {
		return false
	}
	if f := s.switches.Get(); f.Down || f.Fail {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (s *service) read(w http.ResponseWriter, r *http.Request) {
	if !s.available(w, r) {
		return
	}
	from := number(r, "from", 1)
	limit := number(r, "limit", 1000)
	wait := min(time.Duration(number(r, "wait_ms", 0))*time.Millisecond, maxReadWait)
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	for {
		batch, changed, kept := s.batch(r.PathValue("stream"), from, int(limit))
		if !kept {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusGone)
			_ = json.NewEncoder(w).Encode(batch)
			return
		}
		if len(batch.Records) > 0 || ctx.Err() != nil {
			standin.WriteJSON(w, batch)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *service) batch(name string, from uint64, limit int) (b Batch, changed chan struct{}, kept bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.get(name)
	b = Batch{Records: []Record{}, First: st.first, Next: st.next()}
	if from < st.first {
		return b, nil, false
	}
	if from < b.Next {
		records := st.records[from-st.first:]
		b.Records = append(b.Records, records[:min(limit, len(records))]...)
	}
	return b, st.changed, true
}

func number(r *http.Request, name string, otherwise uint64) uint64 {
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 63)
	if err != nil {
		return otherwise
	}
	return n
}
