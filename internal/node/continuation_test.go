package node

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

const (
	firstEvent  = "id: 1\ndata: token 1 of r\n\n"
	secondEvent = "id: 2\ndata: token 2 of r\n\n"
	// responseHead is the head of a response where the events of a stream are expected.
	responseHead = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
)

// answer is how a server answers the request that continues a stream.
type answer struct {
	contentType, body string
	untilClose        bool
}

// write writes the answer, which is signed and complete.
func (a answer) write(w http.ResponseWriter) {
	standin.SetSignature(w.Header(), "second")
	if a.untilClose {
		standin.SetUntilClose(w.Header())
	}
	w.Header().Set("Content-Type", a.contentType)
	_, _ = io.WriteString(w, a.body)
}

// breakOffAfter returns a handler of a server that sends events and closes the connection.
func breakOffAfter(events string) func(w http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		standin.SetSignature(w.Header(), "first")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, events)
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
}

// startAnswering starts an entry and model servers of which the first ones that get a request
// answer as listed, whichever servers they are. It returns the entry and the counter of requests.
func startAnswering(f *fleet, answers ...func(w http.ResponseWriter)) (*runningEntry, *atomic.Int32) {
	f.putConfig()
	var received atomic.Int32
	for i := range max(2, len(answers)) {
		f.startServer("model", fmt.Sprint("m", i), 3).SetHandler(func(w http.ResponseWriter, _ *http.Request) bool {
			n := int(received.Add(1))
			if n > len(answers) {
				return false
			}
			answers[n-1](w)
			return true
		})
	}
	return f.startEntry("e1", 0).waitReady().waitRegistered(), &received
}

// invalidContinuations are answers to a request that continues a stream after event 1. forwarded
// are the events of them that continue it.
var invalidContinuations = []struct {
	name string
	answer
	forwarded string
}{
	{"text", answer{"text/plain", "internal error\n\n", false}, ""},
	{"text of the type of events", answer{"text/event-stream", "internal error\n\n", false}, ""},
	{"JSON", answer{"application/json", "{\"error\":\"failed\"}\n\n", false}, ""},
	{"JSON of the type of events", answer{"text/event-stream", "{\"error\":\"failed\"}\n\n", false}, ""},
	{"events of the type of JSON", answer{"application/json", secondEvent, false}, ""},
	{"nothing of another type", answer{"text/plain", "", false}, ""},
	{"response head", answer{"text/event-stream", responseHead, false}, ""},
	{"response head after an event", answer{"text/event-stream", secondEvent + responseHead, false}, secondEvent},
	{"response head at the end of the connection", answer{"text/event-stream", secondEvent + responseHead, true}, secondEvent},
	{"stream begun anew", answer{"text/event-stream", firstEvent + secondEvent, false}, ""},
	{"repeated event later", answer{"text/event-stream", secondEvent + secondEvent, false}, secondEvent},
	{"event without an ID", answer{"text/event-stream", "data: token 2 of r\n\n", false}, ""},
	{"comment before text", answer{"text/event-stream", ": alive\n\ninternal error\n\n", false}, ""},
	{"large event begun anew", answer{"text/event-stream", "id: 1\ndata: " + strings.Repeat("x", 1<<20) + "\n\n", false}, ""},
	{"large text", answer{"text/event-stream", strings.Repeat("x", 1<<20) + "\n\n", false}, ""},
}

// TestInvalidContinuationDoesNotReachTheClient guards against the answer of a server that does
// not continue a broken stream being forwarded in the middle of it, which then looks complete.
func TestInvalidContinuationDoesNotReachTheClient(t *testing.T) {
	for _, tt := range invalidContinuations {
		t.Run(tt.name, func(t *testing.T) {
			e, received := startAnswering(newFleet(t), breakOffAfter(firstEvent), tt.write)
			got := e.do(keyedCall(standin.PathResumable, "r", "key-1"))
			assert.Assert(t, got.err != nil, "the stream looks complete: %.100q", got.body)
			assert.Equal(t, got.body, firstEvent+tt.forwarded)
			assert.Equal(t, received.Load(), int32(2))
			assert.Equal(t, standin.Signature(got.header), "seal-first")
		})
	}
}

