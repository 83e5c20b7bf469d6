package callerapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"io"
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
)

// parse checks a request whole and reads its body last.
func (h *Handler) parse(w http.ResponseWriter, r *http.Request, received time.Time) (*Request, *result.Error) {
	snap := h.opts.Backend.Snapshot()
	if snap == nil || snap.Schema == nil {
		return nil, notReady()
	}
	customer, bad := h.customer(snap, r)
	if bad != nil {
		return nil, bad
	}
	call := snap.Schema.Call(r.PathValue("call"))
	if call == nil || (len(customer.Calls) > 0 && !slices.Contains(customer.Calls, call.Name)) {
		return nil, result.New(result.UnknownCall, "there is no call %q", r.PathValue("call"))
	}
	req := &Request{
		Snapshot: snap, Call: call, Pipeline: snap.Schema.Pipeline(call.Pipeline), Customer: customer,
		Received: received, Live: wantsStream(r),
	}
	if req.Timeout, bad = timeout(r, call); bad != nil {
		return nil, bad
	}
	if req.Key, bad = key(r, req, snap.Schema.Limits, received); bad != nil {
		return nil, bad
	}
	if req.Prefix, bad = prefix(r); bad != nil {
		return nil, bad
	}
	if req.Body, bad = h.body(w, r, call); bad != nil {
		return nil, bad
	}
	return req, nil
}

func notReady() *result.Error {
	e := result.New(result.NotReady, "no configuration is in force yet")
	e.RetryAfter = time.Second
	return e
}

// customer checks who calls, in constant time for a known customer.
func (h *Handler) customer(snap *configlog.Snapshot, r *http.Request) (*schema.Customer, *result.Error) {
	if snap == nil || snap.Schema == nil {
		return nil, notReady()
	}
	var want [sha256.Size]byte
	c := snap.Schema.Customer(r.Header.Get(HeaderCustomer))
	if c != nil {
		_, _ = hex.Decode(want[:], []byte(c.KeySHA256))
	}
	got := sha256.Sum256([]byte(r.Header.Get(HeaderCustomerKey)))
	if subtle.ConstantTimeCompare(got[:], want[:]) != 1 || c == nil {
		return nil, result.New(result.BadCustomer, "the customer is unknown or its key does not match")
	}
	return c, nil
}

func wantsStream(r *http.Request) bool {
	for _, v := range r.Header.Values("Accept") {
		if t, _, err := mime.ParseMediaType(v); err == nil && t == TypeStream {
			return true
		}
	}
	return false
}

func timeout(r *http.Request, call *schema.Call) (time.Duration, *result.Error) {
	most := call.Deadline.AsDuration()
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		return most, nil
	}
	ms, err := strconv.ParseUint(text, 10, 32)
	if err != nil || ms == 0 || time.Duration(ms)*time.Millisecond > most {
		return 0, result.New(result.BadDeadline, "%s is a number of milliseconds from 1 to %d", HeaderTimeout, most.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// key checks the idempotency key. Its time must lie within the validity window,
// since a claim could not be found any more outside of it.
func key(r *http.Request, req *Request, limits schema.Limits, now time.Time) (string, *result.Error) {
	text := r.Header.Get(HeaderKey)
	switch {
	case text == "" && req.Call.KeyRequired:
		return "", result.New(result.KeyRequired, "call %s needs the header %s", req.Call.Name, HeaderKey)
	case text == "":
		return "", nil
	case !req.Pipeline.HasSideEffects():
		return "", result.New(result.KeyNotAllowed, "call %s has no stage that %s could apply to", req.Call.Name, HeaderKey)
	}
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 || id.String() != text {
		return "", result.New(result.BadKey, "%s is a UUIDv7 in lower-case canonical form", HeaderKey)
	}
	minted := time.Unix(id.Time().UnixTime())
	switch {
	case minted.Sub(now) > limits.MaxKeySkew.AsDuration():
		return "", result.New(result.KeyFromFuture, "the key's time is ahead of the clock")
	case now.Sub(minted) > limits.KeyValidity.AsDuration():
		e := result.New(result.KeyExpired, "the key is older than %s", limits.KeyValidity.AsDuration())
		e.Ran, e.Effects = result.RanUnknown, result.RanUnknown
		return "", e
	}
	return text, nil
}

func prefix(r *http.Request) (uint64, *result.Error) {
	text := r.Header.Get(HeaderPrefix)
	if len(text) > MaxPrefixBytes {
		return 0, result.New(result.HeaderTooLarge, "%s is over %d bytes", HeaderPrefix, MaxPrefixBytes)
	}
	if text == "" {
		return 0, nil
	}
	return xxhash.Sum64String(text), nil
}

func (h *Handler) body(w http.ResponseWriter, r *http.Request, call *schema.Call) ([]byte, *result.Error) {
	media, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || (media != "application/json" && media != "application/octet-stream") {
		return nil, result.New(result.BadContentType, "the content type is application/json or application/octet-stream")
	}
	tooLarge := result.New(result.BodyTooLarge, "the body is over %d bytes", call.MaxBodyBytes)
	if r.ContentLength > call.MaxBodyBytes {
		return nil, tooLarge
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, call.MaxBodyBytes))
	var over *http.MaxBytesError
	switch {
	case errors.As(err, &over):
		return nil, tooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		return nil, result.New(result.SlowCaller, "the body took over %s to arrive", h.opts.ReadTimeout)
	case err != nil:
		return nil, result.New(result.BadBody, "the body could not be read")
	case len(body) == 0:
		return nil, result.New(result.BadBody, "the body is empty")
	case media == "application/json" && !json.Valid(body):
		return nil, result.New(result.BadBody, "the body is not valid JSON")
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, nil
}

func lastEventID(r *http.Request) (uint64, *result.Error) {
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
