package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/testr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
	"github.com/magnoliawheel/magnoliawheel/core/routing"
	"github.com/magnoliawheel/magnoliawheel/internal/answer"
	"github.com/magnoliawheel/magnoliawheel/internal/settings"
)

// testBench runs one entry in front of a fake agent for each pool.
type testBench struct {
	t       testing.TB
	p       *Process
	source  *staticSource
	view    *staticView
	encoder *fakeAgent
	engine  *fakeAgent
	filer   *fakeAgent
	stop    context.CancelFunc
	// done receives the result of Process.Run.
	done chan error
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

// freeAddr returns a local address with a port that was free.
func freeAddr(t testing.TB) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = lis.Close() }()
	return lis.Addr().String()
}

func startTestBench(t testing.TB) *testBench {
	t.Helper()
	checkGoroutineLeaks(t)
	b := &testBench{t: t, encoder: startAgent(t, "encoder-1"), engine: startAgent(t, "engine-1"), filer: startAgent(t, "filer-1")}
	b.source = &staticSource{snapshot: &configlog.Snapshot{Offset: 1, Schema: parseSchema(t)}}
	b.view = &staticView{servers: map[string][]routing.Server{
		"encoders": {b.encoder.server()}, "engines": {b.engine.server()}, "filers": {b.filer.server()},
	}}
	b.start("entry-1")
	return b
}

func testLogger(t testing.TB) logr.Logger {
	if tt, ok := t.(*testing.T); ok && testing.Verbose() {
		return testr.NewWithOptions(tt, testr.Options{Verbosity: 1})
	}
	return logr.Discard()
}

// start runs an entry. It retries with other ports if another process took one of
// the ports before the entry listened on it.
func (b *testBench) start(id string) {
	for !b.tryStart(testSettings(b.t, id)) {
		b.t.Log("a port was taken by another process")
	}
}

// tryStart returns false if a port was taken.
func (b *testBench) tryStart(s *settings.Entry) bool {
	p, err := New(Options{Settings: s, Log: testLogger(b.t)})
	assert.NilError(b.t, err)
	p.source, p.view = b.source, b.view
	ctx, cancel := context.WithCancel(context.Background())
	b.p, b.stop, b.done = p, cancel, make(chan error, 1)
	done := b.done
	go func() { done <- p.Run(ctx) }()
	portTaken := false
	poll.WaitOn(b.t, func(poll.LogT) poll.Result {
		select {
		case err := <-done:
			assert.Assert(b.t, errors.Is(err, syscall.EADDRINUSE), "%v", err)
			portTaken = true
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
	if portTaken {
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

// checkGoroutineLeaks fails the test if goroutines remain after its cleanups.
func checkGoroutineLeaks(t testing.TB) {
	t.Helper()
	before := runtime.NumGoroutine()
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			// The poll runs in a separate goroutine, which counts as well.
			if n := runtime.NumGoroutine() - 1; n > before {
				buf := make([]byte, 1<<16)
				return poll.Continue("%d goroutines, %d before:\n%s", n, before, buf[:runtime.Stack(buf, true)])
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second))
	})
}

// newRequest returns a caller's request to the entry.
func (b *testBench) newRequest(method, path, body string, header ...string) *http.Request {
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

type response struct {
	status int
	header http.Header
	body   string
}

func (b *testBench) do(req *http.Request) response {
	b.t.Helper()
	res, err := http.DefaultClient.Do(req)
	assert.NilError(b.t, err)
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	assert.NilError(b.t, err)
	return response{status: res.StatusCode, header: res.Header, body: string(body)}
}

// call sends a call and returns the whole response.
func (b *testBench) call(name string, header ...string) response {
	b.t.Helper()
	return b.do(b.newRequest("POST", "/v1/calls/"+name, `{"q":1}`, header...))
}

// errorData decodes the body of an error response.
func (r response) errorData(t testing.TB) answer.ErrorData {
	t.Helper()
	var e answer.ErrorData
	assert.NilError(t, json.Unmarshal([]byte(r.body), &e), r.body)
	return e
}

// answer decodes the answer of a successful response, keyed by stage.
func (r response) answer(t testing.TB) map[string]string {
	t.Helper()
	var a struct {
		Answer map[string]string `json:"answer"`
	}
	assert.Equal(t, r.status, http.StatusOK, r.body)
	assert.NilError(t, json.Unmarshal([]byte(r.body), &a), r.body)
	return a.Answer
}

// waitFor polls until done returns true.
func waitFor(t testing.TB, done func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !done() {
			return poll.Continue("condition not met")
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
}
