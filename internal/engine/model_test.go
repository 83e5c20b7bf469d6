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

// script tells a fake engine what to do with one connection.
type script struct {
	// status answers at once with an error.
	status int
	notRun bool
	// silentHeader answers nothing at all.
	silentHeader bool
	// events is how many events to send before the connection is cut, or goes
	// silent; 0 sends all.
	events int
	silent bool
	// skip leaves out the next event, repeat sends the last one again.
	skip, repeat bool
	garbage      string
}

const streamEvents = 6

// fakeEngine holds one stream and follows a script for each connection.
type fakeEngine struct {
	mu      sync.Mutex
	scripts []script
	// calls lists the requests: POST, GET <last event id> or DELETE <path>.
	calls []string
}

func (e *fakeEngine) next(call string) script {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls = append(e.calls, call)
	if len(e.scripts) == 0 {
		return script{}
	}
	s := e.scripts[0]
	e.scripts = e.scripts[1:]
	return s
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		e.next("DELETE " + r.URL.Path)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	call := "POST"
	if r.Method == http.MethodGet {
		call = fmt.Sprintf("GET %d", from)
	}
	s := e.next(call)
	switch {
	case s.silentHeader:
		<-r.Context().Done()
		return
	case s.status != 0:
		if s.notRun {
			w.Header().Set("Not-Run", "true")
		}
		w.WriteHeader(s.status)
		return
	}
	e.stream(w, r, s, from)
}

func (e *fakeEngine) stream(w http.ResponseWriter, r *http.Request, s script, from int) {
	if s.skip {
		from++
	}
	if s.repeat {
		from = max(0, from-1)
	}
	_, _ = fmt.Fprint(w, ": keep-alive\n\n"+s.garbage)
	for i := from + 1; i <= streamEvents; i++ {
		if s.events > 0 && i > from+s.events {
			_ = http.NewResponseController(w).Flush()
			if s.silent {
				<-r.Context().Done()
			}
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"text\":\"t%d \",\"tokens\":1}\n\n", i, i)
	}
	_, _ = fmt.Fprintf(w, "event: done\nid: %d\ndata: {\"tokens\":%d}\n\n", streamEvents+1, streamEvents)
}

// TestModelContract checks that no chunk is lost or doubled, and that a
// generation starts at most once, over the faults of connections.
func TestModelContract(t *testing.T) {
	const whole = "t1 t2 t3 t4 t5 t6 "
	cases := []struct {
		name    string
		scripts []script
		code    result.Code
		ran     result.Ran
		text    string
		calls   string
	}{
		{"no fault", nil, result.OK, result.RanYes, whole, "POST"},
		{"cut", []script{{events: 2}}, result.OK, result.RanYes, whole, "POST,GET 2"},
		{"cut twice", []script{{events: 2}, {events: 3}}, result.OK, result.RanYes, whole, "POST,GET 2,GET 5"},
		{"silent", []script{{events: 2, silent: true}}, result.OK, result.RanYes, whole, "POST,GET 2"},
		{"silent twice", []script{{events: 2, silent: true}, {events: 1, silent: true}}, result.OK, result.RanYes, whole, "POST,GET 2,GET 3"},
		{"silent before the answer", []script{{silentHeader: true}}, result.OK, result.RanYes, whole, "POST,POST"},
		{"event left out", []script{{events: 2}, {skip: true}}, result.OK, result.RanYes, whole, "POST,GET 2,GET 2"},
		{"event repeated", []script{{events: 2}, {repeat: true}}, result.OK, result.RanYes, whole, "POST,GET 2"},
		{"resumption fails once", []script{{events: 2}, {status: 500}}, result.OK, result.RanYes, whole, "POST,GET 2,GET 2"},
		{"engine lost the stream", []script{{events: 2}, {status: 404}}, result.ServerFailed, result.RanYes, "t1 t2 ", "POST,GET 2"},
		{"not run", []script{{status: 503, notRun: true}}, result.ServerFailed, result.RanNo, "", "POST"},
		{"not run after a silent post", []script{{silentHeader: true}, {status: 503, notRun: true}}, result.ServerFailed, result.RanUnknown, "", "POST,POST"},
		{"overloaded without saying", []script{{status: 503}}, result.ServerFailed, result.RanUnknown, "", "POST"},
		{"failed", []script{{status: 500}}, result.ServerFailed, result.RanUnknown, "", "POST"},
		{"event without JSON", []script{{garbage: "id: 1\ndata: {\n\n"}}, result.ServerFailed, result.RanYes, "", "POST"},
		{"event id is no number", []script{{garbage: "id: x\ndata: {}\n\n"}}, result.OK, result.RanYes, whole, "POST,GET 0"},
		{"line too long", []script{{garbage: "data: " + strings.Repeat("x", maxLineBytes+1) + "\n"}}, result.OK, result.RanYes, whole, "POST,GET 0"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := &fakeEngine{scripts: c.scripts}
			srv := httptest.NewServer(e)
			defer srv.Close()
			text, begun := "", 0
			o := NewModel(srv.URL).Run(context.Background(), Call{ID: "e~1/3/1", Begin: func() result.Code { begun++; return result.OK }}, func(c Chunk) result.Code {
				text += string(c.Data)
				return result.OK
			})
			assert.Equal(t, o.Code, c.code, o.Message)
			assert.Equal(t, o.Ran, c.ran)
			assert.Equal(t, text, c.text)
			assert.Equal(t, strings.Join(e.calls, ","), c.calls)
			assert.Equal(t, begun, 1)
		})
	}
}

