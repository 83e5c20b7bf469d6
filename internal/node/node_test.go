package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
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

// TestRequestEndToEnd compares everything that a request with two stages sends and
// receives with a golden file.
func TestRequestEndToEnd(t *testing.T) {
	f := newFleet(t)
	a, b, model := f.startServer("a", "a1", 0), f.startServer("b", "b1", 0), f.startServer("model", "m1", 3)
	f.putConfig()
	e := f.startEntry("e1", 0).waitReady()
	got := e.do(clientCall{path: standin.PathStream + "x?q=1", body: "prompt", ClientHeader: standin.ClientHeader{
		RequestID: "r1", APIKey: "key-1", PieceCounts: "1,2", PieceKey: "pk", TokenCount: "100,10", PromptParts: "aa:80,bb:20", Forged: true,
	}})
	assert.NilError(t, got.err)
	eventually(t, "all results are freed", func() bool { return len(a.FreedHandles()) == 1 && len(b.FreedHandles()) == 2 })
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

func TestRefusedRequests(t *testing.T) {
	f := newFleet(t)
	f.startServer("plain", "p1", 0)
	f.putConfig()
	e := f.startEntry("e1", 0).waitReady()
	long := strings.Repeat("x", 2000)
	tests := []struct {
		name   string
		call   clientCall
		status int
		code   string
	}{
		{"unknown route", keyedCall("/none/", "r", "key-1"), 404, "1001"},
		{"unknown key", keyedCall(standin.PathSafe, "r", "other"), 401, "1005"},
		{"no key", clientCall{path: standin.PathSafe, ClientHeader: standin.ClientHeader{RequestID: "r"}}, 401, "1005"},
		{"no request ID", clientCall{path: standin.PathSafe, ClientHeader: standin.ClientHeader{APIKey: "key-1"}}, 400, "1017"},
		{"invalid piece counts", clientCall{path: standin.PathSafe, ClientHeader: standin.ClientHeader{RequestID: "r", APIKey: "key-1", PieceCounts: "x"}}, 400, "1017"},
		{"body too large", clientCall{path: standin.PathUnsafe, body: long, ClientHeader: standin.ClientHeader{RequestID: "r", APIKey: "key-1"}}, 413, "1003"},
		{"header too large", clientCall{path: standin.PathSafe, ClientHeader: standin.ClientHeader{RequestID: "r", APIKey: "key-1"}, extraHeader: http.Header{"X-Long": {long, long, long}}}, 431, "1008"},
		{"no server", keyedCall(standin.PathResumable, "r", "key-1"), 503, "2004"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := e.do(tt.call)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, tt.status)
			assert.Assert(t, strings.Contains(got.body, `"code":`+tt.code), got.body)
			assert.Assert(t, tt.status != 503 || got.header.Get("Retry-After") != "")
		})
	}
	assert.Equal(t, len(f.servers["p1"].ExecutedRequests()), 0)
	assert.Equal(t, e.do(clientCall{path: standin.PathPublic, ClientHeader: standin.ClientHeader{RequestID: "r"}}).status, 200)
}

func TestRequestsRefusedUntilConfigured(t *testing.T) {
	f := newFleet(t)
	e := f.startEntry("e1", 0)
	var got reply
	eventually(t, "the entry responds", func() bool {
		got = e.do(keyedCall(standin.PathSafe, "r", "key-1"))
		return got.err == nil
	})
	assert.Equal(t, got.status, 503)
	assert.Assert(t, strings.Contains(got.body, `"code":2013`), got.body)
	f.startServer("plain", "p1", 0)
	f.putConfig()
	eventually(t, "the entry serves", func() bool { return e.do(keyedCall(standin.PathSafe, "r", "key-1")).status == 200 })
}

