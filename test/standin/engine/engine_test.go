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

// startEngine starts an engine for the duration of the test and returns its base URL.
func startEngine(t *testing.T, conf Config) (baseURL string, srv *standin.Server) {
	t.Helper()
	srv, err := Start("127.0.0.1:0", conf)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = srv.Close() })
	return "http://" + srv.Addr(), srv
}

// sendRequest sends a request and returns the status and body of the response. Headers
// are pairs of name and value.
func sendRequest(t *testing.T, method, url, body string, headers ...string) (int, string) {
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

// generateBody returns the body of a generate request.
func generateBody(id string, tokens int) string {
	return fmt.Sprintf(`{"id":%q,"model":"m","input":"{\"nonce\":\"n\"}","prefix":"p","max_tokens":%d}`, id, tokens)
}

func TestResumeSendsOnlyMissingEvents(t *testing.T) {
	base, srv := startEngine(t, Config{PrefillTime: time.Millisecond})
	_, fullStream := sendRequest(t, "POST", base+"/v1/generate", generateBody("q/1/1", 5))
	assert.Equal(t, strings.Count(fullStream, "id: "), 6)
	_, remaining := sendRequest(t, "GET", base+"/v1/streams/q/1/1", "", "Last-Event-ID", "3")
	assert.Assert(t, strings.HasSuffix(fullStream, remaining) && strings.HasPrefix(remaining, "id: 4\n"), remaining)
	_, repeated := sendRequest(t, "POST", base+"/v1/generate", generateBody("q/1/1", 5))
	assert.Equal(t, repeated, fullStream)
	assert.Equal(t, len(srv.Recorder.Executions()), 1)
	status, _ := sendRequest(t, "GET", base+"/v1/streams/q/9/9", "")
	assert.Equal(t, status, http.StatusNotFound)
}

func TestGenerationContinuesAfterDisconnectAndCanBeCancelled(t *testing.T) {
	base, srv := startEngine(t, Config{StreamTokensPerSecond: 10})
	ctx, disconnect := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, "POST", base+"/v1/generate", strings.NewReader(generateBody("q/1/1", 500)))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	disconnect()
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, srv.Recorder.Executions()[0].Outcome, standin.Started)
	status, _ := sendRequest(t, "DELETE", base+"/v1/streams/q/1/1", "")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, srv.Recorder.Executions()[0].Outcome, standin.Cancelled)
}

func TestFencingNumberCheckOfOrders(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults standin.Faults
		status int
		orders int
	}{
		{"fencing checked", standin.Faults{}, http.StatusConflict, 1},
		{"fencing ignored", standin.Faults{IgnoreFencingNumbers: true}, http.StatusOK, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			base, _ := startEngine(t, Config{Models: []string{"m"}, Faults: tc.faults})
			status, _ := sendRequest(t, "POST", base+"/v1/orders", `{"kind":"load_model","model":"x","fence":7}`)
			assert.Equal(t, status, http.StatusOK)
			status, _ = sendRequest(t, "POST", base+"/v1/orders", `{"kind":"unload_model","model":"x","fence":6}`)
			assert.Equal(t, status, tc.status)
			_, text := sendRequest(t, "GET", base+"/v1/orders", "")
			var orders []orderRequest
			assert.NilError(t, json.Unmarshal([]byte(text), &orders))
			assert.Equal(t, len(orders), tc.orders)
		})
	}
}

func TestPrefixCacheEvictsAndPublishesEvents(t *testing.T) {
	c := newPrefixCache(2)
	now := time.Now()
	for _, p := range []string{"a", "b", "a", "c"} {
		c.touch(p, now, standin.Faults{})
	}
	assert.Assert(t, c.contains("a") && c.contains("c") && !c.contains("b"))
	response := c.eventsFrom(1, now)
	assert.Equal(t, len(response.Events), 4)
	assert.Equal(t, response.NextSeq, 5)

	delayed := newPrefixCache(2)
	delayed.touch("a", now, standin.Faults{CacheEventLagMS: 1000})
	assert.Equal(t, len(delayed.eventsFrom(1, now).Events), 0)
	assert.Equal(t, len(delayed.eventsFrom(1, now.Add(time.Second)).Events), 1)

	lossy := newPrefixCache(1000)
	for i := range 1000 {
		lossy.touch(fmt.Sprint(i), now, standin.Faults{CacheEventLossRatio: 0.3})
	}
	assert.Assert(t, len(lossy.events) > 600 && len(lossy.events) < 800, "%d", len(lossy.events))
}

// TestBatchSharesTokenRate calls step itself: the token rate of the engine limits all
// streams together, and streams with higher priority start first.
func TestBatchSharesTokenRate(t *testing.T) {
	e := &engine{
		conf:     Config{TokensPerSecond: 100, StreamTokensPerSecond: 80, Slots: 2, PrefillTime: time.Nanosecond},
		switches: standin.NewFaultSwitches(standin.Faults{}), recorder: standin.NewRecorder("e", nil),
		streams: map[string]*stream{}, cache: newPrefixCache(4), wake: make(chan struct{}, 1),
	}
	now := time.Now()
	for i, priority := range []int{0, 5, 9} {
		_, ok := e.findOrStartStream(generateRequest{ID: fmt.Sprint(i), Model: "m", Input: "n:", MaxTokens: 1000, Priority: priority})
		assert.Assert(t, ok)
	}
	e.step(now, time.Second)
	assert.Equal(t, e.streams["0"].emitted, 0)
	assert.Equal(t, e.streams["1"].emitted+e.streams["2"].emitted, 98)
	assert.Equal(t, len(e.waiting), 1)
}
