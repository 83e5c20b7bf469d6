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

// now is the clock of the tests; keys below are minted against it.
var now = time.UnixMilli(1_700_000_000_000)

const (
	keyNow     = "018bcfe5-6800-7000-8000-000000000001"
	keyFuture  = "018bcfe5-b620-7000-8000-000000000001" // 20 s ahead.
	keyOld     = "018bcfd3-1880-7000-8000-000000000001" // 20 min old.
	keyVersion = "018bcfe5-6800-4000-8000-000000000001"
)

type fakeBackend struct {
	snap     *configlog.Snapshot
	refusal  *result.Error
	finish   func(rec *answer.Record)
	got      *Request
	canceled string
}

func (b *fakeBackend) Snapshot() *configlog.Snapshot { return b.snap }

func (b *fakeBackend) Submit(r *Request) (*answer.Record, *result.Error) {
	b.got = r
	if b.refusal != nil {
		return nil, b.refusal
	}
	rec := answer.New(answer.Options{RequestID: "entry-1~a.b"})
	b.finish(rec)
	return rec, nil
}

func (b *fakeBackend) Find(_ context.Context, id, customer string, from uint64) (*answer.Record, *result.Error) {
	if b.refusal != nil {
		return nil, b.refusal
	}
	rec := answer.New(answer.Options{RequestID: id})
	b.finish(rec)
	return rec, nil
}

func (b *fakeBackend) Cancel(_ context.Context, id, _ string) *result.Error {
	b.canceled = id
	return b.refusal
}

func complete(rec *answer.Record) {
	rec.Append(answer.KindChunk, answer.ChunkData{Stage: "generate", Text: "a \"quoted\"\n"})
	rec.Append(answer.KindChunk, answer.ChunkData{Stage: "generate", Text: "line"})
	rec.Append(answer.KindChunk, answer.ChunkData{Stage: "file", Text: "ok"})
	rec.Append(answer.KindDone, answer.DoneData{Chunks: 3, Checksum: "0123456789abcdef"})
}