// TestServerFaults checks how requests of safe and unsafe routes end if the first server
// that receives them fails.
func TestServerFaults(t *testing.T) {
	tests := []struct {
		name string
		// fault responds in place of the first server that receives the request.
		fault                    func(w http.ResponseWriter, r *http.Request)
		safeStatus, unsafeStatus int
		safeRuns, unsafeRuns     int
	}{
		{"closes the connection without a response", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 200, 502, 1, 0},
		{"responds with an error", func(w http.ResponseWriter, _ *http.Request) {
			standin.SetSignature(w.Header(), "s")
			w.WriteHeader(500)
		}, 200, 500, 1, 0},
		{"reports that it did not execute the request", func(w http.ResponseWriter, _ *http.Request) {
			standin.SetNotExecuted(w.Header())
			w.WriteHeader(503)
		}, 200, 200, 1, 1},
		{"reports a misdirected request", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(421) }, 200, 200, 1, 1},
		{"responds without a signature", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("x")) }, 200, 502, 1, 0},
		{"responds with an encoded body", func(w http.ResponseWriter, _ *http.Request) {
			standin.SetSignature(w.Header(), "s")
			w.Header().Set("Content-Encoding", "br")
			_, _ = w.Write([]byte("encoded"))
		}, 200, 502, 1, 0},
		{"interrupts its response", func(w http.ResponseWriter, _ *http.Request) {
			standin.SetSignature(w.Header(), "s")
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("half"))
			panic(http.ErrAbortHandler)
		}, 200, 502, 1, 0},
		{"resets a response that ends with its connection", func(w http.ResponseWriter, _ *http.Request) { standin.ResetUntilClose(w, "s", "half") }, 200, 502, 1, 0},
		{"ends after the head of a response without a length", func(w http.ResponseWriter, _ *http.Request) {
			standin.SetSignature(w.Header(), "s")
			standin.SetUntilClose(w.Header())
		}, 200, 502, 1, 0},
		{"responds to another request", func(w http.ResponseWriter, _ *http.Request) {
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
				f.putConfig()
				var received atomic.Int32
				for _, id := range []string{"p1", "p2"} {
					f.startServer("plain", id, 0).SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
						if received.Add(1) > 1 {
							return false
						}
						tt.fault(w, r)
						return true
					})
				}
				got := f.startEntry("e1", 0).waitReady().waitRegistered().do(clientCall{path: path, body: "b", ClientHeader: standin.ClientHeader{RequestID: "r", APIKey: "key-1"}})
				want, runs := tt.safeStatus, tt.safeRuns
				if path == standin.PathUnsafe {
					want, runs = tt.unsafeStatus, tt.unsafeRuns
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

// TestInterruptedStreams checks that an interrupted stream is resumed at another server
// if its route is resumable, and is reported as incomplete to the client otherwise.
func TestInterruptedStreams(t *testing.T) {
	interruptAfter := func(events int) func(w http.ResponseWriter, r *http.Request) bool {
		var interrupted atomic.Bool
		return func(w http.ResponseWriter, r *http.Request) bool {
			if !interrupted.CompareAndSwap(false, true) {
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
	complete := ""
	for i := 1; i <= 4; i++ {
		complete += fmt.Sprintf("id: %d\ndata: token %d of r\n\n", i, i)
	}
	t.Run("resumable", func(t *testing.T) {
		f := newFleet(t)
		f.putConfig()
		handler := interruptAfter(2)
		f.startServer("model", "m1", 4).SetHandler(handler)
		f.startServer("model", "m2", 4).SetHandler(handler)
		got := f.startEntry("e1", 0).waitReady().waitRegistered().do(keyedCall(standin.PathResumable, "r", "key-1"))
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, complete)
		assert.Equal(t, standin.Signature(got.header), "seal-first")
	})
	t.Run("not resumable", func(t *testing.T) {
		f := newFleet(t)
		f.putConfig()
		f.startServer("a", "a1", 0)
		f.startServer("b", "b1", 0)
		f.startServer("model", "m1", 4).SetHandler(interruptAfter(2))
		m2 := f.startServer("model", "m2", 4)
		m2.SetHandler(interruptAfter(2))
		got := f.startEntry("e1", 0).waitReady().do(keyedCall(standin.PathStream, "r", "key-1"))
		assert.Assert(t, got.err != nil, "an interrupted response looks complete")
		assert.Equal(t, len(m2.ExecutedRequests()), 0)
	})
}

// TestCutStageResponseIsNotUsed guards against a part of a stage server's response counting
// as the whole: the response ends with its connection, and so does its server.
func TestCutStageResponseIsNotUsed(t *testing.T) {
	for _, part := range []string{"", `{"items":[`, `{"items":[]}`, `{"items":[{"handle":"h"}`} {
		t.Run(part, func(t *testing.T) {
			f := newFleet(t)
			f.putConfig()
			var cut atomic.Bool
			for _, id := range []string{"a1", "a2"} {
				f.startServer("a", id, 0).SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
					if r.URL.Path != platform.StageRunPath || !cut.CompareAndSwap(false, true) {
						return false
					}
					standin.SetUntilClose(w.Header())
					_, _ = io.WriteString(w, part)
					return true
				})
			}
			f.startServer("b", "b1", 0)
			f.startServer("model", "m1", 1)
			got := f.startEntry("e1", 0).waitReady().waitRegistered().do(stagedCall("r"))
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK, got.body)
			assert.Equal(t, standin.Inputs(f.servers["m1"].LastHeader("r")), f.servers["b1"].Address()+"/r.1.0")
			assert.Assert(t, cut.Load())
		})
	}
}

