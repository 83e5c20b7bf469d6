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

// ErrorBody is the body of every answer that is not a success.
type ErrorBody struct {
	Code         result.Code              `json:"code"`
	Name         string                   `json:"name"`
	Message      string                   `json:"message"`
	RetryAfterMS int64                    `json:"retry_after_ms,omitempty"`
	Mistakes     []schema.ValidationError `json:"mistakes,omitempty"`
	// Change is the id to ask again with.
	Change string `json:"change,omitempty"`
	// Offset is where the change stands in the log; 0 if it was not written.
	Offset uint64 `json:"offset,omitempty"`
	// Object and Version name the version that won a conflict.
	Object  string `json:"object,omitempty"`
	Version uint64 `json:"version,omitempty"`
}

// Error returns the code, the message and the mistakes, one a line.
func (e *ErrorBody) Error() string {
	text := e.Code.String() + ": " + e.Message
	for i := range e.Mistakes {
		text += "\n" + e.Mistakes[i].String()
	}
	return text
}

// WriteJSON writes v with a status.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// WriteError writes an error with its code's status; an error without a code is
// an internal one.
func WriteError(w http.ResponseWriter, err error) {
	var coded *result.Error
	if !errors.As(err, &coded) {
		coded = result.New(result.Internal, "%v", err)
	}
	body := &ErrorBody{Code: coded.Code, Message: coded.Message, RetryAfterMS: coded.RetryAfter.Milliseconds()}
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

// ReadJSON decodes the body of a request. Unknown keys are errors.
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
