package callerapi

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/schema"
	"github.com/magnoliawheel/magnoliawheel/internal/answer"
)

// testTime is the current time in the tests. The timestamps of the keys below are
// relative to it.
var testTime = time.UnixMilli(1_700_000_000_000)

const (
	validKey   = "018bcfe5-6800-7000-8000-000000000001"
	futureKey  = "018bcfe5-b620-7000-8000-000000000001" // 20 s after testTime
	expiredKey = "018bcfd3-1880-7000-8000-000000000001" // 20 min before testTime
	uuidV4Key  = "018bcfe5-6800-4000-8000-000000000001"
)

type fakeBackend struct {
	snap       *configlog.Snapshot
	err        *result.Error
	fillRecord func(rec *answer.Record)
	submitted  *Request
	canceled   string
}

func (b *fakeBackend) Snapshot() *configlog.Snapshot { return b.snap }

func (b *fakeBackend) Submit(r *Request) (*answer.Record, *result.Error) {
	b.submitted = r
	if b.err != nil {
		return nil, b.err
	}
	rec := answer.New(answer.Options{RequestID: "entry-1~a.b"})
	b.fillRecord(rec)
	return rec, nil
}

func (b *fakeBackend) Find(_ context.Context, id, customer string, from uint64) (*answer.Record, *result.Error) {
	if b.err != nil {
		return nil, b.err
	}
	rec := answer.New(answer.Options{RequestID: id})
	b.fillRecord(rec)
	return rec, nil
}

func (b *fakeBackend) Cancel(_ context.Context, id, _ string) *result.Error {
	b.canceled = id
	return b.err
}

func appendCompleteAnswer(rec *answer.Record) {
	rec.Append(answer.KindChunk, answer.ChunkData{Stage: "generate", Text: "a \"quoted\"\n"})
	rec.Append(answer.KindChunk, answer.ChunkData{Stage: "generate", Text: "line"})
	rec.Append(answer.KindChunk, answer.ChunkData{Stage: "file", Text: "ok"})
	rec.Append(answer.KindDone, answer.DoneData{Chunks: 3, Checksum: "0123456789abcdef"})
}

func appendFailure(rec *answer.Record) {
	rec.Append(answer.KindError, answer.NewErrorData("entry-1~a.b", &result.Error{
		Code: result.DeadlineExceeded, Message: "the deadline passed in stage file",
		Ran: result.RanYes, Effects: result.RanNo, RetryAfter: 1250 * time.Millisecond,
	}))
}

func testSchema(t testing.TB) *schema.Schema {
	t.Helper()
	key := sha256.Sum256([]byte("acme-key"))
	s := &schema.Schema{
		Pools: []schema.Pool{{Name: "p", Kind: schema.KindService, ConcurrencyLimit: 1, QueueLimit: 1}},
		Pipelines: []schema.Pipeline{
			{Name: "draft", Stages: []schema.Stage{{Name: "file", Pool: "p", ServerCall: "c", InAnswer: true, TypicalDuration: 1}}},
			{Name: "ask", Stages: []schema.Stage{{Name: "generate", Pool: "p", ServerCall: "c", Idempotent: true, InAnswer: true, TypicalDuration: 1}}},
		},
		Calls: []schema.Call{
			{Name: "draft", Pipeline: "draft", Deadline: schema.Duration(3 * time.Second), MaxBodyBytes: 16},
			{Name: "keyed", Pipeline: "draft", Deadline: schema.Duration(3 * time.Second), MaxBodyBytes: 16, KeyRequired: true},
			{Name: "ask", Pipeline: "ask", Deadline: schema.Duration(3 * time.Second), MaxBodyBytes: 16},
		},
		Customers: []schema.Customer{
			{Name: "acme", KeySHA256: hex.EncodeToString(key[:]), Weight: 1, Calls: []string{"draft", "keyed", "ask"}},
			{Name: "narrow", KeySHA256: hex.EncodeToString(key[:]), Weight: 1, Calls: []string{"ask"}},
		},
	}
	s.Normalize()
	assert.Equal(t, len(s.Validate()), 0, "%v", s.Validate())
	return s
}

