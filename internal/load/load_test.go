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

func trace() *Trace {
	return &Trace{
		Seed:   7,
		Phases: []Phase{{Duration: schema.Duration(10 * time.Second), Rate: 20, RateEnd: 60}},
		Mix:    []Kind{{Call: "a", Customer: "c", Weight: 3}, {Call: "b", Customer: "d", Weight: 1, Keyed: true}},
	}
}

func TestArrivalsAreRepeatableAndFollowTheRate(t *testing.T) {
	first, second := trace().Requests("r"), trace().Requests("r")
	assert.Equal(t, len(first), len(second))
	assert.Assert(t, len(first) > 350 && len(first) < 450, "got %d of 400 expected", len(first))
	for i := range first {
		assert.Equal(t, first[i].At, second[i].At)
		assert.Equal(t, first[i].Call == "b", first[i].IdempotencyKey != "")
	}
}

func TestTraceMistakes(t *testing.T) {
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
			tr := trace()
			change(tr)
			assert.Assert(t, tr.Check() != nil)
		})
	}
}

// script answers the attempts of one request one after the other.
type script []func(w http.ResponseWriter, r *http.Request)

func (s *script) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	next := (*s)[0]
	*s = (*s)[1:]
	next(w, r)
}

func events(texts ...string) func(http.ResponseWriter, *http.Request) {
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

func doneEvent(id, chunks int, whole string) string {
	return fmt.Sprintf("id: %d\nevent: done\ndata: {\"chunks\":%d,\"checksum\":\"%016x\"}\n\n", id, chunks, xxhash.Sum64String(whole))
}

func errorEvent(id int, effects string) string {
	return fmt.Sprintf("id: %d\nevent: error\ndata: {\"code\":3002,\"ran\":\"yes\",\"effects\":%q}\n\n", id, effects)
}

func TestOutcomesOfStreams(t *testing.T) {
	for _, tc := range []struct {
		name   string
		script script
		class  Class
		wrong  string
	}{
		{"whole", script{events(requestEvent, chunkEvent(2, "n1"), chunkEvent(3, "x"), doneEvent(4, 2, "n1x"))}, Complete, ""},
		{"cut and resumed", script{
			events(requestEvent, chunkEvent(2, "n1")), events(chunkEvent(3, "x"), doneEvent(4, 2, "n1x")),
		}, Complete, ""},
		{"chunk lost", script{events(requestEvent, chunkEvent(3, "x"), doneEvent(4, 2, "n1x"))}, Complete, "event 3 after 1"},
		{"chunk doubled", script{events(requestEvent, chunkEvent(2, "n1"), chunkEvent(2, "n1"))}, Complete, "event 2 after 2"},
		{"too few chunks", script{events(requestEvent, chunkEvent(2, "n1"), doneEvent(3, 2, "n1"))}, Complete, "1 chunks"},
		{"wrong checksum", script{events(requestEvent, chunkEvent(2, "n1"), doneEvent(3, 1, "other"))}, Complete, "checksum"},
		{"other request's answer", script{events(requestEvent, chunkEvent(2, "n2"), doneEvent(3, 1, "n2"))}, Complete, "nonce"},
		{"refused", script{events(requestEvent, errorEvent(2, "no"))}, Refused, ""},
		{"unknown", script{events(requestEvent, errorEvent(2, "unknown"))}, Unknown, ""},
		{"cut before the id", script{events()}, Unknown, ""},
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
			assert.Assert(t, strings.Contains(out.Wrong, tc.wrong) && (out.Wrong == "") == (tc.wrong == ""), out.Wrong)
		})
	}
}

func TestExampleTraces(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/lunch.toml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		tr, err := LoadTrace(file)
		assert.NilError(t, err, file)
		assert.Assert(t, len(tr.Requests("r")) > 0)
	}
}
