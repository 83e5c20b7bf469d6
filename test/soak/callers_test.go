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
	// callers is the number of callers at work at the same time.
	callers = 16
	// shortTimeout is when a caller leaves a request without an answer while there are
	// faults.
	shortTimeout = 4 * time.Second
	// callerPause is the time between two requests of a caller.
	callerPause = 20 * time.Millisecond
)

// kinds are the paths that callers use, and whether their requests may run twice.
var kinds = []struct {
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
	broken     error
}

// ledger holds all requests.
type ledger struct {
	mu   sync.Mutex
	all  []*request
	next int
}

func (l *ledger) newID() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	return fmt.Sprintf("r%06d", l.next)
}

func (l *ledger) add(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, r)
}

// caller sends requests over a connection that it keeps until it fails.
type caller struct {
	f      *fleet
	ledger *ledger
	rng    *rand.Rand
	client *http.Client
	entry  *entry
	// timeout is when the caller leaves a request without an answer.
	timeout time.Duration
}

func newCaller(f *fleet, l *ledger, seed uint64, timeout time.Duration) *caller {
	c := &caller{f: f, ledger: l, timeout: timeout, rng: rand.New(rand.NewPCG(seed, 1)), client: &http.Client{Transport: &http.Transport{}}}
	c.move()
	return c
}

// move goes over to another entry.
func (c *caller) move() {
	c.client.CloseIdleConnections()
	c.entry = c.f.entries[c.rng.IntN(len(c.f.entries))]
}

// run sends requests until ctx ends; the last one is waited for.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		r := c.send(c.rng.IntN(len(kinds)), c.anyKey())
		if r.broken != nil || r.status >= http.StatusInternalServerError {
			c.move()
		}
		time.Sleep(callerPause)
	}
}

// oldKeys is the share of requests with keys that were taken away.
const oldKeys = 0.2

// anyKey returns one of the newest keys, or at times one that was taken away.
func (c *caller) anyKey() string {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	if n := len(c.f.once); n > 0 && c.rng.Float64() < oldKeys {
		return c.f.once[n-1-c.rng.IntN(min(n, 3))]
	}
	return c.f.keys[c.rng.IntN(len(c.f.keys))]
}

// newestKey returns a key of the newest version.
func (c *caller) newestKey() string {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	return c.f.keys[len(c.f.keys)-1]
}

// send sends one request and waits for its end.
func (c *caller) send(kind int, key string) *request {
	_, incarnation := c.entry.now()
	r := &request{id: c.ledger.newID(), key: key, kind: kind, entry: c.entry, incarnation: incarnation, sent: time.Now()}
	r.body = "body of " + r.id
	c.exchange(r)
	r.ended = time.Now()
	c.ledger.add(r)
	return r
}

func (c *caller) exchange(r *request) {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	target := "http://" + c.entry.clients.Addr() + kinds[r.kind].path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(r.body))
	if err != nil {
		r.broken = err
		return
	}
	// A request is never sent again by the client's library: each has its own id.
	req.GetBody = nil
	req.Host = standin.Host
	header := standin.ClientHeader{RequestID: r.id, APIKey: r.key}
	if kinds[r.kind].stages {
		header.PieceCounts, header.PieceKey = "2,1", "k"
	}
	header.SetOn(req.Header)
	resp, err := c.client.Do(req)
	if err != nil {
		r.broken = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	r.status, r.answer, r.broken = resp.StatusCode, string(data), err
	r.retryAfter = resp.Header.Get("Retry-After")
}

// want is the whole answer to a request.
func (r *request) want() string {
	if !kinds[r.kind].stream {
		return fmt.Sprintf("POST %s %s", kinds[r.kind].path, r.body)
	}
	var b strings.Builder
	for i := 1; i <= events; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d of %s\n\n", i, i, r.id)
	}
	return b.String()
}
