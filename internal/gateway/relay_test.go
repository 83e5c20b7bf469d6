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

func answerOf(body io.Reader) *upstream.Response {
	return &upstream.Response{Response: &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body)}}
}

func TestRelayForwardsWholeEvents(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: id: 7\n\n"
	tests := []struct {
		name   string
		body   io.Reader
		broken bool
		want   string
		events int
		last   string
	}{
		{"whole", strings.NewReader(events), false, events, 2, "2"},
		{"a byte at a time", iotest.OneByteReader(strings.NewReader(events)), false, events, 2, "2"},
		{"without an end of the last event", strings.NewReader(events + "tail"), false, events + "tail", 2, "2"},
		{"broken within an event", io.MultiReader(strings.NewReader(events+"id: 3\nda"), iotest.ErrReader(io.ErrUnexpectedEOF)), true, events, 2, "2"},
		{"empty", strings.NewReader(""), false, "", 0, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			r := newRelay(w, true)
			firsts := 0
			err := r.copy(answerOf(tt.body), func() { firsts++ })
			assert.Equal(t, err != nil, tt.broken)
			assert.Equal(t, w.Body.String(), tt.want)
			assert.Equal(t, r.events, tt.events)
			assert.Equal(t, r.lastEvent(), tt.last)
			assert.Equal(t, firsts == 1, tt.want != "")
		})
	}
}

// sink is a client that takes everything.
type sink struct{ header http.Header }

func (s *sink) Header() http.Header         { return s.header }
func (s *sink) Write(p []byte) (int, error) { return len(p), nil }
func (s *sink) WriteHeader(int)             {}
func (s *sink) Flush()                      {}

// BenchmarkRelayEvent measures forwarding one event of a resumable stream, without
// the sockets.
func BenchmarkRelayEvent(b *testing.B) {
	r := newRelay(&sink{http.Header{}}, true)
	event := []byte("id: 17\ndata: " + strings.Repeat("x", 45) + "\n\n")
	b.ReportAllocs()
	for b.Loop() {
		if err := r.forward(event); err != nil {
			b.Fatal(err)
		}
	}
}
