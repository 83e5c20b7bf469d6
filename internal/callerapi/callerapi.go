// Package callerapi is the HTTP interface towards callers.
package callerapi

import (
	"context"
	"net/http"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/schema"
	"github.com/magnoliawheel/magnoliawheel/internal/answer"
)

// Headers of callers' requests and of the responses.
const (
	HeaderCustomer    = "Customer"
	HeaderCustomerKey = "Customer-Key"
	HeaderTimeout     = "Request-Timeout"
	HeaderKey         = "Idempotency-Key"
	HeaderPrefix      = "Prompt-Prefix"
	HeaderRequestID   = "Request-Id"
	HeaderLastEventID = "Last-Event-ID"

	// TypeStream is the media type of a stream of events.
	TypeStream = "text/event-stream"
)

// KeepAlive is the time between comments on a stream that carries nothing else.
const KeepAlive = time.Second

// MaxPrefixBytes bounds the Prompt-Prefix header.
const MaxPrefixBytes = 1024

// Request is a valid request of a caller.
type Request struct {
	// Snapshot is the configuration that the request is pinned to.
	Snapshot *configlog.Snapshot
	Call     *schema.Call
	Pipeline *schema.Pipeline
	Customer *schema.Customer
	Body     []byte
	// Timeout is the time to the deadline, counted from Received.
	Timeout  time.Duration
	Received time.Time
	// Key is the idempotency key; empty if there is none.
	Key string
	// Prefix is the hash of the prompt prefix; 0 if there is none.
	Prefix uint64
	// Live is set when the caller reads a stream.
	Live bool
}

// Backend carries out requests.
type Backend interface {
	// Snapshot returns the configuration in force.
	Snapshot() *configlog.Snapshot
	// Submit starts a request.
	Submit(r *Request) (*answer.Record, *result.Error)
	// Find returns the answer of a request, which may belong to another entry;
	// from is the first event that is wanted. ctx bounds the use of the record.
	Find(ctx context.Context, id, customer string, from uint64) (*answer.Record, *result.Error)
	// Cancel cancels a request, which may belong to another entry.
	Cancel(ctx context.Context, id, customer string) *result.Error
}

// Options sets up a Handler.
type Options struct {
	Backend Backend
	// HeaderBytes bounds the request headers.
	HeaderBytes int
	// ReadTimeout bounds reading a body; WriteTimeout one write.
	ReadTimeout, WriteTimeout time.Duration
	// Now is the clock.
	Now func() time.Time
}

// Handler serves callers.
type Handler struct {
	opts Options
	mux  *http.ServeMux
}

// New returns a handler.
func New(o Options) *Handler {
	if o.Now == nil {
		o.Now = time.Now
	}
	h := &Handler{opts: o, mux: http.NewServeMux()}
	h.mux.HandleFunc("/v1/calls/{call}", h.calls)
	h.mux.HandleFunc("/v1/requests/{id}", h.requests)
	h.mux.HandleFunc("/", h.unknownPath)
	return h
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The deadline also bounds what net/http reads of a body after a refusal. It is
	// lifted once a body was read.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(h.opts.ReadTimeout))
	if headerBytes(r) > h.opts.HeaderBytes {
		h.fail(w, "", result.New(result.HeaderTooLarge, "the headers are over %d bytes", h.opts.HeaderBytes))
		return
	}
	h.mux.ServeHTTP(w, r)
}

func headerBytes(r *http.Request) int {
	n := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

func (h *Handler) calls(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		h.notAllowed(w, r, http.MethodPost)
		return
	}
	received := h.opts.Now()
	req, bad := h.parse(w, r, received)
	if bad != nil {
		h.fail(w, "", bad)
		return
	}
	rec, bad := h.opts.Backend.Submit(req)
	if bad != nil {
		h.fail(w, "", bad)
		return
	}
	h.answer(w, r, rec, 0)
}

func (h *Handler) requests(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodDelete {
		h.notAllowed(w, r, http.MethodGet+", "+http.MethodDelete)
		return
	}
	customer, bad := h.customer(h.opts.Backend.Snapshot(), r)
	if bad != nil {
		h.fail(w, "", bad)
		return
	}
	id := r.PathValue("id")
	if r.ContentLength == 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	if r.Method == http.MethodDelete {
		if bad := h.opts.Backend.Cancel(r.Context(), id, customer.Name); bad != nil {
			h.fail(w, id, bad)
			return
		}
		w.WriteHeader(http.StatusNoContent)
		return
	}
	after, bad := lastEventID(r)
	if bad != nil {
		h.fail(w, id, bad)
		return
	}
	rec, bad := h.opts.Backend.Find(r.Context(), id, customer.Name, after+1)
	if bad != nil {
		h.fail(w, id, bad)
		return
	}
	h.answer(w, r, rec, after)
}

func (h *Handler) notAllowed(w http.ResponseWriter, r *http.Request, allow string) {
	w.Header().Set("Allow", allow)
	h.fail(w, "", result.New(result.MethodNotAllowed, "%s is not allowed here; allowed: %s", r.Method, allow))
}

func (h *Handler) unknownPath(w http.ResponseWriter, r *http.Request) {
	h.fail(w, "", result.New(result.UnknownCall, "there is nothing at this path"))
}
