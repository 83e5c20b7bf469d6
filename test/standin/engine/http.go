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

const keepAliveInterval = 100 * time.Millisecond

type generateRequest struct {
	ID        string          `json:"id"`
	Model     string          `json:"model"`
	Input     string          `json:"input"`
	Prefix    json.RawMessage `json:"prefix"`
	MaxTokens int             `json:"max_tokens"`
	Priority  int             `json:"priority"`
}

type textEvent struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

type doneEvent struct {
	Tokens int `json:"tokens"`
}

// available applies the fault switches that all calls of the engine have in common.
func (e *engine) available(w http.ResponseWriter, r *http.Request) bool {
	if !e.switches.Gate(r.Context()) {
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

func (e *engine) generate(w http.ResponseWriter, r *http.Request) {
	var req generateRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		w.Header().Set("Not-Run", "true")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.available(w, r) {
		return
	}
	s, ok := e.start(req)
	if !ok {
		w.Header().Set("Not-Run", "true")
		http.Error(w, "model not loaded", http.StatusServiceUnavailable)
		return
	}
	if e.switches.TakeDrop() {
		standin.Abort()
	}
	e.stream(w, r, s, 0)
}

// start returns the stream of that id, or queues a new one.
func (e *engine) start(req generateRequest) (*stream, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.streams[req.ID]; s != nil {
		return s, true
	}
	if len(e.models) > 0 && !slices.Contains(e.models, req.Model) {
		return nil, false
	}
	s := &stream{
		id:       req.ID,
		seq:      e.recorder.Begin(req.ID, "generate", standin.ParseInput([]byte(req.Input)).Nonce, len(req.Input)),
		priority: req.Priority,
		prefix:   strings.Trim(string(req.Prefix), `"`),
		texts:    standin.Generate([]byte(req.Input), req.MaxTokens),
		outcome:  standin.Started,
		changed:  make(chan struct{}),
	}
	e.streams[s.id] = s
	e.waiting = append(e.waiting, s)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s, true
}

func (e *engine) resume(w http.ResponseWriter, r *http.Request) {
	if !e.available(w, r) {
		return
	}
	e.mu.Lock()
	s := e.streams[r.PathValue("id")]
	e.mu.Unlock()
	if s == nil {
		http.Error(w, "unknown stream", http.StatusNotFound)
		return
	}
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	e.stream(w, r, s, from)
}

func (e *engine) cancel(w http.ResponseWriter, r *http.Request) {
	if !e.available(w, r) {
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

// stream writes the events after from, and goes on until the stream ends or the
// connection does. The generation goes on without a connection.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, s *stream, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	for {
		e.mu.Lock()
		emitted, outcome, changed := s.emitted, s.outcome, s.changed
		e.mu.Unlock()
		for ; from < emitted; from++ {
			writeEvent(w, from+1, "", textEvent{Text: s.texts[from], Tokens: 1})
		}
		switch outcome {
		case standin.Completed:
			writeEvent(w, len(s.texts)+1, "done", doneEvent{Tokens: len(s.texts)})
			return
		case standin.Cancelled:
			standin.Abort()
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

func writeEvent(w http.ResponseWriter, id int, kind string, data any) {
	if kind != "" {
		_, _ = fmt.Fprintf(w, "event: %s\n", kind)
	}
	text, err := json.Marshal(data)
	if err != nil {
		panic(err)
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, text)
}