func newHandler(t testing.TB, b *fakeBackend) *Handler {
	t.Helper()
	if b.fillRecord == nil {
		b.fillRecord = appendCompleteAnswer
	}
	if b.snap == nil {
		b.snap = &configlog.Snapshot{Offset: 1, Schema: testSchema(t)}
	}
	return New(Options{
		Backend: b, MaxHeaderBytes: 1024,
		ReadTimeout: 100 * time.Millisecond, WriteTimeout: time.Second, Now: func() time.Time { return testTime },
	})
}

func newRequest(method, path, body string, header ...string) *http.Request {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Customer", "acme")
	r.Header.Set("Customer-Key", "acme-key")
	r.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

// finalResponseRecorder ignores 1xx responses, which httptest.ResponseRecorder would
// record as the final one.
type finalResponseRecorder struct{ *httptest.ResponseRecorder }

func (r finalResponseRecorder) WriteHeader(code int) {
	if code >= http.StatusOK {
		r.ResponseRecorder.WriteHeader(code)
	}
}

func dumpResponse(t testing.TB, w *httptest.ResponseRecorder) string {
	t.Helper()
	b, err := httputil.DumpResponse(w.Result(), true)
	assert.NilError(t, err)
	return strings.ReplaceAll(string(b), "\r\n", "\n")
}

// TestResponsesMatchGoldenFiles compares answers and error responses with golden files,
// including the numbered code of every reason to reject a request. Each case is named
// after its file.
func TestResponsesMatchGoldenFiles(t *testing.T) {
	post := func(call, body string, header ...string) *http.Request {
		return newRequest("POST", "/v1/calls/"+call, body, header...)
	}
	get := func(header ...string) *http.Request {
		return newRequest("GET", "/v1/requests/entry-1~a.b", "", header...)
	}
	overloaded := result.New(result.Overloaded, "too many requests in flight")
	overloaded.RetryAfter = 1500 * time.Millisecond
	cases := []struct {
		name      string
		req       *http.Request
		backend   fakeBackend
		submitted bool
	}{
		{"whole", post("draft", `{}`), fakeBackend{}, true},
		{"stream", post("draft", `{}`, "Accept", "text/event-stream"), fakeBackend{}, true},
		{"keyed", post("keyed", `{}`, "Idempotency-Key", validKey), fakeBackend{}, true},
		{"raw-body", post("ask", "\xff", "Content-Type", "application/octet-stream"), fakeBackend{}, true},
		{"timeout", post("ask", `{}`, "Request-Timeout", "3000"), fakeBackend{}, true},
		{"failed", post("draft", `{}`), fakeBackend{fillRecord: appendFailure}, true},
		{"failed-stream", post("draft", `{}`, "Accept", "text/event-stream"), fakeBackend{fillRecord: appendFailure}, true},
		{"refused", post("draft", `{}`), fakeBackend{err: overloaded}, true},
		{"again", get(), fakeBackend{}, false},
		{"again-stream", get("Accept", "text/event-stream", "Last-Event-ID", "3"), fakeBackend{}, false},
		{"cancel", newRequest("DELETE", "/v1/requests/entry-1~a.b", ""), fakeBackend{}, false},

		{"unknown-call", post("nothing", `{}`), fakeBackend{}, false},
		{"call-not-allowed", post("draft", `{}`, "Customer", "narrow"), fakeBackend{}, false},
		{"unknown-path", newRequest("GET", "/v2", ""), fakeBackend{}, false},
		{"method-call", newRequest("GET", "/v1/calls/draft", ""), fakeBackend{}, false},
		{"method-request", newRequest("PUT", "/v1/requests/x", ""), fakeBackend{}, false},
		{"content-type", post("draft", `{}`, "Content-Type", "text/plain"), fakeBackend{}, false},
		{"body-too-large", post("draft", `{"q":"0123456789"}`), fakeBackend{}, false},
		{"body-empty", post("draft", ""), fakeBackend{}, false},
		{"body-not-json", post("draft", "{"), fakeBackend{}, false},
		{"deadline-malformed", post("draft", `{}`, "Request-Timeout", "soon"), fakeBackend{}, false},
		{"deadline-zero", post("draft", `{}`, "Request-Timeout", "0"), fakeBackend{}, false},
		{"deadline-negative", post("draft", `{}`, "Request-Timeout", "-5"), fakeBackend{}, false},
		{"deadline-absurd", post("draft", `{}`, "Request-Timeout", "99999999999999999999"), fakeBackend{}, false},
		{"deadline-over", post("draft", `{}`, "Request-Timeout", "3001"), fakeBackend{}, false},
		{"customer-unknown", post("draft", `{}`, "Customer", "nobody"), fakeBackend{}, false},
		{"customer-key", post("draft", `{}`, "Customer-Key", "wrong"), fakeBackend{}, false},
		{"key-malformed", post("draft", `{}`, "Idempotency-Key", "k1"), fakeBackend{}, false},
		{"key-version", post("draft", `{}`, "Idempotency-Key", uuidV4Key), fakeBackend{}, false},
		{"key-upper-case", post("draft", `{}`, "Idempotency-Key", strings.ToUpper(validKey)), fakeBackend{}, false},
		{"key-future", post("draft", `{}`, "Idempotency-Key", futureKey), fakeBackend{}, false},
		{"key-expired", post("draft", `{}`, "Idempotency-Key", expiredKey), fakeBackend{}, false},
		{"key-required", post("keyed", `{}`), fakeBackend{}, false},
		{"key-not-allowed", post("ask", `{}`, "Idempotency-Key", validKey), fakeBackend{}, false},
		{"prefix-too-long", post("ask", `{}`, "Prompt-Prefix", strings.Repeat("p", 1025)), fakeBackend{}, false},
		{"headers-too-large", post("ask", `{}`, "X-Large", strings.Repeat("x", 1024)), fakeBackend{}, false},
		{"last-event-id", get("Last-Event-ID", "x"), fakeBackend{}, false},
		{"not-ready", post("draft", `{}`), fakeBackend{snap: &configlog.Snapshot{}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			h := newHandler(t, &c.backend)
			h.ServeHTTP(finalResponseRecorder{w}, c.req)
			golden.Assert(t, dumpResponse(t, w), c.name+".golden")
			assert.Equal(t, c.backend.submitted != nil, c.submitted)
		})
	}
}

func TestHeadersArePassedToBackend(t *testing.T) {
	b := &fakeBackend{}
	h := newHandler(t, b)
	h.ServeHTTP(httptest.NewRecorder(), newRequest("POST", "/v1/calls/draft", `{}`,
		"Request-Timeout", "250", "Idempotency-Key", validKey, "Prompt-Prefix", "p", "Accept", "text/event-stream; q=1"))
	assert.Equal(t, b.submitted.Timeout, 250*time.Millisecond)
	assert.Equal(t, b.submitted.IdempotencyKey, validKey)
	assert.Assert(t, b.submitted.PromptPrefixHash != 0)
	assert.Assert(t, b.submitted.Streaming)
	assert.Equal(t, string(b.submitted.Body), `{}`)
}

func startServer(t *testing.T, b *fakeBackend) string {
	t.Helper()
	srv := httptest.NewServer(newHandler(t, b))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

func TestRequestIDIsSentInEarlyHints(t *testing.T) {
	release := make(chan struct{})
	b := &fakeBackend{fillRecord: func(rec *answer.Record) {
		go func() {
			<-release
			appendCompleteAnswer(rec)
		}()
	}}
	conn, err := net.Dial("tcp", startServer(t, b))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprint(conn, "POST /v1/calls/ask HTTP/1.1\r\nHost: x\r\nCustomer: acme\r\nCustomer-Key: acme-key\r\n"+
		"Content-Type: application/json\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}")
	assert.NilError(t, err)
	var got bytes.Buffer
	buf := make([]byte, 512)
	for !strings.Contains(got.String(), "\r\n\r\n") {
		n, err := conn.Read(buf)
		assert.NilError(t, err)
		got.Write(buf[:n])
	}
	assert.Assert(t, strings.HasPrefix(got.String(), "HTTP/1.1 103 "), got.String())
	assert.Assert(t, strings.Contains(got.String(), "Request-Id: entry-1~a.b"))
	close(release)
	_, err = got.ReadFrom(conn)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(got.String(), "HTTP/1.1 200 OK"))
}

func TestSlowBodyIsRejected(t *testing.T) {
	b := &fakeBackend{}
	conn, err := net.Dial("tcp", startServer(t, b))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprint(conn, "POST /v1/calls/ask HTTP/1.1\r\nHost: x\r\nCustomer: acme\r\nCustomer-Key: acme-key\r\n"+
		"Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{")
	assert.NilError(t, err)
	var got bytes.Buffer
	_, err = got.ReadFrom(conn)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(got.String(), `"code":1010`), got.String())
	assert.Assert(t, b.submitted == nil)
}

