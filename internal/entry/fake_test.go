package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/go-logr/logr/testr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"storj.io/drpc/drpcmux"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
	"github.com/magnoliawheel/magnoliawheel/core/membership"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/routing"
	"github.com/magnoliawheel/magnoliawheel/core/schema"
	"github.com/magnoliawheel/magnoliawheel/internal/answer"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc"
	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
	"github.com/magnoliawheel/magnoliawheel/internal/settings"
)

const testSecret = "a secret of at least sixteen bytes"

const testSchema = `
[[region]]
name = "r1"
zones = ["z1"]

[[pool]]
name = "encoders"
kind = "encoder"
concurrency = 8
queue = 64

[[pool]]
name = "engines"
kind = "engine"
concurrency = 8
queue = 64
models = ["m"]

[[pool]]
name = "filers"
kind = "service"
concurrency = 8
queue = 64

[[pipeline]]
name = "draft"
[[pipeline.stage]]
name = "encode"
pool = "encoders"
call = "encode"
idempotent = true
typical = "1ms"
[[pipeline.stage]]
name = "generate"
pool = "engines"
call = "generate"
idempotent = true
model = "m"
max_tokens = 8
answer = true
typical = "1ms"
[[pipeline.stage]]
name = "file"
pool = "filers"
call = "file"
idempotent = false
answer = true
typical = "1ms"

[[pipeline]]
name = "ask"
[[pipeline.stage]]
name = "generate"
pool = "engines"
call = "generate"
idempotent = true
model = "m"
max_tokens = 8
answer = true
typical = "1ms"

[[call]]
name = "draft"
pipeline = "draft"
deadline = "3s"
max_body_bytes = 1024

[[call]]
name = "ask"
pipeline = "ask"
deadline = "3s"
max_body_bytes = 1024
max_answer_bytes = 64

[[customer]]
name = "acme"
key_sha256 = "%s"
weight = 1

[[customer]]
name = "other"
key_sha256 = "%s"
weight = 1
`

func sha(s string) string {
	h := sha256.Sum256([]byte(s))
	return hex.EncodeToString(h[:])
}

func parseSchema(t testing.TB) *schema.Schema {
	t.Helper()
	s, err := schema.Parse([]byte(fmt.Sprintf(testSchema, sha("acme-key"), sha("other-key"))))
	assert.NilError(t, err)
	return s
}

// staticSource is a configuration that changes only by set.
type staticSource struct {
	mu   sync.Mutex
	snap *configlog.Snapshot
}

func (s *staticSource) Current() *configlog.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snap
}

func (s *staticSource) set(snap *configlog.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snap = snap
}

func (s *staticSource) Learn(string, uint64)            {}
func (s *staticSource) WaitReady(context.Context) error { return nil }

// staticView is a membership that does not change.
type staticView struct {
	mu      sync.Mutex
	servers map[string][]routing.Server
	entries []membership.Instance
	version uint64
	leaving []string
}

func (v *staticView) Servers(pool string) []routing.Server {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.servers[pool]
}

func (v *staticView) Version() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.version
}

func (v *staticView) Instances() []membership.Instance {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.entries
}

// Seen does nothing: the instances do not change.
func (v *staticView) Seen(string, uint64) {}

func (v *staticView) Leaving(id string, _ uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leaving = append(v.leaving, id)
}

// fakeAgent runs attempts as its fields say and records what it ran.
type fakeAgent struct {
	wire.DRPCAgentUnimplementedServer
	id string

	mu          sync.Mutex
	incarnation uint64
	// run overrides the answer to Run.
	run func(req *wire.RunRequest, out wire.DRPCAgent_RunStream) error
	// attach and cancel override the answers to Attach and Cancel.
	attach func(req *wire.AttachRequest, out wire.DRPCAgent_AttachStream) error
	cancel func(req *wire.CancelRequest) (*wire.CancelReply, error)
	found  []*wire.FoundAttempt
	ran    []*wire.RunRequest
	asked  []*wire.AttachRequest
	cut    []*wire.AttemptID
	acked  []*wire.AttemptID

	stop context.CancelFunc
	done chan struct{}
	addr string
}

func testTLS(t testing.TB) *tls.Config {
	conf, err := rpc.TLSConfig([]byte(testSecret))
	assert.NilError(t, err)
	return conf
}

func startAgent(t testing.TB, id string) *fakeAgent {
	t.Helper()
	a := &fakeAgent{id: id, incarnation: 7}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	a.serve(t, lis)
	t.Cleanup(a.kill)
	return a
}

func (a *fakeAgent) serve(t testing.TB, lis net.Listener) {
	mux := drpcmux.New()
	assert.NilError(t, wire.DRPCRegisterAgent(mux, a))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	a.stop, a.done, a.addr = cancel, done, lis.Addr().String()
	conf := testTLS(t)
	go func() {
		defer close(done)
		_ = rpc.Serve(ctx, lis, conf, mux)
	}()
}

// kill closes all connections and the listener.
func (a *fakeAgent) kill() {
	a.stop()
	<-a.done
}

