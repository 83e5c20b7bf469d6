package load

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/schema"
)

// newTestTrace returns a valid trace with about 400 requests.
func newTestTrace() *Trace {
	return &Trace{
		Seed:   7,
		Phases: []Phase{{Duration: schema.Duration(10 * time.Second), Rate: 20, RateEnd: 60}},
		Mix:    []RequestKind{{Call: "a", Customer: "c", Weight: 3}, {Call: "b", Customer: "d", Weight: 1, SendIdempotencyKey: true}},
	}
}

func TestArrivalsAreReproducibleAndFollowRate(t *testing.T) {
	first, second := newTestTrace().Requests("r"), newTestTrace().Requests("r")
	assert.Equal(t, len(first), len(second))
	assert.Assert(t, len(first) > 350 && len(first) < 450, "got %d of 400 expected", len(first))
	for i := range first {
		assert.Equal(t, first[i].ScheduledAt, second[i].ScheduledAt)
		assert.Equal(t, first[i].Call == "b", first[i].IdempotencyKey != "")
	}
}

func TestValidateRejectsInvalidTraces(t *testing.T) {
	for name, change := range map[string]func(*Trace){
		"no phase":      func(tr *Trace) { tr.Phases = nil },
		"no mix":        func(tr *Trace) { tr.Mix = nil },
		"no duration":   func(tr *Trace) { tr.Phases[0].Duration = 0 },
		"negative rate": func(tr *Trace) { tr.Phases[0].Rate = -1 },
		"no call":       func(tr *Trace) { tr.Mix[0].Call = "" },
		"no weight":     func(tr *Trace) { tr.Mix[0].Weight = 0 },
		"too many":      func(tr *Trace) { tr.Phases[0].Rate = 1e9 },
	} {
		t.Run(name, func(t *testing.T) {
			tr := newTestTrace()
			change(tr)
			assert.Assert(t, tr.Validate() != nil)
		})
	}
}

// responseScript answers each connection of a request with the next of its handlers.
type responseScript []func(w http.ResponseWriter, r *http.Request)

func (s *responseScript) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	next := (*s)[0]
	*s = (*s)[1:]
	next(w, r)
}

// streamResponse returns a handler that sends events and ends the response.
func streamResponse(texts ...string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for _, text := range texts {
			_, _ = fmt.Fprint(w, text)
		}
	}
}

const requestEvent = "id: 1\nevent: request\ndata: {\"request_id\":\"q\"}\n\n"

func chunkEvent(id int, text string) string {
	return fmt.Sprintf("id: %d\nevent: chunk\ndata: {\"stage\":\"s\",\"text\":%q}\n\n", id, text)
}

func doneEvent(id, chunks int, text string) string {
	return fmt.Sprintf("id: %d\nevent: done\ndata: {\"chunks\":%d,\"checksum\":\"%016x\"}\n\n", id, chunks, xxhash.Sum64String(text))
}

func errorEvent(id int, effects string) string {
	return fmt.Sprintf("id: %d\nevent: error\ndata: {\"code\":3002,\"ran\":\"yes\",\"effects\":%q}\n\n", id, effects)
}

func TestStreamOutcomes(t *testing.T) {
	for _, tc := range []struct {
		name   string
		script responseScript
		class  Class
		wrong  string
	}{
		{"complete answer", responseScript{streamResponse(requestEvent, chunkEvent(2, "n1"), chunkEvent(3, "x"), doneEvent(4, 2, "n1x"))}, Complete, ""},
		{"connection lost and resumed", responseScript{
			streamResponse(requestEvent, chunkEvent(2, "n1")), streamResponse(chunkEvent(3, "x"), doneEvent(4, 2, "n1x")),
		}, Complete, ""},
		{"chunk missing", responseScript{streamResponse(requestEvent, chunkEvent(3, "x"), doneEvent(4, 2, "n1x"))}, Complete, "event 3 received after event 1"},
		{"chunk repeated", responseScript{streamResponse(requestEvent, chunkEvent(2, "n1"), chunkEvent(2, "n1"))}, Complete, "event 2 received after event 2"},
		{"too few chunks", responseScript{streamResponse(requestEvent, chunkEvent(2, "n1"), doneEvent(3, 2, "n1"))}, Complete, "1 chunks"},
		{"wrong checksum", responseScript{streamResponse(requestEvent, chunkEvent(2, "n1"), doneEvent(3, 1, "other"))}, Complete, "checksum"},
		{"answer to another request", responseScript{streamResponse(requestEvent, chunkEvent(2, "n2"), doneEvent(3, 1, "n2"))}, Complete, "nonce"},
		{"refused", responseScript{streamResponse(requestEvent, errorEvent(2, "no"))}, Refused, ""},
		{"effects unknown", responseScript{streamResponse(requestEvent, errorEvent(2, "unknown"))}, Unknown, ""},
		{"connection lost before the request id", responseScript{streamResponse()}, Unknown, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			srv := httptest.NewServer(&tc.script)
			defer srv.Close()
			caller := NewCaller([]string{srv.URL})
			defer caller.Close()
			out := Run(context.Background(), Options{
				Caller: caller, Requests: []Request{{Nonce: "n1", Call: "c", Stream: true, Body: []byte("{}")}},
			})[0]
			assert.Equal(t, out.Class, tc.class)
			assert.Assert(t, strings.Contains(out.Defect, tc.wrong) && (out.Defect == "") == (tc.wrong == ""), out.Defect)
		})
	}
}

func TestExampleTraces(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/lunch.toml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		tr, err := ReadTraceFile(file)
		assert.NilError(t, err, file)
		assert.Assert(t, len(tr.Requests("r")) > 0)
	}
}
