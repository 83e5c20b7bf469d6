package client

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
)

// step is how a fake entry answers one request.
type step func(w http.ResponseWriter, r *http.Request)

// fakeEntry answers requests in the order of its steps and records them.
type fakeEntry struct {
	t     *testing.T
	mu    sync.Mutex
	steps []step
	seen  []string
	keys  []string
}

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.seen = append(e.seen, r.Method+" "+r.URL.Path+" "+r.Header.Get("Last-Event-ID"))
	e.keys = append(e.keys, r.Header.Get("Idempotency-Key"))
	if len(e.steps) == 0 {
		e.mu.Unlock()
		e.t.Error("unexpected request", r.Method, r.URL.Path)
		panic(http.ErrAbortHandler)
	}
	next := e.steps[0]
	e.steps = e.steps[1:]
	e.mu.Unlock()
	next(w, r)
}

const texts = "one two three"

// events writes the events from one sequence number to another; 1 is the request,
// 2 to 4 are chunks, 5 is done.
func events(from, to int) step {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Request-Id", "entry-1~a.b")
		w.Header().Set("Content-Type", "text/event-stream")
		parts := strings.SplitAfter(texts, " ")
		for seq := from; seq <= to; seq++ {
			switch seq {
			case 1:
				fmt.Fprint(w, "id: 1\nevent: request\ndata: {\"request_id\":\"entry-1~a.b\"}\n\n")
			case 5:
				fmt.Fprintf(w, "id: 5\nevent: done\ndata: {\"chunks\":3,\"checksum\":\"%016x\"}\n\n", xxhash.Sum64String(texts))
			default:
				fmt.Fprintf(w, ": keep-alive\n\nid: %d\nevent: chunk\ndata: {\"stage\":\"s\",\"text\":%q}\n\n", seq, parts[seq-2])
			}
		}
		if to < 5 {
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

func cut(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func refuse(code int, effects string, retryMS int) step {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprintf(w, `{"code":%d,"name":"n","message":"m","ran":%q,"effects":%q,"retry_after_ms":%d}`, code, effects, effects, retryMS)
	}
}

func lie(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Request-Id", "entry-1~a.b")
	fmt.Fprint(w, "id: 1\nevent: done\ndata: {\"chunks\":1,\"checksum\":\"0\"}\n\n")
}

func TestExchanges(t *testing.T) {
	type want struct {
		err string
		// requests at the first and second entry.
		first, second []string
	}
	const post, get = "POST /v1/calls/c ", "GET /v1/requests/entry-1~a.b "
	cases := []struct {
		name          string
		call          Call
		first, second []step
		want          want
	}{
		{"whole", Call{}, []step{events(1, 5)}, nil, want{first: []string{post}}},
		{"cut twice", Call{}, []step{events(1, 3), events(4, 4)}, []step{events(5, 5)},
			want{first: []string{post, get + "3"}, second: []string{get + "4"}}},
		{"events told twice", Call{}, []step{events(1, 3), cut}, []step{events(1, 5)}, want{
			first: []string{post, get + "3"}, second: []string{get + "3"}}},
		{"refused, comes back", Call{}, []step{refuse(2001, "no", 5), events(1, 5)}, nil, want{first: []string{post, post}}},
		{"refused for good", Call{}, []step{refuse(4001, "no", 0)}, nil, want{err: "n: m", first: []string{post}}},
		{"failed with effects", Call{IdempotencyKey: "k"}, []step{refuse(3001, "unknown", 5)}, nil, want{err: "n: m", first: []string{post}}},
		{"entry drains", Call{}, []step{refuse(2009, "no", 500)}, []step{events(1, 5)}, want{first: []string{post}, second: []string{post}}},
		{"cut before the id, no key", Call{}, []step{cut}, nil, want{err: ErrOutcomeUnknown.Error(), first: []string{post}}},
		{"cut before the id, idempotent", Call{Idempotent: true}, []step{cut}, []step{events(1, 5)}, want{first: []string{post}, second: []string{post}}},
		{"cut before the id, keyed", Call{IdempotencyKey: "k"}, []step{cut}, []step{events(1, 5)}, want{first: []string{post}, second: []string{post}}},
		{"nobody knows the request", Call{}, []step{events(1, 2), cut}, []step{refuse(1009, "unknown", 0)}, want{
			err: ErrOutcomeUnknown.Error(), first: []string{post, get + "2"}, second: []string{get + "2"}}},
		{"nobody knows the request, keyed", Call{IdempotencyKey: "k"}, []step{events(1, 2), cut, events(1, 5)}, []step{refuse(1009, "unknown", 0)}, want{
			first: []string{post, get + "2", post}, second: []string{get + "2"}}},
		{"a gap", Call{}, []step{events(2, 5)}, nil, want{err: ErrCorrupt.Error(), first: []string{post}}},
		{"a wrong checksum", Call{}, []step{lie}, nil, want{err: ErrCorrupt.Error(), first: []string{post}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			first, second := &fakeEntry{t: t, steps: c.first}, &fakeEntry{t: t, steps: c.second}
			one, two := httptest.NewServer(first), httptest.NewServer(second)
			defer one.Close()
			defer two.Close()
			cl, err := New(Options{Entries: []string{one.URL, two.URL + "/"}, Customer: "acme", Key: "k"})
			assert.NilError(t, err)
			defer cl.Close()
			call := c.call
			call.Name = "c"
			a, err := cl.Do(context.Background(), &call)
			if c.want.err != "" {
				assert.ErrorContains(t, err, c.want.err)
			} else {
				assert.NilError(t, err)
				assert.DeepEqual(t, a.Stages, []StageText{{Stage: "s", Text: texts}})
			}
			first.mu.Lock()
			defer first.mu.Unlock()
			second.mu.Lock()
			defer second.mu.Unlock()
			assert.DeepEqual(t, first.seen, c.want.first)
			assert.DeepEqual(t, second.seen, c.want.second)
			assert.Equal(t, len(first.steps)+len(second.steps), 0)
			for _, k := range append(first.keys, second.keys...) {
				assert.Assert(t, k == "" || k == c.call.IdempotencyKey)
			}
		})
	}
}

func TestTimeoutOverTheCallsDeadline(t *testing.T) {
	var sent []string
	note := func(next step) step {
		return func(w http.ResponseWriter, r *http.Request) {
			sent = append(sent, r.Header.Get("Request-Timeout"))
			next(w, r)
		}
	}
	e := &fakeEntry{t: t, steps: []step{note(refuse(codeBadDeadline, "no", 0)), note(events(1, 5))}}
	srv := httptest.NewServer(e)
	defer srv.Close()
	cl, err := New(Options{Entries: []string{srv.URL}})
	assert.NilError(t, err)
	defer cl.Close()
	_, err = cl.Do(context.Background(), &Call{Name: "c", Timeout: time.Hour})
	assert.NilError(t, err)
	assert.Equal(t, len(sent), 2)
	assert.Assert(t, sent[0] != "" && sent[1] == "", "%q", sent)
}

func TestGivenChunksAreNotRepeated(t *testing.T) {
	e := &fakeEntry{t: t, steps: []step{events(1, 2), refuse(1009, "unknown", 0)}}
	srv := httptest.NewServer(e)
	defer srv.Close()
	cl, err := New(Options{Entries: []string{srv.URL}})
	assert.NilError(t, err)
	defer cl.Close()
	var got string
	_, err = cl.Do(context.Background(), &Call{Name: "c", IdempotencyKey: "k", OnChunk: func(_, text string) { got += text }})
	assert.ErrorIs(t, err, ErrOutcomeUnknown)
	assert.Equal(t, got, "one ")
}

func TestUnreachableEntriesAreNotRun(t *testing.T) {
	srv := httptest.NewServer(http.NotFoundHandler())
	srv.Close()
	cl, err := New(Options{Entries: []string{srv.URL}})
	assert.NilError(t, err)
	defer cl.Close()
	_, err = cl.Do(context.Background(), &Call{Name: "c", Timeout: 300 * time.Millisecond})
	assert.ErrorIs(t, err, ErrNotSent)
}

// TestDeadlineWhileConnectingIsNotRun lets the deadline come before there is a
// connection.
func TestDeadlineWhileConnectingIsNotRun(t *testing.T) {
	cl, err := New(Options{Entries: []string{"http://127.0.0.1:1"}})
	assert.NilError(t, err)
	defer cl.Close()
	cl.http.Transport = &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	_, err = cl.Do(context.Background(), &Call{Name: "c", Timeout: 50 * time.Millisecond})
	assert.ErrorIs(t, err, ErrNotSent)
}

// TestUnreachableAfterACutIsUnknown cuts the first request and reaches no entry after
// it: the first one may have run.
func TestUnreachableAfterACutIsUnknown(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer srv.Close()
	cl, err := New(Options{Entries: []string{srv.URL}})
	assert.NilError(t, err)
	defer cl.Close()
	dials := 0
	cl.http.Transport = &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		if dials++; dials > 1 {
			return nil, errors.New("refused")
		}
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}}
	_, err = cl.Do(context.Background(), &Call{Name: "c", Idempotent: true, Timeout: 300 * time.Millisecond})
	assert.ErrorIs(t, err, ErrOutcomeUnknown)
}

func TestNewKeyIsUUIDv7(t *testing.T) {
	k, err := NewKey()
	assert.NilError(t, err)
	assert.Equal(t, k[14], byte('7'))
}
