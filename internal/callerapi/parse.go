package callerapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"mime"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/schema"
	"github.com/magnoliawheel/magnoliawheel/internal/bounded"
)

// parseRequest validates a request. It reads the body last, after all checks of the
// headers have passed.
func (h *Handler) parseRequest(w http.ResponseWriter, r *http.Request, received time.Time) (*Request, *result.Error) {
	snap := h.opts.Backend.Snapshot()
	if snap == nil || snap.Schema == nil {
		return nil, notReadyError()
	}
	customer, err := h.authenticate(snap, r)
	if err != nil {
		return nil, err
	}
	call := snap.Schema.Call(r.PathValue("call"))
	if call == nil || (len(customer.Calls) > 0 && !slices.Contains(customer.Calls, call.Name)) {
		return nil, result.New(result.UnknownCall, "there is no call %q", r.PathValue("call"))
	}
	req := &Request{
		Snapshot: snap, Call: call, Pipeline: snap.Schema.Pipeline(call.Pipeline), Customer: customer,
		Received: received, Streaming: wantsStream(r),
	}
	if req.Timeout, err = parseTimeout(r, call); err != nil {
		return nil, err
	}
	if req.IdempotencyKey, err = parseIdempotencyKey(r, req, snap.Schema.Limits, received); err != nil {
		return nil, err
	}
	if req.PromptPrefixHash, err = hashPromptPrefix(r); err != nil {
		return nil, err
	}
	if err = h.readBody(w, r, req); err != nil {
		return nil, err
	}
	return req, nil
}

func notReadyError() *result.Error {
	e := result.New(result.NotReady, "no configuration is in force yet")
	e.RetryAfter = time.Second
	return e
}

// authenticate returns the customer of a request. For a known customer the key is
// compared in constant time.
func (h *Handler) authenticate(snap *configlog.Snapshot, r *http.Request) (*schema.Customer, *result.Error) {
	if snap == nil || snap.Schema == nil {
		return nil, notReadyError()
	}
	var wantHash [sha256.Size]byte
	c := snap.Schema.Customer(r.Header.Get(HeaderCustomer))
	if c != nil {
		_, _ = hex.Decode(wantHash[:], []byte(c.KeySHA256))
	}
	gotHash := sha256.Sum256([]byte(r.Header.Get(HeaderCustomerKey)))
	if subtle.ConstantTimeCompare(gotHash[:], wantHash[:]) != 1 || c == nil {
		return nil, result.New(result.BadCustomer, "the customer is unknown or its key does not match")
	}
	return c, nil
}

// wantsStream reports whether the Accept header lists the media type of event streams.
func wantsStream(r *http.Request) bool {
	for _, v := range r.Header.Values("Accept") {
		if mediaType, _, err := mime.ParseMediaType(v); err == nil && mediaType == ContentTypeEventStream {
			return true
		}
	}
	return false
}

