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
)

// Bounds of the resumption of a stream.
const (
	// reconnectPause is the time between two connections that failed.
	reconnectPause = 50 * time.Millisecond
	// reconnectTimeout is how long a stream may go without an event before the
	// engine is presumed lost.
	reconnectTimeout = 5 * time.Second
	// cancelTimeout bounds one attempt to cancel a stream.
	cancelTimeout = time.Second
)

// Model is a model engine.
type Model struct {
	base   string
	client *http.Client
}

// NewModel returns a client of the engine at a base URL.
func NewModel(base string) *Model { return &Model{base: base, client: newClient()} }

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

// generation is one stream of an engine, over as many connections as it takes.
type generation struct {
	call Call
	emit Emit
	// last is the sequence number of the newest event taken.
	last uint64
	// accepted is set once the engine answered with the stream.
	accepted bool
	gate     gate
	// posts is the number of posts made.
	posts int
	// unknown is set when the engine did not know the stream at the last resumption.
	unknown bool
}

// errSilent means that a connection carried nothing for SilenceTimeout.
var errSilent = errors.New("engine: connection is silent")

// Run starts the generation and follows it to its end. A connection that is lost
// or silent is replaced, and the stream goes on after the last event.
func (m *Model) Run(ctx context.Context, c Call, emit Emit) Outcome {
	g := &generation{call: c, emit: emit, gate: gate{begin: c.Begin}}
	progress := time.Now()
	for {
		before := g.last
		outcome, err := m.follow(ctx, g)
		if outcome != nil {
			return *outcome
		}
		if g.ran() == result.RanNo {
			return lost(ctx, &g.gate, err)
		}
		if ctx.Err() != nil {
			return ended(ctx, g.ran())
		}
		if g.last > before {
			progress = time.Now()
		}
		if time.Since(progress) > reconnectTimeout {
			return Outcome{Code: result.ServerFailed, Message: "the stream cannot be resumed: " + err.Error(), Ran: g.ran()}
		}
		pause(ctx, reconnectPause)
	}
}

func (g *generation) ran() result.Ran {
	if g.accepted {
		return result.RanYes
	}
	if sent, _ := g.gate.passed(); sent {
		return result.RanUnknown
	}
	return result.RanNo
}

// follow reads one connection to its end. The outcome is nil if the stream has
// to be resumed.
func (m *Model) follow(ctx context.Context, g *generation) (*Outcome, error) {
	ctx, cancel := context.WithCancelCause(withGate(ctx, &g.gate))
	defer cancel(nil)
	watchdog := time.AfterFunc(SilenceTimeout, func() { cancel(errSilent) })
	defer watchdog.Stop()
	req, err := m.request(ctx, g)
	if err != nil {
		return &Outcome{Code: result.Internal, Message: err.Error(), Ran: g.ran()}, nil
	}
	resp, err := m.client.Do(req)
	if err != nil {
		return nil, errors.CombineErrors(context.Cause(ctx), err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return g.status(resp)
	}
	g.accepted, g.unknown = true, false
	outcome, err := g.read(&livelyReader{resp.Body, watchdog})
	if outcome == nil && context.Cause(ctx) != nil {
		err = context.Cause(ctx)
	}
	return outcome, err
}

// request resumes a stream that the engine should know, or posts it. A post with
// a known id does not run twice.
func (m *Model) request(ctx context.Context, g *generation) (*http.Request, error) {
	if g.accepted && !g.unknown {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, m.streamURL(g.call.ID), nil)
		if err != nil {
			return nil, err
		}
		req.Header.Set("Last-Event-ID", strconv.FormatUint(g.last, 10))
		return req, nil
	}
	g.posts++
	body, err := json.Marshal(generateRequest{
		ID: g.call.ID, Model: g.call.Model, Input: string(g.call.Input),
		Prefix: strconv.FormatUint(g.call.Prefix, 16), MaxTokens: g.call.MaxTokens, Priority: g.call.Priority,
	})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, m.base+"/v1/generate", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

func (m *Model) streamURL(id string) string {
	return m.base + (&url.URL{Path: "/v1/streams/" + id}).EscapedPath()
}

// status judges an answer whose status is an error.
func (g *generation) status(resp *http.Response) (*Outcome, error) {
	if !g.accepted || g.unknown {
		o := refusedOrFailed(resp)
		if g.accepted {
			o.Ran = result.RanYes
		} else if g.posts > 1 {
			// A former post may have reached the engine, or may yet.
			o.Ran = result.RanUnknown
		}
		return &o, nil
	}
	if resp.StatusCode == http.StatusNotFound {
		if g.last > 0 {
			return &Outcome{Code: result.ServerFailed, Message: "the engine lost the stream", Ran: result.RanYes}, nil
		}
		g.unknown = true
	}
	return nil, errors.Newf("the engine answered %s to the resumption", resp.Status)
}

func (g *generation) read(body io.Reader) (*Outcome, error) {
	events := newEventReader(body)
	for {
		ev, err := events.next()
		if err != nil {
			return nil, err
		}
		if ev.id <= g.last {
			continue
		}
		if ev.id != g.last+1 {
			return nil, errors.Newf("event %d after %d", ev.id, g.last)
		}
		if ev.kind == "done" {
			o := ok()
			return &o, nil
		}
		if o := g.take(ev); o != nil {
			return o, nil
		}
	}
}

func (g *generation) take(ev event) *Outcome {
	var t textData
	if err := json.Unmarshal(ev.data, &t); err != nil {
		return &Outcome{Code: result.ServerFailed, Message: fmt.Sprintf("event %d of the engine: %v", ev.id, err), Ran: result.RanYes}
	}
	if code := g.emit(Chunk{Data: []byte(t.Text), Tokens: t.Tokens}); code != result.OK {
		return &Outcome{Code: code, Ran: result.RanYes}
	}
	g.last = ev.id
	return nil
}

// Cancel stops the stream at the engine. An unknown stream is no error.
func (m *Model) Cancel(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, m.streamURL(id), nil)
	if err != nil {
		return err
	}
	resp, err := m.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "cancel stream")
	}
	_ = resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest && resp.StatusCode != http.StatusNotFound {
		return errors.Newf("cancel stream: the engine answered %s", resp.Status)
	}
	return nil
}

// livelyReader restarts the watchdog with each read that brought something.
type livelyReader struct {
	r        io.Reader
	watchdog *time.Timer
}

func (l *livelyReader) Read(b []byte) (int, error) {
	n, err := l.r.Read(b)
	if n > 0 {
		l.watchdog.Reset(SilenceTimeout)
	}
	return n, err
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
