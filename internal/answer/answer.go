// Package answer keeps the events of a request's answer, so that callers can
// read them again after a cut.
package answer

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// Kind is the kind of an event.
type Kind string

// The kinds of events.
const (
	KindRequest Kind = "request"
	KindChunk   Kind = "chunk"
	KindDone    Kind = "done"
	KindError   Kind = "error"
)

// Event is one event of an answer. Its sequence number is its place in the
// record, from 1.
type Event struct {
	Kind Kind
	// Data is a JSON object.
	Data []byte
}

// RequestData is the data of the first event.
type RequestData struct {
	RequestID string `json:"request_id"`
}

// ChunkData is the data of a part of the answer.
type ChunkData struct {
	Stage string `json:"stage"`
	Text  string `json:"text"`
}

// DoneData is the data of the last event of a complete answer.
type DoneData struct {
	Chunks uint64 `json:"chunks"`
	// Checksum is the xxHash64 of all texts in order, in hexadecimal.
	Checksum string `json:"checksum"`
}

// ErrorData is the body of every error.
type ErrorData struct {
	Code         uint32 `json:"code"`
	Name         string `json:"name"`
	Message      string `json:"message"`
	Ran          string `json:"ran"`
	Effects      string `json:"effects"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id,omitempty"`
}

// ErrorBody returns the body for an error.
func ErrorBody(requestID string, e *result.Error) ErrorData {
	info, _ := result.Lookup(e.Code)
	return ErrorData{
		Code: uint32(e.Code), Name: info.Name, Message: e.Message,
		Ran: e.Ran.String(), Effects: e.Effects.String(),
		RetryAfterMS: e.RetryAfter.Milliseconds(), RequestID: requestID,
	}
}

// Err is the inverse of ErrorBody.
func (d ErrorData) Err() *result.Error {
	return &result.Error{
		Code: result.Code(d.Code), Message: d.Message, Ran: result.ParseRan(d.Ran), Effects: result.ParseRan(d.Effects),
		RetryAfter: time.Duration(d.RetryAfterMS) * time.Millisecond,
	}
}

// Options sets up a Record.
type Options struct {
	RequestID string
	// Window is how long an unfinished request is kept without a reader.
	Window time.Duration
	// Abandoned is called when an unfinished request had no reader for Window.
	Abandoned func()
	// Delivered is called once a reader has the whole answer.
	Delivered func()
	// Grew is called with the bytes added to the record.
	Grew func(bytes int)
}

// Record is the answer of one request. It is safe for concurrent use.
type Record struct {
	opts Options

	mu        sync.Mutex
	events    []Event
	changed   chan struct{}
	complete  bool
	delivered bool
	readers   int
	bytes     int
	idle      *time.Timer
}

// New returns a record that holds the first event.
func New(o Options) *Record {
	r := &Record{opts: o, changed: make(chan struct{})}
	r.Append(KindRequest, RequestData{RequestID: o.RequestID})
	return r
}

// Empty returns a record without events, for the copy of another entry's.
func Empty(o Options) *Record { return &Record{opts: o, changed: make(chan struct{})} }

// ID returns the id of the request.
func (r *Record) ID() string { return r.opts.RequestID }

// Append adds an event with the JSON encoding of data.
func (r *Record) Append(kind Kind, data any) {
	encoded, err := json.Marshal(data)
	if err != nil {
		panic(err) // The types of data above always encode.
	}
	r.AppendEncoded(kind, encoded)
}

// AppendEncoded adds an event; nothing is added after the last one.
func (r *Record) AppendEncoded(kind Kind, data []byte) {
	r.mu.Lock()
	if r.complete {
		r.mu.Unlock()
		return
	}
	r.events = append(r.events, Event{Kind: kind, Data: data})
	r.bytes += len(data)
	r.complete = kind == KindDone || kind == KindError
	if r.complete && r.idle != nil {
		r.idle.Stop()
	}
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	if r.opts.Grew != nil {
		r.opts.Grew(len(data))
	}
}

// After returns the events after a sequence number, a channel that is closed at
// the next change, and whether the answer is complete. The events must not be
// changed.
func (r *Record) After(seq uint64) (events []Event, changed <-chan struct{}, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := uint64(len(r.events))
	if seq < n {
		events = r.events[seq:n:n]
	}
	return events, r.changed, r.complete
}

// Len returns the number of events.
func (r *Record) Len() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return uint64(len(r.events))
}

// Bytes returns the memory that the events take.
func (r *Record) Bytes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytes
}

// Complete tells whether the last event is there.
func (r *Record) Complete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.complete
}

// Open counts a reader; the result ends the reading and must be called once.
func (r *Record) Open() (closeReader func(delivered bool)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
	if r.idle != nil {
		r.idle.Stop()
		r.idle = nil
	}
	return r.closeReader
}

func (r *Record) closeReader(delivered bool) {
	r.mu.Lock()
	r.readers--
	first := delivered && !r.delivered
	r.delivered = r.delivered || delivered
	if r.readers == 0 && !r.complete && r.opts.Abandoned != nil {
		r.idle = time.AfterFunc(r.opts.Window, r.abandon)
	}
	r.mu.Unlock()
	if first && r.opts.Delivered != nil {
		r.opts.Delivered()
	}
}

func (r *Record) abandon() {
	r.mu.Lock()
	idle := r.readers == 0 && !r.complete
	r.mu.Unlock()
	if idle {
		r.opts.Abandoned()
	}
}
