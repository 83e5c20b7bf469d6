package node

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/magnoliawheel/magnoliawheel/platform"
	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// TestWholeRequest compares all that a request with two stages sends and gets with a
// golden file.
func TestWholeRequest(t *testing.T) {
	f := newFleet(t)
	a, b, model := f.server("a", "a1", 0), f.server("b", "b1", 0), f.server("model", "m1", 3)
	f.configure()
	e := f.entry("e1", 0).ready()
	got := e.do(call{path: standin.PathStream + "x?q=1", body: "prompt", ClientHeader: standin.ClientHeader{
		RequestID: "r1", APIKey: "key-1", PieceCounts: "1,2", PieceKey: "pk", TokenCount: "100,10", PromptParts: "aa:80,bb:20", Forged: true,
	}})
	assert.NilError(t, got.broken)
	eventually(t, "all results are given up", func() bool { return len(a.FreedHandles()) == 1 && len(b.FreedHandles()) == 2 })
	var out strings.Builder
	fmt.Fprintf(&out, "client: %d seal=%s\n%s", got.status, standin.Signature(got.header), got.body)
	fmt.Fprintf(&out, "pieces at a1: %v\npieces at b1: %v\nruns at m1: %v\n", a.CompletedPieces(), b.CompletedPieces(), model.ExecutedRequests())
	h := standin.StableHeader(model.LastHeader("r1"))
	for _, name := range sortedNames(h) {
		fmt.Fprintf(&out, "%s: %s\n", name, strings.Join(h[name], " "))
	}
	text := strings.ReplaceAll(out.String(), b.Address(), "B1")
	golden.Assert(t, text, "whole_request.golden")
}

