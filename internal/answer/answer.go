// Package answer records the events of a request's answer, so that callers can
// resume reading after their connection was lost.
package answer

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// Kind is the type of an event, sent as the event field of the stream.
type Kind string

// The kinds of events. KindDone and KindError are final.
const (
	KindRequest Kind = "request"
	KindChunk   Kind = "chunk"
	KindDone    Kind = "done"
	KindError   Kind = "error"
)

// Event is one event of an answer. Its sequence number is its position in the record,
// starting at 1.
type Event struct {
	Kind Kind
	// Data is a JSON object, such as the encoding of a ChunkData.
	Data []byte
}

// RequestData is the data of the first event.
type RequestData struct {
	RequestID string `json:"request_id"`
}

// ChunkData is the data of an event that carries a part of a stage's text.
type ChunkData struct {
	Stage string `json:"stage"`
	Text  string `json:"text"`
}

// DoneData is the data of the last event of a complete answer.
type DoneData struct {
	Chunks uint64 `json:"chunks"`
	// Checksum is the xxHash64 of the texts of all chunks in order, in hexadecimal.
	Checksum string `json:"checksum"`
}

// ErrorData is the body of an error response and the data of an error event.
type ErrorData struct {
	Code         uint32 `json:"code"`
	Name         string `json:"name"`
	Message      string `json:"message"`
	Ran          string `json:"ran"`
	Effects      string `json:"effects"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id,omitempty"`
}

// NewErrorData returns the data for an error. requestID may be empty.
func NewErrorData(requestID string, e *result.Error) ErrorData {
	info, _ := result.Lookup(e.Code)
	return ErrorData{
		Code: uint32(e.Code), Name: info.Name, Message: e.Message,
		Ran: e.Ran.String(), Effects: e.Effects.String(),
		RetryAfterMS: e.RetryAfter.Milliseconds(), RequestID: requestID,
	}
}

// ResultError is the inverse of NewErrorData, except for the request id.
func (d ErrorData) ResultError() *result.Error {
	return &result.Error{
		Code: result.Code(d.Code), Message: d.Message, Ran: result.ParseRan(d.Ran), Effects: result.ParseRan(d.Effects),
		RetryAfter: time.Duration(d.RetryAfterMS) * time.Millisecond,
	}
}

// Options configures a Record. Every callback may be nil.
type Options struct {
	RequestID string
	// AbandonTimeout is how long an incomplete answer may be without a reader after
	// the last one left.
	AbandonTimeout time.Duration
	// OnAbandoned is called when AbandonTimeout has passed without a new reader.
	OnAbandoned func()
	// OnDelivered is called when the first reader has received the complete answer.
	OnDelivered func()
	// OnAppend is called with the size of each event added.
	OnAppend func(bytes int)
}

// Record is the answer of one request. It is safe for concurrent use.
type Record struct {
	opts Options

	mu     sync.Mutex
	events []Event
	// changed is closed and replaced when an event is added.
	changed      chan struct{}
	complete     bool
	delivered    bool
	readers      int
	size         int
	abandonTimer *time.Timer
}

// New returns a record with the request event, which carries the request id.
func New(o Options) *Record {
	r := &Record{opts: o, changed: make(chan struct{})}
	r.Append(KindRequest, RequestData{RequestID: o.RequestID})
	return r
}

// NewEmpty returns a record without events, into which the record of another entry is
// copied.
func NewEmpty(o Options) *Record { return &Record{opts: o, changed: make(chan struct{})} }

// ID returns the id of the request.
func (r *Record) ID() string { return r.opts.RequestID }

// Append adds an event with the JSON encoding of data.
func (r *Record) Append(kind Kind, data any) {
	encoded, err := json.Marshal(data)
	if err != nil {
		panic(err) // Encoding the data types of this package cannot fail.
	}
	r.AppendEncoded(kind, encoded)
}

// AppendEncoded adds an event whose data is already encoded. It does nothing if the
// answer is complete.
func (r *Record) AppendEncoded(kind Kind, data []byte) {
	r.mu.Lock()
	if r.complete {
		r.mu.Unlock()
		return
	}
	r.events = append(r.events, Event{Kind: kind, Data: data})
	r.size += len(data)
	r.complete = kind == KindDone || kind == KindError
	if r.complete && r.abandonTimer != nil {
		r.abandonTimer.Stop()
	}
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	if r.opts.OnAppend != nil {
		r.opts.OnAppend(len(data))
	}
}

// EventsAfter returns the events with sequence numbers over seq, a channel that is
// closed when the next event is added, and whether the answer is complete. The caller
// must not modify the events.
func (r *Record) EventsAfter(seq uint64) (events []Event, changed <-chan struct{}, complete bool) {
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

// Size returns the total size of the events' data in bytes.
func (r *Record) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.size
}

// Complete reports whether the record holds its final event.
func (r *Record) Complete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.complete
}

// OpenReader registers a reader. The reader must call closeReader exactly once and pass
// whether it received the complete answer.
func (r *Record) OpenReader() (closeReader func(delivered bool)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
	if r.abandonTimer != nil {
		r.abandonTimer.Stop()
		r.abandonTimer = nil
	}
	return r.closeReader
}

func (r *Record) closeReader(delivered bool) {
	r.mu.Lock()
	r.readers--
	firstDelivery := delivered && !r.delivered
	r.delivered = r.delivered || delivered
	if r.readers == 0 && !r.complete && r.opts.OnAbandoned != nil {
		r.abandonTimer = time.AfterFunc(r.opts.AbandonTimeout, r.abandonIfUnread)
	}
	r.mu.Unlock()
	if firstDelivery && r.opts.OnDelivered != nil {
		r.opts.OnDelivered()
	}
}

// abandonIfUnread checks again that the answer is incomplete and has no reader: a reader
// may have been added after the timer fired.
func (r *Record) abandonIfUnread() {
	r.mu.Lock()
	unread := r.readers == 0 && !r.complete
	r.mu.Unlock()
	if unread {
		r.opts.OnAbandoned()
	}
}
