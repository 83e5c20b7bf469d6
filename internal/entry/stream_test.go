package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
)

// streamEvent is one event as received by a caller.
type streamEvent struct {
	id   uint64
	kind string
	data string
}

func (e streamEvent) field(name string) any {
	var m map[string]any
	_ = json.Unmarshal([]byte(e.data), &m)
	return m[name]
}

func readEvent(r *bufio.Reader) (streamEvent, error) {
	var e streamEvent
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return e, err
		}
		line = strings.TrimSuffix(line, "\n")
		name, value, _ := strings.Cut(line, ": ")
		switch {
		case line == "" && e.kind != "":
			return e, nil
		case name == "id":
			e.id, _ = strconv.ParseUint(value, 10, 64)
		case name == "event":
			e.kind = value
		case name == "data":
			e.data = value
		}
	}
}

// callerStream is a caller's open event stream.
type callerStream struct {
	t      testing.TB
	id     string
	seq    uint64
	body   io.ReadCloser
	reader *bufio.Reader
	cancel context.CancelFunc
	text   strings.Builder
}

// openCall sends a call and opens the stream of its answer.
func (b *testBench) openCall(call string, header ...string) *callerStream {
	b.t.Helper()
	return b.openStream(b.newRequest("POST", "/v1/calls/"+call, `{"q":1}`, header...))
}

// openStream sends a request and opens the event stream of the response.
func (b *testBench) openStream(req *http.Request) *callerStream {
	b.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	req.Header.Set("Accept", "text/event-stream")
	res, err := http.DefaultClient.Do(req.WithContext(ctx))
	assert.NilError(b.t, err)
	s := &callerStream{t: b.t, id: res.Header.Get("Request-Id"), body: res.Body, reader: bufio.NewReader(res.Body), cancel: cancel}
	b.t.Cleanup(s.close)
	if res.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(res.Body)
		b.t.Fatalf("status %d: %s", res.StatusCode, body)
	}
	s.seq, _ = strconv.ParseUint(req.Header.Get("Last-Event-ID"), 10, 64)
	return s
}

func (s *callerStream) close() {
	s.cancel()
	_ = s.body.Close()
}

// readUntil reads up to the first event of a kind and checks that the event IDs have
// no gap.
func (s *callerStream) readUntil(kind string) streamEvent {
	s.t.Helper()
	for {
		e, err := readEvent(s.reader)
		assert.NilError(s.t, err)
		assert.Equal(s.t, e.id, s.seq+1)
		s.seq++
		if e.kind == "chunk" {
			s.text.WriteString(e.field("text").(string))
		}
		if e.kind == kind {
			return e
		}
		assert.Assert(s.t, e.kind != "done" && e.kind != "error", "%s %s", e.kind, e.data)
	}
}

// newIdempotencyKey returns a new idempotency key.
func newIdempotencyKey(t testing.TB) string {
	t.Helper()
	id, err := uuid.NewV7()
	assert.NilError(t, err)
	return id.String()
}