func sortedNames(h http.Header) []string {
	var names []string
	for name := range h {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func TestRefusals(t *testing.T) {
	f := newFleet(t)
	f.server("plain", "p1", 0)
	f.configure()
	e := f.entry("e1", 0).ready()
	long := strings.Repeat("x", 2000)
	tests := []struct {
		name   string
		call   call
		status int
		code   string
	}{
		{"unknown route", keyed("/none/", "r", "key-1"), 404, "1001"},
		{"unknown key", keyed(standin.PathSafe, "r", "other"), 401, "1005"},
		{"no key", call{path: standin.PathSafe, ClientHeader: standin.ClientHeader{RequestID: "r"}}, 401, "1005"},
		{"no id", call{path: standin.PathSafe, ClientHeader: standin.ClientHeader{APIKey: "key-1"}}, 400, "1017"},
		{"bad pieces", call{path: standin.PathSafe, ClientHeader: standin.ClientHeader{RequestID: "r", APIKey: "key-1", PieceCounts: "x"}}, 400, "1017"},
		{"body too large", call{path: standin.PathUnsafe, body: long, ClientHeader: standin.ClientHeader{RequestID: "r", APIKey: "key-1"}}, 413, "1003"},
		{"header too large", call{path: standin.PathSafe, ClientHeader: standin.ClientHeader{RequestID: "r", APIKey: "key-1"}, extra: http.Header{"X-Long": {long, long, long}}}, 431, "1008"},
		{"no server", keyed(standin.PathResumable, "r", "key-1"), 503, "2004"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := e.do(tt.call)
			assert.NilError(t, got.broken)
			assert.Equal(t, got.status, tt.status)
			assert.Assert(t, strings.Contains(got.body, `"code":`+tt.code), got.body)
			assert.Assert(t, tt.status != 503 || got.header.Get("Retry-After") != "")
		})
	}
	assert.Equal(t, len(f.servers["p1"].ExecutedRequests()), 0)
	assert.Equal(t, e.do(call{path: standin.PathPublic, ClientHeader: standin.ClientHeader{RequestID: "r"}}).status, 200)
}

func TestNothingIsKnownYet(t *testing.T) {
	f := newFleet(t)
	e := f.entry("e1", 0)
	var got reply
	eventually(t, "the entry answers", func() bool {
		got = e.do(keyed(standin.PathSafe, "r", "key-1"))
		return got.broken == nil
	})
	assert.Equal(t, got.status, 503)
	assert.Assert(t, strings.Contains(got.body, `"code":2013`), got.body)
	f.server("plain", "p1", 0)
	f.configure()
	eventually(t, "the entry serves", func() bool { return e.do(keyed(standin.PathSafe, "r", "key-1")).status == 200 })
}

// TestPlainFaults lets the first server that is asked misbehave.
func TestPlainFaults(t *testing.T) {
	tests := []struct {
		name string
		// fault answers in place of the first server asked.
		fault            func(w http.ResponseWriter, r *http.Request)
		safe, unsafe     int
		safeRuns, unRuns int
	}{
		{"closes without an answer", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 200, 502, 1, 0},
		{"fails", func(w http.ResponseWriter, _ *http.Request) {
			standin.SetSignature(w.Header(), "s")
			w.WriteHeader(500)
		}, 200, 500, 1, 0},
		{"says that it did not run it", func(w http.ResponseWriter, _ *http.Request) {
			standin.SetNotExecuted(w.Header())
			w.WriteHeader(503)
		}, 200, 200, 1, 1},
		{"is another server", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(421) }, 200, 200, 1, 1},
		{"answers without its seal", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("x")) }, 200, 502, 1, 0},
		{"breaks its answer off", func(w http.ResponseWriter, _ *http.Request) {
			standin.SetSignature(w.Header(), "s")
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("half"))
			panic(http.ErrAbortHandler)
		}, 200, 502, 1, 0},
		{"answers for another request", func(w http.ResponseWriter, _ *http.Request) {
			standin.SetRequestID(w.Header(), "other")
			standin.SetSignature(w.Header(), "s")
			w.Header().Set("Connection", "close")
			_, _ = w.Write([]byte("not yours"))
		}, 200, 502, 1, 0},
	}
	for _, tt := range tests {
		for _, path := range []string{standin.PathSafe, standin.PathUnsafe} {
			t.Run(tt.name+path, func(t *testing.T) {
				f := newFleet(t)
				f.configure()
				var asked atomic.Int32
				for _, id := range []string{"p1", "p2"} {
					f.server("plain", id, 0).SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
						if asked.Add(1) > 1 {
							return false
						}
						tt.fault(w, r)
						return true
					})
				}
				got := f.entry("e1", 0).ready().do(call{path: path, body: "b", ClientHeader: standin.ClientHeader{RequestID: "r", APIKey: "key-1"}})
				want, runs := tt.safe, tt.safeRuns
				if path == standin.PathUnsafe {
					want, runs = tt.unsafe, tt.unRuns
				}
				assert.Equal(t, got.status, want, got.body)
				assert.Equal(t, len(f.servers["p1"].ExecutedRequests())+len(f.servers["p2"].ExecutedRequests()), runs)
				if want == 200 {
					assert.Equal(t, got.body, "POST "+path+" b")
				}
			})
		}
	}
}