// TestStreamThatEndsWithinAnEventIsNotComplete guards against a stream that was broken off
// reaching the client as complete: the server's response has neither a length nor chunks,
// so that the end of its process looks like the end of the response.
func TestStreamThatEndsWithinAnEventIsNotComplete(t *testing.T) {
	const first, second = "id: 1\ndata: token 1 of r\n\n", "id: 2\ndata: token 2 of r\n\n"
	tests := []struct {
		name string
		// sent is what the first server sends before it closes the connection.
		sent string
		// resumed is true if another server is to send the rest, where the route allows it.
		resumed bool
	}{
		{"after the last event", first + second, false},
		{"within the data of an event", first + "id: 2\nda", true},
		{"before the empty line of an event", first + "id: 2\ndata: token 2 of r\n", true},
		{"within the first event", "id: 1", true},
		{"before the first event", "", true},
	}
	for _, tt := range tests {
		for _, path := range []string{standin.PathStream, standin.PathResumable} {
			t.Run(tt.name+path, func(t *testing.T) {
				f := newFleet(t)
				f.putConfig()
				f.startServer("a", "a1", 0)
				f.startServer("b", "b1", 0)
				var ended atomic.Bool
				for _, id := range []string{"m1", "m2"} {
					f.startServer("model", id, 2).SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
						if !ended.CompareAndSwap(false, true) {
							return false
						}
						standin.SetSignature(w.Header(), "first")
						standin.SetUntilClose(w.Header())
						_, _ = io.WriteString(w, tt.sent)
						return true
					})
				}
				got := f.startEntry("e1", 0).waitReady().waitRegistered().do(keyedCall(path, "r", "key-1"))
				if tt.resumed && path == standin.PathStream {
					// Nothing was relayed before the first whole event, so the entry may still say
					// that the server failed.
					assert.Assert(t, got.err != nil || got.status == http.StatusBadGateway, "a stream that was broken off looks complete: %q", got.body)
					return
				}
				assert.NilError(t, got.err)
				assert.Equal(t, got.body, first+second)
			})
		}
	}
}

// TestHTTP10ClientsSeeWhereAResponseEnds guards against a broken-off response that looks
// complete to a client that knows no chunks: a plain response has a length, and a stream,
// which has none, is refused.
func TestHTTP10ClientsSeeWhereAResponseEnds(t *testing.T) {
	f := newFleet(t)
	f.putConfig()
	f.startServer("plain", "p1", 0)
	model := f.startServer("model", "m1", 4)
	e := f.startEntry("e1", 0).waitReady().waitRegistered()
	do := func(path, body string) *http.Response {
		conn, err := net.Dial("tcp", strings.TrimPrefix(e.baseURL, "http://"))
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		assert.NilError(t, standin.ClientHeader{RequestID: "r", APIKey: "key-1"}.WriteHTTP10Request(conn, path, body))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		return resp
	}
	body := strings.Repeat("x", 900)
	plain := do(standin.PathSafe+strings.Repeat("y", 2000), body)
	assert.Equal(t, plain.StatusCode, http.StatusOK)
	assert.Assert(t, plain.ContentLength > int64(len(body)), "the response has no length")
	assert.Equal(t, do(standin.PathResumable, "").StatusCode, http.StatusHTTPVersionNotSupported)
	assert.Equal(t, len(model.ExecutedRequests()), 0)
}

