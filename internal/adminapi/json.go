package adminapi

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/schema"
)

// ErrorBody is the body of every error response.
type ErrorBody struct {
	Code             result.Code              `json:"code"`
	Name             string                   `json:"name"`
	Message          string                   `json:"message"`
	RetryAfterMS     int64                    `json:"retry_after_ms,omitempty"`
	ValidationErrors []schema.ValidationError `json:"mistakes,omitempty"`
	// ChangeID is the id of the change, with which its outcome can be queried later.
	ChangeID string `json:"change,omitempty"`
	// Offset is the position of the change in the log; 0 if it was not written.
	Offset uint64 `json:"offset,omitempty"`
	// Object and Version name the current version of the object that a change
	// conflicted with. Object alone is set if the object does not exist.
	Object  string `json:"object,omitempty"`
	Version uint64 `json:"version,omitempty"`
}

// Error returns the code and the message, and each validation error on its own line.
func (e *ErrorBody) Error() string {
	text := e.Code.String() + ": " + e.Message
	for i := range e.ValidationErrors {
		text += "\n" + e.ValidationErrors[i].String()
	}
	return text
}

// WriteJSON writes a response with the JSON encoding of v.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// WriteError writes an error response with the HTTP status of its result code. An error
// without a code is reported as result.Internal.
func WriteError(w http.ResponseWriter, err error) {
	var resultErr *result.Error
	if !errors.As(err, &resultErr) {
		resultErr = result.New(result.Internal, "%v", err)
	}
	body := &ErrorBody{Code: resultErr.Code, Message: resultErr.Message, RetryAfterMS: resultErr.RetryAfter.Milliseconds()}
	writeErrorBody(w, body)
}

func writeErrorBody(w http.ResponseWriter, body *ErrorBody) {
	info, _ := result.Lookup(body.Code)
	body.Name = info.Name
	if body.RetryAfterMS > 0 {
		d := time.Duration(body.RetryAfterMS) * time.Millisecond
		w.Header().Set("Retry-After", strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10))
	}
	WriteJSON(w, body.Code.HTTP(), body)
}

// ReadJSON decodes the body of a request. Unknown keys and data after the JSON value
// are errors.
func ReadJSON(r *http.Request, v any) error {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return result.New(result.AdminBadRequest, "the body is not valid: %v", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return result.New(result.AdminBadRequest, "data after the end of the body")
	}
	return nil
}