func TestBrokenStreams(t *testing.T) {
	breakOff := func(events int) func(w http.ResponseWriter, r *http.Request) bool {
		var first atomic.Bool
		return func(w http.ResponseWriter, r *http.Request) bool {
			if !first.CompareAndSwap(false, true) {
				return false
			}
			standin.SetSignature(w.Header(), "first")
			for i := 1; i <= events; i++ {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d of r\n\n", i, i)
			}
			_, _ = fmt.Fprint(w, "id: 99\ndata: half")
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
	}
	whole := ""
	for i := 1; i <= 4; i++ {
		whole += fmt.Sprintf("id: %d\ndata: token %d of r\n\n", i, i)
	}
	t.Run("resumable", func(t *testing.T) {
		f := newFleet(t)
		f.configure()
		answer := breakOff(2)
		f.server("model", "m1", 4).SetHandler(answer)
		f.server("model", "m2", 4).SetHandler(answer)
		got := f.entry("e1", 0).ready().do(keyed(standin.PathResumable, "r", "key-1"))
		assert.NilError(t, got.broken)
		assert.Equal(t, got.body, whole)
		assert.Equal(t, standin.Signature(got.header), "seal-first")
	})
	t.Run("not resumable", func(t *testing.T) {
		f := newFleet(t)
		f.configure()
		f.server("a", "a1", 0)
		f.server("b", "b1", 0)
		f.server("model", "m1", 4).SetHandler(breakOff(2))
		m2 := f.server("model", "m2", 4)
		m2.SetHandler(breakOff(2))
		got := f.entry("e1", 0).ready().do(keyed(standin.PathStream, "r", "key-1"))
		assert.Assert(t, got.broken != nil, "an answer that broke off looks complete")
		assert.Equal(t, len(m2.ExecutedRequests()), 0)
	})
}

func TestClientThatLeavesStopsItsServer(t *testing.T) {
	f := newFleet(t)
	f.configure()
	reached, stopped := make(chan struct{}), make(chan struct{})
	f.server("model", "m1", 1).SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
		close(reached)
		<-r.Context().Done()
		close(stopped)
		return true
	})
	ctx, leave := context.WithCancel(context.Background())
	e := f.entry("e1", 0).ready()
	go e.doCtx(ctx, keyed(standin.PathResumable, "r", "key-1"))
	<-reached
	leave()
	<-stopped
	eventually(t, "the request has ended", func() bool { return e.gateway.InFlight() == 0 })
}

func TestKeysTakenAwayAndStoreLost(t *testing.T) {
	f := newFleet(t)
	f.server("plain", "p1", 0)
	f.keys = []string{"key-1", "key-2"}
	f.configure()
	e := f.entry("e1", 4*time.Second).ready()
	assert.Equal(t, e.do(keyed(standin.PathSafe, "r1", "key-2")).status, 200)
	f.keys = f.keys[:1]
	f.configure()
	eventually(t, "the key is refused", func() bool { return e.do(keyed(standin.PathSafe, "r2", "key-2")).status == 401 })
	f.store.SetStatusOverride(func(string) int { return http.StatusServiceUnavailable })
	eventually(t, "no key is honoured without the store", func() bool { return e.do(keyed(standin.PathSafe, "r3", "key-1")).status == 503 })
	assert.Equal(t, e.do(call{path: standin.PathPublic, ClientHeader: standin.ClientHeader{RequestID: "r4"}}).status, 200)
	// An unknown route is not denied for good by an entry that may lack a version.
	assert.Equal(t, e.do(keyed("/none/", "r5", "key-1")).status, 503)
	f.store.SetStatusOverride(nil)
	eventually(t, "keys are honoured again", func() bool { return e.do(keyed(standin.PathSafe, "r6", "key-1")).status == 200 })
}

func TestOlderConfigurationIsNotTaken(t *testing.T) {
	f := newFleet(t)
	f.server("plain", "p1", 0)
	f.configure()
	f.configure()
	e := f.entry("e1", 0).ready()
	f.version = 0
	f.keys = []string{"old"}
	f.configure()
	f.version = 2
	f.keys = []string{"key-1", "new"}
	f.configure()
	eventually(t, "the newest version is in force", func() bool { return e.do(keyed(standin.PathSafe, "r", "new")).status == 200 })
	assert.Equal(t, e.do(keyed(standin.PathSafe, "r", "old")).status, 401)
}