func TestClientDisconnectCancelsServerRequest(t *testing.T) {
	f := newFleet(t)
	f.putConfig()
	requestReceived, requestCancelled := make(chan struct{}), make(chan struct{})
	f.startServer("model", "m1", 1).SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
		close(requestReceived)
		<-r.Context().Done()
		close(requestCancelled)
		return true
	})
	ctx, disconnect := context.WithCancel(context.Background())
	e := f.startEntry("e1", 0).waitReady()
	go e.doContext(ctx, keyedCall(standin.PathResumable, "r", "key-1"))
	<-requestReceived
	disconnect()
	<-requestCancelled
	eventually(t, "no request is in flight", func() bool { return e.gateway.InFlight() == 0 })
}

func TestKeyRevocationAndStoreOutage(t *testing.T) {
	f := newFleet(t)
	f.startServer("plain", "p1", 0)
	f.apiKeys = []string{"key-1", "key-2"}
	f.putConfig()
	e := f.startEntry("e1", 4*time.Second).waitReady()
	assert.Equal(t, e.do(keyedCall(standin.PathSafe, "r1", "key-2")).status, 200)
	f.apiKeys = f.apiKeys[:1]
	f.putConfig()
	eventually(t, "the key is refused", func() bool { return e.do(keyedCall(standin.PathSafe, "r2", "key-2")).status == 401 })
	f.store.SetStatusOverride(func(string) int { return http.StatusServiceUnavailable })
	eventually(t, "no key is accepted without the store", func() bool { return e.do(keyedCall(standin.PathSafe, "r3", "key-1")).status == 503 })
	assert.Equal(t, e.do(clientCall{path: standin.PathPublic, ClientHeader: standin.ClientHeader{RequestID: "r4"}}).status, 200)
	// An entry that may lack a newer configuration refuses an unknown route with a
	// retryable status.
	assert.Equal(t, e.do(keyedCall("/none/", "r5", "key-1")).status, 503)
	f.store.SetStatusOverride(nil)
	eventually(t, "keys are accepted again", func() bool { return e.do(keyedCall(standin.PathSafe, "r6", "key-1")).status == 200 })
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	f := newFleet(t)
	f.startServer("plain", "p1", 0)
	f.putConfig()
	f.putConfig()
	e := f.startEntry("e1", 0).waitReady()
	f.configVersion = 0
	f.apiKeys = []string{"old"}
	f.putConfig()
	f.configVersion = 2
	f.apiKeys = []string{"key-1", "new"}
	f.putConfig()
	eventually(t, "the newest version is in force", func() bool { return e.do(keyedCall(standin.PathSafe, "r", "new")).status == 200 })
	assert.Equal(t, e.do(keyedCall(standin.PathSafe, "r", "old")).status, 401)
}