// TestStreamEndsWhenCallerDoesNotRead checks that the write timeout ends the handler
// once the socket buffers are full.
func TestStreamEndsWhenCallerDoesNotRead(t *testing.T) {
	handlerDone := make(chan bool, 1)
	b := &fakeBackend{fillRecord: func(rec *answer.Record) {
		text := strings.Repeat("x", 1<<20)
		go func() {
			for range 64 {
				rec.Append(answer.KindChunk, answer.ChunkData{Stage: "generate", Text: text})
			}
		}()
	}}
	h := newHandler(t, b)
	h.opts.WriteTimeout = 200 * time.Millisecond
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(w, r)
		handlerDone <- true
	}))
	t.Cleanup(srv.Close)
	conn, err := net.Dial("tcp", srv.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprint(conn, "POST /v1/calls/ask HTTP/1.1\r\nHost: x\r\nCustomer: acme\r\nCustomer-Key: acme-key\r\n"+
		"Content-Type: application/json\r\nAccept: text/event-stream\r\nContent-Length: 2\r\n\r\n{}")
	assert.NilError(t, err)
	<-handlerDone
}

// FuzzRequest checks that no input makes the handler panic, and that a request that
// violates a limit never reaches the backend.
func FuzzRequest(f *testing.F) {
	f.Add("POST", "/v1/calls/draft", "acme", "acme-key", "application/json", "100", validKey, "p", "", []byte(`{}`))
	f.Add("GET", "/v1/requests/entry-1~a.b", "acme", "acme-key", "", "", "", "", "3", []byte{})
	f.Add("DELETE", "/v1/requests/~", "acme", "wrong", "", "-1", "k", "", "-1", []byte("{"))
	f.Fuzz(func(t *testing.T, method, path, customer, customerKey, contentType, timeout, idempotencyKey, prefix, lastEventID string, body []byte) {
		r, err := http.NewRequest(method, "http://x"+path, bytes.NewReader(body))
		if err != nil {
			t.Skip()
		}
		r.RequestURI = path
		for name, v := range map[string]string{
			"Customer": customer, "Customer-Key": customerKey, "Content-Type": contentType, "Request-Timeout": timeout,
			"Idempotency-Key": idempotencyKey, "Prompt-Prefix": prefix, "Last-Event-ID": lastEventID,
		} {
			r.Header.Set(name, v)
		}
		b := &fakeBackend{}
		w := httptest.NewRecorder()
		newHandler(t, b).ServeHTTP(w, r)
		if b.submitted == nil {
			return
		}
		if customerKey != "acme-key" || b.submitted.Timeout <= 0 || b.submitted.Timeout > b.submitted.Call.Deadline.AsDuration() || int64(len(b.submitted.Body)) > b.submitted.Call.MaxBodyBytes {
			t.Fatalf("unchecked request reached the backend: %+v", b.submitted)
		}
	})
}