func (a *fakeAgent) server() routing.Server {
	return routing.Server{ID: a.id, Addr: a.addr, Zone: "z1", Region: "r1"}
}

func (a *fakeAgent) load() *wire.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return &wire.Load{Instance: a.id, Incarnation: a.incarnation, Limit: 8}
}

func (a *fakeAgent) Probe(context.Context, *wire.ProbeRequest) (*wire.ProbeReply, error) {
	return &wire.ProbeReply{Load: a.load()}, nil
}

func (a *fakeAgent) Run(req *wire.RunRequest, out wire.DRPCAgent_RunStream) error {
	a.mu.Lock()
	a.ran = append(a.ran, req)
	run := a.run
	a.mu.Unlock()
	if run != nil {
		return run(req, out)
	}
	return a.complete(req, out)
}

type runSender interface{ Send(*wire.RunEvent) error }

func (a *fakeAgent) accept(out runSender) error {
	return out.Send(&wire.RunEvent{Event: &wire.RunEvent_Accepted{Accepted: &wire.Accepted{Load: a.load()}}})
}

// complete answers with the chunks of result.
func (a *fakeAgent) complete(req *wire.RunRequest, out runSender) error {
	if err := a.accept(out); err != nil {
		return err
	}
	return a.sendFrom(out, 1, chunksOf(req.Stage))
}

func chunksOf(stage string) []string { return []string{stage + "-1 ", stage + "-2 ", stage + "-3"} }

func (a *fakeAgent) sendFrom(out runSender, from int, chunks []string) error {
	for i, c := range chunks {
		if i+1 < from {
			continue
		}
		if err := sendChunk(out, uint64(i+1), c); err != nil {
			return err
		}
	}
	return out.Send(&wire.RunEvent{Event: &wire.RunEvent_Done{Done: &wire.Done{
		Count: uint64(len(chunks)), Checksum: xxhash.Sum64String(strings.Join(chunks, "")), Load: a.load(),
	}}})
}

func sendChunk(out runSender, seq uint64, text string) error {
	return out.Send(&wire.RunEvent{Event: &wire.RunEvent_Chunk{Chunk: &wire.Chunk{Seq: seq, Data: []byte(text), Tokens: 1}}})
}

func sendRefused(out runSender, code result.Code, ran wire.Ran) error {
	return out.Send(&wire.RunEvent{Event: &wire.RunEvent_Refused{Refused: &wire.Refused{Code: uint32(code), Ran: ran}}})
}

func (a *fakeAgent) Attach(req *wire.AttachRequest, out wire.DRPCAgent_AttachStream) error {
	a.mu.Lock()
	a.asked = append(a.asked, req)
	attach := a.attach
	a.mu.Unlock()
	if attach != nil {
		return attach(req, out)
	}
	return sendRefused(out, result.WrongIncarnation, wire.Ran_RAN_UNKNOWN)
}

func (a *fakeAgent) Cancel(_ context.Context, req *wire.CancelRequest) (*wire.CancelReply, error) {
	a.mu.Lock()
	a.cut = append(a.cut, req.Attempt)
	cancel := a.cancel
	a.mu.Unlock()
	if cancel != nil {
		return cancel(req)
	}
	return &wire.CancelReply{State: wire.AttemptState_ATTEMPT_STATE_RUNNING}, nil
}

func (a *fakeAgent) Ack(_ context.Context, req *wire.AckRequest) (*wire.AckReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.acked = append(a.acked, req.Attempts...)
	return &wire.AckReply{}, nil
}

func (a *fakeAgent) Find(context.Context, *wire.FindRequest) (*wire.FindReply, error) {
	a.mu.Lock()
	found := a.found
	a.mu.Unlock()
	return &wire.FindReply{Attempts: found, Load: a.load()}, nil
}

func (a *fakeAgent) runs() []*wire.RunRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]*wire.RunRequest(nil), a.ran...)
}

func (a *fakeAgent) attaches() []*wire.AttachRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]*wire.AttachRequest(nil), a.asked...)
}

func (a *fakeAgent) cancels() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.cut)
}

func (a *fakeAgent) acks() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.acked)
}

// bench is one entry before fake agents, one of each pool.
type bench struct {
	t       testing.TB
	p       *Process
	source  *staticSource
	view    *staticView
	encoder *fakeAgent
	engine  *fakeAgent
	filer   *fakeAgent
	stop    context.CancelFunc
	done    chan error
}

func testSettings(t testing.TB, id string) *settings.Entry {
	t.Helper()
	dir := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "secret"), []byte(testSecret), 0o600))
	text := fmt.Sprintf(`
[instance]
id = %q
zone = "z1"
region = "r1"
[listen]
callers = %q
peers = %q
admin = %q
[platform]
log_url = "http://127.0.0.1:1"
list_url = "http://127.0.0.1:1"
[security]
peer_secret_file = "secret"
[limits]
header_bytes = 2048
read_timeout = "300ms"
drain_lag = "20ms"
`, id, freeAddr(t), freeAddr(t), freeAddr(t))
	path := filepath.Join(dir, "entry.toml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	s, err := settings.LoadEntry(path)
	assert.NilError(t, err)
	return s
}

