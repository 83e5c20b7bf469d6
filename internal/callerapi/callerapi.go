// Package callerapi implements the HTTP API for callers: calls, reading an answer
// again, and cancellation.
package callerapi

import (
	"context"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/schema"
	"github.com/magnoliawheel/magnoliawheel/internal/answer"
	"github.com/magnoliawheel/magnoliawheel/internal/inbound"
)

// HTTP headers of caller requests and of responses.
const (
	HeaderCustomer       = "Customer"
	HeaderCustomerKey    = "Customer-Key"
	HeaderRequestTimeout = "Request-Timeout"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderPromptPrefix   = "Prompt-Prefix"
	HeaderRequestID      = "Request-Id"
	HeaderLastEventID    = "Last-Event-ID"

	// ContentTypeEventStream is the media type of server-sent events.
	ContentTypeEventStream = "text/event-stream"
)

// KeepAliveInterval is the time between keep-alive comments on an idle event stream.
const KeepAliveInterval = time.Second

// defaultBodyMemoryBytes bounds the bodies of all requests if Options.Uploads is not set.
const defaultBodyMemoryBytes = 32 << 20

// MaxPromptPrefixBytes is the maximum length of the Prompt-Prefix header.
const MaxPromptPrefixBytes = 1024

// Request is a validated caller request.
type Request struct {
	// Snapshot is the configuration used for the whole request.
	Snapshot *configlog.Snapshot
	Call     *schema.Call
	Pipeline *schema.Pipeline
	Customer *schema.Customer
	Body     []byte
	// ReleaseBody gives the memory of Body back. It must be called when the request has ended.
	ReleaseBody func()
	// Timeout is the time from Received to the deadline.
	Timeout  time.Duration
	Received time.Time
	// IdempotencyKey is empty if the caller sent none.
	IdempotencyKey string
	// PromptPrefixHash is the xxHash64 of the Prompt-Prefix header; 0 if it is absent.
	PromptPrefixHash uint64
	// Streaming is set if the caller asked for an event stream.
	Streaming bool
}

// Backend executes requests.
type Backend interface {
	// Snapshot returns the configuration in force.
	Snapshot() *configlog.Snapshot
	// Submit starts a request and returns the record of its answer.
	Submit(r *Request) (*answer.Record, *result.Error)
	// Find returns the answer of a request, which may belong to another entry.
	// fromSeq is the sequence number of the first event needed. The record may be
	// used until ctx ends.
	Find(ctx context.Context, id, customer string, fromSeq uint64) (*answer.Record, *result.Error)
	// Cancel cancels a request, which may belong to another entry.
	Cancel(ctx context.Context, id, customer string) *result.Error
}

// Options configures a Handler.
type Options struct {
	Backend Backend
	// MaxHeaderBytes is the maximum total size of the request URI and headers.
	MaxHeaderBytes int
	// ReadTimeout limits the time to read a request body, WriteTimeout that of each
	// write of a response.
	ReadTimeout, WriteTimeout time.Duration
	// Uploads reads the bodies of all requests.
	Uploads *inbound.Uploads
	Log     logr.Logger
	// Now returns the current time. Default: time.Now.
	Now func() time.Time
}

// Handler is the http.Handler of the caller API.
type Handler struct {
	opts Options
	mux  *http.ServeMux
}

// New returns a handler for all routes of the caller API.
func New(o Options) *Handler {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Uploads == nil {
		o.Uploads = inbound.NewUploads(defaultBodyMemoryBytes, nil, tally.NoopScope)
	}
	h := &Handler{opts: o, mux: http.NewServeMux()}
	h.mux.HandleFunc("/v1/calls/{call}", h.handleCall)
	h.mux.HandleFunc("/v1/requests/{id}", h.handleRequest)
	h.mux.HandleFunc("/", h.handleUnknownPath)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// After a rejected request net/http reads the rest of the body; this deadline
	// limits that too. It is cleared once the body has been read.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(h.opts.ReadTimeout))
	if headerSize(r) > h.opts.MaxHeaderBytes {
		h.writeError(w, "", result.New(result.HeaderTooLarge, "the headers are over %d bytes", h.opts.MaxHeaderBytes))
		return
	}
	h.mux.ServeHTTP(w, r)
}

func headerSize(r *http.Request) int {
	n := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

func (h *Handler) handleCall(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		h.writeMethodNotAllowed(w, r, http.MethodPost)
		return
	}
	received := h.opts.Now()
	req, err := h.parseRequest(w, r, received)
	if err != nil {
		h.writeError(w, "", err)
		return
	}
	inbound.RequestReceived(r.Context())
	rec, err := h.opts.Backend.Submit(req)
	if err != nil {
		req.ReleaseBody()
		h.writeError(w, "", err)
		return
	}
	h.writeAnswer(w, r, rec, 0)
}

func (h *Handler) handleRequest(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodDelete {
		h.writeMethodNotAllowed(w, r, http.MethodGet+", "+http.MethodDelete)
		return
	}
	customer, err := h.authenticate(h.opts.Backend.Snapshot(), r)
	if err != nil {
		h.writeError(w, "", err)
		return
	}
	id := r.PathValue("id")
	if r.ContentLength == 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		inbound.RequestReceived(r.Context())
	}
	if r.Method == http.MethodDelete {
		if err := h.opts.Backend.Cancel(r.Context(), id, customer.Name); err != nil {
			h.writeError(w, id, err)
			return
		}
		w.WriteHeader(http.StatusNoContent)
		return
	}
	lastSeq, err := parseLastEventID(r)
	if err != nil {
		h.writeError(w, id, err)
		return
	}
	rec, err := h.opts.Backend.Find(r.Context(), id, customer.Name, lastSeq+1)
	if err != nil {
		h.writeError(w, id, err)
		return
	}
	h.writeAnswer(w, r, rec, lastSeq)
}

func (h *Handler) writeMethodNotAllowed(w http.ResponseWriter, r *http.Request, allow string) {
	w.Header().Set("Allow", allow)
	h.writeError(w, "", result.New(result.MethodNotAllowed, "%s is not allowed here; allowed: %s", r.Method, allow))
}

func (h *Handler) handleUnknownPath(w http.ResponseWriter, r *http.Request) {
	h.writeError(w, "", result.New(result.UnknownCall, "there is nothing at this path"))
}
