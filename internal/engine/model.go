package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
)

const (
	// reconnectDelay is the delay before a lost connection is replaced.
	reconnectDelay = 50 * time.Millisecond
	// reconnectTimeout is the time without a new event after which a stream is no
	// longer resumed.
	reconnectTimeout = 5 * time.Second
	// cancelTimeout is the timeout of a request that cancels a stream.
	cancelTimeout = time.Second
)

// ModelClient is a client of a model engine.
type ModelClient struct {
	baseURL    string
	httpClient *http.Client
}

// NewModelClient returns a client of the engine at the base URL.
func NewModelClient(baseURL string) *ModelClient {
	return &ModelClient{baseURL: baseURL, httpClient: newHTTPClient()}
}

type generateRequest struct {
	ID        string `json:"id"`
	Model     string `json:"model"`
	Input     string `json:"input"`
	Prefix    string `json:"prefix"`
	MaxTokens uint32 `json:"max_tokens"`
	Priority  int32  `json:"priority"`
}

type textData struct {
	Text   string `json:"text"`
	Tokens uint32 `json:"tokens"`
}

// generation is the state of one stream of an engine, over all its connections.
type generation struct {
	call Call
	emit Emit
	// lastEventID is the sequence number of the last event that was handled.
	lastEventID uint64
	// accepted is set once the engine has responded with the stream.
	accepted bool
	gate     sendGate
	// postCount is the number of POST requests made.
	postCount int
	// streamUnknown is set if the engine did not know the stream when it was last
	// resumed. The call is then posted again.
	streamUnknown bool
}

// errSilent means that no data arrived on a connection for SilenceTimeout.
var errSilent = errors.New("engine: connection is silent")

// Run starts the generation and reads its stream to the end. A connection that is lost
// or silent is replaced, and the stream resumes after the last event.
func (m *ModelClient) Run(ctx context.Context, c Call, emit Emit) Outcome {
	g := &generation{call: c, emit: emit, gate: sendGate{beforeSend: c.BeforeSend}}
	lastProgressAt := time.Now()
	for {
		previousEventID := g.lastEventID
		outcome, err := m.runConnection(ctx, g)
		if outcome != nil {
			return *outcome
		}
		if g.ran() == result.RanNo {
			return requestErrorOutcome(ctx, &g.gate, err)
		}
		if ctx.Err() != nil {
			return contextOutcome(ctx, g.ran())
		}
		if g.lastEventID > previousEventID {
			lastProgressAt = time.Now()
		}
		if time.Since(lastProgressAt) > reconnectTimeout {
			return Outcome{Code: result.ServerFailed, Message: "the stream cannot be resumed: " + err.Error(), Ran: g.ran()}
		}
		clock.Sleep(ctx, reconnectDelay)
	}
}

// ran tells whether the engine has executed the call.
func (g *generation) ran() result.Ran {
	if g.accepted {
		return result.RanYes
	}
	if sent, _ := g.gate.status(); sent {
		return result.RanUnknown
	}
	return result.RanNo
}

