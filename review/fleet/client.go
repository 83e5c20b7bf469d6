//go:build review

package fleet

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/magnoliawheel/magnoliawheel/platform"
)

// Host is the host of all routes.
const Host = "spec.example"

// The paths of the routes: a stream that may be resumed, a request that may run once only, and one
// that may be repeated.
const (
	StreamPath = "/draft/1"
	UnsafePath = "/file/1"
	SafePath   = "/read/1"
)

// Config is a version of the configuration.
type Config struct {
	Version int
	// Keys maps tenants to their keys.
	Keys map[string][]string
}

// PutConfig writes a configuration as the operator does, and returns the time of the store's
// acknowledgement.
func (f *Fleet) PutConfig(c Config) time.Time {
	tenants := []map[string]any{}
	for name, keys := range c.Keys {
		tenants = append(tenants, map[string]any{"name": name, "api_keys": keys})
	}
	route := func(name, prefix, kind, service string, timeout, target, attempts int, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": Host, "path_prefix": prefix, "kind": kind, "service": service, "timeout_ms": timeout, "target_latency_ms": target,
			"priority": 1, "max_attempts": attempts, "public": false,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	config := map[string]any{
		"version": c.Version,
		"routes": []any{
			route("fire-check", "/draft/", "stream", "spec-model", 8000, 1900, 2, map[string]any{"resumable": true, "sticky": true, "target_gap_ms": 250}),
			route("submittal-file", "/file/", "unsafe", "submittals", 2500, 300, 1, nil),
			route("schedule-read", "/read/", "safe", "submittals", 2500, 300, 2, nil),
		},
		"services": []any{
			map[string]any{"name": "spec-model", "health_path": "/health", "max_connections": 360, "engine": map[string]int{"slots": 64, "kv_capacity_tokens": 566282}},
			map[string]any{"name": "submittals", "health_path": "/health", "max_connections": 100},
		},
		"limits":  map[string]int{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	}
	value, err := json.Marshal(config)
	if err != nil {
		fail("%v", err)
	}
	f.Store.Put(platform.ConfigTopic, platform.ConfigKey, value)
	f.Note("operator writes configuration %d with the keys %v, acknowledged by the store", c.Version, c.Keys)
	return time.Now()
}

// Request is a request of a client.
type Request struct {
	ID, Path, Key string
	Timeout       time.Duration
	// LastEventID and Resumes are set if the client takes a stream up again.
	LastEventID, Resumes string
}

// Answer is what the client got. Status is 0 if there was no answer.
type Answer struct {
	Status   int
	Signed   bool
	Body     string
	Complete bool
	SentAt   time.Time
	EndedAt  time.Time
}

// Send sends a request to an entry over a connection of its own, and returns the answer.
func (f *Fleet) Send(e *Entry, q Request) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), q.Timeout+time.Second)
	defer cancel()
	method, body := http.MethodPost, "body of "+q.ID
	if q.Path == SafePath {
		method, body = http.MethodGet, ""
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.Front+q.Path, strings.NewReader(body))
	if err != nil {
		fail("%v", err)
	}
	req.Host = Host
	h := req.Header
	h.Set("X-Request-Id", q.ID)
	h.Set("X-Api-Key", q.Key)
	h.Set("X-Deadline-Ms", formatMS(q.Timeout))
	if q.Path == StreamPath {
		h.Set("X-Model", "m")
		h.Set("X-Token-Count", "200,40")
		h.Set("X-Prompt-Prefix", "5c1e07a2:150,"+q.ID+":50")
	}
	if q.LastEventID != "" {
		h.Set("Last-Event-Id", q.LastEventID)
		h.Set("Resumes", q.Resumes)
	}
	a := Answer{SentAt: time.Now()}
	f.Note("client sends %s to %s (%s, key %s)", q.ID, e.Name, q.Path, q.Key)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		a.EndedAt = time.Now()
		f.Note("client got no answer to %s: %v", q.ID, err)
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	a.EndedAt = time.Now()
	a.Status, a.Signed, a.Body, a.Complete = resp.StatusCode, resp.Header.Get("X-Response-Seal") != "", string(data), err == nil
	shown := a.Body
	if len(shown) > 200 && q.Path != StreamPath {
		shown = shown[:200]
	}
	f.Note("client got %d for %s, signed %t, complete %t: %q", a.Status, q.ID, a.Signed, a.Complete, shown)
	return a
}
