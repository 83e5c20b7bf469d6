package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

const (
	// callerCount is the number of concurrent callers.
	callerCount = 16
	// timeoutUnderFaults is the time after which a caller abandons a request while faults
	// are injected.
	timeoutUnderFaults = 4 * time.Second
	// callerPause is the pause of a caller between two requests.
	callerPause = 20 * time.Millisecond
)

// requestKinds are the kinds of requests that callers send, one per path. A request of a
// repeatable kind may be executed more than once, one with stages has the headers with the
// piece counts and the piece key, and one with stream is answered with a stream of events.
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

// resumableKind is the index of the streams that may be resumed in requestKinds.
const resumableKind = 1

// request is a request of a caller and its result.
type request struct {
	id, key, body string
	kind          int
	// pathSuffix is added to the path of the kind.
	pathSuffix string
	entry      *entry
	// incarnation is the number of the entry's process when the request was sent.
	incarnation int
	sent, ended time.Time
	// written is the Unix time in nanoseconds at which the request had been written whole, 0 if
	// it was not.
	written atomic.Int64
	// status is the HTTP status, 0 if there was no response.
	status     int
	answer     string
	retryAfter string
	// err is set if there was no response, or if its body ended early.
	err error
	// resumed is set if the request takes up the stream of an earlier one after the event
	// lastEvent.
	resumed   *request
	lastEvent int
}

// requestLog records the requests of all callers.
type requestLog struct {
	mu       sync.Mutex
	requests []*request
	lastID   int
}

func (l *requestLog) newID() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	return fmt.Sprintf("r%06d", l.lastID)
}

func (l *requestLog) add(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
}

// caller sends requests over a connection that it reuses until it fails.
type caller struct {
	fleet  *fleet
	log    *requestLog
	rng    *rand.Rand
	client *http.Client
	entry  *entry
	// timeout is the time after which the caller abandons a request.
	timeout time.Duration
	// resumeFor is how long the caller tries to take up a stream that broke off; 0 is once.
	resumeFor time.Duration
}

func newCaller(f *fleet, l *requestLog, seed uint64, timeout time.Duration) *caller {
	c := &caller{fleet: f, log: l, timeout: timeout, rng: rand.New(rand.NewPCG(seed, 1)), client: &http.Client{Transport: &http.Transport{}}}
	c.switchEntry()
	return c
}

// switchEntry closes the connection and picks an entry at random.
func (c *caller) switchEntry() {
	c.client.CloseIdleConnections()
	c.entry = c.fleet.entries[c.rng.IntN(len(c.fleet.entries))]
}

// run sends requests until ctx ends. It waits for the result of the last one.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		r := c.send(c.rng.IntN(len(requestKinds)), c.randomKey())
		if r.mayResume() {
			r = c.resumeRepeatedly(ctx, r)
		}
		if r.err != nil || r.status >= http.StatusInternalServerError {
			c.switchEntry()
		}
		time.Sleep(callerPause)
	}
}

// revokedKeyShare is the share of requests that use a revoked API key.
const revokedKeyShare = 0.2

// randomKey returns a key of the newest configuration version, or with a probability of
// revokedKeyShare one of the three keys revoked last.
func (c *caller) randomKey() string {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	if n := len(c.fleet.revokedKeys); n > 0 && c.rng.Float64() < revokedKeyShare {
		return c.fleet.revokedKeys[n-1-c.rng.IntN(min(n, 3))]
	}
	return c.fleet.keys[c.rng.IntN(len(c.fleet.keys))]
}

// newestKey returns the key that was added last.
func (c *caller) newestKey() string {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	return c.fleet.keys[len(c.fleet.keys)-1]
}

// send sends a request, waits for its result and records both.
func (c *caller) send(kind int, key string) *request {
	_, incarnation := c.entry.currentProcess()
	return c.sendRequest(&request{key: key, kind: kind, entry: c.entry, incarnation: incarnation})
}

// mayResume reports whether the request is a stream that broke off and may be taken up.
func (r *request) mayResume() bool {
	return requestKinds[r.kind].path == standin.PathResumable && r.err != nil && r.wholeEvents() > 0
}

// resume takes up a stream that broke off, at the caller's entry.
func (c *caller) resume(r *request) *request {
	_, incarnation := c.entry.currentProcess()
	return c.sendRequest(&request{key: r.key, kind: r.kind, entry: c.entry, incarnation: incarnation, resumed: r, lastEvent: r.wholeEvents()})
}

// resumeRepeatedly takes up a stream at one entry after the other, until one answers with more
// than a refusal or resumeFor is over, and returns the last attempt.
func (c *caller) resumeRepeatedly(ctx context.Context, r *request) *request {
	for start := time.Now(); ; time.Sleep(callerPause) {
		c.switchEntry()
		attempt := c.resume(r)
		if attempt.status == http.StatusOK || ctx.Err() != nil || time.Since(start) >= c.resumeFor {
			return attempt
		}
	}
}

// sendRequest sends a request under a new ID, waits for its result and records both.
func (c *caller) sendRequest(r *request) *request {
	r.id, r.sent = c.log.newID(), time.Now()
	r.body = "body of " + r.id
	c.doRequest(r)
	r.ended = time.Now()
	c.log.add(r)
	return r
}

// doRequest sends the HTTP request and stores the response in r.
func (c *caller) doRequest(r *request) {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	target := "http://" + c.entry.clientRelay.Addr() + requestKinds[r.kind].path + r.pathSuffix
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err == nil {
			r.written.Store(time.Now().UnixNano())
		}
	}})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(r.body))
	if err != nil {
		r.err = err
		return
	}
	// Prevent net/http from retrying the request: each id may be sent only once.
	req.GetBody = nil
	req.Host = standin.Host
	header := standin.ClientHeader{RequestID: r.id, APIKey: r.key}
	if requestKinds[r.kind].stages {
		header.PieceCounts, header.PieceKey = "2,1", "k"
	}
	header.SetOn(req.Header)
	if r.resumed != nil {
		standin.SetResumes(req.Header, r.resumed.id, strconv.Itoa(r.lastEvent))
	}
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

// wholeEvents returns the number of whole events of the answer.
func (r *request) wholeEvents() int { return strings.Count(r.answer, "\n\n") }

// version returns the software version that wrote the first event of the stream, "" if there
// is none.
func (r *request) version() string {
	if r.resumed != nil {
		return r.resumed.version()
	}
	first, _, _ := strings.Cut(r.answer, "\n\n")
	_, version, _ := strings.Cut(first, " by ")
	return version
}

// expectedAnswer returns the complete answer to a request. All events of a stream are of the
// version that wrote the first one.
func (r *request) expectedAnswer() string {
	if !requestKinds[r.kind].stream {
		return fmt.Sprintf("POST %s %s", requestKinds[r.kind].path, r.body)
	}
	var b strings.Builder
	for i := r.lastEvent + 1; i <= streamEvents; i++ {
		b.WriteString(standin.EventOf(i, r.id, r.version()))
	}
	return b.String()
}
