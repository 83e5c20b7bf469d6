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

	"github.com/magnoliawheel/magnoliawheel/internal/clock"
)

// maxErrorBytes is the maximum size of an error body that is read.
const maxErrorBytes = 1 << 16

// codeEntryDraining is returned by an entry that is shutting down. The call can be
// sent to another entry at once.
const codeEntryDraining = 2009

// codeBadDeadline is returned if the timeout of a request exceeds the deadline that
// is configured for the call.
const codeBadDeadline = 1004

// codeUnknownRequest is returned for a request that the entry does not know.
const codeUnknownRequest = 1009

// callState is the state of one call, over all its requests and connections.
type callState struct {
	client *Client
	call   *Call
	// entry is the index of the entry in use.
	entry int
	// requestID is the id of the current request; empty until it is known.
	requestID string
	answer    answerReader
	// requestCount and reattachCount become Requests and Reattachments of the answer.
	requestCount  int
	reattachCount int
	// omitTimeout is set after an entry refused the timeout because it exceeds the
	// call's configured deadline. Without a timeout, that deadline applies.
	omitTimeout bool
	// mayHaveRun is set if the outcome of an earlier request is unknown, so that the call
	// may already have been executed.
	mayHaveRun bool
}

// errConnectionLost means that a connection was lost before the end of the answer.
var errConnectionLost = errors.New("client: connection lost before the end of the answer")

// wrapConnectionLost wraps the cause of a lost connection in errConnectionLost.
func wrapConnectionLost(err error) error { return fmt.Errorf("%w: %w", errConnectionLost, err) }

// run sends the call until it is answered or fails with an error that cannot be
// retried.
func (x *callState) run(ctx context.Context) (*Answer, error) {
	for {
		x.requestID = ""
		x.answer = answerReader{onChunk: x.call.OnChunk}
		err := x.sendCall(ctx)
		if errors.Is(err, errConnectionLost) && x.requestID != "" {
			err = x.reattach(ctx)
		}
		if err == nil {
			return x.verifiedAnswer()
		}
		wait, retry := x.decideRetry(ctx, err)
		if !retry {
			return nil, x.finalError(ctx, err)
		}
		if !clock.Sleep(ctx, wait) {
			return nil, x.finalError(ctx, err)
		}
	}
}

// verifiedAnswer verifies the answer and adds the id and the counts of its requests.
func (x *callState) verifiedAnswer() (*Answer, error) {
	a, err := x.answer.verify()
	if err != nil {
		return nil, err
	}
	a.RequestID, a.Requests, a.Reattachments = x.requestID, x.requestCount, x.reattachCount
	return a, nil
}

// decideRetry decides whether the call may be sent again, and after which delay.
func (x *callState) decideRetry(ctx context.Context, err error) (wait time.Duration, retry bool) {
	if ctx.Err() != nil || x.answer.delivered {
		return 0, false
	}
	var entryErr *Error
	switch {
	case errors.Is(err, ErrNotSent):
		x.nextEntry()
		return reattachDelay, true
	case errors.As(err, &entryErr) && entryErr.Code == codeEntryDraining && len(x.client.opts.Entries) > 1:
		x.nextEntry()
		return 0, true
	case errors.As(err, &entryErr) && entryErr.Code == codeBadDeadline && x.call.Timeout > 0 && !x.omitTimeout:
		x.omitTimeout = true
		return 0, true
	case errors.As(err, &entryErr) && entryErr.Code == codeUnknownRequest, errors.Is(err, errConnectionLost):
		x.nextEntry()
		x.mayHaveRun = true
		return reattachDelay, x.call.Idempotent || x.call.IdempotencyKey != ""
	case errors.As(err, &entryErr):
		wait = entryErr.RetryAfter()
		deadline, _ := ctx.Deadline()
		return wait, entryErr.MayRepeat() && wait > 0 && time.Until(deadline) > wait+minRetryTime
	}
	return 0, false
}

