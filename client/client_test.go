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

// step answers one request to a fake entry.
type step func(w http.ResponseWriter, r *http.Request)

// fakeEntry answers each request with the next of its steps and records the requests.
type fakeEntry struct {
	t     *testing.T
	mu    sync.Mutex
	steps []step
	// requests lists the method, path and Last-Event-ID of each request.
	requests []string
	// idempotencyKeys lists the idempotency key of each request.
	idempotencyKeys []string
}

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.requests = append(e.requests, r.Method+" "+r.URL.Path+" "+r.Header.Get("Last-Event-ID"))
	e.idempotencyKeys = append(e.idempotencyKeys, r.Header.Get("Idempotency-Key"))
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

const answerText = "one two three"

// streamEvents returns a step that writes the events with the sequence numbers from..to,
// and then aborts the connection unless the last event of the answer was written. Event
// 1 carries the request id, events 2 to 4 are chunks, and event 5 ends the answer.
func streamEvents(from, to int) step {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Request-Id", "entry-1~a.b")
		w.Header().Set("Content-Type", "text/event-stream")
		parts := strings.SplitAfter(answerText, " ")
		for seq := from; seq <= to; seq++ {
			switch seq {
			case 1:
				fmt.Fprint(w, "id: 1\nevent: request\ndata: {\"request_id\":\"entry-1~a.b\"}\n\n")
			case 5:
				fmt.Fprintf(w, "id: 5\nevent: done\ndata: {\"chunks\":3,\"checksum\":\"%016x\"}\n\n", xxhash.Sum64String(answerText))
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

// abortConnection aborts the connection without a response.
func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// errorResponse returns a step that responds with an error body.
func errorResponse(code int, effects string, retryMS int) step {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprintf(w, `{"code":%d,"name":"n","message":"m","ran":%q,"effects":%q,"retry_after_ms":%d}`, code, effects, effects, retryMS)
	}
}

// wrongChecksum announces a checksum that does not match the answer.
func wrongChecksum(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Request-Id", "entry-1~a.b")
	fmt.Fprint(w, "id: 1\nevent: done\ndata: {\"chunks\":1,\"checksum\":\"0\"}\n\n")
}

// TestDoUnderFaults checks which requests a call sends to two entries, and its result,
// for connection faults and error responses.
func TestDoUnderFaults(t *testing.T) {
	type want struct {
		err string
		// first and second list the requests expected at each entry.
		first, second []string
	}
	const post, get = "POST /v1/calls/c ", "GET /v1/requests/entry-1~a.b "
	cases := []struct {
		name          string
		call          Call
		first, second []step
		want          want
	}{
		{"complete answer", Call{}, []step{streamEvents(1, 5)}, nil, want{first: []string{post}}},
		{"connection lost twice", Call{}, []step{streamEvents(1, 3), streamEvents(4, 4)}, []step{streamEvents(5, 5)},
			want{first: []string{post, get + "3"}, second: []string{get + "4"}}},
		{"events received twice", Call{}, []step{streamEvents(1, 3), abortConnection}, []step{streamEvents(1, 5)}, want{
			first: []string{post, get + "3"}, second: []string{get + "3"}}},
		{"refused with a retry delay", Call{}, []step{errorResponse(2001, "no", 5), streamEvents(1, 5)}, nil, want{first: []string{post, post}}},
		{"refused without a retry delay", Call{}, []step{errorResponse(4001, "no", 0)}, nil, want{err: "n: m", first: []string{post}}},
		{"failed, effects unknown", Call{IdempotencyKey: "k"}, []step{errorResponse(3001, "unknown", 5)}, nil, want{err: "n: m", first: []string{post}}},
		{"entry is draining", Call{}, []step{errorResponse(2009, "no", 500)}, []step{streamEvents(1, 5)}, want{first: []string{post}, second: []string{post}}},
		{"connection lost before the request id, no key", Call{}, []step{abortConnection}, nil, want{err: ErrOutcomeUnknown.Error(), first: []string{post}}},
		{"connection lost before the request id, idempotent", Call{Idempotent: true}, []step{abortConnection}, []step{streamEvents(1, 5)}, want{first: []string{post}, second: []string{post}}},
		{"connection lost before the request id, with a key", Call{IdempotencyKey: "k"}, []step{abortConnection}, []step{streamEvents(1, 5)}, want{first: []string{post}, second: []string{post}}},
		{"request unknown to the entries", Call{}, []step{streamEvents(1, 2), abortConnection}, []step{errorResponse(1009, "unknown", 0)}, want{
			err: ErrOutcomeUnknown.Error(), first: []string{post, get + "2"}, second: []string{get + "2"}}},
		{"request unknown to the entries, with a key", Call{IdempotencyKey: "k"}, []step{streamEvents(1, 2), abortConnection, streamEvents(1, 5)}, []step{errorResponse(1009, "unknown", 0)}, want{
			first: []string{post, get + "2", post}, second: []string{get + "2"}}},
		{"missing event", Call{}, []step{streamEvents(2, 5)}, nil, want{err: ErrCorrupt.Error(), first: []string{post}}},
		{"wrong checksum", Call{}, []step{wrongChecksum}, nil, want{err: ErrCorrupt.Error(), first: []string{post}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			first, second := &fakeEntry{t: t, steps: c.first}, &fakeEntry{t: t, steps: c.second}
			firstServer, secondServer := httptest.NewServer(first), httptest.NewServer(second)
			defer firstServer.Close()
			defer secondServer.Close()
			cl, err := New(Options{Entries: []string{firstServer.URL, secondServer.URL + "/"}, Customer: "acme", Key: "k"})
			assert.NilError(t, err)
			defer cl.Close()
			call := c.call
			call.Name = "c"
			a, err := cl.Do(context.Background(), &call)
			if c.want.err != "" {
				assert.ErrorContains(t, err, c.want.err)
			} else {
				assert.NilError(t, err)
				assert.DeepEqual(t, a.Stages, []StageText{{Stage: "s", Text: answerText}})
			}
			first.mu.Lock()
			defer first.mu.Unlock()
			second.mu.Lock()
			defer second.mu.Unlock()
			assert.DeepEqual(t, first.requests, c.want.first)
			assert.DeepEqual(t, second.requests, c.want.second)
			assert.Equal(t, len(first.steps)+len(second.steps), 0)
			for _, k := range append(first.idempotencyKeys, second.idempotencyKeys...) {
				assert.Assert(t, k == "" || k == c.call.IdempotencyKey)
			}
		})
	}
}

// TestTimeoutIsOmittedAfterBadDeadline checks that a call whose timeout is refused as
// longer than the configured deadline is sent again without a timeout.
func TestTimeoutIsOmittedAfterBadDeadline(t *testing.T) {
	var timeouts []string
	recordTimeout := func(next step) step {
		return func(w http.ResponseWriter, r *http.Request) {
			timeouts = append(timeouts, r.Header.Get("Request-Timeout"))
			next(w, r)
		}
	}
	e := &fakeEntry{t: t, steps: []step{recordTimeout(errorResponse(codeBadDeadline, "no", 0)), recordTimeout(streamEvents(1, 5))}}
	srv := httptest.NewServer(e)
	defer srv.Close()
	cl, err := New(Options{Entries: []string{srv.URL}})
	assert.NilError(t, err)
	defer cl.Close()
	_, err = cl.Do(context.Background(), &Call{Name: "c", Timeout: time.Hour})
	assert.NilError(t, err)
	assert.Equal(t, len(timeouts), 2)
	assert.Assert(t, timeouts[0] != "" && timeouts[1] == "", "%q", timeouts)
}

// TestNoRetryAfterChunksWereDelivered checks that a call is not sent again once a chunk
// was passed to OnChunk, since the program would receive that text twice.
func TestNoRetryAfterChunksWereDelivered(t *testing.T) {
	e := &fakeEntry{t: t, steps: []step{streamEvents(1, 2), errorResponse(1009, "unknown", 0)}}
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

func TestUnreachableEntriesReturnErrNotSent(t *testing.T) {
	srv := httptest.NewServer(http.NotFoundHandler())
	srv.Close()
	cl, err := New(Options{Entries: []string{srv.URL}})
	assert.NilError(t, err)
	defer cl.Close()
	_, err = cl.Do(context.Background(), &Call{Name: "c", Timeout: 300 * time.Millisecond})
	assert.ErrorIs(t, err, ErrNotSent)
}

// TestDeadlineWhileConnectingReturnsErrNotSent checks the error if the deadline is
// reached before a connection is established.
func TestDeadlineWhileConnectingReturnsErrNotSent(t *testing.T) {
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

// TestUnreachableAfterConnectionLossReturnsErrOutcomeUnknown aborts the connection of the
// first request and lets all later ones fail to connect. The first request may have been
// executed.
func TestUnreachableAfterConnectionLossReturnsErrOutcomeUnknown(t *testing.T) {
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