func TestModelShutGateSendsNothing(t *testing.T) {
	e := &fakeEngine{}
	srv := httptest.NewServer(e)
	defer srv.Close()
	for _, server := range []Server{NewModel(srv.URL), NewService(srv.URL)} {
		o := server.Run(context.Background(), Call{Begin: func() result.Code { return result.BudgetSpent }}, nil)
		assert.Equal(t, o.Code, result.BudgetSpent)
		assert.Equal(t, o.Ran, result.RanNo)
	}
	assert.Equal(t, len(e.calls), 0)
}

func TestModelEndsWithItsContext(t *testing.T) {
	e := &fakeEngine{scripts: []script{{events: 1, silent: true}}}
	srv := httptest.NewServer(e)
	defer srv.Close()
	ctx, cancel := context.WithCancel(context.Background())
	o := NewModel(srv.URL).Run(ctx, Call{ID: "a"}, func(Chunk) result.Code { cancel(); return result.OK })
	assert.Equal(t, o.Code, result.Cancelled)
	assert.Equal(t, o.Ran, result.RanYes)
	assert.NilError(t, NewModel(srv.URL).Cancel(context.Background(), "e~1/3/1"))
	assert.Equal(t, e.calls[len(e.calls)-1], "DELETE /v1/streams/e~1/3/1")
}

func TestModelGivesUpOnAnEngineThatIsGone(t *testing.T) {
	e := &fakeEngine{scripts: []script{{events: 1}}}
	srv := httptest.NewServer(e)
	// The listener goes with the first cut; the client then meets closed ports.
	o := NewModel(srv.URL).Run(context.Background(), Call{ID: "a"}, func(Chunk) result.Code {
		_ = srv.Listener.Close()
		return result.OK
	})
	srv.Close()
	assert.Equal(t, o.Code, result.ServerFailed)
	assert.Equal(t, o.Ran, result.RanYes)

	o = NewModel(srv.URL).Run(context.Background(), Call{ID: "a"}, nil)
	assert.Equal(t, o.Code, result.ServerFailed)
	assert.Equal(t, o.Ran, result.RanNo)
}

func FuzzEvents(f *testing.F) {
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

func BenchmarkModelChunk(b *testing.B) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for i := 1; i <= 1000; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"text\":\"0123456789abcdef0123\",\"tokens\":1}\n\n", i)
		}
		_, _ = fmt.Fprint(w, "event: done\nid: 1001\ndata: {\"tokens\":1000}\n\n")
	}))
	defer srv.Close()
	m := NewModel(srv.URL)
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