// runConnection opens one connection and reads it to its end. The outcome is nil if
// the stream has to be resumed.
func (m *ModelClient) runConnection(ctx context.Context, g *generation) (*Outcome, error) {
	ctx, cancel := context.WithCancelCause(withSendGate(ctx, &g.gate))
	defer cancel(nil)
	watchdog := time.AfterFunc(SilenceTimeout, func() { cancel(errSilent) })
	defer watchdog.Stop()
	req, err := m.newRequest(ctx, g)
	if err != nil {
		return &Outcome{Code: result.Internal, Message: err.Error(), Ran: g.ran()}, nil
	}
	resp, err := m.httpClient.Do(req)
	if err != nil {
		return nil, errors.CombineErrors(context.Cause(ctx), err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return g.handleErrorStatus(resp)
	}
	g.accepted, g.streamUnknown = true, false
	outcome, err := g.readEvents(&watchedReader{resp.Body, watchdog})
	if outcome == nil && context.Cause(ctx) != nil {
		err = context.Cause(ctx)
	}
	return outcome, err
}

// newRequest returns the request that resumes the stream, or the one that posts the
// call if the engine has not accepted it or does not know the stream. The engine does
// not execute a second post with the same id.
func (m *ModelClient) newRequest(ctx context.Context, g *generation) (*http.Request, error) {
	if g.accepted && !g.streamUnknown {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, m.streamURL(g.call.ID), nil)
		if err != nil {
			return nil, err
		}
		req.Header.Set("Last-Event-ID", strconv.FormatUint(g.lastEventID, 10))
		return req, nil
	}
	g.postCount++
	body, err := json.Marshal(generateRequest{
		ID: g.call.ID, Model: g.call.Model, Input: string(g.call.Input),
		Prefix: strconv.FormatUint(g.call.Prefix, 16), MaxTokens: g.call.MaxTokens, Priority: g.call.Priority,
	})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, m.baseURL+"/v1/generate", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

func (m *ModelClient) streamURL(id string) string {
	return m.baseURL + (&url.URL{Path: "/v1/streams/" + id}).EscapedPath()
}

// handleErrorStatus handles a response with an error status. The outcome is nil if the
// stream has to be resumed.
func (g *generation) handleErrorStatus(resp *http.Response) (*Outcome, error) {
	if !g.accepted || g.streamUnknown {
		o := errorStatusOutcome(resp)
		if g.accepted {
			o.Ran = result.RanYes
		} else if g.postCount > 1 {
			// An earlier post may have reached the engine, or may still do so.
			o.Ran = result.RanUnknown
		}
		return &o, nil
	}
	if resp.StatusCode == http.StatusNotFound {
		if g.lastEventID > 0 {
			return &Outcome{Code: result.ServerFailed, Message: "the engine no longer knows the stream", Ran: result.RanYes}, nil
		}
		g.streamUnknown = true
	}
	return nil, errors.Newf("resume stream: the engine responded with status %s", resp.Status)
}

// readEvents handles the events of one connection. The outcome is nil if the stream
// has to be resumed.
func (g *generation) readEvents(body io.Reader) (*Outcome, error) {
	events := newEventReader(body)
	for {
		ev, err := events.next()
		if err != nil {
			return nil, err
		}
		if ev.id <= g.lastEventID {
			continue
		}
		if ev.id != g.lastEventID+1 {
			return nil, errors.Newf("event %d received after event %d", ev.id, g.lastEventID)
		}
		if ev.eventType == "done" {
			o := successOutcome()
			return &o, nil
		}
		if o := g.handleEvent(ev); o != nil {
			return o, nil
		}
	}
}

// handleEvent emits the chunk of an event. The outcome is nil if the call goes on.
func (g *generation) handleEvent(ev event) *Outcome {
	var data textData
	if err := json.Unmarshal(ev.data, &data); err != nil {
		return &Outcome{Code: result.ServerFailed, Message: fmt.Sprintf("decode event %d of the engine: %v", ev.id, err), Ran: result.RanYes}
	}
	if code := g.emit(Chunk{Data: []byte(data.Text), Tokens: data.Tokens}); code != result.OK {
		return &Outcome{Code: code, Ran: result.RanYes}
	}
	g.lastEventID = ev.id
	return nil
}

// Cancel stops the stream at the engine. It is not an error if the engine does not
// know the stream.
func (m *ModelClient) Cancel(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, m.streamURL(id), nil)
	if err != nil {
		return err
	}
	resp, err := m.httpClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "cancel stream")
	}
	_ = resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest && resp.StatusCode != http.StatusNotFound {
		return errors.Newf("cancel stream: the engine responded with status %s", resp.Status)
	}
	return nil
}

// watchedReader restarts the watchdog timer with each read that returns data.
type watchedReader struct {
	r        io.Reader
	watchdog *time.Timer
}

func (w *watchedReader) Read(b []byte) (int, error) {
	n, err := w.r.Read(b)
	if n > 0 {
		w.watchdog.Reset(SilenceTimeout)
	}
	return n, err
}