// parseTimeout returns the time that the caller allows for the request. The default and
// the maximum are the deadline of the call.
func parseTimeout(r *http.Request, call *schema.Call) (time.Duration, *result.Error) {
	maxTimeout := call.Deadline.AsDuration()
	text := r.Header.Get(HeaderRequestTimeout)
	if text == "" {
		return maxTimeout, nil
	}
	ms, err := strconv.ParseUint(text, 10, 32)
	if err != nil || ms == 0 || time.Duration(ms)*time.Millisecond > maxTimeout {
		return 0, result.New(result.BadDeadline, "%s is a number of milliseconds from 1 to %d", HeaderRequestTimeout, maxTimeout.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// parseIdempotencyKey validates the idempotency key. The timestamp in the key must be
// within the validity window: outside of it the claim of the key can no longer be found.
func parseIdempotencyKey(r *http.Request, req *Request, limits schema.Limits, now time.Time) (string, *result.Error) {
	text := r.Header.Get(HeaderIdempotencyKey)
	switch {
	case text == "" && req.Call.KeyRequired:
		return "", result.New(result.KeyRequired, "call %s needs the header %s", req.Call.Name, HeaderIdempotencyKey)
	case text == "":
		return "", nil
	case !req.Pipeline.HasSideEffects():
		return "", result.New(result.KeyNotAllowed, "call %s has no stage that %s could apply to", req.Call.Name, HeaderIdempotencyKey)
	}
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 || id.String() != text {
		return "", result.New(result.BadKey, "%s is a UUIDv7 in lower-case canonical form", HeaderIdempotencyKey)
	}
	keyTime := time.Unix(id.Time().UnixTime())
	switch {
	case keyTime.Sub(now) > limits.MaxKeySkew.AsDuration():
		return "", result.New(result.KeyFromFuture, "the key's time is ahead of the clock")
	case now.Sub(keyTime) > limits.KeyValidity.AsDuration():
		e := result.New(result.KeyExpired, "the key is older than %s", limits.KeyValidity.AsDuration())
		e.Ran, e.Effects = result.RanUnknown, result.RanUnknown
		return "", e
	}
	return text, nil
}

func hashPromptPrefix(r *http.Request) (uint64, *result.Error) {
	text := r.Header.Get(HeaderPromptPrefix)
	if len(text) > MaxPromptPrefixBytes {
		return 0, result.New(result.HeaderTooLarge, "%s is over %d bytes", HeaderPromptPrefix, MaxPromptPrefixBytes)
	}
	if text == "" {
		return 0, nil
	}
	return xxhash.Sum64String(text), nil
}

// readBody reads and validates the body of a request, and clears the read deadline. The memory of
// the body is held only if there is no error.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, req *Request) *result.Error {
	body, release, err := h.readRawBody(w, r, req.Call)
	if err != nil {
		return err
	}
	if err := checkBody(r, body); err != nil {
		release()
		return err
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	req.Body, req.ReleaseBody = body, release
	return nil
}

// readRawBody reads the body of a request for a call. The body counts until release is called.
func (h *Handler) readRawBody(w http.ResponseWriter, r *http.Request, call *schema.Call) (body []byte, release func(), resErr *result.Error) {
	mediaType, err := bodyType(r)
	if err != nil || (mediaType != "application/json" && mediaType != "application/octet-stream") {
		return nil, nil, result.New(result.BadContentType, "the content type is application/json or application/octet-stream")
	}
	tooLarge := result.New(result.BodyTooLarge, "the body is over %d bytes", call.MaxBodyBytes)
	if r.ContentLength > call.MaxBodyBytes {
		return nil, nil, tooLarge
	}
	body, release, err = h.opts.Uploads.Read(w, r, h.opts.Log, call.MaxBodyBytes)
	var maxBytesErr *http.MaxBytesError
	switch {
	case err == nil:
		return body, release, nil
	case errors.As(err, &maxBytesErr):
		return nil, nil, tooLarge
	case errors.Is(err, bounded.ErrBudgetSpent):
		w.Header().Set("Connection", "close")
		return nil, nil, noMemoryError()
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		return nil, nil, result.New(result.SlowCaller, "the body took over %s to arrive", h.opts.ReadTimeout)
	}
	return nil, nil, result.New(result.BadBody, "the body could not be read")
}

func bodyType(r *http.Request) (string, error) {
	mediaType, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	return mediaType, err
}

// checkBody validates a body that has been read.
func checkBody(r *http.Request, body []byte) *result.Error {
	if len(body) == 0 {
		return result.New(result.BadBody, "the body is empty")
	}
	if mediaType, _ := bodyType(r); mediaType == "application/json" && !json.Valid(body) {
		return result.New(result.BadBody, "the body is not valid JSON")
	}
	return nil
}

// noMemoryRetryAfter is the Retry-After of a request for whose body there is no memory.
const noMemoryRetryAfter = time.Second

func noMemoryError() *result.Error {
	e := result.New(result.Overloaded, "the memory for request bodies is exhausted")
	e.RetryAfter = noMemoryRetryAfter
	return e
}

func parseLastEventID(r *http.Request) (uint64, *result.Error) {
	text := r.Header.Get(HeaderLastEventID)
	if text == "" {
		return 0, nil
	}
	seq, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, &result.Error{Code: result.BadLastEventID, Message: HeaderLastEventID + " is a number", Ran: result.RanUnknown, Effects: result.RanUnknown}
	}
	return seq, nil
}
