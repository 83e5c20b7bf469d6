package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/internal/upstream"
)

func responseWithBody(body io.Reader) *upstream.Response {
	return &upstream.Response{Response: &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body)}}
}

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
		{"last event unterminated", strings.NewReader(events + "tail"), false, events + "tail", 2, "2"},
		{"connection lost within an event", io.MultiReader(strings.NewReader(events+"id: 3\nda"), iotest.ErrReader(io.ErrUnexpectedEOF)), true, events, 2, "2"},
		{"empty", strings.NewReader(""), false, "", 0, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			r := newRelay(w, true)
			firstByteCalls := 0
			err := r.copy(responseWithBody(tt.body), func() { firstByteCalls++ })
			assert.Equal(t, err != nil, tt.wantErr)
			assert.Equal(t, w.Body.String(), tt.want)
			assert.Equal(t, r.events, tt.wantEvents)
			assert.Equal(t, r.lastEventID(), tt.wantLastID)
			assert.Equal(t, firstByteCalls == 1, tt.want != "")
		})
	}
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
	r := newRelay(&discardWriter{http.Header{}}, true)
	event := []byte("id: 17\ndata: " + strings.Repeat("x", 45) + "\n\n")
	b.ReportAllocs()
	for b.Loop() {
		if err := r.forward(event); err != nil {
			b.Fatal(err)
		}
	}
}
