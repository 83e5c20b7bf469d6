package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawheel/magnoliawheel/test/standin"
)

func start(t *testing.T, conf Config) (base string, srv *standin.Server) {
	t.Helper()
	srv, err := Start("127.0.0.1:0", conf)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = srv.Close() })
	return "http://" + srv.Addr(), srv
}

func do(t *testing.T, method, url, body string, headers ...string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, bytes.NewBufferString(body))
	assert.NilError(t, err)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

func generation(id string, tokens int) string {
	return fmt.Sprintf(`{"id":%q,"model":"m","input":"{\"nonce\":\"n\"}","prefix":"p","max_tokens":%d}`, id, tokens)
}

func TestResumeGivesTheMissingEventsOnly(t *testing.T) {
	base, srv := start(t, Config{Prefill: time.Millisecond})
	_, whole := do(t, "POST", base+"/v1/generate", generation("q/1/1", 5))
	assert.Equal(t, strings.Count(whole, "id: "), 6)
	_, rest := do(t, "GET", base+"/v1/streams/q/1/1", "", "Last-Event-ID", "3")
	assert.Assert(t, strings.HasSuffix(whole, rest) && strings.HasPrefix(rest, "id: 4\n"), rest)
	_, again := do(t, "POST", base+"/v1/generate", generation("q/1/1", 5))
	assert.Equal(t, again, whole)
	assert.Equal(t, len(srv.Recorder.All()), 1)
	status, _ := do(t, "GET", base+"/v1/streams/q/9/9", "")
	assert.Equal(t, status, http.StatusNotFound)
}

func TestGenerationOutlivesItsConnectionAndCanBeCancelled(t *testing.T) {
	base, srv := start(t, Config{StreamTokensPerSecond: 10})
	ctx, cut := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, "POST", base+"/v1/generate", strings.NewReader(generation("q/1/1", 500)))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	cut()
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, srv.Recorder.All()[0].Outcome, standin.Started)
	status, _ := do(t, "DELETE", base+"/v1/streams/q/1/1", "")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, srv.Recorder.All()[0].Outcome, standin.Cancelled)
}

func TestOrdersAreFenced(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults standin.Faults
		status int
		orders int
	}{
		{"checks", standin.Faults{}, http.StatusConflict, 1},
		{"ignores", standin.Faults{IgnoreFences: true}, http.StatusOK, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			base, _ := start(t, Config{Models: []string{"m"}, Faults: tc.faults})
			status, _ := do(t, "POST", base+"/v1/orders", `{"kind":"load_model","model":"x","fence":7}`)
			assert.Equal(t, status, http.StatusOK)
			status, _ = do(t, "POST", base+"/v1/orders", `{"kind":"unload_model","model":"x","fence":6}`)
			assert.Equal(t, status, tc.status)
			_, text := do(t, "GET", base+"/v1/orders", "")
			var orders []orderRequest
			assert.NilError(t, json.Unmarshal([]byte(text), &orders))
			assert.Equal(t, len(orders), tc.orders)
		})
	}
}

func TestPrefixCacheIsBoundedAndPublished(t *testing.T) {
	c := newPrefixCache(2)
	now := time.Now()
	for _, p := range []string{"a", "b", "a", "c"} {
		c.touch(p, now, standin.Faults{})
	}
	assert.Assert(t, c.has("a") && c.has("c") && !c.has("b"))
	answer := c.read(1, now)
	assert.Equal(t, len(answer.Events), 4)
	assert.Equal(t, answer.Next, 5)

	late := newPrefixCache(2)
	late.touch("a", now, standin.Faults{CacheEventLagMS: 1000})
	assert.Equal(t, len(late.read(1, now).Events), 0)
	assert.Equal(t, len(late.read(1, now.Add(time.Second)).Events), 1)

	gaps := newPrefixCache(1000)
	for i := range 1000 {
		gaps.touch(fmt.Sprint(i), now, standin.Faults{CacheEventGap: 0.3})
	}
	assert.Assert(t, len(gaps.events) > 600 && len(gaps.events) < 800, "%d", len(gaps.events))
}

// TestBatchSharesTheTokenRate steps the batch by hand: the whole engine's rate
// bounds the streams together, and higher priorities enter first.
func TestBatchSharesTheTokenRate(t *testing.T) {
	e := &engine{
		conf:     Config{TokensPerSecond: 100, StreamTokensPerSecond: 80, Slots: 2, Prefill: time.Nanosecond},
		switches: standin.NewSwitches(standin.Faults{}), recorder: standin.NewRecorder("e", nil),
		streams: map[string]*stream{}, cache: newPrefixCache(4), wake: make(chan struct{}, 1),
	}
	now := time.Now()
	for i, priority := range []int{0, 5, 9} {
		_, ok := e.start(generateRequest{ID: fmt.Sprint(i), Model: "m", Input: "n:", MaxTokens: 1000, Priority: priority})
		assert.Assert(t, ok)
	}
	e.step(now, time.Second)
	assert.Equal(t, e.streams["0"].emitted, 0)
	assert.Equal(t, e.streams["1"].emitted+e.streams["2"].emitted, 98)
	assert.Equal(t, len(e.waiting), 1)
}