func freeAddr(t testing.TB) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = lis.Close() }()
	return lis.Addr().String()
}

func startBench(t testing.TB) *bench {
	t.Helper()
	checkGoroutines(t)
	b := &bench{t: t, encoder: startAgent(t, "encoder-1"), engine: startAgent(t, "engine-1"), filer: startAgent(t, "filer-1")}
	b.source = &staticSource{snap: &configlog.Snapshot{Offset: 1, Schema: parseSchema(t)}}
	b.view = &staticView{servers: map[string][]routing.Server{
		"encoders": {b.encoder.server()}, "engines": {b.engine.server()}, "filers": {b.filer.server()},
	}}
	b.start("entry-1")
	return b
}

func testLog(t testing.TB) logr.Logger {
	if tt, ok := t.(*testing.T); ok && testing.Verbose() {
		return testr.NewWithOptions(tt, testr.Options{Verbosity: 1})
	}
	return logr.Discard()
}

// start runs an entry. Another process may take one of the free ports that were
// found before the entry listens on it; then others are tried.
func (b *bench) start(id string) {
	for !b.tryStart(testSettings(b.t, id)) {
		b.t.Log("a port was taken meanwhile")
	}
}

func (b *bench) tryStart(s *settings.Entry) bool {
	p, err := New(Options{Settings: s, Log: testLog(b.t)})
	assert.NilError(b.t, err)
	p.source, p.view = b.source, b.view
	ctx, cancel := context.WithCancel(context.Background())
	b.p, b.stop, b.done = p, cancel, make(chan error, 1)
	done := b.done
	go func() { done <- p.Run(ctx) }()
	taken := false
	poll.WaitOn(b.t, func(poll.LogT) poll.Result {
		select {
		case err := <-done:
			assert.Assert(b.t, errors.Is(err, syscall.EADDRINUSE), "%v", err)
			taken = true
			return poll.Success()
		default:
		}
		if !p.Ready() {
			return poll.Continue("not ready")
		}
		res, err := http.Get("http://" + s.Listen.Admin + "/readyz")
		if err != nil {
			return poll.Continue("not listening")
		}
		_ = res.Body.Close()
		return poll.Success()
	})
	if taken {
		cancel()
		return false
	}
	b.t.Cleanup(func() {
		cancel()
		p.stop()
		assert.Check(b.t, <-done)
	})
	return true
}

// checkGoroutines fails the test if goroutines are left after its cleanups.
func checkGoroutines(t testing.TB) {
	t.Helper()
	before := runtime.NumGoroutine()
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			// The poll itself takes one.
			if n := runtime.NumGoroutine() - 1; n > before {
				buf := make([]byte, 1<<16)
				return poll.Continue("%d goroutines, %d before:\n%s", n, before, buf[:runtime.Stack(buf, true)])
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second))
	})
}

// request returns a caller's request to the entry.
func (b *bench) request(method, path, body string, header ...string) *http.Request {
	b.t.Helper()
	req, err := http.NewRequest(method, "http://"+b.p.opts.Settings.Listen.Callers+path, bytes.NewBufferString(body))
	assert.NilError(b.t, err)
	req.Header.Set("Customer", "acme")
	req.Header.Set("Customer-Key", "acme-key")
	req.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return req
}

type reply struct {
	status int
	header http.Header
	body   string
}

func (b *bench) do(req *http.Request) reply {
	b.t.Helper()
	res, err := http.DefaultClient.Do(req)
	assert.NilError(b.t, err)
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	assert.NilError(b.t, err)
	return reply{status: res.StatusCode, header: res.Header, body: string(body)}
}

func (b *bench) call(name string, header ...string) reply {
	b.t.Helper()
	return b.do(b.request("POST", "/v1/calls/"+name, `{"q":1}`, header...))
}

func (r reply) err(t testing.TB) answer.ErrorData {
	t.Helper()
	var e answer.ErrorData
	assert.NilError(t, json.Unmarshal([]byte(r.body), &e), r.body)
	return e
}

func (r reply) answer(t testing.TB) map[string]string {
	t.Helper()
	var a struct {
		Answer map[string]string `json:"answer"`
	}
	assert.Equal(t, r.status, http.StatusOK, r.body)
	assert.NilError(t, json.Unmarshal([]byte(r.body), &a), r.body)
	return a.Answer
}

// heartbeatUntil keeps a stream alive until opened is closed.
func (a *fakeAgent) heartbeatUntil(out wire.DRPCAgent_RunStream, opened <-chan struct{}) error {
	tick := time.NewTicker(rpc.HeartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-opened:
			return nil
		case <-out.Context().Done():
			return out.Context().Err()
		case <-tick.C:
		}
		if err := out.Send(&wire.RunEvent{Event: &wire.RunEvent_Heartbeat{Heartbeat: &wire.Heartbeat{Load: a.load()}}}); err != nil {
			return err
		}
	}
}

func waitFor(t testing.TB, done func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !done() {
			return poll.Continue("not yet")
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
}