func failed(rec *answer.Record) {
	rec.Append(answer.KindError, answer.ErrorBody("entry-1~a.b", &result.Error{
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
	if b.finish == nil {
		b.finish = complete
	}
	if b.snap == nil {
		b.snap = &configlog.Snapshot{Offset: 1, Schema: testSchema(t)}
	}
	return New(Options{
		Backend: b, HeaderBytes: 1024,
		ReadTimeout: 100 * time.Millisecond, WriteTimeout: time.Second, Now: func() time.Time { return now },
	})
}

func request(method, path, body string, header ...string) *http.Request {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Customer", "acme")
	r.Header.Set("Customer-Key", "acme-key")
	r.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

// finalRecorder records the final response only.
type finalRecorder struct{ *httptest.ResponseRecorder }

func (r finalRecorder) WriteHeader(code int) {
	if code >= http.StatusOK {
		r.ResponseRecorder.WriteHeader(code)
	}
}

func dump(t testing.TB, w *httptest.ResponseRecorder) string {
	t.Helper()
	b, err := httputil.DumpResponse(w.Result(), true)
	assert.NilError(t, err)
	return strings.ReplaceAll(string(b), "\r\n", "\n")
}

// TestContract holds each response to a golden file: the answers, and every
// refusal with its numbered code.
func TestContract(t *testing.T) {
	post := func(call, body string, header ...string) *http.Request {
		return request("POST", "/v1/calls/"+call, body, header...)
	}
	get := func(header ...string) *http.Request {
		return request("GET", "/v1/requests/entry-1~a.b", "", header...)
	}
	full := result.New(result.Overloaded, "too many requests in flight")
	full.RetryAfter = 1500 * time.Millisecond
	cases := []struct {
		name    string
		req     *http.Request
		backend fakeBackend
		runs    bool
	}{
		{"whole", post("draft", `{}`), fakeBackend{}, true},
		{"stream", post("draft", `{}`, "Accept", "text/event-stream"), fakeBackend{}, true},
		{"keyed", post("keyed", `{}`, "Idempotency-Key", keyNow), fakeBackend{}, true},
		{"raw-body", post("ask", "\xff", "Content-Type", "application/octet-stream"), fakeBackend{}, true},
		{"timeout", post("ask", `{}`, "Request-Timeout", "3000"), fakeBackend{}, true},
		{"failed", post("draft", `{}`), fakeBackend{finish: failed}, true},
		{"failed-stream", post("draft", `{}`, "Accept", "text/event-stream"), fakeBackend{finish: failed}, true},
		{"refused", post("draft", `{}`), fakeBackend{refusal: full}, true},
		{"again", get(), fakeBackend{}, false},
		{"again-stream", get("Accept", "text/event-stream", "Last-Event-ID", "3"), fakeBackend{}, false},
		{"cancel", request("DELETE", "/v1/requests/entry-1~a.b", ""), fakeBackend{}, false},

		{"unknown-call", post("nothing", `{}`), fakeBackend{}, false},
		{"call-not-allowed", post("draft", `{}`, "Customer", "narrow"), fakeBackend{}, false},
		{"unknown-path", request("GET", "/v2", ""), fakeBackend{}, false},
		{"method-call", request("GET", "/v1/calls/draft", ""), fakeBackend{}, false},
		{"method-request", request("PUT", "/v1/requests/x", ""), fakeBackend{}, false},
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
		{"key-version", post("draft", `{}`, "Idempotency-Key", keyVersion), fakeBackend{}, false},
		{"key-upper-case", post("draft", `{}`, "Idempotency-Key", strings.ToUpper(keyNow)), fakeBackend{}, false},
		{"key-future", post("draft", `{}`, "Idempotency-Key", keyFuture), fakeBackend{}, false},
		{"key-expired", post("draft", `{}`, "Idempotency-Key", keyOld), fakeBackend{}, false},
		{"key-required", post("keyed", `{}`), fakeBackend{}, false},
		{"key-not-allowed", post("ask", `{}`, "Idempotency-Key", keyNow), fakeBackend{}, false},
		{"prefix-too-long", post("ask", `{}`, "Prompt-Prefix", strings.Repeat("p", 1025)), fakeBackend{}, false},
		{"headers-too-large", post("ask", `{}`, "X-Large", strings.Repeat("x", 1024)), fakeBackend{}, false},
		{"last-event-id", get("Last-Event-ID", "x"), fakeBackend{}, false},
		{"not-ready", post("draft", `{}`), fakeBackend{snap: &configlog.Snapshot{}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			h := newHandler(t, &c.backend)
			h.ServeHTTP(finalRecorder{w}, c.req)
			golden.Assert(t, dump(t, w), c.name+".golden")
			assert.Equal(t, c.backend.got != nil, c.runs)
		})
	}
}

func TestHeadersReachTheBackend(t *testing.T) {
	b := &fakeBackend{}
	h := newHandler(t, b)
	h.ServeHTTP(httptest.NewRecorder(), request("POST", "/v1/calls/draft", `{}`,
		"Request-Timeout", "250", "Idempotency-Key", keyNow, "Prompt-Prefix", "p", "Accept", "text/event-stream; q=1"))
	assert.Equal(t, b.got.Timeout, 250*time.Millisecond)
	assert.Equal(t, b.got.Key, keyNow)
	assert.Assert(t, b.got.Prefix != 0)
	assert.Assert(t, b.got.Live)
	assert.Equal(t, string(b.got.Body), `{}`)
}

func serve(t *testing.T, b *fakeBackend) string {
	t.Helper()
	srv := httptest.NewServer(newHandler(t, b))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

func TestIDComesBeforeTheAnswer(t *testing.T) {
	release := make(chan struct{})
	b := &fakeBackend{finish: func(rec *answer.Record) {
		go func() {
			<-release
			complete(rec)
		}()
	}}
	conn, err := net.Dial("tcp", serve(t, b))
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

func TestSlowBodyIsRefused(t *testing.T) {
	b := &fakeBackend{}
	conn, err := net.Dial("tcp", serve(t, b))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprint(conn, "POST /v1/calls/ask HTTP/1.1\r\nHost: x\r\nCustomer: acme\r\nCustomer-Key: acme-key\r\n"+
		"Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{")
	assert.NilError(t, err)
	var got bytes.Buffer
	_, err = got.ReadFrom(conn)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(got.String(), `"code":1010`), got.String())
	assert.Assert(t, b.got == nil)
}

// TestCallerThatDoesNotReadIsCut fills the buffers between caller and entry.
func TestCallerThatDoesNotReadIsCut(t *testing.T) {
	closed := make(chan bool, 1)
	b := &fakeBackend{finish: func(rec *answer.Record) {
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
		closed <- true
	}))
	t.Cleanup(srv.Close)
	conn, err := net.Dial("tcp", srv.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprint(conn, "POST /v1/calls/ask HTTP/1.1\r\nHost: x\r\nCustomer: acme\r\nCustomer-Key: acme-key\r\n"+
		"Content-Type: application/json\r\nAccept: text/event-stream\r\nContent-Length: 2\r\n\r\n{}")
	assert.NilError(t, err)
	<-closed
}

// FuzzRequest checks that no request makes the handler fail or run unchecked.
func FuzzRequest(f *testing.F) {
	f.Add("POST", "/v1/calls/draft", "acme", "acme-key", "application/json", "100", keyNow, "p", "", []byte(`{}`))
	f.Add("GET", "/v1/requests/entry-1~a.b", "acme", "acme-key", "", "", "", "", "3", []byte{})
	f.Add("DELETE", "/v1/requests/~", "acme", "wrong", "", "-1", "k", "", "-1", []byte("{"))
	f.Fuzz(func(t *testing.T, method, path, customer, key, media, timeout, idem, prefix, last string, body []byte) {
		r, err := http.NewRequest(method, "http://x"+path, bytes.NewReader(body))
		if err != nil {
			t.Skip()
		}
		r.RequestURI = path
		for name, v := range map[string]string{
			"Customer": customer, "Customer-Key": key, "Content-Type": media, "Request-Timeout": timeout,
			"Idempotency-Key": idem, "Prompt-Prefix": prefix, "Last-Event-ID": last,
		} {
			r.Header.Set(name, v)
		}
		b := &fakeBackend{}
		w := httptest.NewRecorder()
		newHandler(t, b).ServeHTTP(w, r)
		if b.got == nil {
			return
		}
		if key != "acme-key" || b.got.Timeout <= 0 || b.got.Timeout > b.got.Call.Deadline.AsDuration() || int64(len(b.got.Body)) > b.got.Call.MaxBodyBytes {
			t.Fatalf("unchecked request reached the backend: %+v", b.got)
		}
	})
}
