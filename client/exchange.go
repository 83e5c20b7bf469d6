package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// maxErrorBytes bounds the body of an error that is read.
const maxErrorBytes = 1 << 16

// codeEntryDraining is answered by an entry that shuts down; another takes the call.
const codeEntryDraining = 2009

// codeBadDeadline is answered to a timeout over the call's deadline.
const codeBadDeadline = 1004

// codeUnknownRequest is answered for a request that nobody knows.
const codeUnknownRequest = 1009

// exchange is one call with all that it takes.
type exchange struct {
	client *Client
	call   *Call
	// entry is the index of the entry in use.
	entry int
	// id is that of the request in progress; empty before it is known.
	id       string
	answer   answerReader
	requests int
	attached int
	// omitTimeout is set once an entry refused the timeout as longer than the
	// call's deadline, which applies then.
	omitTimeout bool
	// cut is set once a request was cut: it may have run.
	cut bool
}

// errCut marks the end of a connection before the end of an answer.
var errCut = errors.New("client: the connection was cut")

// cutBy is errCut with its cause.
func cutBy(err error) error { return fmt.Errorf("%w: %w", errCut, err) }

// run sends the call until there is an answer or an error that must be told.
func (x *exchange) run(ctx context.Context) (*Answer, error) {
	for {
		x.id = ""
		x.answer = answerReader{onChunk: x.call.OnChunk}
		err := x.send(ctx)
		if errors.Is(err, errCut) && x.id != "" {
			err = x.reattach(ctx)
		}
		if err == nil {
			return x.complete()
		}
		wait, again := x.repeat(ctx, err)
		if !again {
			return nil, x.final(ctx, err)
		}
		if !sleep(ctx, wait) {
			return nil, x.final(ctx, err)
		}
	}
}

func (x *exchange) complete() (*Answer, error) {
	a, err := x.answer.complete()
	if err != nil {
		return nil, err
	}
	a.RequestID, a.Requests, a.Reattachments = x.id, x.requests, x.attached
	return a, nil
}

// repeat decides whether the call may be sent again, and after which wait.
func (x *exchange) repeat(ctx context.Context, err error) (wait time.Duration, again bool) {
	if ctx.Err() != nil || x.answer.given {
		return 0, false
	}
	var told *Error
	switch {
	case errors.Is(err, ErrNotSent):
		x.next()
		return reattachWait, true
	case errors.As(err, &told) && told.Code == codeEntryDraining && len(x.client.opts.Entries) > 1:
		x.next()
		return 0, true
	case errors.As(err, &told) && told.Code == codeBadDeadline && x.call.Timeout > 0 && !x.omitTimeout:
		x.omitTimeout = true
		return 0, true
	case errors.As(err, &told) && told.Code == codeUnknownRequest, errors.Is(err, errCut):
		x.next()
		x.cut = true
		return reattachWait, x.call.Idempotent || x.call.IdempotencyKey != ""
	case errors.As(err, &told):
		wait = told.RetryAfter()
		left, _ := ctx.Deadline()
		return wait, told.MayRepeat() && wait > 0 && time.Until(left) > wait+minimumTimeout
	}
	return 0, false
}

// final is the error told to the program.
func (x *exchange) final(ctx context.Context, err error) error {
	var told *Error
	switch {
	case errors.As(err, &told) && told.Code != codeUnknownRequest:
		return told
	case errors.Is(err, ErrNotSent) && !x.cut:
		return err
	case errors.As(err, &told), errors.Is(err, errCut), errors.Is(err, ErrNotSent):
		return fmt.Errorf("%w: request %q: %w", ErrOutcomeUnknown, x.id, err)
	case ctx.Err() != nil && x.id == "" && x.requests == 0:
		return ctx.Err()
	}
	return err
}

func (x *exchange) next() { x.entry = (x.entry + 1) % len(x.client.opts.Entries) }

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// send posts the call and reads the stream.
func (x *exchange) send(ctx context.Context) error {
	url := x.client.opts.Entries[x.entry] + "/v1/calls/" + x.call.Name
	req, err := x.client.request(ctx, http.MethodPost, url, bytes.NewReader(x.call.Body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", x.call.ContentType)
	if x.call.ContentType == "" {
		req.Header.Set("Content-Type", "application/json")
	}
	if x.call.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", x.call.IdempotencyKey)
	}
	if x.call.PromptPrefix != "" {
		req.Header.Set("Prompt-Prefix", x.call.PromptPrefix)
	}
	if x.call.Timeout > 0 && !x.omitTimeout {
		at, _ := ctx.Deadline()
		ms := max(time.Until(at)/time.Millisecond, 1)
		req.Header.Set("Request-Timeout", strconv.FormatInt(int64(ms), 10))
	}
	x.requests++
	return x.stream(req)
}

// reattach goes on reading at any entry until there is an answer.
func (x *exchange) reattach(ctx context.Context) error {
	var last error = errCut
	for ctx.Err() == nil {
		for range x.client.opts.Entries {
			err := x.attach(ctx)
			if !errors.Is(err, errCut) && !errors.Is(err, ErrNotSent) {
				return err
			}
			last = errCut
			x.next()
		}
		sleep(ctx, reattachWait)
	}
	return last
}

func (x *exchange) attach(ctx context.Context) error {
	url := x.client.opts.Entries[x.entry] + "/v1/requests/" + x.id
	req, err := x.client.request(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Last-Event-ID", strconv.FormatUint(x.answer.seq, 10))
	x.attached++
	return x.stream(req)
}

func (c *Client) request(ctx context.Context, method, url string, body io.Reader) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, errors.Wrap(err, "form request")
	}
	req.Header.Set("Customer", c.opts.Customer)
	req.Header.Set("Customer-Key", c.opts.Key)
	req.Header.Set("Accept", "text/event-stream")
	return req, nil
}

// stream makes one request and reads its events. A stream that falls silent is
// taken for cut.
func (x *exchange) stream(req *http.Request) error {
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	watchdog := time.AfterFunc(silenceTimeout, cancel)
	defer watchdog.Stop()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	res, err := x.client.http.Do(req.WithContext(ctx))
	if err != nil {
		return transportError(err, connected.Load())
	}
	defer func() { _ = res.Body.Close() }()
	if err := readError(res); err != nil {
		return err
	}
	if id := res.Header.Get("Request-Id"); id != "" && x.id == "" {
		x.id = id
		if x.call.OnRequest != nil {
			x.call.OnRequest(id)
		}
	}
	return x.answer.read(&watchedReader{r: res.Body, watchdog: watchdog})
}

// transportError tells a request that was never sent, since there was no connection
// for it, from one that was cut.
func transportError(err error, connected bool) error {
	if !connected {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return cutBy(err)
}

// readError returns the error of a response, or nil for a success.
func readError(res *http.Response) error {
	if res.StatusCode < http.StatusMultipleChoices {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
	if err != nil {
		return cutBy(err)
	}
	told := &Error{}
	if json.Unmarshal(body, told) != nil || told.Code == 0 {
		return cutBy(errors.Newf("client: HTTP status %d without a result code", res.StatusCode))
	}
	return told
}

// watchedReader puts the watchdog off with each read.
type watchedReader struct {
	r        io.Reader
	watchdog *time.Timer
}

func (w *watchedReader) Read(b []byte) (int, error) {
	n, err := w.r.Read(b)
	w.watchdog.Reset(silenceTimeout)
	return n, err
}