// finalError converts the error of the last request into the one that Do returns.
func (x *callState) finalError(ctx context.Context, err error) error {
	var entryErr *Error
	switch {
	case errors.As(err, &entryErr) && entryErr.Code != codeUnknownRequest:
		return entryErr
	case errors.Is(err, ErrNotSent) && !x.mayHaveRun:
		return err
	case errors.As(err, &entryErr), errors.Is(err, errConnectionLost), errors.Is(err, ErrNotSent):
		return fmt.Errorf("%w: request %q: %w", ErrOutcomeUnknown, x.requestID, err)
	case ctx.Err() != nil && x.requestID == "" && x.requestCount == 0:
		return ctx.Err()
	}
	return err
}

// nextEntry moves on to the next entry, in turn.
func (x *callState) nextEntry() { x.entry = (x.entry + 1) % len(x.client.opts.Entries) }

// sendCall posts the call and reads its event stream.
func (x *callState) sendCall(ctx context.Context) error {
	url := x.client.opts.Entries[x.entry] + "/v1/calls/" + x.call.Name
	req, err := x.client.newRequest(ctx, http.MethodPost, url, bytes.NewReader(x.call.Body))
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
		deadline, _ := ctx.Deadline()
		ms := max(time.Until(deadline)/time.Millisecond, 1)
		req.Header.Set("Request-Timeout", strconv.FormatInt(int64(ms), 10))
	}
	x.requestCount++
	return x.readStream(req)
}

// reattach resumes the stream at one entry after the other until the request ends
// with an answer or an error, or ctx ends.
func (x *callState) reattach(ctx context.Context) error {
	var lastErr error = errConnectionLost
	for ctx.Err() == nil {
		for range x.client.opts.Entries {
			err := x.attachOnce(ctx)
			if !errors.Is(err, errConnectionLost) && !errors.Is(err, ErrNotSent) {
				return err
			}
			lastErr = errConnectionLost
			x.nextEntry()
		}
		clock.Sleep(ctx, reattachDelay)
	}
	return lastErr
}

// attachOnce resumes the stream at the current entry.
func (x *callState) attachOnce(ctx context.Context) error {
	url := x.client.opts.Entries[x.entry] + "/v1/requests/" + x.requestID
	req, err := x.client.newRequest(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Last-Event-ID", strconv.FormatUint(x.answer.lastSeq, 10))
	x.reattachCount++
	return x.readStream(req)
}

// newRequest returns a request with the headers that all requests have.
func (c *Client) newRequest(ctx context.Context, method, url string, body io.Reader) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	req.Header.Set("Customer", c.opts.Customer)
	req.Header.Set("Customer-Key", c.opts.Key)
	req.Header.Set("Accept", "text/event-stream")
	return req, nil
}

// readStream sends one request and reads its events. The connection is presumed lost
// if no data arrives for silenceTimeout.
func (x *callState) readStream(req *http.Request) error {
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
	if id := res.Header.Get("Request-Id"); id != "" && x.requestID == "" {
		x.requestID = id
		if x.call.OnRequest != nil {
			x.call.OnRequest(id)
		}
	}
	return x.answer.readEvents(&watchedReader{r: res.Body, watchdog: watchdog})
}

// transportError distinguishes a request that was never sent, because no connection
// was established, from one whose connection was lost.
func transportError(err error, connected bool) error {
	if !connected {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return wrapConnectionLost(err)
}

// readError returns the error that a response reports, or nil for a success.
func readError(res *http.Response) error {
	if res.StatusCode < http.StatusMultipleChoices {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
	if err != nil {
		return wrapConnectionLost(err)
	}
	entryErr := &Error{}
	if json.Unmarshal(body, entryErr) != nil || entryErr.Code == 0 {
		return wrapConnectionLost(errors.Newf("client: response with HTTP status %d has no result code", res.StatusCode))
	}
	return entryErr
}

// watchedReader restarts the watchdog timer with each read.
type watchedReader struct {
	r        io.Reader
	watchdog *time.Timer
}

func (w *watchedReader) Read(b []byte) (int, error) {
	n, err := w.r.Read(b)
	w.watchdog.Reset(silenceTimeout)
	return n, err
}
