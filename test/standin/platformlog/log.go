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

// maxReadWait limits how long a read waits for new records.
const maxReadWait = 30 * time.Second

// Config configures the log.
type Config struct {
	// Retention is how long records are retained; 0 retains them forever.
	Retention time.Duration
	Faults    standin.Faults
}

// Record is one record of a stream.
type Record struct {
	Offset uint64    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// Batch is the response to a read. FirstOffset is the offset of the oldest record that
// is retained, NextOffset that of the next record to be appended.
type Batch struct {
	Records     []Record `json:"records"`
	FirstOffset uint64   `json:"first"`
	NextOffset  uint64   `json:"next"`
}

type appendRequest struct {
	Records [][]byte `json:"records"`
}

type appendResponse struct {
	FirstOffset uint64 `json:"first"`
}

// stream holds the retained records of a stream. The channel changed is closed and
// replaced after each append.
type stream struct {
	firstOffset uint64
	records     []Record
	changed     chan struct{}
}

// nextOffset returns the offset of the next record to be appended.
func (s *stream) nextOffset() uint64 { return s.firstOffset + uint64(len(s.records)) }

type server struct {
	conf     Config
	switches *standin.FaultSwitches

	mu      sync.Mutex
	streams map[string]*stream
}

// Start starts the log on addr.
func Start(addr string, conf Config) (*standin.Server, error) {
	s := &server{conf: conf, switches: standin.NewFaultSwitches(conf.Faults), streams: map[string]*stream{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", s.handleAppend)
	mux.HandleFunc("GET /v1/streams/{stream}/records", s.handleRead)
	srv := &standin.Server{Switches: s.switches, OnCommand: s.applyCommand}
	return srv, standin.Serve(addr, srv, mux)
}

// applyCommand truncates all streams if the command says so.
func (s *server) applyCommand(c standin.Command) error {
	if c.TruncateTo == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.streams {
		st.dropOldest(len(st.records) - *c.TruncateTo)
	}
	return nil
}

// dropOldest deletes the n oldest records.
func (s *stream) dropOldest(n int) {
	if n <= 0 {
		return
	}
	s.records = append([]Record(nil), s.records[n:]...)
	s.firstOffset += uint64(n)
}

// streamByName deletes expired records of a stream and returns it. It creates the
// stream if it does not exist. The caller must hold the mutex.
func (s *server) streamByName(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{firstOffset: 1, changed: make(chan struct{})}
		s.streams[name] = st
	}
	if s.conf.Retention > 0 {
		oldest := time.Now().Add(-s.conf.Retention)
		n := 0
		for n < len(st.records) && st.records[n].Time.Before(oldest) {
			n++
		}
		st.dropOldest(n)
	}
	return st
}

// appendRecords appends records to a stream and returns the offset of the first one.
func (s *server) appendRecords(name string, records [][]byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streamByName(name)
	firstOffset := st.nextOffset()
	for _, data := range records {
		st.records = append(st.records, Record{Offset: st.nextOffset(), Time: time.Now(), Data: data})
	}
	close(st.changed)
	st.changed = make(chan struct{})
	return firstOffset
}

// handleAppend appends records. Faults can delay the append or drop the response.
func (s *server) handleAppend(w http.ResponseWriter, r *http.Request) {
	var req appendRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.checkAvailable(w, r) {
		return
	}
	name := r.PathValue("stream")
	if delay, delayed := s.switches.ConsumeDelayedAppend(); delayed {
		time.AfterFunc(delay, func() { s.appendRecords(name, req.Records) })
		standin.AbortConnection()
	}
	firstOffset := s.appendRecords(name, req.Records)
	if s.switches.ConsumeResponseDrop() {
		standin.AbortConnection()
	}
	standin.WriteJSON(w, appendResponse{FirstOffset: firstOffset})
}

// checkAvailable applies the faults that all calls have in common. It returns false if
// the call must not be executed.
func (s *server) checkAvailable(w http.ResponseWriter, r *http.Request) bool {
	if !s.switches.WaitHangAndDelay(r.Context()) {
		return false
	}
	if f := s.switches.Get(); f.Down || f.Fail {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// handleRead returns the records from an offset on. If there are none yet, it waits for
// wait_ms. It responds with status 410 if the offset is older than the retained
// records.
func (s *server) handleRead(w http.ResponseWriter, r *http.Request) {
	if !s.checkAvailable(w, r) {
		return
	}
	fromOffset := uintParam(r, "from", 1)
	limit := uintParam(r, "limit", 1000)
	wait := min(time.Duration(uintParam(r, "wait_ms", 0))*time.Millisecond, maxReadWait)
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	for {
		batch, changed, retained := s.readBatch(r.PathValue("stream"), fromOffset, int(limit))
		if !retained {
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

// readBatch returns the records from an offset on, and a channel that is closed after
// the next append. It returns false if the offset is older than the retained records.
func (s *server) readBatch(name string, fromOffset uint64, limit int) (b Batch, changed chan struct{}, retained bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streamByName(name)
	b = Batch{Records: []Record{}, FirstOffset: st.firstOffset, NextOffset: st.nextOffset()}
	if fromOffset < st.firstOffset {
		return b, nil, false
	}
	if fromOffset < b.NextOffset {
		records := st.records[fromOffset-st.firstOffset:]
		b.Records = append(b.Records, records[:min(limit, len(records))]...)
	}
	return b, st.changed, true
}

// uintParam returns a numeric query parameter, or the default value if it is missing or
// invalid.
func uintParam(r *http.Request, name string, defaultValue uint64) uint64 {
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 63)
	if err != nil {
		return defaultValue
	}
	return n
}