// TestSoundContinuationCompletesTheStream guards against checks of a continuation that reject what
// sound servers send.
func TestSoundContinuationCompletesTheStream(t *testing.T) {
	tests := []struct {
		name string
		answer
		forwarded string
	}{
		{"events", answer{"text/event-stream", secondEvent, false}, secondEvent},
		{"events at the end of the connection", answer{"text/event-stream", secondEvent, true}, secondEvent},
		{"type with a parameter", answer{"text/event-stream; charset=utf-8", secondEvent, false}, secondEvent},
		{"comment before the event", answer{"text/event-stream", ": alive\n\n" + secondEvent, false}, ": alive\n\n" + secondEvent},
		{"other line ends", answer{"text/event-stream", "id: 2\r\ndata: b\r\n\r\n", false}, "id: 2\r\ndata: b\r\n\r\n"},
		{"ID after a gap", answer{"text/event-stream", "id: 10\n\n", false}, "id: 10\n\n"},
		{"large event", answer{"text/event-stream", "id: 2\ndata: " + strings.Repeat("x", 1<<20) + "\n\n", false}, "id: 2\ndata: " + strings.Repeat("x", 1<<20) + "\n\n"},
		// The stream was complete but for its end.
		{"no further event", answer{"text/event-stream", "", false}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e, received := startAnswering(newFleet(t), breakOffAfter(firstEvent), tt.write)
			got := e.do(keyedCall(standin.PathResumable, "r", "key-1"))
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, firstEvent+tt.forwarded)
			assert.Equal(t, received.Load(), int32(2))
		})
	}
}

// TestResumedStreamContinuesAfterTheEventsOfTheClient guards against a client that resumes its
// stream after event 1 getting an answer that does not continue it: the attempt fails, and another
// server continues the stream.
func TestResumedStreamContinuesAfterTheEventsOfTheClient(t *testing.T) {
	for _, tt := range invalidContinuations {
		if tt.forwarded != "" {
			continue
		}
		t.Run(tt.name, func(t *testing.T) {
			e, received := startAnswering(newFleet(t), tt.write)
			got := e.do(resumeCall("r", "r0"))
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK, got.body)
			assert.Equal(t, got.body, secondEvent+"id: 3\ndata: token 3 of r\n\n")
			assert.Equal(t, received.Load(), int32(2))
		})
	}
}

// TestEncodedStreamIsNotForwarded guards against a body that a server has encoded, which is not the
// one that it signed, being forwarded as the events of a stream.
func TestEncodedStreamIsNotForwarded(t *testing.T) {
	encoded := func(w http.ResponseWriter) {
		w.Header().Set("Content-Encoding", "br")
		answer{"text/event-stream", "encoded\n\n", false}.write(w)
	}
	e, received := startAnswering(newFleet(t), encoded)
	got := e.do(keyedCall(standin.PathResumable, "r", "key-1"))
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, firstEvent+secondEvent+"id: 3\ndata: token 3 of r\n\n")
	assert.Equal(t, received.Load(), int32(2))
}

// TestStreamThatCannotContinueIsNotResumed guards against parts of two runs being joined, and
// events that come twice: no other server can continue the stream from what the client has.
func TestStreamThatCannotContinueIsNotResumed(t *testing.T) {
	tests := []struct {
		name string
		// sent is what the first server sends before it breaks off.
		sent string
	}{
		{"part of a long event forwarded", "id: 1\ndata: " + strings.Repeat("x", 1<<20)},
		{"events without IDs", "data: a\n\n"},
		{"last event without an ID", "id: 1\ndata: a\n\ndata: b\n\n"},
		{"last event with an empty ID", "id: 1\ndata: a\n\nid:\ndata: b\n\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t)
			f.putConfig()
			var received atomic.Int32
			for _, id := range []string{"m1", "m2"} {
				f.startServer("model", id, 2).SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
					if received.Add(1) > 1 {
						return false
					}
					standin.SetSignature(w.Header(), "first")
					_, _ = io.WriteString(w, tt.sent)
					w.(http.Flusher).Flush()
					panic(http.ErrAbortHandler)
				})
			}
			got := f.startEntry("e1", 0).waitReady().waitRegistered().do(keyedCall(standin.PathResumable, "r", "key-1"))
			assert.Assert(t, got.err != nil, "the client got a response that looks complete: %.100q", got.body)
			assert.Equal(t, received.Load(), int32(1))
		})
	}
}