func TestLeavingServersAndBadRecords(t *testing.T) {
	f := newFleet(t)
	p1, p2 := f.server("plain", "p1", 0), f.server("plain", "p2", 0)
	f.store.Put(platform.ServersTopic, "odd", []byte("\x00not json"))
	f.store.Put(platform.ServersTopic, "odd2", []byte(`{"service":"plain","address":7}`))
	f.configure()
	e := f.entry("e1", 0).ready()
	f.record("plain", "p1", p1.Address(), true)
	eventually(t, "the server is not used", func() bool { return !e.servers.Takes("p1") })
	f.record("plain", "p1", p1.Address(), false)
	f.store.Put(platform.ServersTopic, "marker", standin.ServerRecord("m", "127.0.0.1:1", false))
	eventually(t, "the later record was read", func() bool { return e.servers.Takes("marker") })
	for i := range 10 {
		assert.Equal(t, e.do(keyed(standin.PathSafe, fmt.Sprint("r", i), "key-1")).status, 200)
	}
	assert.Equal(t, len(p1.ExecutedRequests()), 0)
	assert.Equal(t, len(p2.ExecutedRequests()), 10)
	f.store.ExpireRecords(platform.ServersTopic)
	f.record("plain", "p2", p2.Address(), true)
	eventually(t, "records are read anew after they expired", func() bool { return !e.servers.Takes("p2") })
}

func TestEntriesShareOnePlanner(t *testing.T) {
	f := newFleet(t)
	a := f.server("a", "a1", 0)
	f.server("b", "b1", 0)
	f.server("model", "m1", 2)
	f.configure()
	first := f.entry("e1", 0).ready()
	eventually(t, "the first entry is registered", func() bool { return first.self.Registered() })
	second := f.entry("e2", 0).ready()
	eventually(t, "the second entry has its requests placed by the first", func() bool { return second.links.First() != nil })
	send := func(e *entry, id string) {
		t.Helper()
		got := e.do(call{path: standin.PathStream, ClientHeader: standin.ClientHeader{RequestID: id, APIKey: "key-1", PieceCounts: "1,1", PieceKey: "k"}})
		assert.NilError(t, got.broken)
		assert.Equal(t, got.status, 200, got.body)
	}
	send(second, "r1")
	assert.DeepEqual(t, a.CompletedPieces(), []string{"r1.0.0"})
	eventually(t, "the first entry forgets the request", func() bool { return first.planner.JobCount() == 0 })

	// While a call for the second entry's request is at work, the first entry stops:
	// the second goes on with what was made.
	working, finish := make(chan struct{}), make(chan struct{})
	f.servers["b1"].SetHandler(func(_ http.ResponseWriter, r *http.Request) bool {
		if r.URL.Path == platform.StageRunPath {
			close(working)
			<-finish
			f.servers["b1"].SetHandler(nil)
		}
		return false
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		send(second, "r2")
	}()
	<-working
	first.stop()
	eventually(t, "the first entry stops", func() bool { return !first.gateway.CanPlan() })
	close(finish)
	<-done
	send(second, "r3")
	assert.DeepEqual(t, slices.Compact(a.CompletedPieces()), []string{"r1.0.0", "r2.0.0", "r3.0.0"})
	assert.Equal(t, len(a.CompletedPieces()), 3, "a piece was made twice without a fault")
	<-first.done
	assert.Assert(t, second.links.First() == nil)
}

func TestStopFinishesWhatItHas(t *testing.T) {
	f := newFleet(t)
	f.configure()
	reached, finish := make(chan struct{}), make(chan struct{})
	f.server("model", "m1", 2).SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
		close(reached)
		<-finish
		f.servers["m1"].SetHandler(nil)
		return false
	})
	f.server("plain", "p1", 0)
	e := f.entry("e1", 0).ready()
	got := make(chan reply)
	go func() { got <- e.do(keyed(standin.PathResumable, "r", "key-1")) }()
	<-reached
	e.stop()
	eventually(t, "the entry is not ready", func() bool {
		resp, err := http.Get("http://" + e.opts.Settings.ReadinessAddress + platform.ReadinessPath)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == 503
	})
	late := e.do(keyed(standin.PathSafe, "late", "key-1"))
	assert.Equal(t, late.status, 200, "requests that still come are served")
	close(finish)
	r := <-got
	assert.NilError(t, r.broken)
	assert.Equal(t, strings.Count(r.body, "\n\n"), 2)
	<-e.done
}