func TestDrainingServersAndInvalidRecords(t *testing.T) {
	f := newFleet(t)
	p1, p2 := f.startServer("plain", "p1", 0), f.startServer("plain", "p2", 0)
	f.store.Put(platform.ServersTopic, "invalid", []byte("\x00not json"))
	f.store.Put(platform.ServersTopic, "invalid2", []byte(`{"service":"plain","address":7}`))
	f.putConfig()
	e := f.startEntry("e1", 0).waitReady()
	f.putServerRecord("plain", "p1", p1.Address(), true)
	eventually(t, "the server is not used", func() bool { return !e.servers.Takes("p1") })
	// A draining server stays unused, even if a later record of the same server start
	// does not mark it as draining.
	f.putServerRecord("plain", "p1", p1.Address(), false)
	f.store.Put(platform.ServersTopic, "marker", standin.ServerRecord("m", "127.0.0.1:1", false))
	eventually(t, "the marker record was read", func() bool { return e.servers.Takes("marker") })
	for i := range 10 {
		assert.Equal(t, e.do(keyedCall(standin.PathSafe, fmt.Sprint("r", i), "key-1")).status, 200)
	}
	assert.Equal(t, len(p1.ExecutedRequests()), 0)
	assert.Equal(t, len(p2.ExecutedRequests()), 10)
	f.store.ExpireRecords(platform.ServersTopic)
	f.putServerRecord("plain", "p2", p2.Address(), true)
	eventually(t, "all records are read again after some expired", func() bool { return !e.servers.Takes("p2") })
}

func TestEntriesShareOnePlanner(t *testing.T) {
	f := newFleet(t)
	a := f.startServer("a", "a1", 0)
	f.startServer("b", "b1", 0)
	f.startServer("model", "m1", 2)
	f.putConfig()
	first := f.startEntry("e1", 0).waitReady()
	eventually(t, "the first entry is registered", func() bool { return first.localEntry.Registered() })
	second := f.startEntry("e2", 0).waitReady()
	eventually(t, "the second entry has its requests placed by the first", func() bool { return second.links.PlanningPeer() != nil })
	send := func(e *runningEntry, id string) {
		t.Helper()
		got := e.do(clientCall{path: standin.PathStream, ClientHeader: standin.ClientHeader{RequestID: id, APIKey: "key-1", PieceCounts: "1,1", PieceKey: "k"}})
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, 200, got.body)
	}
	send(second, "r1")
	assert.DeepEqual(t, a.CompletedPieces(), []string{"r1.0.0"})
	eventually(t, "the first entry has no request left", func() bool { return first.planner.JobCount() == 0 })

	// The first entry stops while a stage of a request that it placed for the second
	// entry is running. The second entry must reuse the completed results.
	stageRunStarted, release := make(chan struct{}), make(chan struct{})
	f.servers["b1"].SetHandler(func(_ http.ResponseWriter, r *http.Request) bool {
		if r.URL.Path == platform.StageRunPath {
			close(stageRunStarted)
			<-release
			f.servers["b1"].SetHandler(nil)
		}
		return false
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		send(second, "r2")
	}()
	<-stageRunStarted
	first.stop()
	eventually(t, "the first entry is stopping", func() bool { return !first.gateway.CanPlan() })
	close(release)
	<-done
	send(second, "r3")
	assert.DeepEqual(t, slices.Compact(a.CompletedPieces()), []string{"r1.0.0", "r2.0.0", "r3.0.0"})
	assert.Equal(t, len(a.CompletedPieces()), 3, "a piece was executed twice without a failure")
	<-first.done
	assert.Assert(t, second.links.PlanningPeer() == nil)
}

func TestStopFinishesInFlightRequests(t *testing.T) {
	f := newFleet(t)
	f.putConfig()
	requestReceived, release := make(chan struct{}), make(chan struct{})
	f.startServer("model", "m1", 2).SetHandler(func(w http.ResponseWriter, r *http.Request) bool {
		close(requestReceived)
		<-release
		f.servers["m1"].SetHandler(nil)
		return false
	})
	f.startServer("plain", "p1", 0)
	e := f.startEntry("e1", 0).waitReady()
	got := make(chan reply)
	go func() { got <- e.do(keyedCall(standin.PathResumable, "r", "key-1")) }()
	<-requestReceived
	e.stop()
	eventually(t, "the entry is not ready", func() bool {
		resp, err := http.Get("http://" + e.opts.Settings.ReadinessAddress + platform.ReadinessPath)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == 503
	})
	late := e.do(keyedCall(standin.PathSafe, "late", "key-1"))
	assert.Equal(t, late.status, 200, "requests that still arrive are served")
	close(release)
	r := <-got
	assert.NilError(t, r.err)
	assert.Equal(t, strings.Count(r.body, "\n\n"), 2)
	<-e.done
}
