package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/readbuffer"
	"github.com/magnoliawheel/magnoliawheel/internal/upstream"
)

// eventStreamType is the type of a stream of events.
var eventStreamType = []string{"text/event-stream"}

// chunkedResponse returns a response whose body marks its end.
func chunkedResponse(body io.Reader) *upstream.Response {
	return &upstream.Response{Response: &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{"Content-Type": eventStreamType}, Body: io.NopCloser(body), ContentLength: -1, TransferEncoding: []string{"chunked"},
	}}
}

// untilCloseResponse returns a response whose body ends with its connection.
func untilCloseResponse(body io.Reader) *upstream.Response {
	resp := chunkedResponse(body)
	resp.TransferEncoding = nil
	return resp
}

// newTestRelay returns a relay to w with the bounds of an entry without a memory limit.
func newTestRelay(w http.ResponseWriter) *relay {
	buffers := newReadBuffers("stream", readbuffer.SharesOf(0).Streams, tally.NoopScope)
	return newRelay(w, newOutbox(w, buffers, logr.Discard(), func(error) {}))
}

// forwardBytes forwards bytes of a response that is not read by copy.
func forwardBytes(r *relay, p []byte) error {
	return r.forward(context.Background(), chunkedResponse(nil), r.splitter.Add(p))
}

// awaitDelivery waits until everything that the relay forwarded was written.
func awaitDelivery(t *testing.T, r *relay) {
	t.Helper()
	assert.NilError(t, r.out.finish(nil, nil))
}

// TestRelayForwardsCompleteEvents guards against parts of events, and streams that end
// within one, reaching the client.
func TestRelayForwardsCompleteEvents(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: id: 7\n\n"
	tests := []struct {
		name       string
		body       io.Reader
		wantErr    bool
		want       string
		wantEvents int
		wantLastID string
	}{
		{"complete events", strings.NewReader(events), false, events, 2, "2"},
		{"one byte at a time", iotest.OneByteReader(strings.NewReader(events)), false, events, 2, "2"},
		{"last event unterminated", strings.NewReader(events + "tail"), true, events, 2, "2"},
		{"connection lost within an event", io.MultiReader(strings.NewReader(events+"id: 3\nda"), iotest.ErrReader(io.ErrUnexpectedEOF)), true, events, 2, "2"},
		{"empty", strings.NewReader(""), false, "", 0, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			r := newTestRelay(w)
			firstByteCalls := 0
			err := r.copy(t.Context(), chunkedResponse(tt.body), func() { firstByteCalls++ })
			awaitDelivery(t, r)
			assert.Equal(t, err != nil, tt.wantErr)
			assert.Equal(t, w.Body.String(), tt.want)
			assert.Equal(t, r.events, tt.wantEvents)
			assert.Equal(t, r.lastID, tt.wantLastID)
			assert.Equal(t, firstByteCalls == 1, tt.want != "")
		})
	}
}

// TestConnectionEndBeforeFirstEvent guards against a server that ends before its first
// event: if nothing but the connection marks the end, an empty stream is not complete.
func TestConnectionEndBeforeFirstEvent(t *testing.T) {
	for _, body := range []string{"", ": alive\n\n"} {
		assert.NilError(t, newTestRelay(httptest.NewRecorder()).copy(t.Context(), chunkedResponse(strings.NewReader(body)), nil))
		err := newTestRelay(httptest.NewRecorder()).copy(t.Context(), untilCloseResponse(strings.NewReader(body)), nil)
		assert.ErrorIs(t, err, errNoEvent)
	}
	assert.NilError(t, newTestRelay(httptest.NewRecorder()).copy(t.Context(), untilCloseResponse(strings.NewReader("data: a\n\n")), nil))
}

