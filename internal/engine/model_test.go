package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

// connectionScript describes how a fake engine handles one connection.
type connectionScript struct {
	// status is the error status of the response; 0 means that a stream is sent.
	status int
	// notRun adds the Not-Run header to an error response.
	notRun bool
	// noResponse keeps the connection open without sending anything.
	noResponse bool
	// eventLimit is the number of events sent before the connection is aborted; 0 sends
	// all.
	eventLimit int
	// silent keeps the connection open at the event limit instead of aborting it.
	silent bool
	// skip omits the next event, repeat sends the last one again.
	skip, repeat bool
	// rawText is sent before the first event.
	rawText string
}

const streamEventCount = 6

// fakeEngine serves one stream and uses the next of its scripts for each connection.
type fakeEngine struct {
	mu      sync.Mutex
	scripts []connectionScript
	// requests lists the requests: POST, GET <last event id> or DELETE <path>.
	requests []string
}

func (e *fakeEngine) nextScript(request string) connectionScript {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests = append(e.requests, request)
	if len(e.scripts) == 0 {
		return connectionScript{}
	}
	s := e.scripts[0]
	e.scripts = e.scripts[1:]
	return s
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		e.nextScript("DELETE " + r.URL.Path)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	request := "POST"
	if r.Method == http.MethodGet {
		request = fmt.Sprintf("GET %d", from)
	}
	s := e.nextScript(request)
	switch {
	case s.noResponse:
		<-r.Context().Done()
		return
	case s.status != 0:
		if s.notRun {
			w.Header().Set("Not-Run", "true")
		}
		w.WriteHeader(s.status)
		return
	}
	e.writeStream(w, r, s, from)
}

func (e *fakeEngine) writeStream(w http.ResponseWriter, r *http.Request, s connectionScript, from int) {
	if s.skip {
		from++
	}
	if s.repeat {
		from = max(0, from-1)
	}
	_, _ = fmt.Fprint(w, ": keep-alive\n\n"+s.rawText)
	for i := from + 1; i <= streamEventCount; i++ {
		if s.eventLimit > 0 && i > from+s.eventLimit {
			_ = http.NewResponseController(w).Flush()
			if s.silent {
				<-r.Context().Done()
			}
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"text\":\"t%d \",\"tokens\":1}\n\n", i, i)
	}
	_, _ = fmt.Fprintf(w, "event: done\nid: %d\ndata: {\"tokens\":%d}\n\n", streamEventCount+1, streamEventCount)
}

// TestModelClientConnectionFaults checks that no chunk is lost or duplicated and that a
// generation starts at most once when connections fail.
func TestModelClientConnectionFaults(t *testing.T) {
	const fullText = "t1 t2 t3 t4 t5 t6 "
	cases := []struct {
		name     string
		scripts  []connectionScript
		code     result.Code
		ran      result.Ran
		text     string
		requests string
	}{
		{"no fault", nil, result.OK, result.RanYes, fullText, "POST"},
		{"connection lost", []connectionScript{{eventLimit: 2}}, result.OK, result.RanYes, fullText, "POST,GET 2"},
		{"connection lost twice", []connectionScript{{eventLimit: 2}, {eventLimit: 3}}, result.OK, result.RanYes, fullText, "POST,GET 2,GET 5"},
		{"connection silent", []connectionScript{{eventLimit: 2, silent: true}}, result.OK, result.RanYes, fullText, "POST,GET 2"},
		{"connection silent twice", []connectionScript{{eventLimit: 2, silent: true}, {eventLimit: 1, silent: true}}, result.OK, result.RanYes, fullText, "POST,GET 2,GET 3"},
		{"silent before the response", []connectionScript{{noResponse: true}}, result.OK, result.RanYes, fullText, "POST,POST"},
		{"event missing", []connectionScript{{eventLimit: 2}, {skip: true}}, result.OK, result.RanYes, fullText, "POST,GET 2,GET 2"},
		{"event repeated", []connectionScript{{eventLimit: 2}, {repeat: true}}, result.OK, result.RanYes, fullText, "POST,GET 2"},
		{"resuming fails once", []connectionScript{{eventLimit: 2}, {status: 500}}, result.OK, result.RanYes, fullText, "POST,GET 2,GET 2"},
		{"stream unknown to the engine", []connectionScript{{eventLimit: 2}, {status: 404}}, result.ServerFailed, result.RanYes, "t1 t2 ", "POST,GET 2"},
		{"not run", []connectionScript{{status: 503, notRun: true}}, result.ServerFailed, result.RanNo, "", "POST"},
		{"not run after a post without a response", []connectionScript{{noResponse: true}, {status: 503, notRun: true}}, result.ServerFailed, result.RanUnknown, "", "POST,POST"},
		{"unavailable without the Not-Run header", []connectionScript{{status: 503}}, result.ServerFailed, result.RanUnknown, "", "POST"},
		{"internal error", []connectionScript{{status: 500}}, result.ServerFailed, result.RanUnknown, "", "POST"},
		{"event data is not JSON", []connectionScript{{rawText: "id: 1\ndata: {\n\n"}}, result.ServerFailed, result.RanYes, "", "POST"},
		{"event id is not a number", []connectionScript{{rawText: "id: x\ndata: {}\n\n"}}, result.OK, result.RanYes, fullText, "POST,GET 0"},
		{"line too long", []connectionScript{{rawText: "data: " + strings.Repeat("x", maxLineBytes+1) + "\n"}}, result.OK, result.RanYes, fullText, "POST,GET 0"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := &fakeEngine{scripts: c.scripts}
			srv := httptest.NewServer(e)
			defer srv.Close()
			text, beforeSendCalls := "", 0
			o := NewModelClient(srv.URL).Run(context.Background(), Call{ID: "e~1/3/1", BeforeSend: func() result.Code { beforeSendCalls++; return result.OK }}, func(c Chunk) result.Code {
				text += string(c.Data)
				return result.OK
			})
			assert.Equal(t, o.Code, c.code, o.Message)
			assert.Equal(t, o.Ran, c.ran)
			assert.Equal(t, text, c.text)
			assert.Equal(t, strings.Join(e.requests, ","), c.requests)
			assert.Equal(t, beforeSendCalls, 1)
		})
	}
}

