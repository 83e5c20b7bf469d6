package failure

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/test/standin"
)

// uuidV7At returns a UUIDv7 with the given timestamp.
func uuidV7At(at time.Time) string {
	id := uuid.Must(uuid.NewV7())
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	return id.String()
}

// badInput is an invalid request with the expected error. Empty fields take the values of a
// valid request.
type badInput struct {
	name    string
	path    string
	method  string
	headers map[string]string
	body    string
	code    result.Code
	ran     string
}

var badInputs = []badInput{
	{name: "unknown call", path: "/v1/calls/nothing", code: result.UnknownCall, ran: "no"},
	{name: "wrong content type", headers: map[string]string{"Content-Type": "text/html"}, code: result.BadContentType, ran: "no"},
	{name: "body too large", body: strings.Repeat("x", 70_000), code: result.BodyTooLarge, ran: "no"},
	{name: "body is not JSON", body: "{", code: result.BadBody, ran: "no"},
	{name: "deadline is not a number", headers: map[string]string{"Request-Timeout": "soon"}, code: result.BadDeadline, ran: "no"},
	{name: "deadline is negative", headers: map[string]string{"Request-Timeout": "-1"}, code: result.BadDeadline, ran: "no"},
	{name: "deadline is out of range", headers: map[string]string{"Request-Timeout": "99999999999999999999"}, code: result.BadDeadline, ran: "no"},
	{name: "unknown customer", headers: map[string]string{"Customer": "nobody"}, code: result.BadCustomer, ran: "no"},
	{name: "wrong customer key", headers: map[string]string{"Customer-Key": "wrong"}, code: result.BadCustomer, ran: "no"},
	{name: "no customer", headers: map[string]string{"Customer": "", "Customer-Key": ""}, code: result.BadCustomer, ran: "no"},
	{name: "idempotency key is not a UUID", headers: map[string]string{"Idempotency-Key": "1234"}, code: result.BadKey, ran: "no"},
	{name: "idempotency key is a UUIDv4", headers: map[string]string{"Idempotency-Key": "7c2f0a53-5d0a-4c39-9d5a-6f5a3b0c9d11"}, code: result.BadKey, ran: "no"},
	{name: "idempotency key is in the future", headers: map[string]string{"Idempotency-Key": uuidV7At(time.Now().Add(time.Hour))}, code: result.KeyFromFuture, ran: "no"},
	{name: "idempotency key has expired", headers: map[string]string{"Idempotency-Key": uuidV7At(time.Now().Add(-time.Hour))}, code: result.KeyExpired, ran: "unknown"},
	{name: "method not allowed", method: http.MethodPut, code: result.MethodNotAllowed, ran: "no"},
	{name: "headers too large", headers: map[string]string{"Prompt-Prefix": strings.Repeat("x", 40_000)}, code: result.HeaderTooLarge, ran: "no"},
	{name: "idempotency key for a call that allows none", path: "/v1/calls/read", headers: map[string]string{"Idempotency-Key": uuidV7At(time.Now())}, code: result.KeyNotAllowed, ran: "no"},
	{name: "Last-Event-ID is not a number", path: "/v1/requests/nothing", method: http.MethodGet,
		headers: map[string]string{"Last-Event-ID": "x"}, code: result.BadLastEventID, ran: "unknown"},
	{name: "unknown request", path: "/v1/requests/nothing", method: http.MethodGet, code: result.UnknownRequest, ran: "unknown"},
}

// TestBadInput checks the responses to invalid input: the error code, its HTTP status, and
// that nothing is executed.
func TestBadInput(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nil)
	for _, tc := range badInputs {
		t.Run(tc.name, func(t *testing.T) {
			resp, text := f.sendBadInput(t, tc)
			var e struct {
				Code    result.Code
				Name    string
				Ran     string
				Effects string
			}
			assert.NilError(t, json.Unmarshal(text, &e), "%s", text)
			assert.Equal(t, e.Code, tc.code, "%s", text)
			assert.Equal(t, resp.StatusCode, tc.code.HTTP())
			assert.Equal(t, e.Ran, tc.ran)
			info, _ := result.Lookup(tc.code)
			assert.Equal(t, e.Name, info.Name)
			assert.Equal(t, e.Ran, info.Ran)
		})
	}
	assert.Equal(t, len(f.matchingExecutions(func(standin.Execution) bool { return true })), 0)
}

// sendBadInput sends the request of a test case and returns the response and its body.
func (f *fleet) sendBadInput(t *testing.T, tc badInput) (*http.Response, []byte) {
	t.Helper()
	path, method, text := "/v1/calls/file-only", http.MethodPost, `{"nonce":"bad"}`
	if tc.path != "" {
		path = tc.path
	}
	if tc.method != "" {
		method = tc.method
	}
	if tc.body != "" {
		text = tc.body
	}
	req, err := http.NewRequestWithContext(f.ctx, method, f.Entries[0].CallerURL+path, bytes.NewBufferString(text))
	assert.NilError(t, err)
	req.Header.Set("Customer", "burj-consult")
	req.Header.Set("Customer-Key", "burj-consult-key")
	req.Header.Set("Content-Type", "application/json")
	for name, value := range tc.headers {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, answer
}