// TestEmptyRestIsNotComplete guards against a stream that broke off within an event
// counting as complete because the server that resumed it sent nothing.
func TestEmptyRestIsNotComplete(t *testing.T) {
	r := newTestRelay(httptest.NewRecorder())
	assert.ErrorIs(t, r.copy(t.Context(), chunkedResponse(strings.NewReader("id: 1\n\nid: 2\n")), nil), errEndsWithinEvent)
	for range 2 {
		assert.ErrorIs(t, r.copy(t.Context(), chunkedResponse(strings.NewReader("")), nil), errNoEvent)
	}
	assert.NilError(t, r.copy(t.Context(), chunkedResponse(strings.NewReader("id: 2\n\n")), nil))
	assert.NilError(t, r.copy(t.Context(), chunkedResponse(strings.NewReader("")), nil), "no event is known to be missing")
}

// TestLongEventIsForwardedInParts guards against an event of any length being kept in
// memory until it is complete.
func TestLongEventIsForwardedInParts(t *testing.T) {
	event := "data: " + strings.Repeat("x", 3*maxEventPartBytes) + "\n\n"
	const firstPart = 2 * maxEventPartBytes
	w := httptest.NewRecorder()
	r := newTestRelay(w)
	assert.NilError(t, forwardBytes(r, []byte(event[:firstPart])))
	awaitDelivery(t, r)
	assert.Equal(t, w.Body.Len(), firstPart)

	w = httptest.NewRecorder()
	r = newTestRelay(w)
	assert.NilError(t, forwardBytes(r, []byte(event[:firstPart])))
	assert.NilError(t, forwardBytes(r, []byte(event[firstPart:])))
	awaitDelivery(t, r)
	assert.Equal(t, w.Body.String(), event)
	assert.Equal(t, r.events, 1)
}

// TestStreamCutInForwardedEventIsNotResumed guards against parts of an event from two
// servers being joined: once a part of a long event was forwarded, no other server can
// continue it.
func TestStreamCutInForwardedEventIsNotResumed(t *testing.T) {
	r := newTestRelay(httptest.NewRecorder())
	assert.NilError(t, forwardBytes(r, []byte("id: 1\n\nid: 2\n")))
	assert.Assert(t, !r.partForwarded())
	assert.NilError(t, forwardBytes(r, []byte("data: "+strings.Repeat("x", maxEventPartBytes))))
	assert.Assert(t, r.partForwarded())
	assert.NilError(t, forwardBytes(r, []byte("\n\nid: 3\n")))
	assert.Assert(t, !r.partForwarded())
}

// discardWriter is a client connection that accepts and discards everything.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) WriteHeader(int)             {}
func (d *discardWriter) Flush()                      {}

// BenchmarkRelayEvent measures forwarding one event of a resumable stream, without
// network I/O.
func BenchmarkRelayEvent(b *testing.B) {
	r := newTestRelay(&discardWriter{http.Header{}})
	event := []byte("id: 17\ndata: " + strings.Repeat("x", 45) + "\n\n")
	b.ReportAllocs()
	for b.Loop() {
		if err := forwardBytes(r, event); err != nil {
			b.Fatal(err)
		}
	}
}

// TestBeginIsReportedBeforeTheClientHasAnything guards against a first event, or a part of it, that
// reaches its client before the version of its server is recorded, and against the record of an
// attempt of which the client gets nothing: the next one may run at another version.
func TestBeginIsReportedBeforeTheClientHasAnything(t *testing.T) {
	long := "id: 1\ndata: " + strings.Repeat("x", maxEventPartBytes)
	tests := []struct {
		name, body string
		begins     bool
	}{
		{"whole event", "id: 1\ndata: a\n\n", true},
		{"part of a long event", long, true},
		{"part of an event", "id: 1\nda", false},
		{"comment alone", ": wait\n\n", true},
		{"nothing", "", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			r := newTestRelay(w)
			began := 0
			r.onBegin = func() {
				began++
				assert.Check(t, !r.started && r.out.maxHeld() == 0)
			}
			_ = r.copy(t.Context(), chunkedResponse(strings.NewReader(tt.body)), nil)
			awaitDelivery(t, r)
			assert.Equal(t, began == 1, tt.begins)
			assert.Equal(t, w.Body.Len() > 0, tt.begins)
		})
	}
}
