package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/magnoliawheel/magnoliawheel/test/standin"
)

// keepAliveInterval is the interval of the keep-alive comments in an event stream.
const keepAliveInterval = 100 * time.Millisecond

type generateRequest struct {
	ID        string          `json:"id"`
	Model     string          `json:"model"`
	Input     string          `json:"input"`
	Prefix    json.RawMessage `json:"prefix"`
	MaxTokens int             `json:"max_tokens"`
	Priority  int             `json:"priority"`
}

// textEvent carries the text of one token.
type textEvent struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// doneEvent is the last event of a completed stream.
type doneEvent struct {
	Tokens int `json:"tokens"`
}

// checkAvailable applies the faults that all calls have in common. It returns false if
// the call must not be executed.
func (e *engine) checkAvailable(w http.ResponseWriter, r *http.Request) bool {
	if !e.switches.WaitHangAndDelay(r.Context()) {
		return false
	}
	f := e.switches.Get()
	if f.Down || f.NotRun {
		w.Header().Set("Not-Run", "true")
		http.Error(w, "not run", http.StatusServiceUnavailable)
		return false
	}
	if f.Fail {
		http.Error(w, "failed", http.StatusInternalServerError)
		return false
	}
	return true
}

// handleGenerate starts a generation and streams its events. A request whose ID is known
// streams the existing generation from its first event.
func (e *engine) handleGenerate(w http.ResponseWriter, r *http.Request) {
	var req generateRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		w.Header().Set("Not-Run", "true")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.checkAvailable(w, r) {
		return
	}
	s, ok := e.findOrStartStream(req)
	if !ok {
		w.Header().Set("Not-Run", "true")
		http.Error(w, "model not loaded", http.StatusServiceUnavailable)
		return
	}
	if e.switches.ConsumeResponseDrop() {
		standin.AbortConnection()
	}
	e.writeEvents(w, r, s, 0)
}

// findOrStartStream returns the stream with the request's ID, or queues a new one. It
// returns false if the model is not loaded.
func (e *engine) findOrStartStream(req generateRequest) (*stream, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.streams[req.ID]; s != nil {
		return s, true
	}
	if len(e.models) > 0 && !slices.Contains(e.models, req.Model) {
		return nil, false
	}
	s := &stream{
		id:           req.ID,
		executionSeq: e.recorder.Begin(req.ID, "generate", standin.ParseInput([]byte(req.Input)).Nonce, len(req.Input)),
		priority:     req.Priority,
		prefix:       strings.Trim(string(req.Prefix), `"`),
		texts:        standin.GenerateTokens([]byte(req.Input), req.MaxTokens),
		outcome:      standin.Started,
		changed:      make(chan struct{}),
	}
	e.streams[s.id] = s
	e.waiting = append(e.waiting, s)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s, true
}

// handleResume continues a stream after the event in the header Last-Event-ID.
func (e *engine) handleResume(w http.ResponseWriter, r *http.Request) {
	if !e.checkAvailable(w, r) {
		return
	}
	e.mu.Lock()
	s := e.streams[r.PathValue("id")]
	e.mu.Unlock()
	if s == nil {
		http.Error(w, "unknown stream", http.StatusNotFound)
		return
	}
	lastEventID, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	e.writeEvents(w, r, s, lastEventID)
}

// handleCancel cancels a stream that has not ended yet.
func (e *engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	if !e.checkAvailable(w, r) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[r.PathValue("id")]
	if s == nil {
		http.Error(w, "unknown stream", http.StatusNotFound)
		return
	}
	if s.outcome == standin.Started {
		e.finish(s, standin.Cancelled, time.Now())
	}
	standin.WriteJSON(w, struct{}{})
}

// writeEvents writes the events of a stream after the first sent ones, until the stream
// ends or the client disconnects. The generation continues when the client disconnects.
func (e *engine) writeEvents(w http.ResponseWriter, r *http.Request, s *stream, sent int) {
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	for {
		e.mu.Lock()
		emitted, outcome, changed := s.emitted, s.outcome, s.changed
		e.mu.Unlock()
		for ; sent < emitted; sent++ {
			writeEvent(w, sent+1, "", textEvent{Text: s.texts[sent], Tokens: 1})
		}
		switch outcome {
		case standin.Completed:
			writeEvent(w, len(s.texts)+1, "done", doneEvent{Tokens: len(s.texts)})
			return
		case standin.Cancelled:
			standin.AbortConnection()
		}
		if out.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-keepAlive.C:
			_, _ = fmt.Fprint(w, ": keep-alive\n\n")
		case <-r.Context().Done():
			return
		}
	}
}

// writeEvent writes one server-sent event. An empty type is the default type.
func writeEvent(w http.ResponseWriter, id int, eventType string, data any) {
	if eventType != "" {
		_, _ = fmt.Fprintf(w, "event: %s\n", eventType)
	}
	text, err := json.Marshal(data)
	if err != nil {
		panic(err)
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, text)
}
