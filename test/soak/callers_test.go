package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

const (
	// callerCount is the number of callerCount at work at the same time.
	callerCount = 16
	// timeoutUnderFaults is when a caller leaves a request without an answer while there are
	// faults.
	timeoutUnderFaults = 4 * time.Second
	// callerPause is the time between two requests of a caller.
	callerPause = 20 * time.Millisecond
)

// requestKinds are the paths that callers use, and whether their requests may run twice.
var requestKinds = []struct {
	path       string
	repeatable bool
	stages     bool
	stream     bool
}{
	{standin.PathStream, false, true, true},
	{standin.PathResumable, true, false, true},
	{standin.PathSafe, true, false, false},
	{standin.PathUnsafe, false, false, false},
}

// request is one request of a caller and what came of it.
type request struct {
	id, key, body string
	kind          int
	entry         *entry
	incarnation   int
	sent, ended   time.Time
	// status is 0 if no answer came; broken is set if one did not end as it should.
	status     int
	answer     string
	retryAfter string
	err     error
}

// requestLog holds all requests.
type requestLog struct {
	mu   sync.Mutex
	requests  []*request
	next int
}

func (l *requestLog) newID() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	return fmt.Sprintf("r%06d", l.next)
}

func (l *requestLog) add(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
}

// caller sends requests over a connection that it keeps until it fails.
type caller struct {
	fleet      *fleet
	log *requestLog
	rng    *rand.Rand
	client *http.Client
	entry  *entry
	// timeout is when the caller leaves a request without an answer.
	timeout time.Duration
}

func newCaller(f *fleet, l *requestLog, seed uint64, timeout time.Duration) *caller {
	c := &caller{fleet: f, log: l, timeout: timeout, rng: rand.New(rand.NewPCG(seed, 1)), client: &http.Client{Transport: &http.Transport{}}}
	c.switchEntry()
	return c
}

// switchEntry goes over to another entry.
func (c *caller) switchEntry() {
	c.client.CloseIdleConnections()
	c.entry = c.fleet.entries[c.rng.IntN(len(c.fleet.entries))]
}

// run sends requests until ctx ends; the last one is waited for.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		r := c.send(c.rng.IntN(len(requestKinds)), c.randomKey())
		if r.err != nil || r.status >= http.StatusInternalServerError {
			c.switchEntry()
		}
		time.Sleep(callerPause)
	}
}

// revokedKeyShare is the share of requests with keys that were taken away.
const revokedKeyShare = 0.2

// randomKey returns one of the newest keys, or at times one that was taken away.
func (c *caller) randomKey() string {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	if n := len(c.fleet.once); n > 0 && c.rng.Float64() < revokedKeyShare {
		return c.fleet.once[n-1-c.rng.IntN(min(n, 3))]
	}
	return c.fleet.keys[c.rng.IntN(len(c.fleet.keys))]
}

// newestKey returns a key of the newest version.
func (c *caller) newestKey() string {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	return c.fleet.keys[len(c.fleet.keys)-1]
}

// send sends one request and waits for its end.
func (c *caller) send(kind int, key string) *request {
	_, incarnation := c.entry.now()
	r := &request{id: c.log.newID(), key: key, kind: kind, entry: c.entry, incarnation: incarnation, sent: time.Now()}
	r.body = "body of " + r.id
	c.doRequest(r)
	r.ended = time.Now()
	c.log.add(r)
	return r
}

func (c *caller) doRequest(r *request) {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	target := "http://" + c.entry.clients.Addr() + requestKinds[r.kind].path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(r.body))
	if err != nil {
		r.err = err
		return
	}
	// A request is never sent again by the client's library: each has its own id.
	req.GetBody = nil
	req.Host = standin.Host
	header := standin.ClientHeader{RequestID: r.id, APIKey: r.key}
	if requestKinds[r.kind].stages {
		header.PieceCounts, header.PieceKey = "2,1", "k"
	}
	header.SetOn(req.Header)
	resp, err := c.client.Do(req)
	if err != nil {
		r.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	r.status, r.answer, r.err = resp.StatusCode, string(data), err
	r.retryAfter = resp.Header.Get("Retry-After")
}

// expectedAnswer is the whole answer to a request.
func (r *request) expectedAnswer() string {
	if !requestKinds[r.kind].stream {
		return fmt.Sprintf("POST %s %s", requestKinds[r.kind].path, r.body)
	}
	var b strings.Builder
	for i := 1; i <= events; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d of %s\n\n", i, i, r.id)
	}
	return b.String()
}