func TestNothingIsSentIfBeforeSendRefuses(t *testing.T) {
	e := &fakeEngine{}
	srv := httptest.NewServer(e)
	defer srv.Close()
	for _, server := range []Server{NewModelClient(srv.URL), NewServiceClient(srv.URL)} {
		o := server.Run(context.Background(), Call{BeforeSend: func() result.Code { return result.BudgetSpent }}, nil)
		assert.Equal(t, o.Code, result.BudgetSpent)
		assert.Equal(t, o.Ran, result.RanNo)
	}
	assert.Equal(t, len(e.requests), 0)
}

func TestModelClientStopsWhenContextEnds(t *testing.T) {
	e := &fakeEngine{scripts: []connectionScript{{eventLimit: 1, silent: true}}}
	srv := httptest.NewServer(e)
	defer srv.Close()
	ctx, cancel := context.WithCancel(context.Background())
	o := NewModelClient(srv.URL).Run(ctx, Call{ID: "a"}, func(Chunk) result.Code { cancel(); return result.OK })
	assert.Equal(t, o.Code, result.Cancelled)
	assert.Equal(t, o.Ran, result.RanYes)
	assert.NilError(t, NewModelClient(srv.URL).Cancel(context.Background(), "e~1/3/1"))
	assert.Equal(t, e.requests[len(e.requests)-1], "DELETE /v1/streams/e~1/3/1")
}

func TestModelClientUnreachableEngine(t *testing.T) {
	e := &fakeEngine{scripts: []connectionScript{{eventLimit: 1}}}
	srv := httptest.NewServer(e)
	// The listener is closed on the first chunk, so that the client cannot connect again.
	o := NewModelClient(srv.URL).Run(context.Background(), Call{ID: "a"}, func(Chunk) result.Code {
		_ = srv.Listener.Close()
		return result.OK
	})
	srv.Close()
	assert.Equal(t, o.Code, result.ServerFailed)
	assert.Equal(t, o.Ran, result.RanYes)

	o = NewModelClient(srv.URL).Run(context.Background(), Call{ID: "a"}, nil)
	assert.Equal(t, o.Code, result.ServerFailed)
	assert.Equal(t, o.Ran, result.RanNo)
}

func FuzzEventReader(f *testing.F) {
	f.Add("id: 1\ndata: {\"text\":\"a\"}\n\nevent: done\nid: 2\ndata: {}\n\n")
	f.Add(": keep-alive\n\nid:1\ndata\ndata: x\r\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		r := newEventReader(strings.NewReader(text))
		for range len(text) + 1 {
			ev, err := r.next()
			if err != nil {
				return
			}
			if ev.id == 0 {
				t.Fatal("event without id")
			}
		}
		t.Fatal("more events than bytes")
	})
}

func BenchmarkModelClientChunk(b *testing.B) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for i := 1; i <= 1000; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"text\":\"0123456789abcdef0123\",\"tokens\":1}\n\n", i)
		}
		_, _ = fmt.Fprint(w, "event: done\nid: 1001\ndata: {\"tokens\":1000}\n\n")
	}))
	defer srv.Close()
	m := NewModelClient(srv.URL)
	b.ReportAllocs()
	start := time.Now()
	for b.Loop() {
		o := m.Run(context.Background(), Call{ID: "a"}, func(Chunk) result.Code { return result.OK })
		if o.Code != result.OK {
			b.Fatal(o)
		}
	}
	b.ReportMetric(float64(time.Since(start).Nanoseconds())/float64(b.N)/1000, "ns/chunk")
}
